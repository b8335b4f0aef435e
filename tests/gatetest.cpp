// Tests of the gate: admission, outcomes, cancellation and drain.
#include "gatefixture.h"

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against more concurrent calls to the backend server than it has slots.
TEST_CASE_METHOD(GateFixture, "Gate_slotsTaken_queuesByWeightAndFillsFreedSlot")
{
    send(request(1));
    send(request(2));
    send(request(3));
    ForwardRequest important = request(4);
    important.kindWeight = 5;
    send(important);
    CHECK(dispatchedIds() == Ids { 1, 2 });
    answer(1);
    CHECK(dispatchedIds() == Ids { 1, 2, 4 });
    CHECK(outcomeOf(1) == "answered done");
    CHECK(gate.load() == GateLoad { 2, 1, 2 });
}

TEST_CASE_METHOD(GateFixture, "Gate_queueFull_shedsAsNotRunWithoutDispatch")
{
    for (std::uint64_t id = 1; id <= 7; ++id) {
        ForwardRequest item = request(id);
        item.budget = milliseconds(100 * id);
        send(item);
    }
    CHECK(outcomeOf(7) == "not-run overloaded");
    CHECK(dispatchedIds() == Ids { 1, 2 });
    CHECK(gate.counts().shed == 1);
}

// Guards against starting a request whose response would arrive after its deadline.
TEST_CASE_METHOD(GateFixture, "Gate_timeLeftBelowMeanServiceTime_refusesEarlyAsNotRun")
{
    for (std::uint64_t id = 1; id <= 8; ++id) {
        send(request(id));
        now += milliseconds(100);
        answer(id);
    }
    ForwardRequest late = request(20);
    late.budget = milliseconds(50);
    send(late);
    CHECK(outcomeOf(20) == "not-run deadline-passed");
    ForwardRequest inTime = request(21);
    inTime.budget = milliseconds(150);
    send(inTime);
    CHECK(dispatchedIds().back() == 21);
    CHECK(calls.back().request.budget == milliseconds(149)); // less the allowance for two hops
}

// Guards against a slow period that raises the mean service time so far that every request is
// refused and no new sample corrects it.
TEST_CASE_METHOD(GateFixture, "Gate_refusedForMeanTimeRepeatedly_dispatchesAgain")
{
    for (std::uint64_t id = 1; id <= 8; ++id) {
        send(request(id));
        now += milliseconds(100);
        answer(id);
    }
    std::uint64_t id = 100;
    for (; id < 200 && gate.counts().dispatched == 8; ++id) {
        ForwardRequest item = request(id);
        item.budget = milliseconds(50);
        send(item);
    }
    CHECK(gate.counts().dispatched == 9);
    CHECK(id < 150);
}

TEST_CASE_METHOD(GateFixture, "Gate_deadlinePassesInQueue_answersNotRun")
{
    send(request(1));
    send(request(2));
    ForwardRequest expiring = request(3);
    expiring.budget = milliseconds(10);
    send(expiring);
    pass(milliseconds(10));
    CHECK(outcomeOf(3) == "not-run deadline-passed");
    CHECK(gate.load().queued == 0);
}

// Guards against reporting "not run" for a request that the backend server may have started.
TEST_CASE_METHOD(GateFixture, "Gate_callFails_reportsNotRunOnlyIfNotStarted")
{
    send(request(1));
    fail(1, BackendFailure::NotSent);
    CHECK(outcomeOf(1) == "not-run unreachable");
    send(request(2));
    fail(2, BackendFailure::Refused);
    CHECK(outcomeOf(2) == "not-run backend-refused");
    send(request(3));
    fail(3, BackendFailure::ConnectionLost);
    CHECK(outcomeOf(3) == "unknown backend-server-lost");
    send(request(4));
    fail(4, BackendFailure::PartialResponse);
    CHECK(outcomeOf(4) == "unknown partial-answer");
    send(request(5));
    fail(5, BackendFailure::TimedOut);
    CHECK(outcomeOf(5) == "unknown deadline-passed");
    send(request(6));
    process(BackendResult { CallId(6), Answered { 503, "", "overloaded" } });
    CHECK(outcomeOf(6) == "answered overloaded");
    send(request(7));
    fail(7, BackendFailure::InvalidRequest);
    CHECK(outcomeOf(7) == "not-run malformed");
}

TEST_CASE_METHOD(GateFixture, "Gate_lateOrDuplicateResult_isDroppedAndCounted")
{
    send(request(1));
    answer(1);
    answer(1);
    answer(99);
    CHECK(replies.size() == 1);
    CHECK(gate.counts().lateResults == 2);
}

