// Tests of configuration distribution: single components, and many nodes in virtual time.
#include "../src/bench/fleet.h"

#include <camphorreach/treedelta.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using bench::Fleet;
using bench::FleetOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string badTree = "[service.orders.version.v1]\nweight = 40\n";

class ConfigFleetFixture
{
protected:
    void start(std::size_t nodes, double loss = 0)
    {
        FleetOptions options;
        options.nodes = nodes;
        options.loss = loss;
        fleet = std::make_unique<Fleet>(options);
        accept(1);
        fleet->startAll();
        fleet->time.runFor(seconds(40));
        REQUIRE(fleet->countInForce(ConfigVersion(1)) == nodes);
    }
    void accept(std::uint64_t version, std::size_t bytes = 2000)
    {
        fleet->platform.storeConfiguration(ConfigVersion(version),
                                           bench::sampleTree(bytes, version));
    }
    [[nodiscard]] ConfigVersion versionAt(std::size_t i)
    {
        return fleet->node(i).configuration->version();
    }
    [[nodiscard]] bool isInDomain(std::size_t i, const std::string &name)
    {
        return fleet->node(i).self.domain == FailureDomain(name);
    }

    std::unique_ptr<Fleet> fleet;
};

// Guards against nodes that miss a version when pushes are lost (invariant 10: 4 s).
TEST_CASE_METHOD(ConfigFleetFixture, "Configuration_tenthOfDatagramsLost_inForceEverywhereInTime")
{
    start(100, 0.1);
    accept(2);
    fleet->time.runFor(seconds(4));
    CHECK(fleet->countInForce(ConfigVersion(2)) == 100);
}

