// Tests of the detection of crashes of the backend server.
#include <camphorreach/crashdetector.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;

class CrashDetectorFixture
{
protected:
    static TimePoint at(int ms) { return TimePoint(milliseconds(ms)); }

    [[nodiscard]] bool isCrashAt(int ms) { return detector.detect({}, at(ms)).has_value(); }

    CrashDetector detector;
};

// Guards against a declared crash when a backend server resets a connection or stops as planned.
TEST_CASE_METHOD(CrashDetectorFixture, "CrashDetector_onlyOneSign_declaresNoCrash")
{
    detector.onCallLost(Digest(1), false, at(0));
    CHECK_FALSE(isCrashAt(0));

    CrashDetector other;
    other.onProcessEnded(at(0));
    CHECK_FALSE(other.detect({}, at(0)));
}

// Guards against a missed crash when the two signs arrive in either order.
TEST_CASE_METHOD(CrashDetectorFixture, "CrashDetector_signsWithinASecond_declareOneCrash")
{
    detector.onCallLost(Digest(1), false, at(0));
    detector.onProcessEnded(at(1000));
    CHECK(isCrashAt(1000));
    CHECK_FALSE(isCrashAt(1000));

    detector.onProcessEnded(at(3000));
    detector.onCallLost(Digest(1), false, at(4000));
    CHECK(isCrashAt(4000));
}

// Guards against blaming a call that was lost long before the process ended, or in its successor.
TEST_CASE_METHOD(CrashDetectorFixture, "CrashDetector_unrelatedSigns_declareNoCrash")
{
    detector.onCallLost(Digest(1), false, at(0));
    detector.onProcessEnded(at(1001));
    CHECK_FALSE(isCrashAt(1001));

    detector.onProcessStarted();
    detector.onCallLost(Digest(2), false, at(1100));
    CHECK_FALSE(isCrashAt(1100));
}

// Guards against blaming a call that started after the process had ended.
TEST_CASE_METHOD(CrashDetectorFixture,
                 "CrashDetector_crash_blamesCallsThatStartedBeforeTheFirstLoss")
{
    detector.onCallLost(Digest(1), true, at(100));
    detector.onProcessEnded(at(200));
    const auto crash = detector.detect(
        { { CallId(2), Digest(2), at(50) }, { CallId(3), Digest(3), at(150) } }, at(200));

    REQUIRE(crash);
    CHECK(crash->inFlight == std::set { Digest(1), Digest(2) });
    CHECK(crash->isolated == Digest(1));
    CHECK(detector.onCallEnded(CallId(2)));
    CHECK_FALSE(detector.onCallEnded(CallId(2)));
    CHECK_FALSE(detector.onCallEnded(CallId(3)));
}

} // namespace
} // namespace camphorreach
