// Tests of the gate: isolation and quarantine of requests that crash backend servers.
#include "gatefixture.h"

#include <camphorreach/fingerprint.h>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class GateCrashFixture : public GateFixture
{
protected:
    GateCrashFixture()
    {
        auto table = std::make_shared<EndpointTable>();
        for (std::uint16_t port = 1; port <= 3; ++port) {
            Endpoint endpoint;
            endpoint.peer = NetAddress { "127.0.0.1", port };
            table->services[ServiceName("orders")].push_back(endpoint);
        }
        process(EndpointsChanged { std::move(table) });
    }

    // The backend server ends with these calls in flight and is reachable again two seconds later.
    void crash(std::initializer_list<std::uint64_t> callIds)
    {
        for (const std::uint64_t id : callIds)
            fail(id, BackendFailure::ConnectionLost);
        process(BackendReachable { false });
        pass(seconds(2));
        process(BackendReachable { true });
    }

    // Runs "bad" together with "good", then in isolation; each run ends in a crash.
    void confirmBad()
    {
        send(request(1, "bad"));
        send(request(2, "good"));
        crash({ 1, 2 });
        send(request(3, "bad"));
        crash({ 3 });
    }
};

// Guards against further requests in flight when a suspect crashes the backend server again.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_suspectRetried_runsWithNothingElseInFlight")
{
    send(request(1, "bad"));
    send(request(2, "good"));
    crash({ 1, 2 });
    CHECK(gate.counts().crashes == 1);
    CHECK_FALSE(isMarkedSuspect(1)); // the version may still be at fault
    send(request(3, "other"));
    send(request(4, "bad"));
    send(request(5, "another"));
    CHECK(dispatchedIds() == Ids { 1, 2, 3 });
    answer(3);
    CHECK(dispatchedIds() == Ids { 1, 2, 3, 4 });
    CHECK(gate.load().running == 1);
    crash({ 4 });
    CHECK(outcomeOf(4) == "unknown backend-server-lost");
    CHECK(isMarkedSuspect(4));
    // Dispatched after the crash, before the gate saw the refused connection: not a suspect.
    fail(5, BackendFailure::NotSent);
    CHECK(outcomeOf(5) == "not-run unreachable");
    CHECK(gate.counts().crashes == 2);
    send(request(6, "another"));
    send(request(7, "more"));
    CHECK(gate.load().running == 2);
}

TEST_CASE_METHOD(GateCrashFixture, "GateCrash_crashDuringIsolatedRun_quarantinesUntilExpiry")
{
    confirmBad();
    send(request(10, "bad"));
    CHECK(outcomeOf(10) == "not-run quarantined");
    CHECK(isMarkedSuspect(10));
    pass(std::chrono::minutes(11));
    send(request(11, "bad"));
    CHECK(dispatchedIds().back() == 11);
}

// Guards against refusing a similar request because only its target matches.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_sameTargetOtherBody_runsNormally")
{
    confirmBad();
    send(request(10, "bad but different"));
    send(request(11, "lookalike"));
    CHECK(dispatchedIds() == Ids { 1, 2, 3, 10, 11 });
}

// Guards against an innocent request that remains a suspect after it ran without a crash.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_suspectAnsweredInIsolation_runsBesideOthersAgain")
{
    confirmBad();
    pass(seconds(10));
    send(request(10, "good"));
    CHECK(gate.counts().isolatedRuns == 2);
    answer(4);
    send(request(11, "good"));
    send(request(12, "else"));
    CHECK(gate.load().running == 2);
    CHECK(gate.counts().isolatedRuns == 2);
}

// Guards against a new idempotency key that hides a request that causes crashes.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_retryUnderAnotherKey_isRecognised")
{
    send(order(1, "a", "bad"));
    crash({ 1 });
    send(order(2, "b", "bad"));
    crash({ 2 });
    send(order(3, "c", "bad"));
    CHECK(outcomeOf(3) == "not-run quarantined");
}

TEST_CASE_METHOD(GateCrashFixture, "GateCrash_causeConfirmed_isSentToOtherGatesOfService")
{
    confirmBad();
    std::set<std::uint16_t> recipients;
    for (const PeerSend &send : sent) {
        const auto &notice = std::get<QuarantineNotice>(std::get<QuarantineMessage>(send.message));
        if (notice.entries.front().isConfirmed)
            recipients.insert(send.to.port);
    }
    CHECK(recipients == std::set<std::uint16_t> { 2, 3 });
}

// Guards against the same request causing a crash at every gate of the service.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_noticeFromAnotherGate_refusesQueuedRequestsToo")
{
    send(request(1));
    send(request(2));
    send(request(3, "bad"));
    QuarantineNotice notice { ServiceName("orders"), { { Digest(), seconds(60), true } } };
    notice.entries.front().fingerprint = fingerprintOf(request(3, "bad").content);
    process(PeerReceived<QuarantineMessage> { { "127.0.0.1", 2 }, QuarantineMessage(notice) });
    CHECK(outcomeOf(3) == "not-run quarantined");
    notice.service = ServiceName("trucks");
    notice.entries.front().fingerprint = fingerprintOf(request(4).content);
    process(PeerReceived<QuarantineMessage> { { "127.0.0.1", 2 }, QuarantineMessage(notice) });
    answer(1);
    send(request(4));
    CHECK(dispatchedIds().back() == 4);
}