// Guards against a large change that does not fit in a datagram and is lost.
TEST_CASE_METHOD(ConfigFleetFixture, "Configuration_changeBeyondDatagram_spreadsOverStreams")
{
    start(60, 0.05);
    accept(2, 100'000);
    fleet->time.runFor(seconds(4));
    CHECK(fleet->countInForce(ConfigVersion(2)) == 60);
}

// Guards against an older version that replaces a newer one (invariant 1).
TEST_CASE_METHOD(ConfigFleetFixture, "Configuration_versionsCrossInTransit_neverDecrease")
{
    start(60, 0.2);
    for (std::uint64_t version = 2; version <= 40; ++version) {
        accept(version);
        fleet->time.runFor(milliseconds(30));
    }
    fleet->time.runFor(seconds(4));
    CHECK(fleet->countInForce(ConfigVersion(40)) == 60);
    CHECK_FALSE(fleet->hasVersionDecreased());
}

// Guards against a bad version that is partly applied, hides its findings or blocks the next one.
TEST_CASE_METHOD(ConfigFleetFixture, "Configuration_badVersion_isRefusedReportedAndSkipped")
{
    start(30);
    fleet->platform.storeConfiguration(ConfigVersion(2), badTree);
    fleet->time.runFor(seconds(25));
    for (std::size_t i = 0; i < 30; ++i)
        REQUIRE(versionAt(i) == ConfigVersion(1));
    const ConfigStatus status = fleet->node(3).configuration->status();
    CHECK(status.version == ConfigVersion(2));
    CHECK(status.nodesRefusing == 30);
    CHECK_FALSE(status.isInForceEverywhere);
    REQUIRE_FALSE(status.refusals.empty());
    CHECK(status.refusals.front().findings.find("weights") != std::string::npos);
    accept(3);
    fleet->time.runFor(seconds(4));
    CHECK(fleet->countInForce(ConfigVersion(3)) == 30);
}

// Guards against a restarted node that serves an older version, or none, while the platform is
// down.
TEST_CASE_METHOD(ConfigFleetFixture,
                 "Configuration_restartDuringPlatformOutage_takesFloorFromPeers")
{
    start(30);
    accept(2);
    fleet->time.runFor(seconds(10));
    fleet->platform.setDown(true);
    fleet->crash(7);
    fleet->start(7);
    fleet->time.runFor(milliseconds(500));
    CHECK(versionAt(7) == ConfigVersion());
    fleet->time.runFor(seconds(20));
    CHECK(versionAt(7) == ConfigVersion(2));
    CHECK_FALSE(fleet->hasVersionDecreased());
}

// Guards against serving below an unknown floor: the node must report that it is cut off.
TEST_CASE_METHOD(ConfigFleetFixture, "Configuration_restartCutOffFromAll_servesNothingAndReportsIt")
{
    start(10);
    fleet->platform.setDown(true);
    for (std::size_t i = 0; i < 10; ++i)
        fleet->crash(i);
    fleet->start(7);
    fleet->time.runFor(seconds(60));
    CHECK(versionAt(7) == ConfigVersion());
    CHECK(fleet->node(7).configuration->unreadyReason().find("cut off") != std::string::npos);
    fleet->platform.setDown(false);
    fleet->time.runFor(seconds(50));
    CHECK(versionAt(7) == ConfigVersion(1));
    CHECK(fleet->node(7).configuration->unreadyReason().empty());
}

// Guards against an isolated failure domain that stays on different versions or counts as done.
TEST_CASE_METHOD(ConfigFleetFixture,
                 "Configuration_domainIsolatedDuringGossip_convergesInsideAndIsUnknown")
{
    start(50);
    accept(2);
    fleet->time.runFor(milliseconds(5));
    fleet->isolate(FailureDomain("domain-1"));
    ConfigVersion newest;
    for (std::size_t i = 0; i < 50; ++i) {
        if (isInDomain(i, "domain-1"))
            newest = std::max(newest, versionAt(i));
    }
    fleet->time.runFor(seconds(4));
    for (std::size_t i = 0; i < 50; ++i) {
        if (isInDomain(i, "domain-1"))
            REQUIRE(versionAt(i) >= newest);
    }
    accept(3);
    fleet->time.runFor(seconds(60));
    CHECK(fleet->countInForce(ConfigVersion(3)) == 40);
    const ConfigStatus status = fleet->node(0).configuration->status();
    REQUIRE(status.unknownDomains.size() == 1);
    CHECK(status.unknownDomains.front() == FailureDomain("domain-1"));
    CHECK_FALSE(status.isInForceEverywhere);
    fleet->heal();
    fleet->time.runFor(seconds(60));
    CHECK(fleet->countInForce(ConfigVersion(3)) == 50);
    CHECK(fleet->node(0).configuration->status().isInForceEverywhere);
    CHECK_FALSE(fleet->hasVersionDecreased());
}

// Guards against a failure domain that gets no versions after its readers have crashed.
TEST_CASE_METHOD(ConfigFleetFixture, "Configuration_allReadersCrash_othersTakeOver")
{
    start(50);
    for (std::size_t i = 0; i < 50; ++i) {
        if (fleet->node(i).configuration->isReader())
            fleet->crash(i);
    }
    fleet->time.runFor(seconds(40));
    accept(2);
    fleet->time.runFor(seconds(4));
    CHECK(fleet->countInForce(ConfigVersion(2)) == 40);
}

// Guards against a platform outage that interrupts serving or causes a burst of reads.
TEST_CASE_METHOD(ConfigFleetFixture, "Configuration_platformDownForAnHour_servingContinues")
{
    start(20);
    fleet->platform.setDown(true);
    const TimePoint began = fleet->time.now();
    fleet->time.runFor(std::chrono::hours(1));
    CHECK(fleet->countInForce(ConfigVersion(1)) == 20);
    CHECK(fleet->platform.peak(began).reads <= 100);
    fleet->platform.setDown(false);
    fleet->time.runFor(seconds(30));
    accept(2);
    fleet->time.runFor(seconds(4));
    CHECK(fleet->countInForce(ConfigVersion(2)) == 20);
}

// Guards against overload by full-state transfers when many restart without the platform.
TEST_CASE_METHOD(ConfigFleetFixture,
                 "Configuration_halfRestartsWithoutPlatform_fullStateIsRateLimited")
{
    start(60);
    fleet->platform.setDown(true);
    std::vector<std::uint64_t> before;
    for (std::size_t i = 0; i < 60; ++i)
        before.push_back(fleet->node(i).configuration->fullTransfers());
    for (std::size_t i = 0; i < 30; ++i) {
        fleet->crash(i);
        fleet->start(i);
    }
    fleet->time.runFor(seconds(30));
    CHECK(fleet->countInForce(ConfigVersion(1)) == 60);
    for (std::size_t i = 30; i < 60; ++i)
        REQUIRE(fleet->node(i).configuration->fullTransfers() - before[i] <= 2 + 15);
}

class VersionStoreFixture
{
protected:
    VersionStoreFixture()
    {
        ahead.applyHead(ConfigVersion(1), bench::sampleTree(500, 1));
        behind.applyHead(ConfigVersion(1), bench::sampleTree(500, 1));
        ahead.applyHead(ConfigVersion(2), bench::sampleTree(500, 2));
        ahead.applyHead(ConfigVersion(4), bench::sampleTree(500, 4));
    }

    VersionStore ahead;
    VersionStore behind;
};

TEST_CASE_METHOD(VersionStoreFixture, "VersionStore_behindByTwo_catchesUpByDeltas")
{
    const auto steps = ahead.stepsFrom(behind.accepted(), behind.digest());
    REQUIRE(steps.size() == 2);
    CHECK(behind.applyUpdate({ steps }) == VersionStore::Effect::Advanced);
    CHECK(behind.accepted() == ConfigVersion(4));
    CHECK(behind.digest() == ahead.digest());
}

// Guards against a damaged delta, or one for another base, that changes the version held.
TEST_CASE_METHOD(VersionStoreFixture, "VersionStore_deltaDamagedOrOfOtherBase_changesNothing")
{
    auto steps = ahead.stepsFrom(behind.accepted(), behind.digest());
    CHECK(behind.applyUpdate({ { steps.back() } }) == VersionStore::Effect::Unusable);
    steps.front().changes.result = Digest(1);
    CHECK(behind.applyUpdate({ steps }) == VersionStore::Effect::Unusable);
    CHECK(behind.accepted() == ConfigVersion(1));
    CHECK(ahead.stepsFrom(ConfigVersion(1), Digest(77)).empty());
}

// Guards against a node that restarts under an invalid head and can't get the last valid version.
TEST_CASE_METHOD(VersionStoreFixture, "VersionStore_fullStateUnderBadHead_containsLastGoodVersion")
{
    ahead.applyHead(ConfigVersion(5), badTree);
    VersionStore empty;
    CHECK(empty.applyUpdate({ ahead.fullState() }) == VersionStore::Effect::Advanced);
    CHECK(empty.accepted() == ConfigVersion(5));
    REQUIRE(empty.good());
    CHECK(empty.good()->version == ConfigVersion(4));
    CHECK(empty.refusal().has_value());
}

TEST_CASE_METHOD(VersionStoreFixture, "Wire_configUpdateEncodedAndDecoded_isUnchanged")
{
    const PeerMessage message(ConfigMessage(ConfigUpdate { ahead.fullState() }));
    const auto decoded
        = impl::decodePayload(impl::encodePayload({ { "10.0.0.1", 7300 }, message }));
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).message == message);
}

