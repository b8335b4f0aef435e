// Tests of the gate against requests that crash backend servers.
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

    // The backend server ends with these calls in flight, and is back two seconds later.
    void crash(std::initializer_list<std::uint64_t> callIds)
    {
        for (const std::uint64_t id : callIds)
            fail(id, BackendFailure::Lost);
        process(BackendReachable { false });
        pass(seconds(2));
        process(BackendReachable { true });
    }

    // Runs "bad" beside "good", then alone, with a crash each time.
    void proveBad()
    {
        send(request(1, "bad"));
        send(request(2, "good"));
        crash({ 1, 2 });
        send(request(3, "bad"));
        crash({ 3 });
    }
};

// Guards against requests that share a crash with a suspect.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_suspectSentAgain_runsWithNothingElseInFlight")
{
    send(request(1, "bad"));
    send(request(2, "good"));
    crash({ 1, 2 });
    CHECK(gate.counts().crashes == 1);
    CHECK_FALSE(isMarked(1)); // nothing tells it from a crash by the version yet
    send(request(3, "other"));
    send(request(4, "bad"));
    send(request(5, "another"));
    CHECK(handedOver() == Ids { 1, 2, 3 });
    answer(3);
    CHECK(handedOver() == Ids { 1, 2, 3, 4 });
    CHECK(gate.load().running == 1);
    crash({ 4 });
    CHECK(outcomeOf(4) == "unknown backend-server-lost");
    CHECK(isMarked(4));
    // Handed over before the refused connection was known; it is no suspect of the crash.
    fail(5, BackendFailure::NotSent);
    CHECK(outcomeOf(5) == "not-run unreachable");
    CHECK(gate.counts().crashes == 2);
    send(request(6, "another"));
    send(request(7, "more"));
    CHECK(gate.load().running == 2);
}

TEST_CASE_METHOD(GateCrashFixture, "GateCrash_crashWhileAlone_quarantinesForATime")
{
    proveBad();
    send(request(10, "bad"));
    CHECK(outcomeOf(10) == "not-run quarantined");
    CHECK(isMarked(10));
    pass(std::chrono::minutes(11));
    send(request(11, "bad"));
    CHECK(handedOver().back() == 11);
}

// Guards against a lookalike that is refused for the sake of its target.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_sameTargetOtherBody_runsAsUsual")
{
    proveBad();
    send(request(10, "bad but different"));
    send(request(11, "lookalike"));
    CHECK(handedOver() == Ids { 1, 2, 3, 10, 11 });
}

// Guards against an innocent request that stays suspect after it has run without a crash.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_innocentSurvivesAlone_runsBesideOthersAgain")
{
    proveBad();
    pass(seconds(10));
    send(request(10, "good"));
    CHECK(gate.counts().isolatedRuns == 2);
    answer(4);
    send(request(11, "good"));
    send(request(12, "else"));
    CHECK(gate.load().running == 2);
    CHECK(gate.counts().isolatedRuns == 2);
}

// Guards against a key that hides a crash-causing request from the comparison.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_resendUnderAnotherKey_isRecognised")
{
    send(order(1, "a", "bad"));
    crash({ 1 });
    send(order(2, "b", "bad"));
    crash({ 2 });
    send(order(3, "c", "bad"));
    CHECK(outcomeOf(3) == "not-run quarantined");
}

TEST_CASE_METHOD(GateCrashFixture, "GateCrash_proof_isSentToTheOtherGatesOfTheService")
{
    proveBad();
    std::set<std::uint16_t> told;
    for (const PeerSend &send : sent) {
        const auto &notice = std::get<QuarantineNotice>(std::get<QuarantineMessage>(send.message));
        if (notice.entries.front().isProved)
            told.insert(send.to.port);
    }
    CHECK(told == std::set<std::uint16_t> { 2, 3 });
}

// Guards against a crash of its own at each gate of the service.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_noticeFromAnotherGate_refusesAlsoWhatIsQueued")
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
    CHECK(handedOver().back() == 4);
}

