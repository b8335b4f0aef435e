// Tests of version shares, key owners, failure domains and ejection.
#include "routerfixture.h"

#include <catch2/catch.hpp>
#include <map>

namespace camphorreach {
namespace {

const BackendVersion v1("v1");
const BackendVersion v2("v2");

class PlacementFixture : public RouterFixture
{
protected:
    PlacementFixture() { policy.weights = { { v1, Share::all() } }; }

    static Share percent(double value) { return Share::fromFraction(value / 100.0); }

    // Sends one request and answers it with the outcome.
    Sent exchange(const std::string &target, const std::string &key = "",
                  const Outcome &outcome = Answered {})
    {
        const std::size_t before = sent.size();
        submit(target, key);
        Sent attempt = sent.at(before);
        clock.advance(std::chrono::milliseconds(1));
        answer(attempt, outcome);
        return attempt;
    }
};

// Guards against biased canary analysis because a version at its limit receives less than its
// share.
TEST_CASE_METHOD(PlacementFixture, "Placement_newVersionAtLimit_doesNotChangeShares")
{
    applyConfiguration();
    setEndpoints({ endpoint(1), endpoint(2), endpoint(3, "v2", "arima", 1) });
    setMoveShares({ { v1, percent(80) }, { v2, percent(20) } });
    std::map<BackendVersion, int> drawn;
    for (int i = 0; i < 4000; ++i)
        ++drawn[exchange("/stock").request.version];
    CHECK(drawn[v2] > 700);
    CHECK(drawn[v2] < 900);
}

TEST_CASE_METHOD(PlacementFixture, "Placement_versionBanned_receivesNothing")
{
    applyConfiguration();
    setEndpoints({ endpoint(1), endpoint(2, "v2") });
    setMoveShares({ { v1, percent(50) }, { v2, percent(50) } }, { v2 });
    for (int i = 0; i < 200; ++i)
        REQUIRE(exchange("/stock").request.version == v1);
    // Not even when no other endpoint is present.
    setEndpoints({ endpoint(2, "v2") });
    const RequestId id = submit("/stock");
    runFor(deadline);
    CHECK(isNotRun(id, NotRunReason::NoEndpoint));
}

TEST_CASE_METHOD(PlacementFixture, "Placement_versionBannedWhileRequestQueued_usesTheOther")
{
    applyConfiguration();
    setEndpoints({ endpoint(1), endpoint(2, "v2", "arima", 1) });
    setMoveShares({ { v1, Share::none() }, { v2, Share::all() } });
    submit("/stock");
    submit("/stock");
    submit("/stock");
    const std::size_t before = sent.size();
    setMoveShares({ { v1, Share::all() } }, { v2 });
    REQUIRE(sent.size() > before);
    for (std::size_t i = before; i < sent.size(); ++i)
        CHECK(sent[i].request.version == v1);
}

// Guards against an unproven version receiving all requests when the old one has no endpoints.
TEST_CASE_METHOD(PlacementFixture, "Placement_oldVersionGoneDuringMove_doesNotFloodNewOne")
{
    applyConfiguration();
    setEndpoints({ endpoint(2, "v2", "arima", 100) });
    setMoveShares({ { v1, percent(95) }, { v2, percent(5) } });
    for (int i = 0; i < 200; ++i) {
        const RequestId id = submit("/stock", "", std::chrono::milliseconds(10));
        while (!sent.empty()) {
            const Sent attempt = sent.back();
            sent.pop_back();
            answer(attempt, Answered {});
        }
        runFor(std::chrono::milliseconds(10));
        REQUIRE(outcomeOf(id) != nullptr);
    }
    CHECK(router.counts().attempts < 30);
}

TEST_CASE_METHOD(PlacementFixture, "Placement_newVersionGoneDuringMove_usesOldOne")
{
    applyConfiguration();
    setEndpoints({ endpoint(1) });
    setMoveShares({ { v1, percent(60) }, { v2, percent(40) } });
    for (int i = 0; i < 100; ++i)
        REQUIRE(exchange("/stock").request.version == v1);
}

TEST_CASE_METHOD(PlacementFixture, "Placement_keyedNonIdempotent_goesToSameOwnerFromEveryNode")
{
    applyConfiguration();
    std::vector<Endpoint> members;
    for (int i = 1; i <= 6; ++i)
        members.push_back(endpoint(i, "v1", i % 2 == 0 ? "arima" : "chaguanas"));
    setEndpoints(members);
    RandomSource otherRandom(99);
    Router other(FailureDomain("chaguanas"), 8, otherRandom);
    Outbox<Router::Output> otherOutbox;
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->services[policy.name] = policy;
    other.process(SnapshotChanged { snapshot }, clock.now(), otherOutbox);
    auto table = std::make_shared<EndpointTable>();
    table->services[policy.name] = members;
    other.process(EndpointsChanged { table }, clock.now(), otherOutbox);
    for (int i = 0; i < 50; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const Sent attempt = exchange("/bags", key);
        ClientRequest request;
        request.id = RequestId(static_cast<std::uint64_t>(i) + 1);
        request.service = policy.name;
        request.key = IdempotencyKey(key);
        request.content.target = "/bags";
        other.process(request, clock.now(), otherOutbox);
        const auto outputs = otherOutbox.take();
        const auto &send = std::get<PeerSend>(outputs.at(0));
        CHECK(send.to == attempt.to);
        other.process(ClientDisconnected { request.id }, clock.now(), otherOutbox);
        (void)otherOutbox.take();
    }
}

// Guards against a second run: the stored result of the key is lost with its owner.
TEST_CASE_METHOD(PlacementFixture, "Placement_ownerGone_isUnknownUntilKeysHaveExpired")
{
    applyConfiguration();
    const std::vector<Endpoint> members { endpoint(1), endpoint(2), endpoint(3) };
    setEndpoints(members);
    const Sent first = exchange("/bags", "key");
    std::vector<Endpoint> rest = members;
    std::erase_if(rest, [&](const Endpoint &member) { return member.peer == first.to; });
    setEndpoints(rest);
    const RequestId resent = submit("/bags", "key");
    CHECK(isUnknown(resent, UnknownReason::KeyHolderLost));
    CHECK(sent.size() == 1);
    runFor(KeyOwners::keyLifetime);
    CHECK(exchange("/bags", "key").to != first.to);
}

TEST_CASE_METHOD(PlacementFixture, "Placement_ownerRestarted_isUnknown")
{
    applyConfiguration();
    std::vector<Endpoint> members { endpoint(1), endpoint(2) };
    setEndpoints(members);
    const Sent first = exchange("/bags", "key");
    for (Endpoint &member : members) {
        if (member.peer == first.to)
            member.incarnation = Incarnation(2);
    }
    setEndpoints(members);
    const RequestId resent = submit("/bags", "key");
    CHECK(isUnknown(resent, UnknownReason::KeyHolderLost));
}

TEST_CASE_METHOD(PlacementFixture, "Placement_ownerDraining_isTriedFirstThenNextInRank")
{
    applyConfiguration();
    std::vector<Endpoint> members { endpoint(1), endpoint(2), endpoint(3) };
    setEndpoints(members);
    const Sent first = exchange("/bags", "key");
    for (Endpoint &member : members) {
        if (member.peer == first.to)
            member.state = EndpointState::Draining;
    }
    setEndpoints(members);
    const RequestId resent = submit("/bags", "key");
    REQUIRE(sent.size() == 2);
    CHECK(sent[1].to == first.to);
    answer(sent[1], NotRun { NotRunReason::Draining });
    REQUIRE(sent.size() == 3);
    CHECK(sent[2].to != first.to);
    answer(sent[2], Answered {});
    CHECK(isAnswered(resent));
}

// Guards against sending a key to another instance because its owner is busy or unreachable.
TEST_CASE_METHOD(PlacementFixture, "Placement_ownerUnreachable_isRetriedThenUnknown")
{
    applyConfiguration();
    setEndpoints({ endpoint(1), endpoint(2), endpoint(3) });
    const RequestId id = submit("/bags", "key");
    for (std::size_t i = 0; outcomeOf(id) == nullptr;) {
        while (i < sent.size()) {
            const Sent attempt = sent[i++];
            CHECK(attempt.to == sent[0].to);
            deliver(LinkDown { attempt.to, { attempt.request.id }, {} });
        }
        runFor(std::chrono::milliseconds(5));
    }
    CHECK(sent.size() > 2);
    CHECK(isUnknown(id, UnknownReason::KeyHolderLost));
}

TEST_CASE_METHOD(PlacementFixture, "Placement_ownDomainHasRoom_staysThere")
{
    applyConfiguration();
    setEndpoints({ endpoint(1), endpoint(2, "v1", "chaguanas") });
    for (int i = 0; i < 50; ++i)
        REQUIRE(exchange("/stock").to.port == 9001);
}

TEST_CASE_METHOD(PlacementFixture, "Placement_endpointSuspect_isUsedOnlyWithoutOthers")
{
    applyConfiguration();
    std::vector<Endpoint> members { endpoint(1), endpoint(2, "v1", "chaguanas") };
    members[0].state = EndpointState::Suspect;
    setEndpoints(members);
    for (int i = 0; i < 20; ++i)
        REQUIRE(exchange("/stock").to.port == 9002);
    members.pop_back();
    setEndpoints(members);
    CHECK(exchange("/stock").to.port == 9001);
}

// Guards against a lost failure domain that overloads the next one.
TEST_CASE_METHOD(PlacementFixture, "Placement_ownDomainFull_spillsUpToFractionOfLimit")
{
    applyConfiguration();
    setEndpoints({ endpoint(1), endpoint(2, "v1", "chaguanas") });
    for (int i = 0; i < 8; ++i)
        submit("/stock");
    std::map<std::uint16_t, int> byPort;
    for (const Sent &attempt : sent)
        ++byPort[attempt.to.port];
    CHECK(byPort[9001] == 4);
    CHECK(byPort[9002] == 2);
    CHECK(router.waiting() == 2);
}

TEST_CASE_METHOD(PlacementFixture, "Placement_endpointFails_isEjectedAndReturnsByProbing")
{
    applyConfiguration();
    setEndpoints({ endpoint(1), endpoint(2), endpoint(3) });
    const auto serve = [&](int requests, bool isBroken) {
        int toBroken = 0;
        for (int i = 0; i < requests; ++i) {
            const std::size_t before = sent.size();
            submit("/bags");
            const Sent attempt = sent.at(before);
            const bool isFirst = attempt.to.port == 9001;
            toBroken += isFirst ? 1 : 0;
            clock.advance(std::chrono::milliseconds(1));
            answer(attempt, Answered { std::uint16_t(isFirst && isBroken ? 500 : 200), "", "" });
        }
        return toBroken;
    };
    CHECK(serve(100, true) == static_cast<int>(Ejection::failuresToEject));
    runFor(Ejection::baseTime);
    CHECK(serve(100, true) == 1); // the probe fails
    runFor(Ejection::baseTime);
    CHECK(serve(100, false) == 0); // the second ejection is longer
    runFor(Ejection::baseTime);
    CHECK(serve(100, false) > 0);
}

// Guards against ejecting all endpoints of a failure domain for a fault that they share.
TEST_CASE_METHOD(PlacementFixture, "Placement_allEndpointsFail_halfStayInUse")
{
    applyConfiguration();
    setEndpoints({ endpoint(1), endpoint(2), endpoint(3), endpoint(4) });
    std::map<std::uint16_t, int> late;
    for (int i = 0; i < 400; ++i) {
        const Sent attempt = exchange("/bags", "", Answered { 500, "", "" });
        if (i >= 200)
            ++late[attempt.to.port];
    }
    CHECK(late.size() >= 2);
    CHECK(answers.size() == 400);
}

TEST_CASE_METHOD(PlacementFixture, "Placement_onlyEjectedLeft_isUsed")
{
    applyConfiguration();
    setEndpoints({ endpoint(1), endpoint(2) });
    while (true) {
        const std::size_t before = sent.size();
        submit("/bags");
        const Sent attempt = sent.at(before);
        const bool isBroken = attempt.to.port == 9001;
        answer(attempt, Answered { std::uint16_t(isBroken ? 500 : 200), "", "" });
        if (router.placement().findTarget({ "127.0.0.1", 9001 })->ejection().state(clock.now())
            == Ejection::State::Ejected)
            break;
        REQUIRE(before < 1000);
    }
    setEndpoints({ endpoint(1) });
    CHECK(exchange("/stock").to.port == 9001);
}

TEST_CASE_METHOD(PlacementFixture, "Placement_endpointJoinsLater_startsSlowly")
{
    applyConfiguration();
    setEndpoints({ endpoint(1, "v1", "arima", 2) });
    runFor(Placement<LeastCost>::discoveryTime);
    setEndpoints({ endpoint(1, "v1", "arima", 2), endpoint(2, "v1", "arima", 4) });
    for (int i = 0; i < 6; ++i)
        submit("/stock");
    CHECK(std::ranges::count(sent, 9002, [](const Sent &item) { return item.to.port; }) == 1);
}

} // namespace
} // namespace camphorreach
