// Tests of the gate: early refusal of requests that cannot meet their target.
#include "gatefixture.h"

namespace camphorreach {
namespace {

using std::chrono::milliseconds;

class GateTargetFixture : public GateFixture
{
protected:
    static Gate::Limits earlyLimits()
    {
        Gate::Limits limits = defaultLimits();
        limits.queue.count = 100;
        limits.needsAnnouncement = true;
        limits.rejectsEarly = true;
        return limits;
    }

    GateTargetFixture() : GateFixture(earlyLimits()) { process(announced()); }

    static BackendAnnounced announced(bool isAccepting = true)
    {
        return {
            InstanceId("i-1"), ServiceName("orders"), BackendVersion("v1"), 2, isAccepting, {}
        };
    }

    static ForwardRequest targeted(std::uint64_t id, Duration target, std::uint32_t weight = 1)
    {
        ForwardRequest result = request(id);
        result.service = ServiceName("orders");
        result.version = BackendVersion("v1");
        result.kindWeight = weight;
        result.targetBudget = target;
        result.budget = milliseconds(1000);
        return result;
    }

    // Completes ten calls of 100 ms each, so that the gate has a mean service time.
    void recordServiceTimes()
    {
        for (std::uint64_t id = 1; id <= 10; ++id) {
            send(targeted(id, milliseconds(500)));
            pass(milliseconds(100));
            answer(id);
        }
    }
};

// Guards against dispatching to a backend server that does not accept requests.
TEST_CASE_METHOD(GateTargetFixture, "GateTarget_serverStopsAccepting_queuedWorkIsNotRun")
{
    for (std::uint64_t id = 1; id <= 3; ++id)
        send(targeted(id, milliseconds(500)));
    CHECK(dispatchedIds() == Ids { 1, 2 });
    process(announced(false));
    CHECK(outcomeOf(3) == "not-run draining");
    send(targeted(4, milliseconds(500)));
    CHECK(outcomeOf(4) == "not-run draining");
    CHECK(dispatchedIds() == Ids { 1, 2 });
}

// Guards against running a request at another service or version than it was routed to.
TEST_CASE_METHOD(GateTargetFixture, "GateTarget_requestForAnotherVersion_isNotRun")
{
    ForwardRequest other = targeted(1, milliseconds(500));
    other.version = BackendVersion("v2");
    send(other);
    CHECK(outcomeOf(1) == "not-run draining");
    CHECK(dispatchedIds().empty());
}

// Guards against a queue in which every request misses its target: a burst of 40 requests is far
// more than two slots can serve within the target.
TEST_CASE_METHOD(GateTargetFixture, "GateTarget_overload_refusesAtOnceAndKeepsQueueShort")
{
    recordServiceTimes();
    std::uint64_t id = 100;
    std::uint64_t refusedAtOnce = 0;
    for (int i = 0; i < 40; ++i) {
        send(targeted(++id, milliseconds(250)));
        refusedAtOnce += outcomeOf(id).starts_with("not-run") ? 1 : 0;
    }
    CHECK(refusedAtOnce >= 30);
    CHECK(gate.load().queued <= 8);
}

// Guards against running a request of lower weight before one of higher weight.
TEST_CASE_METHOD(GateTargetFixture, "GateTarget_higherWeight_runsFirst")
{
    recordServiceTimes();
    send(targeted(21, milliseconds(400)));
    send(targeted(22, milliseconds(400)));
    send(targeted(23, milliseconds(400), 1));
    send(targeted(24, milliseconds(400), 5));
    pass(milliseconds(100));
    answer(11);
    CHECK(dispatchedIds().back() == 24);
    CHECK(outcomeOf(23) == "none");
}

// Guards against requests that leave the queue too late to run elsewhere.
TEST_CASE_METHOD(GateTargetFixture, "GateTarget_waitTooLong_isNotRunWithTimeLeft")
{
    recordServiceTimes();
    send(targeted(21, milliseconds(400)));
    send(targeted(22, milliseconds(400)));
    send(targeted(23, milliseconds(400)));
    REQUIRE(outcomeOf(23) == "none");
    pass(milliseconds(940));
    CHECK(outcomeOf(23) == "not-run deadline-passed");
}

// Guards against a route without known service time whose requests wait until no time is left, as
// in the first seconds after a start.
TEST_CASE_METHOD(GateTargetFixture, "GateTarget_routeHasFewAnswers_waitEndsWithTimeLeft")
{
    for (std::uint64_t id = 1; id <= 3; ++id)
        send(targeted(id, milliseconds(400)));
    REQUIRE(outcomeOf(3) == "none");
    pass(milliseconds(940)); // of 1000
    CHECK(outcomeOf(3) == "not-run deadline-passed");
}

// Guards against a gate that has just started and accepts more than it can serve in time.
TEST_CASE_METHOD(GateTargetFixture, "GateTarget_burstBeforeFirstAnswer_isRefusedAtOnce")
{
    std::uint64_t refusedAtOnce = 0;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        send(targeted(id, milliseconds(250)));
        refusedAtOnce += outcomeOf(id).starts_with("not-run") ? 1 : 0;
    }
    CHECK(refusedAtOnce >= 25);
    CHECK(gate.load().queued >= 4);
}

// Guards against an assumption that nothing ever corrects: an idle server refuses no request for
// it.
TEST_CASE_METHOD(GateTargetFixture, "GateTarget_deadlineFarBelowTarget_idleServerRunsIt")
{
    ForwardRequest item = targeted(1, milliseconds(5000));
    item.budget = milliseconds(20);
    send(item);
    CHECK(dispatchedIds() == Ids { 1 });
}

// Guards against a repeat whose target has passed and that takes the slot of a request in time.
TEST_CASE_METHOD(GateTargetFixture, "GateTarget_targetHasPassed_requestInTimeGoesFirst")
{
    recordServiceTimes();
    send(targeted(21, milliseconds(400)));
    send(targeted(22, milliseconds(400)));
    send(targeted(23, Duration(1), 5));
    send(targeted(24, milliseconds(400)));
    pass(milliseconds(100));
    answer(11);
    CHECK(dispatchedIds().back() == 24);
}

} // namespace
} // namespace camphorreach