// Guards against a planned stop of the backend server that is taken for a suspect's crash.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_listenerClosedWhileSuspectRuns_provesNothing")
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

// Guards against all requests waiting for the end of one long call.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_longCallBesideSuspect_doesNotHoldOthersForLong")
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
    CHECK(handedOver() == Ids { 1, 2 });
    pass(milliseconds(500));
    CHECK(handedOver() == Ids { 1, 2, 4 });
    answer(3);
    answer(2);
    pass(seconds(3));
    CHECK(handedOver() == Ids { 1, 2, 4, 3 });
}

// Guards against a proved request's crash that rolls back a good version.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_versionCrashesOnEverything_isNotExcused")
{
    for (std::uint64_t id = 1; id <= 16; id += 2) {
        send(request(id));
        send(request(id + 1));
        crash({ id, id + 1 });
        CHECK_FALSE(isMarked(id));
    }
    CHECK(gate.containment().isVersionSuspect(now));
    CHECK(gate.containment().quarantinedCount() == 0);
}

// Guards against popular content that is quarantined because backend servers reset connections.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_connectionsLostWhileServerLives_suspectsNothing")
{
    for (std::uint64_t id = 1; id <= 8; ++id) {
        send(request(id, "popular"));
        fail(id, BackendFailure::Lost);
        CHECK_FALSE(isMarked(id));
    }
    CHECK(gate.counts().crashes == 0);
    CHECK(gate.containment().suspectCount() == 0);
    CHECK(gate.containment().quarantinedCount() == 0);
}

// Guards against a cause that stays unknown when the refused connection is seen first.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_unreachableBeforeCallIsLost_isOneCrashOfAllInFlight")
{
    send(request(1, "bad"));
    send(request(2, "good"));
    process(BackendReachable { false });
    CHECK(gate.counts().crashes == 0);
    fail(1, BackendFailure::Lost);
    fail(2, BackendFailure::Lost);
    CHECK(gate.counts().crashes == 1);
    CHECK(gate.containment().suspectCount() == 2);
}

// Guards against an innocent request whose connection was reset long before the crash.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_connectionLostLongBefore_isNoPartOfTheCrash")
{
    send(request(1, "early"));
    fail(1, BackendFailure::Lost);
    pass(milliseconds(1500));
    send(request(2, "bad"));
    crash({ 2 });
    CHECK(gate.counts().crashes == 1);
    CHECK(gate.containment().suspectCount() == 1);
}

// Guards against calls that are sent to a process that has ended and are blamed for it.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_callStartedAfterTheLoss_isNoSuspect")
{
    send(request(1, "bad"));
    fail(1, BackendFailure::Lost);
    pass(milliseconds(1));
    send(request(2, "late"));
    process(BackendReachable { false });
    fail(2, BackendFailure::Lost);
    CHECK(gate.counts().crashes == 1);
    CHECK(gate.containment().suspectCount() == 1);
}

// Guards against a process that is back before the monitor has noticed its end.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_newIncarnationAfterLoss_isACrash")
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
    fail(1, BackendFailure::Lost);
    announce("b");
    CHECK(gate.counts().crashes == 1);
    CHECK(gate.containment().suspectCount() == 1);
    bad.id = RequestId(2);
    bad.content.body = "other";
    send(bad);
    fail(2, BackendFailure::Lost);
    CHECK(gate.counts().crashes == 1);
}

// Guards against popular content that must run alone at every gate after a crash beside it.
TEST_CASE_METHOD(GateCrashFixture, "GateCrash_contentAnsweredElsewhereInTime_isCleared")
{
    send(request(1, "popular"));
    send(request(2, "popular"));
    process(BackendReachable { false });
    fail(1, BackendFailure::Lost);
    CHECK(gate.containment().suspectCount() == 1);
    answer(2);
    CHECK(gate.containment().suspectCount() == 0);
}

} // namespace
} // namespace camphorreach
