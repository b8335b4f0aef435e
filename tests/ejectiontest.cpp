// Tests of outlier ejection of one target.
#include <camphorreach/ejection.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::seconds;

class EjectionFixture
{
protected:
    RandomSource random { 3 };
    Ejection ejection;
    TimePoint now { seconds(100) };
};

TEST_CASE_METHOD(EjectionFixture, "Ejection_successBetweenFailures_isNotEjected")
{
    for (int i = 0; i < 100; ++i) {
        for (std::uint32_t n = 1; n < Ejection::failuresToEject; ++n)
            REQUIRE_FALSE(ejection.onFailure(now));
        CHECK_FALSE(ejection.onSuccess(now));
    }
    CHECK(ejection.state(now) == Ejection::State::Active);
}

TEST_CASE_METHOD(EjectionFixture, "Ejection_probesFail_timesGrowToMaximum")
{
    Duration last {};
    for (int i = 0; i < 12; ++i) {
        ejection.eject(now, random);
        const Duration time = *ejection.ejectedUntil(now) - now;
        CHECK(time <= Ejection::maxTime);
        if (i < 6)
            CHECK(time > last);
        last = time;
        now += time;
        REQUIRE(ejection.state(now) == Ejection::State::Probing);
        CHECK(ejection.onFailure(now));
    }
    CHECK(last > Ejection::maxTime / 2);
}

TEST_CASE_METHOD(EjectionFixture, "Ejection_probesSucceed_returns")
{
    ejection.eject(now, random);
    now = *ejection.ejectedUntil(now);
    CHECK_FALSE(ejection.onSuccess(now));
    CHECK_FALSE(ejection.onSuccess(now));
    CHECK(ejection.onSuccess(now));
    CHECK(ejection.state(now) == Ejection::State::Active);
}

} // namespace
} // namespace camphorreach
