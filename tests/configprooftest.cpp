// Tests of strict revocation: proofs that the configuration of a node is the newest one, over
// simulated catalogs, their store and faults.
#include "catalogworld.h"

#include <camphorreach/configproof.h>

#include <catch2/catch.hpp>

#include <array>
#include <iostream>
#include <random>
#include <set>
#include <utility>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration revocation = seconds(5);

// 30 nodes in three failure domains, which have been running for a while.
class RevocationFixture
{
protected:
    static CatalogWorld::Options options(std::size_t nodeCount)
    {
        CatalogWorld::Options result;
        result.nodes = nodeCount;
        result.routes = 20;
        result.domains = 3;
        result.revocation = revocation;
        return result;
    }

    RevocationFixture()
    {
        world.run(seconds(10));
        for (std::size_t i = 0; i < nodes; ++i)
            CHECK(world.isIdentified(i, "old"));
    }
    ~RevocationFixture() { CHECK(world.wrongProofs() == 0); }
    RevocationFixture(const RevocationFixture &) = delete;
    RevocationFixture &operator=(const RevocationFixture &) = delete;

    [[nodiscard]] bool isUnproven(std::size_t node)
    {
        return world.identify(node, "kept") == Identification::Result(NotRunReason::KeyUnproven);
    }
    [[nodiscard]] std::size_t identifying(const std::string &key)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes; ++i)
            count += world.isIdentified(i, key) ? 1 : 0;
        return count;
    }

    static constexpr std::size_t nodes = 30;
    CatalogWorld world { options(nodes) };
};

// Guards against requests that are refused although nothing is wrong, and against calls to the
// store that grow with the nodes.
TEST_CASE_METHOD(RevocationFixture, "Revocation_calmWorld_proofsStayYoungAtFewCalls")
{
    std::array<std::uint64_t, 2> calls {};
    std::size_t next = 0;
    for (const std::size_t count : { 15, 75 }) {
        CatalogWorld calm(options(count));
        calm.run(seconds(10));
        calm.resetProofAge();
        const std::uint64_t before = calm.listAndWatchCalls();
        const std::uint64_t bytesBefore = calm.peerBytes();
        calm.run(minutes(3));
        CHECK(calm.maxProofAge() < scaled(revocation, 0.4));
        CHECK(calm.wrongProofs() == 0);
        calls.at(next++) = calm.listAndWatchCalls() - before;
        std::cout << "proofs: nodes=" << count << " max-age-ms="
                  << std::chrono::duration_cast<milliseconds>(calm.maxProofAge()).count()
                  << " calls-per-s=" << static_cast<double>(calls.at(next - 1)) / 180.0
                  << " peer-bytes-per-node-and-s="
                  << static_cast<double>(calm.peerBytes() - bytesBefore) / 180.0
                / static_cast<double>(count)
                  << '\n';
    }
    CHECK(calls[1] < calls[0] * 11 / 10);
}

TEST_CASE_METHOD(RevocationFixture, "Revocation_keyWithdrawnInCalm_isRefusedEverywhereSoon")
{
    world.withdrawKey();
    world.run(seconds(2));
    CHECK(identifying("old") == 0);
    CHECK(identifying("kept") == nodes);
    world.run(seconds(10));
    CHECK(world.lateUses() == 0);
}

// Guards against a new key that is refused longer than a change of the configuration takes.
TEST_CASE_METHOD(RevocationFixture, "Revocation_keyAdded_worksEverywhereInTime")
{
    world.addKey();
    world.run(milliseconds(2500));
    CHECK(identifying("new") == nodes);
}

// Guards against a machine without any connection that goes on with a withdrawn key, and against
// one that refuses requests after it has a connection again.
TEST_CASE_METHOD(RevocationFixture, "Revocation_nodeCutOffFromAll_refusesKeysAndRecovers")
{
    world.cutOff({ 4 });
    world.silenceStoreFor({ 4 });
    world.run(milliseconds(100));
    world.withdrawKey();
    world.run(seconds(4));
    CHECK(isUnproven(4));
    CHECK(identifying("kept") == nodes - 1);
    world.run(seconds(20));
    CHECK(world.lateUses() == 0);
    world.cutOff({});
    world.silenceStoreFor({});
    world.run(seconds(3));
    CHECK(identifying("kept") == nodes);
    CHECK(identifying("old") == 0);
}

