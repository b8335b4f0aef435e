// Tests of the concurrency limit and the reported load of one target.
#include <camphorreach/random.h>
#include <camphorreach/target.h>
#include <camphorreach/targetlimit.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TargetLimitFixture
{
protected:
    void answer(Duration latency, int times)
    {
        for (int i = 0; i < times; ++i) {
            const TimePoint sentAt = now;
            now += latency;
            limit.onAnswer(latency, 100, sentAt, now);
        }
    }

    TimePoint now { seconds(100) };
    TargetLimit limit { 10 };
};

TEST_CASE_METHOD(TargetLimitFixture, "TargetLimit_latencySteady_growsToMaximum")
{
    answer(milliseconds(5), 1000);
    CHECK(limit.value() == Approx(20.0));
}

TEST_CASE_METHOD(TargetLimitFixture, "TargetLimit_latencyRises_shrinksAndRecovers")
{
    answer(milliseconds(5), 200);
    answer(milliseconds(100), 50);
    CHECK(limit.value() < 5.0);
    answer(milliseconds(5), 500);
    CHECK(limit.value() > 15.0);
}

// Guards against a limit that collapses because the first answer was unusually fast.
TEST_CASE_METHOD(TargetLimitFixture, "TargetLimit_firstAnswerFast_keepsLimit")
{
    answer(std::chrono::microseconds(300), 1);
    answer(milliseconds(20), 200);
    CHECK(limit.value() >= 10.0);
}

// Guards against taking the variance of service times for queueing.
TEST_CASE_METHOD(TargetLimitFixture, "TargetLimit_serviceTimesExponential_keepsLimit")
{
    RandomSource random(5);
    std::exponential_distribution<double> time(1.0 / 20'000.0);
    for (int i = 0; i < 20'000; ++i) {
        answer(Duration(static_cast<Duration::rep>(time(random))), 1);
        if (i > 1000)
            REQUIRE(limit.value() >= 10.0);
    }
}

// Guards against a burst of refusals that collapses the limit: all of its requests were sent before
// the first decrease.
TEST_CASE_METHOD(TargetLimitFixture, "TargetLimit_refusalsOfOneBurst_decreaseOnce")
{
    const TimePoint sentAt = now;
    now += milliseconds(1);
    for (int i = 0; i < 10; ++i)
        limit.onRefused(sentAt, now);
    CHECK(limit.value() == Approx(7.0));
}

TEST_CASE_METHOD(TargetLimitFixture, "TargetLimit_refusedForLong_keepsOneSlot")
{
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(1);
        limit.onRefused(now, now);
    }
    CHECK(limit.value() == Approx(1.0));
}

// Guards against a wrong load report of a gate that attracts or repels all requests.
TEST_CASE("Target_reportedLoad_isBoundedAndExpires")
{
    Endpoint endpoint;
    endpoint.slots = 4;
    Target target(endpoint, std::nullopt);
    const TimePoint now { seconds(10) };
    target.onLoad({ 4, 1'000'000, 4 }, now);
    CHECK(target.candidate(endpoint, now).reportedQueue == 1.0);
    target.onLoad({ 0, 7, 0 }, now);
    CHECK(target.candidate(endpoint, now).reportedQueue == 0.0);
    target.onLoad({ 4, 4, 4 }, now);
    CHECK(target.candidate(endpoint, now + Target::loadHintLifetime).reportedQueue == 0.0);
}

} // namespace
} // namespace camphorreach
