// Tests of suspicion, confirmation and quarantine.
#include <camphorreach/crashcontainment.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

class CrashContainmentFixture
{
protected:
    using Status = CrashContainment::Status;

    static std::set<Digest> digests(std::initializer_list<std::uint64_t> values)
    {
        std::set<Digest> result;
        for (const std::uint64_t value : values)
            result.insert(Digest(value));
        return result;
    }

    [[nodiscard]] Status status(std::uint64_t value) const
    {
        return containment.statusOf(Digest(value), now);
    }

    void confirm(std::uint64_t value)
    {
        (void)containment.onCrash(digests({ value, value + 1'000'000 }), std::nullopt, now);
        (void)containment.onCrash(digests({ value }), Digest(value), now);
        containment.onAnswered(Digest(value + 1'000'000));
    }

    TimePoint now { seconds(1000) };
    CrashContainment containment { {} };
};

TEST_CASE_METHOD(CrashContainmentFixture,
                 "CrashContainment_crash_suspectsAllInFlightAndConfirmsNone")
{
    const auto analysis = containment.onCrash(digests({ 1, 2 }), std::nullopt, now);
    CHECK(analysis.confirmed.empty());
    CHECK_FALSE(analysis.isAttributed);
    CHECK(analysis.entries.size() == 2);
    CHECK(status(1) == Status::Suspect);
    CHECK(status(2) == Status::Suspect);
    CHECK(status(3) == Status::Normal);
}

// Guards against refusing an innocent request that was in flight together with the cause.
TEST_CASE_METHOD(CrashContainmentFixture,
                 "CrashContainment_isolatedRuns_confirmCauseAndClearOthers")
{
    (void)containment.onCrash(digests({ 1, 2 }), std::nullopt, now);
    containment.onAnswered(Digest(2));
    const auto analysis = containment.onCrash(digests({ 1 }), Digest(1), now);
    CHECK(analysis.confirmed == std::vector { Digest(1) });
    CHECK(analysis.isAttributed);
    CHECK(status(1) == Status::Quarantined);
    CHECK(status(2) == Status::Normal);
}

TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_timePassed_liftsSuspicionAndQuarantine")
{
    (void)containment.onCrash(digests({ 1, 2 }), std::nullopt, now);
    (void)containment.onCrash(digests({ 1 }), Digest(1), now);
    now += minutes(5);
    CHECK(status(1) == Status::Quarantined);
    CHECK(status(2) == Status::Normal);
    now += minutes(5);
    CHECK(status(1) == Status::Normal);
}

// Guards against a crash at every gate of the service because each must confirm the cause itself.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_noticeFromAnotherGate_isApplied")
{
    const QuarantineNotice notice { ServiceName("orders"),
                                    { { Digest(1), minutes(10), true },
                                      { Digest(2), minutes(5), false },
                                      { Digest(3), std::chrono::milliseconds(10), true } } };
    CHECK(containment.merge(notice, now).size() == 2);
    CHECK(status(1) == Status::Quarantined);
    CHECK(status(2) == Status::Suspect);
    CHECK(status(3) == Status::Normal);
    CHECK(containment.merge(notice, now).empty());
}

// Guards against a quarantine that never ends because gates renew it for each other.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_noticeWithLongExpiry_isCapped")
{
    (void)containment.merge({ ServiceName("orders"), { { Digest(1), minutes(1000), true } } }, now);
    now += minutes(10);
    CHECK(status(1) == Status::Normal);
}

