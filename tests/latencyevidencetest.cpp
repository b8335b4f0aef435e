// Tests of when attempts of a rollout count as slow.
#include <camphorreach/latencyevidence.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Attempts on one route whose baseline usually answers after 100 ms, so that an attempt is slow
// after 365 ms.
class LatencyEvidenceFixture
{
protected:
    LatencyEvidenceFixture()
    {
        answer(start(false), milliseconds(100), false);
        now += seconds(1);
        answer(start(false), milliseconds(100), false);
        settle();
        baseline = {};
    }

    RequestId start(bool isCandidate)
    {
        const RequestId attempt(++lastAttempt);
        evidence.onStarted({ service, route, {}, attempt, now }, isCandidate);
        return attempt;
    }

    void answer(RequestId attempt, Duration latency, bool isCandidate)
    {
        end(attempt, latency, SampleResult::Success, isCandidate);
    }

    void end(RequestId attempt, Duration latency, SampleResult result, bool isCandidate)
    {
        RequestSample sample;
        sample.service = service;
        sample.route = route;
        sample.result = result;
        sample.latency = latency;
        sample.attempt = attempt;
        evidence.onEnded(sample, isCandidate);
    }

    // The start of another attempt, which shows how much time has passed.
    void passTime(Duration time)
    {
        now += time;
        (void)start(false);
    }

    void settle() { evidence.settle(baseline, candidate); }

    const ServiceName service { "orders" };
    RouteName route { "stock" };
    LatencyEvidence evidence { 3.5 };
    TimePoint now { seconds(100) };
    std::uint64_t lastAttempt = 0;
    RolloutCounts baseline;
    RolloutCounts candidate;
};

// Guards against a slow version that is noticed only when its responses arrive.
TEST_CASE_METHOD(LatencyEvidenceFixture, "LatencyEvidence_attemptUnderWayBeyondLimit_isSlow")
{
    const RequestId attempt = start(true);
    passTime(milliseconds(364));
    settle();
    CHECK(candidate.settled == 0);
    passTime(milliseconds(1));
    settle();
    CHECK(candidate == RolloutCounts { 0, 0, 1, 1 });
    answer(attempt, seconds(4), true);
    passTime(seconds(4));
    settle();
    CHECK(candidate == RolloutCounts { 0, 0, 1, 1 });
}

// Guards against fast responses that are counted before the slow ones of the same time.
TEST_CASE_METHOD(LatencyEvidenceFixture, "LatencyEvidence_fastResponse_countsAtTheAgeOfASlowOne")
{
    answer(start(true), milliseconds(50), true);
    passTime(milliseconds(100));
    settle();
    CHECK(candidate.settled == 0);
    passTime(milliseconds(300));
    settle();
    CHECK(candidate == RolloutCounts { 0, 0, 1, 0 });
}

TEST_CASE_METHOD(LatencyEvidenceFixture, "LatencyEvidence_timeoutBeforeLimit_isSlow")
{
    end(start(true), milliseconds(200), SampleResult::Timeout, true);
    passTime(seconds(1));
    settle();
    CHECK(candidate == RolloutCounts { 0, 0, 1, 1 });
}

// Guards against attempts that count as slow though their end is still queued: no later event is
// known.
TEST_CASE_METHOD(LatencyEvidenceFixture, "LatencyEvidence_noLaterEvent_isNotSettled")
{
    const RequestId attempt = start(true);
    now += seconds(10);
    settle();
    CHECK(candidate.settled == 0);
    answer(attempt, milliseconds(100), true);
    passTime(seconds(1));
    settle();
    CHECK(candidate == RolloutCounts { 0, 0, 1, 0 });
}

// Guards against attempts that count as slow because their end was dropped by a full ring.
TEST_CASE_METHOD(LatencyEvidenceFixture, "LatencyEvidence_eventsLost_attemptsAreForgotten")
{
    (void)start(true);
    evidence.onLost();
    passTime(seconds(1));
    settle();
    CHECK(candidate.settled == 0);
}

// Guards against a verdict on a route for which there is no comparison.
TEST_CASE_METHOD(LatencyEvidenceFixture, "LatencyEvidence_routeWithoutBaseline_isNotSettled")
{
    route = RouteName("bags");
    (void)start(true);
    passTime(seconds(31));
    settle();
    CHECK(candidate.settled == 0);
    answer(start(false), milliseconds(100), false);
    passTime(seconds(1));
    settle();
    CHECK(candidate.settled == 0);
}

} // namespace
} // namespace camphorreach