// Guards against attributing a planned stop of the backend server to a running suspect.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_listenerClosedWhileSuspectRuns_confirmsNothing")
{
    send(request(1, "slow"));
    crash({ 1 });
    send(request(2, "slow"));
    process(BackendReachable { false });
    answer(2);
    CHECK(outcomeOf(2) == "answered done");
    CHECK(gate.containment().quarantinedCount() == 0);
    CHECK(gate.containment().suspectCount() == 0);
}

// Guards against holding all requests until one long call ends.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_longCallBesideSuspect_limitsHoldOfOthers")
{
    send(request(1, "bad"));
    crash({ 1 });
    ForwardRequest longCall = request(2);
    longCall.budget = std::chrono::minutes(10);
    send(longCall);
    ForwardRequest suspect = request(3, "bad");
    suspect.budget = seconds(20);
    send(suspect);
    ForwardRequest other = request(4);
    other.budget = seconds(20);
    send(other);
    CHECK(dispatchedIds() == Ids { 1, 2 });
    pass(milliseconds(500));
    CHECK(dispatchedIds() == Ids { 1, 2, 4 });
    answer(3);
    answer(2);
    pass(seconds(3));
    CHECK(dispatchedIds() == Ids { 1, 2, 4, 3 });
}

// Guards against attributing the crashes of a faulty version to requests. These crashes would not
// count as evidence against the version, and it would not be rolled back.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_versionCrashesOnEverything_blamesVersion")
{
    for (std::uint64_t id = 1; id <= 16; id += 2) {
        send(request(id));
        send(request(id + 1));
        crash({ id, id + 1 });
        CHECK_FALSE(isMarkedSuspect(id));
    }
    CHECK(gate.containment().isVersionSuspect(now));
    CHECK(gate.containment().quarantinedCount() == 0);
}

// Guards against quarantining popular content because backend servers reset connections.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_connectionsLostWithoutCrash_suspectsNothing")
{
    for (std::uint64_t id = 1; id <= 8; ++id) {
        send(request(id, "popular"));
        fail(id, BackendFailure::ConnectionLost);
        CHECK_FALSE(isMarkedSuspect(id));
    }
    CHECK(gate.counts().crashes == 0);
    CHECK(gate.containment().suspectCount() == 0);
    CHECK(gate.containment().quarantinedCount() == 0);
}

// Guards against missing the cause when the refused connection is seen before the lost calls.
TEST_CASE_METHOD(GateCrashFixture,
                 "GateCrash_unreachableBeforeCallsAreLost_isOneCrashOfAllInFlight")
{
    send(request(1, "bad"));
    send(request(2, "good"));
    process(BackendReachable { false });
    CHECK(gate.counts().crashes == 0);
    fail(1, BackendFailure::ConnectionLost);
    fail(2, BackendFailure::ConnectionLost);
    CHECK(gate.counts().crashes == 1);
    CHECK(gate.containment().suspectCount() == 2);
}

// Guards against suspecting an innocent request whose connection was reset long before the crash.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_connectionLostLongBeforeCrash_isNoSuspect")
{
    send(request(1, "early"));
    fail(1, BackendFailure::ConnectionLost);
    pass(milliseconds(1500));
    send(request(2, "bad"));
    crash({ 2 });
    CHECK(gate.counts().crashes == 1);
    CHECK(gate.containment().suspectCount() == 1);
}

// Guards against suspecting calls that were sent after the process had ended.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_callStartedAfterLostCall_isNoSuspect")
{
    send(request(1, "bad"));
    fail(1, BackendFailure::ConnectionLost);
    pass(milliseconds(1));
    send(request(2, "late"));
    process(BackendReachable { false });
    fail(2, BackendFailure::ConnectionLost);
    CHECK(gate.counts().crashes == 1);
    CHECK(gate.containment().suspectCount() == 1);
}

// Guards against missing a crash when the process is back before the monitor sees its end.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_newBackendServerAfterLostCall_isACrash")
{
    const auto announce = [this](const char *server) {
        BackendAnnounced announced;
        announced.server = InstanceId(server);
        announced.service = ServiceName("orders");
        announced.slots = 2;
        announced.isAccepting = true;
        process(std::move(announced));
    };
    announce("a");
    ForwardRequest bad = request(1, "bad");
    bad.service = ServiceName("orders");
    send(bad);
    fail(1, BackendFailure::ConnectionLost);
    announce("b");
    CHECK(gate.counts().crashes == 1);
    CHECK(gate.containment().suspectCount() == 1);
    bad.id = RequestId(2);
    bad.content.body = "other";
    send(bad);
    fail(2, BackendFailure::ConnectionLost);
    CHECK(gate.counts().crashes == 1);
}

// Guards against isolating popular content at every gate because it was in flight at a crash.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_sameContentAnsweredByOtherCall_isCleared")
{
    send(request(1, "popular"));
    send(request(2, "popular"));
    process(BackendReachable { false });
    fail(1, BackendFailure::ConnectionLost);
    CHECK(gate.containment().suspectCount() == 1);
    answer(2);
    CHECK(gate.containment().suspectCount() == 0);
}

} // namespace
} // namespace camphorreach