// Guards against unbounded memory for many crashes and hostile notices.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_manyEntries_keepsTablesBounded")
{
    for (std::uint64_t i = 0; i < 3000; ++i) {
        (void)containment.merge(
            { ServiceName("orders"),
              { { Digest(i), minutes(10), true }, { Digest(100'000 + i), minutes(5), false } } },
            now);
    }
    CHECK(containment.quarantinedCount() <= 1024);
    CHECK(containment.suspectCount() <= 1024);
}

// Guards against a faulty version that stays undetected because all its requests are quarantined.
TEST_CASE_METHOD(CrashContainmentFixture,
                 "CrashContainment_crashesWithoutCommonRequest_blameVersion")
{
    for (std::uint64_t i = 0; i < 8; ++i)
        (void)containment.onCrash(digests({ 10 * i, 10 * i + 1 }), std::nullopt, now);
    CHECK(containment.isVersionSuspect(now));
    const auto analysis = containment.onCrash(digests({ 0 }), Digest(0), now);
    CHECK(analysis.confirmed.empty());
    CHECK_FALSE(analysis.isAttributed);
    now += minutes(2);
    CHECK_FALSE(containment.isVersionSuspect(now));
}

// Guards against blaming the version for several requests that cause crashes at the same time.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_severalCausesAtOnce_confirmsEvery")
{
    for (std::uint64_t value = 1; value <= 5; ++value)
        confirm(value);
    CHECK_FALSE(containment.isVersionSuspect(now));
    for (std::uint64_t value = 1; value <= 5; ++value)
        CHECK(status(value) == Status::Quarantined);
}

// Guards against quarantining all requests when a version crashes on every request.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_everyRequestCrashes_stopsConfirming")
{
    for (std::uint64_t value = 1; value <= 20; ++value)
        confirm(value);
    CHECK(containment.isVersionSuspect(now));
    CHECK(containment.quarantinedCount() <= 9);
}

// Guards against stalling all gates after one failure of many backend servers at once.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_twoCrashesToSuspect_oneSuspectsNothing")
{
    CrashContainment::Limits limits;
    limits.crashesToSuspect = 2;
    CrashContainment lenient(limits);
    (void)lenient.onCrash(digests({ 1, 2 }), std::nullopt, now);
    CHECK(lenient.statusOf(Digest(1), now) == Status::Normal);
    lenient.onAnswered(Digest(2));
    now += seconds(5);
    (void)lenient.onCrash(digests({ 1, 2 }), std::nullopt, now);
    CHECK(lenient.statusOf(Digest(1), now) == Status::Suspect);
    CHECK(lenient.statusOf(Digest(2), now) == Status::Normal);
}

// Guards against missing a cause that crashes several backend servers only once each.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_crashAtAnotherGate_countsOnceHere")
{
    CrashContainment::Limits limits;
    limits.crashesToSuspect = 2;
    CrashContainment lenient(limits);
    const QuarantineNotice notice { ServiceName("orders"),
                                    { { Digest(1), minutes(5), false, 1 } } };
    CHECK(lenient.merge(notice, now).size() == 1);
    CHECK(lenient.merge(notice, now).empty());
    CHECK(lenient.statusOf(Digest(1), now) == Status::Normal);
    const auto analysis = lenient.onCrash(digests({ 1 }), std::nullopt, now);
    CHECK(lenient.statusOf(Digest(1), now) == Status::Suspect);
    REQUIRE(analysis.entries.size() == 1);
    CHECK(analysis.entries.front().crashes == 2);
    CrashContainment other(limits);
    CHECK(other.merge({ ServiceName("orders"), analysis.entries }, now).size() == 1);
    CHECK(other.statusOf(Digest(1), now) == Status::Suspect);
}

// Guards against gates that send each other notices of a cleared request without end.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_noticeOfClearedRequest_isNotNew")
{
    const QuarantineNotice notice { ServiceName("orders"),
                                    { { Digest(1), minutes(5), false, 1 } } };
    CHECK(containment.merge(notice, now).size() == 1);
    containment.onAnswered(Digest(1));
    CHECK(containment.merge(notice, now).empty());
    CHECK(status(1) == Status::Normal);
    (void)containment.onCrash(digests({ 1 }), std::nullopt, now);
    CHECK(status(1) == Status::Suspect);
}

} // namespace
} // namespace camphorreach
