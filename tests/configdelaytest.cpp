// Tests of the time within which a configuration is in force at every node.
#include "catalogworld.h"

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Operators expect an accepted configuration in force within this time at nodes in touch.
constexpr Duration applyTime = milliseconds(2500);

class LargeConfigFixture
{
protected:
    LargeConfigFixture() { world.run(seconds(4)); }

    CatalogWorld world { {} };
};

// Guards against whole configurations that wait behind each other on links of 10 Mbit/s (incident
// inc1: a version in force 4.0 s after its acknowledgement).
TEST_CASE_METHOD(LargeConfigFixture, "CatalogWorld_largeConfigChangesOften_isInForceInTime")
{
    world.publishSeries(24, milliseconds(300));
    world.run(applyTime);
    CHECK(world.longestDelay() <= applyTime);
    CHECK(world.isSettled());
}

// Guards against a delay that grows with the number of versions that came.
TEST_CASE_METHOD(LargeConfigFixture, "CatalogWorld_tenChangesASecond_delayIsThatOfOneVersion")
{
    world.publishSeries(60, milliseconds(100));
    world.run(applyTime);
    CHECK(world.longestDelay() <= applyTime);
    CHECK(world.isSettled());
}

// Guards against bytes between nodes that grow with what is held instead of with what changed: two
// routes of some 150 bytes, once for each node, and the messages that tell of them.
TEST_CASE_METHOD(LargeConfigFixture, "CatalogWorld_twoRoutesChange_nodesExchangeOnlyThose")
{
    const std::uint64_t before = world.peerBytes();
    world.publish();
    world.run(seconds(2));
    CHECK(world.isSettled());
    CHECK(world.peerBytes() - before <= 26 * 4'096);
}

// Guards against news that waits for watchers which have ended.
TEST_CASE_METHOD(LargeConfigFixture, "CatalogWorld_watchersEnd_othersTakeOver")
{
    world.run(seconds(2));
    world.kill({ 0, 1, 2 });
    world.run(seconds(8));
    world.publish();
    world.run(applyTime);
    CHECK(world.isSettled());
}

// Guards against nodes that go on hearing from each other while those that watch get no answers.
// What is asked for is the bound of a disrupted store: 3 s until nodes are in touch again, and the
// time in which a change is to be in force.
TEST_CASE_METHOD(LargeConfigFixture, "CatalogWorld_watchersHearNothingMore_othersTakeOver")
{
    world.run(seconds(2));
    world.silenceStoreFor({ 0, 1, 2 });
    world.publish();
    world.run(seconds(3) + seconds(3) + applyTime);
    CHECK(world.isSettled());
}

// Guards against calls to the store that grow with the number of nodes: two watches of 3 s at each
// of three nodes, and a few more for each node whose copy gets old for a moment.
TEST_CASE_METHOD(LargeConfigFixture, "CatalogWorld_quietTime_onlyTheWatchersCall")
{
    world.run(seconds(10));
    const std::uint64_t before = world.followCalls();
    world.run(seconds(30));
    CHECK(world.followCalls() - before <= 3 * 2 * 10 + 26);
}

} // namespace
} // namespace camphorreach