// Guards against a second call in a slot while the backend server still works on a cancelled one.
TEST_CASE_METHOD(GateFixture, "Gate_runningOrderCancelled_keepsSlotUntilCallEnds")
{
    send(order(1));
    send(order(2, "", "7 bags"));
    send(request(3));
    process(CancelReceived { LinkId(1), RequestId(1) });
    process(CancelReceived { LinkId(1), RequestId(1) });
    CHECK(cancels.size() == 1);
    CHECK(dispatchedIds() == Ids { 1, 2 });
    fail(1, BackendFailure::ConnectionLost);
    CHECK(dispatchedIds() == Ids { 1, 2, 3 });
    CHECK(outcomeOf(1) == "none");
    CHECK(gate.counts().lateResults == 1);
    CHECK(gate.counts().crashes == 0); // the gate itself closed that connection
}

TEST_CASE_METHOD(GateFixture, "Gate_linkCloses_dropsQueuedWorkAndCancelsRunning")
{
    send(request(1), 1);
    send(request(2), 2);
    send(request(3), 1);
    process(LinkClosed { LinkId(1) });
    CHECK(gate.load().queued == 0);
    REQUIRE(cancels.size() == 1);
    CHECK(cancels[0].id == CallId(1));
    CHECK(replies.empty());
}

// Guards against a duplicate order when a client loses its connection and retries.
TEST_CASE_METHOD(GateFixture, "Gate_clientOfKeyedOrderDisconnects_completesAndAnswersRetry")
{
    send(order(1, "k"), 1);
    process(LinkClosed { LinkId(1) });
    CHECK(cancels.empty());
    send(order(2, "k"), 2);
    answer(1, "order 77");
    CHECK(outcomeOf(2) == "answered order 77");
    send(order(3, "k"), 3);
    CHECK(outcomeOf(3) == "answered order 77");
    CHECK(dispatchedIds() == Ids { 1 });
}

// Guards against losing a retry when the queued request that it waits for is cancelled.
TEST_CASE_METHOD(GateFixture, "Gate_queuedKeyedOrderCancelled_waitingRetryRuns")
{
    send(request(1));
    send(request(2));
    send(order(3, "k"), 1);
    send(order(4, "k"), 2);
    process(CancelReceived { LinkId(1), RequestId(3) });
    answer(1);
    CHECK(dispatchedIds() == Ids { 1, 2, 4 });
    answer(3, "order 5");
    CHECK(outcomeOf(4) == "answered order 5");
}

// Guards against reporting "not run" for the retry of an order that ran.
TEST_CASE_METHOD(GateFixture, "Gate_drainingOrUnreachable_stillAnswersRetriesFromStore")
{
    send(order(1, "k"));
    answer(1, "order 9");
    process(BackendReachable { false });
    send(order(2, "k"));
    CHECK(outcomeOf(2) == "answered order 9");
    process(DrainStarted {});
    send(order(3, "k"));
    CHECK(outcomeOf(3) == "answered order 9");
    send(order(4, "other"));
    CHECK(outcomeOf(4) == "not-run draining");
}

// Guards against requests that stay queued for a backend server that is down.
TEST_CASE_METHOD(GateFixture, "Gate_backendServerUnreachable_refusesQueuedAndNewWork")
{
    for (std::uint64_t id = 1; id <= 3; ++id)
        send(request(id));
    process(BackendReachable { false });
    send(request(4));
    CHECK(outcomeOf(3) == "not-run unreachable");
    CHECK(outcomeOf(4) == "not-run unreachable");
    CHECK(outcomeOf(1) == "none");
    fail(1, BackendFailure::ConnectionLost);
    fail(2, BackendFailure::ConnectionLost);
    process(BackendReachable { true });
    send(request(5));
    CHECK(dispatchedIds() == Ids { 1, 2, 5 });
}

// Guards against dispatching to a backend server that is about to stop, and against a gate that
// still refuses requests after the restart of the backend server.
TEST_CASE_METHOD(GateFixture, "Gate_backendServerLeaving_finishesWorkAndAdmitsAfterRestart")
{
    send(request(1));
    process(BackendLeaving { true });
    send(request(2));
    CHECK(outcomeOf(2) == "not-run draining");
    CHECK_FALSE(gate.isIdle());
    answer(1);
    CHECK(outcomeOf(1) == "answered done");
    CHECK(gate.isIdle());
    process(BackendReachable { true });
    send(request(3));
    CHECK(outcomeOf(3) == "not-run draining");
    process(BackendReachable { false });
    process(BackendReachable { true });
    send(request(4));
    CHECK(dispatchedIds() == Ids { 1, 4 });
}

// Guards against a planned stop that interrupts a request, or completes before the last response.
TEST_CASE_METHOD(GateFixture, "Gate_drain_finishesQueuedAndRunningThenReportsOnce")
{
    for (std::uint64_t id = 1; id <= 3; ++id)
        send(request(id));
    process(DrainStarted {});
    send(request(4));
    CHECK(outcomeOf(4) == "not-run draining");
    answer(1);
    answer(2);
    CHECK(drainReports == 0);
    answer(3);
    CHECK(outcomeOf(3) == "answered done");
    CHECK(drainReports == 1);
    CHECK(gate.isDrained());
    send(request(5));
    CHECK(drainReports == 1);
}

} // namespace
} // namespace camphorreach