// Guards against nodes that confirm an old configuration to each other.
TEST_CASE_METHOD(RevocationFixture, "Revocation_domainCutOff_itsNodesRefuseKeys")
{
    std::set<std::size_t> domain;
    for (std::size_t i = 0; i < nodes; i += 3)
        domain.insert(i);
    world.cutOff(domain);
    world.silenceStoreFor(domain);
    world.run(milliseconds(100));
    world.withdrawKey();
    world.run(seconds(4));
    for (const std::size_t i : domain)
        CHECK(isUnproven(i));
    CHECK(identifying("kept") == nodes - domain.size());
    world.run(seconds(30));
    CHECK(world.lateUses() == 0);
}

// Guards against a node that has lost the store and is refused although its peers have it, such as
// when the store refuses all that watch it for a failure domain.
TEST_CASE_METHOD(RevocationFixture, "Revocation_storeRefusesSomeMachines_othersProveForThem")
{
    world.silenceStoreFor({ 0, 3, 6, 9, 1, 14, 25 });
    world.run(seconds(2));
    world.resetProofAge();
    world.run(seconds(30));
    CHECK(world.maxProofAge() < scaled(revocation, 0.6));
    world.withdrawKey();
    world.run(seconds(3));
    CHECK(identifying("old") == 0);
    CHECK(identifying("kept") == nodes);
    world.run(seconds(5));
    CHECK(world.lateUses() == 0);
}

// Guards against a fleet without proofs because the few nodes that watch the store are refused.
TEST_CASE_METHOD(RevocationFixture, "Revocation_storeRefusesAllWatchers_othersReadItInTime")
{
    world.silenceStoreFor({ 0, 1, 2, 3, 4, 5, 6, 7, 8 });
    world.resetProofAge();
    world.run(seconds(30));
    CHECK(world.maxProofAge() < scaled(revocation, 0.6));
}

// Guards against a silent store that keys outlast, and against calls of all nodes to it.
TEST_CASE_METHOD(RevocationFixture, "Revocation_storeIsDown_allRefuseKeysUntilItIsBack")
{
    world.silenceStoreFor(world.allNodes());
    world.withdrawKey();
    world.run(seconds(4));
    CHECK(identifying("kept") == 0);
    const std::uint64_t before = world.listAndWatchCalls();
    world.run(seconds(20));
    std::cout << "proofs: store down, calls-per-s="
              << static_cast<double>(world.listAndWatchCalls() - before) / 20.0 << '\n';
    CHECK(world.lateUses() == 0);
    world.silenceStoreFor({});
    world.run(seconds(3));
    CHECK(identifying("kept") == nodes);
    CHECK(identifying("old") == 0);
}

// Guards against a proof that counts from the arrival of a delayed reply.
TEST_CASE_METHOD(RevocationFixture, "Revocation_repliesTakeLong_noProofIsTooYoung")
{
    for (const int delayMs : { 250, 1000, 2500 }) {
        world.slowStore(milliseconds(delayMs));
        world.run(seconds(10));
        if (delayMs == 250)
            CHECK(identifying("kept") == nodes);
    }
    world.withdrawKey();
    world.run(seconds(20));
    CHECK(world.lateUses() == 0);
}

// Guards against a process that was paused and takes the replies that waited for fresh ones.
TEST_CASE_METHOD(RevocationFixture, "Revocation_processPaused_oldRepliesProveNothing")
{
    for (std::size_t node = 0; node < nodes; node += 2)
        world.pause(node, seconds(8));
    world.run(milliseconds(50));
    world.withdrawKey();
    world.run(seconds(20));
    CHECK(world.lateUses() == 0);
    CHECK(identifying("old") == 0);
    CHECK(identifying("kept") == nodes);
}

// Guards against a process that starts with the configuration of a cut-off peer.
TEST_CASE_METHOD(RevocationFixture, "Revocation_nodeRestartsAmongCutOffNodes_refusesKeys")
{
    const std::set<std::size_t> cut { 0, 3, 6, 9 };
    world.cutOff(cut);
    world.silenceStoreFor(cut);
    world.withdrawKey();
    world.run(milliseconds(200));
    world.restart(3);
    world.run(seconds(3));
    CHECK_FALSE(world.isIdentified(3, "old"));
    world.run(seconds(10));
    CHECK_FALSE(world.isIdentified(3, "kept"));
    CHECK(world.lateUses() == 0);
}

