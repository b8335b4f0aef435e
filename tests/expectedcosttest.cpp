// Tests of expected costs, the pace of a server and the work that is left at a gate.
#include "gatefixture.h"

#include <camphorreach/expectedcost.h>
#include <camphorreach/fleetcosts.h>
#include <camphorreach/remainingwork.h>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ExpectedCostFixture
{
protected:
    CostClass classOf(const std::string &route, const std::string &method, std::size_t bytes = 0)
    {
        RequestContent content;
        content.method = method;
        content.body = std::string(bytes, 'x');
        return costs.classOf(RouteName(route), content);
    }

    void record(CostClass costClass, Duration work, int times)
    {
        for (int i = 0; i < times; ++i)
            costs.record(costClass, work);
    }

    ExpectedCost costs;
};

// Guards against one mean for requests of a route that cost very different amounts of work.
TEST_CASE_METHOD(ExpectedCostFixture, "ExpectedCost_sizeTellsCostsApart_hasMeanBySize")
{
    const CostClass small = classOf("bags", "POST", 10);
    const CostClass large = classOf("bags", "POST", 100'000);
    record(small, milliseconds(10), 100);
    record(large, milliseconds(70), 100);
    CHECK(costs.mean(small) == milliseconds(10));
    CHECK(costs.mean(large) == milliseconds(70));
}

// Guards against classes that only split the samples, so that each knows less.
TEST_CASE_METHOD(ExpectedCostFixture, "ExpectedCost_methodDoesNotTellCostsApart_usesWiderClass")
{
    const CostClass get = classOf("bags", "GET");
    const CostClass put = classOf("bags", "PUT");
    record(get, milliseconds(20), 100);
    record(put, milliseconds(22), 100);
    CHECK(&costs.distribution(get) == &costs.distribution(put));
    CHECK(costs.mean(put) == milliseconds(21));
}

// Guards against state that grows with what clients send.
TEST_CASE_METHOD(ExpectedCostFixture,
                 "ExpectedCost_clientsInventMethodsAndSizes_classesStayBounded")
{
    for (int i = 0; i < 1000; ++i) {
        const CostClass costClass
            = classOf("route-" + std::to_string(i), i % 2 == 0 ? "M" + std::to_string(i) : "GET",
                      static_cast<std::size_t>(i) * 300);
        costs.record(costClass, milliseconds(20));
    }
    for (int i = 0; i < 64; ++i) {
        for (const char *method : { "GET", "POST", "PUT", "DELETE", "HEAD", "X" })
            costs.record(classOf("route-" + std::to_string(i), method, 50), milliseconds(20));
    }
    CHECK(costs.classCount() <= CostClasses::maxClasses);
    CHECK(costs.mean(classOf("one more", "GET")) == milliseconds(20));
}

// Guards against a table of routes that grows without bound.
TEST_CASE_METHOD(ExpectedCostFixture, "ExpectedCost_moreRoutesThanTheBound_joinTheClassOfAll")
{
    for (std::size_t i = 0; i < CostClasses::maxRoutes; ++i)
        CHECK(classOf("route-" + std::to_string(i), "GET") != CostClasses::all);
    CHECK(classOf("one more", "GET") == CostClasses::all);
}

// Guards against an estimate by the mean, by which an old request is always about to end.
TEST_CASE_METHOD(ExpectedCostFixture, "ExpectedCost_heavyTail_remainingWorkGrowsWithAge")
{
    const CostClass all = classOf("bags", "GET");
    for (int i = 0; i < 300; ++i)
        costs.record(all, i % 30 == 0 ? milliseconds(140) : milliseconds(20));
    const CostDistribution &distribution = costs.distribution(all);
    CHECK(distribution.mean() == milliseconds(24));
    const Duration old = distribution.meanBeyond(milliseconds(60)) - milliseconds(60);
    CHECK(old > milliseconds(60));
    CHECK(old < milliseconds(110));
    // Older than all samples.
    CHECK(distribution.meanBeyond(seconds(1)) > milliseconds(1400));
}

// Guards against an estimate that keeps what was true long ago.
TEST_CASE_METHOD(ExpectedCostFixture, "ExpectedCost_costsChange_olderSamplesFade")
{
    const CostClass all = classOf("bags", "GET");
    record(all, milliseconds(100), 2000);
    record(all, milliseconds(20), 4000);
    CHECK(costs.mean(all) < milliseconds(25));
}

class RemainingWorkFixture
{
protected:
    RemainingWorkFixture()
    {
        for (int i = 0; i < 300; ++i)
            answer(usualTime(i));
    }

    // Mostly 15 to 25 ms; one in 30 takes seven times as long.
    static Duration usualTime(int i)
    {
        return (milliseconds(15) + milliseconds(i % 11)) * (i % 30 == 7 ? 7 : 1);
    }

    void start()
    {
        work.setTime(now);
        work.onStarted(CallId(++lastCall), CostClasses::all);
    }

    void answer(Duration taken, bool isSuccess = true)
    {
        start();
        now += taken;
        work.setTime(now);
        work.onEnded(CallId(lastCall), isSuccess);
    }

    RemainingWork work { true };
    TimePoint now { seconds(100) };
    std::uint64_t lastCall = 0;
};

// Guards against a slow moment that is over before anyone knows of it.
TEST_CASE_METHOD(RemainingWorkFixture, "RemainingWork_serverTurnsSlow_paceFollowsWithin15Answers")
{
    CHECK(work.pace() == Approx(1.0).margin(0.25));
    for (int i = 0; i < 15; ++i)
        answer(3 * usualTime(i + 8));
    CHECK(work.pace() > 2.0);
    for (int i = 0; i < 15; ++i)
        answer(usualTime(i + 8));
    CHECK(work.pace() < 1.4);
}

// Guards against a server that is avoided because it drew heavy requests.
TEST_CASE_METHOD(RemainingWorkFixture, "RemainingWork_fewHeavyRequests_paceHardlyMoves")
{
    const double before = work.pace();
    answer(milliseconds(140));
    answer(milliseconds(140));
    CHECK(work.pace() < 1.35 * before);
    CHECK(work.pace() > before);
}

// Guards against a server that seems fast because it fails fast.
TEST_CASE_METHOD(RemainingWorkFixture, "RemainingWork_serverFailsFast_estimatesStay")
{
    const Duration before = work.expectedRun(CostClasses::all);
    for (int i = 0; i < 1000; ++i)
        answer(std::chrono::microseconds(200), false);
    CHECK(work.expectedRun(CostClasses::all) == before);
}

// Guards against an old heavy request that counts as one that has just started.
TEST_CASE_METHOD(RemainingWorkFixture, "RemainingWork_oldHeavyCall_delaysExpectedStartUntilItsEnd")
{
    start();
    now += milliseconds(1);
    work.setTime(now);
    const Duration young = work.expectedStart(1, 0, {});
    CHECK(young < milliseconds(30));
    now += milliseconds(60);
    work.setTime(now);
    CHECK(work.expectedStart(1, 0, {}) > 2 * young);
    now += milliseconds(60);
    work.setTime(now);
    work.onEnded(CallId(lastCall), true);
    CHECK(work.expectedStart(1, 0, {}) == Duration::zero());
}

TEST_CASE_METHOD(RemainingWorkFixture, "RemainingWork_workQueued_startsAfterItsShare")
{
    start();
    CHECK(work.expectedStart(2, 0, {}) == Duration::zero()); // a slot is free
    start();
    const Duration free = work.expectedStart(2, 0, {});
    const Duration waiting = work.expectedStart(2, 4, milliseconds(100));
    const double expected = 50.0 * work.pace();
    CHECK(static_cast<double>((waiting - free).count()) / 1000.0 == Approx(expected).margin(0.1));
}

class CostGateFixture : public GateFixture
{
protected:
    static Gate::Limits limits(bool isEnabled)
    {
        Gate::Limits result = defaultLimits();
        result.slots = 1;
        result.estimatesCost = isEnabled;
        return result;
    }

    explicit CostGateFixture(bool isEnabled = true) : GateFixture(limits(isEnabled)) { }

    void exchange(Duration taken, std::uint16_t status = 200)
    {
        send(request(++lastId));
        now += taken;
        process(BackendResult { calls.back().id, Answered { status, "", "" } });
    }
    [[nodiscard]] const GateLoad &lastLoad() const { return replies.back().answer.load; }

    std::uint64_t lastId = 0;
};

// Guards against reports in which a server that answers 500 at once looks fast.
TEST_CASE_METHOD(CostGateFixture, "Gate_serverAnswersErrorsFast_reportsTheSameExpectedRun")
{
    for (int i = 0; i < 40; ++i)
        exchange(milliseconds(20));
    const Duration before = lastLoad().expectedRun;
    CHECK(before > milliseconds(15));
    CHECK(before < milliseconds(25));
    for (int i = 0; i < 100; ++i)
        exchange(std::chrono::microseconds(300), 500);
    CHECK(lastLoad().expectedRun == before);
}

// Guards against a gate that reports its queue as a number of requests only.
TEST_CASE_METHOD(CostGateFixture, "Gate_requestsQueued_reportsExpectedStart")
{
    for (int i = 0; i < 40; ++i)
        exchange(milliseconds(20));
    CHECK(lastLoad().expectedStart == Duration::zero());
    for (std::uint64_t id = 100; id < 104; ++id)
        send(request(id));
    now += milliseconds(20);
    process(BackendResult { calls.back().id, Answered { 200, "", "" } });
    REQUIRE(outcomeOf(100) == "answered ");
    // Guards against a report that takes the slot of the response for a free one, although three
    // requests wait for it.
    CHECK(lastLoad().expectedStart > milliseconds(40));
    CHECK(lastLoad().expectedStart < milliseconds(80));
    CHECK(gate.load().expectedStart > milliseconds(40));
    CHECK(gate.load().expectedStart < milliseconds(80));
}

class PlainGateFixture : public CostGateFixture
{
protected:
    PlainGateFixture() : CostGateFixture(false) { }
};

// Guards against a change for deployments that did not ask for it.
TEST_CASE_METHOD(PlainGateFixture, "Gate_estimatesNotEnabled_learnsAndReportsNothing")
{
    for (int i = 0; i < 40; ++i)
        exchange(milliseconds(20));
    for (std::uint64_t id = 100; id < 104; ++id)
        send(request(id));
    CHECK(gate.load().expectedStart == Duration::zero());
    CHECK(lastLoad().expectedRun == Duration::zero());
    CHECK(gate.remainingWork().costs().classCount() == 1);
}

// Guards against a target that seems slow because it was sent the heavy class.
TEST_CASE("FleetCosts_mixDiffersByTarget_separatesPaceFromWork")
{
    FleetCosts costs;
    RequestContent content;
    content.method = "GET";
    const CostClass light = costs.classOf(RouteName("light"), content);
    const CostClass heavy = costs.classOf(RouteName("heavy"), content);
    double fast = 0.0;
    double slow = 0.0;
    for (int i = 0; i < 200; ++i) {
        fast = costs.onReport(i % 10 == 0 ? light : heavy, milliseconds(i % 10 == 0 ? 10 : 100),
                              fast);
        slow = costs.onReport(i % 10 == 0 ? heavy : light, milliseconds(i % 10 == 0 ? 220 : 22),
                              slow);
    }
    CHECK(slow / fast == Approx(2.2).epsilon(0.02));
    CHECK(static_cast<double>(costs.cost(heavy).work.count()) * slow
          == Approx(220'000).epsilon(0.02));
}

} // namespace
} // namespace camphorreach