// Guards against a peer that answers every full-state pull of a mass restart.
TEST_CASE_METHOD(VersionStoreFixture, "ConfigSpread_manyPullsOfFullStateAtOnce_answersWithinBudget")
{
    RandomSource random(1);
    const ConfigPeers peers { Endpoint {} };
    ConfigSpread spread(ahead, peers, 4, random);
    ConfigSpread::Sends sends;
    for (int i = 0; i < 100; ++i)
        spread.onPull({ "10.0.0.1", 7300 }, {}, TimePoint(seconds(100)), sends);
    CHECK(sends.size() == 2);
    for (int i = 0; i < 100; ++i)
        spread.onPull({ "10.0.0.1", 7300 }, {}, TimePoint(seconds(102)), sends);
    CHECK(sends.size() == 3);
}

class VersionFloorFixture
{
protected:
    VersionFloorFixture()
    {
        EndpointTable table;
        for (int i = 0; i < 5; ++i) {
            Endpoint endpoint;
            endpoint.instance = InstanceId("peer-" + std::to_string(i));
            endpoint.peer = { "10.0.0." + std::to_string(i), 7300 };
            table.services[ServiceName("orders")].push_back(endpoint);
        }
        peers.update(table);
    }

    void failPlatformRead()
    {
        Outbox<std::variant<PlatformCall, PeerSend>> outbox;
        floor.advance(peers, now, outbox);
        now += seconds(4);
        floor.advance(peers, now, outbox);
        for (const auto &message : outbox.take()) {
            if (const auto *call = std::get_if<PlatformCall>(&message))
                floor.onReply({ call->id, PlatformNoReply {} }, now);
        }
    }
    void answer(int peer, std::uint64_t version, bool isEstablished)
    {
        floor.onPeerAnswer({ "10.0.0." + std::to_string(peer), 7300 },
                           { ConfigVersion(version), isEstablished });
    }

    RandomSource random { 1 };
    PlatformCallIds callIds;
    ConfigPeers peers { Endpoint {} };
    VersionFloor floor { InstanceId("self"), callIds, random };
    TimePoint now {};
};

// Guards against a return to an older version after a restart (invariant 1).
TEST_CASE_METHOD(VersionFloorFixture,
                 "VersionFloor_onePeerReportsHigherVersion_lowerVersionIsNotEnough")
{
    failPlatformRead();
    answer(0, 3, true);
    answer(1, 3, true);
    CHECK_FALSE(floor.establish(ConfigVersion(3), peers)); // too few answers
    answer(2, 5, true);
    CHECK_FALSE(floor.establish(ConfigVersion(3), peers));
    CHECK(floor.establish(ConfigVersion(5), peers));
}

// Guards against nodes that restarted together and confirm each other's floor.
TEST_CASE_METHOD(VersionFloorFixture, "VersionFloor_peersThatRestartedToo_doNotCount")
{
    failPlatformRead();
    for (int peer = 0; peer < 5; ++peer)
        answer(peer, 0, false);
    CHECK_FALSE(floor.establish(ConfigVersion(3), peers));
}

// Guards against unbounded growth by new instance names, and against forgetting within a day.
TEST_CASE_METHOD(VersionFloorFixture, "PeerVersions_manyInstances_isBoundedAndKeepsADay")
{
    PeerVersions peerVersions;
    peerVersions.record(InstanceId("a"), ConfigVersion(9), now);
    peerVersions.record(InstanceId("a"), ConfigVersion(4), now);
    CHECK(peerVersions.highest(InstanceId("a"), now + std::chrono::hours(24)) == ConfigVersion(9));
    CHECK(peerVersions.highest(InstanceId("a"), now + std::chrono::hours(26)) == ConfigVersion());
    for (std::size_t i = 0; i < PeerVersions::maxInstances + 10; ++i)
        peerVersions.record(InstanceId("n" + std::to_string(i)), ConfigVersion(1),
                            now + seconds(1));
    CHECK(peerVersions.size() == PeerVersions::maxInstances);
}

} // namespace
} // namespace camphorreach