// Guards against any sequence of faults after which a withdrawn key is used too late.
TEST_CASE_METHOD(RevocationFixture, "Revocation_randomFaults_noKeyIsUsedTooLate")
{
    std::mt19937_64 random(GENERATE(range(1, 16)));
    const auto someNodes = [&] {
        std::set<std::size_t> result;
        for (std::size_t i = 0; i < nodes; ++i) {
            if (random() % 3 == 0)
                result.insert(i);
        }
        return result;
    };
    bool isWithdrawn = false;
    for (int step = 0; step < 60; ++step) {
        switch (random() % 7) {
        case 0:
            world.cutOff(someNodes());
            break;
        case 1:
            world.silenceStoreFor(someNodes());
            break;
        case 2:
            world.slowStore(milliseconds(random() % 2900));
            break;
        case 3:
            world.pause(random() % nodes, milliseconds(random() % 7000));
            break;
        case 4:
            world.restart(random() % nodes);
            break;
        case 5:
            world.publish();
            break;
        default:
            if (step > 20 && !std::exchange(isWithdrawn, true))
                world.withdrawKey();
            break;
        }
        world.run(milliseconds(random() % 900));
    }
    world.run(seconds(6));
    CHECK(world.lateUses() == 0);
}

// A node without the store, which asks one other node.
class ConfigProofFixture
{
protected:
    static constexpr ConfigVersion version { 3 };

    [[nodiscard]] CatalogProofReply replyTo(const CatalogProofRequest &request, Duration age,
                                            ConfigVersion of = version) const
    {
        return { request.nonce, of, age };
    }

    RandomSource random { 1 };
    ConfigProof proof { revocation, random };
    TimePoint now { seconds(100) };
};

// Guards against an answer that was under way for long and counts from its arrival.
TEST_CASE_METHOD(ConfigProofFixture, "ConfigProof_answerIsDelayed_countsFromTheQuestion")
{
    const CatalogProofRequest request = proof.ask(now);
    proof.onReply(replyTo(request, milliseconds(700)), version, now + seconds(4));
    CHECK(proof.asOf() == now - milliseconds(700));
}

// Guards against an answer to an earlier process at this address, and a repeated one.
TEST_CASE_METHOD(ConfigProofFixture, "ConfigProof_answerFitsNoQuestion_isIgnored")
{
    CatalogProofRequest request = proof.ask(now);
    ++request.nonce;
    proof.onReply(replyTo(request, {}), version, now);
    CHECK_FALSE(proof.asOf());
    --request.nonce;
    proof.onReply(replyTo(request, -seconds(1)), version, now);
    CHECK_FALSE(proof.asOf());
}

// Guards against a proof of a version that this node does not hold.
TEST_CASE_METHOD(ConfigProofFixture, "ConfigProof_versionIsNotHeld_waitsForIt")
{
    proof.onReply(replyTo(proof.ask(now), {}, ConfigVersion(4)), version, now);
    CHECK_FALSE(proof.asOf());
    proof.onHeld(ConfigVersion(5), now + milliseconds(300));
    CHECK(proof.asOf() == now);
    CHECK(proof.takeRenewal(ConfigVersion(5))->version == ConfigVersion(5));
    CHECK_FALSE(proof.takeRenewal(ConfigVersion(5)));
}

// Guards against extra messages where revocation is not strict.
TEST_CASE_METHOD(ConfigProofFixture, "ConfigProof_notStrict_neverAsksOrAnswers")
{
    ConfigProof lax(std::nullopt, random);
    lax.record(now, version, version, now);
    CHECK_FALSE(lax.asOf());
    CHECK_FALSE(lax.nextAsk());
    CHECK_FALSE(lax.answer({ 1 }, version, now));
}

// Guards against a node that passes on a proof that is of no use, or makes it younger.
TEST_CASE_METHOD(ConfigProofFixture, "ConfigProof_asked_answersWithItsAge")
{
    CHECK_FALSE(proof.answer({ 9 }, version, now));
    proof.record(now, version, version, now);
    CHECK(proof.answer({ 9 }, version, now + seconds(1))
          == CatalogProofReply { 9, version, seconds(1) });
    CHECK_FALSE(proof.answer({ 9 }, version, now + seconds(4)));
}

} // namespace
} // namespace camphorreach
