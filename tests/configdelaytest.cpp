// Tests of the time until a new configuration is active at every node.
#include "catalogworld.h"

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Operators expect nodes that can reach the store to activate an accepted configuration within this
// time.
constexpr Duration maxActivationDelay = milliseconds(2500);

class LargeConfigFixture
{
protected:
    LargeConfigFixture() { world.run(seconds(4)); }

    CatalogWorld world { {} };
};

// All nodes of the failure domain watch the store, so no other node can supply what they miss.
class SmallDomainFixture
{
protected:
    SmallDomainFixture() { world.run(seconds(4)); }

    CatalogWorld world { { .nodes = 3 } };
};

// Guards against complete configurations that queue behind each other on links of 10 Mbit/s
// (incident inc1: a version became active 4.0 s after its acknowledgement).
TEST_CASE_METHOD(LargeConfigFixture, "CatalogWorld_largeConfigChangesOften_isActiveInTime")
{
    world.publishSeries(24, milliseconds(300));
    world.run(maxActivationDelay);
    CHECK(world.maxDelay() <= maxActivationDelay);
    CHECK(world.hasConverged());
}

// Guards against a delay that grows with the number of new versions.
TEST_CASE_METHOD(LargeConfigFixture, "CatalogWorld_tenChangesASecond_delayIsThatOfOneVersion")
{
    world.publishSeries(60, milliseconds(100));
    world.run(maxActivationDelay);
    CHECK(world.maxDelay() <= maxActivationDelay);
    CHECK(world.hasConverged());
}

// Guards against traffic between nodes that grows with the size of the configuration instead of the
// size of the change: two routes of some 150 bytes, once for every node, and the digests and pulls.
TEST_CASE_METHOD(LargeConfigFixture, "CatalogWorld_twoRoutesChange_nodesExchangeOnlyThose")
{
    const std::uint64_t before = world.peerBytes();
    world.publish();
    world.run(seconds(2));
    CHECK(world.hasConverged());
    CHECK(world.peerBytes() - before <= 26 * 4'096);
}

// Guards against changes that are not read because the watchers have stopped.
TEST_CASE_METHOD(LargeConfigFixture, "CatalogWorld_watchersStop_othersTakeOver")
{
    world.run(seconds(2));
    world.kill({ 0, 1, 2 });
    world.run(seconds(8));
    world.publish();
    world.run(maxActivationDelay);
    CHECK(world.hasConverged());
}

// Guards against nodes that keep exchanging digests while the watchers get no replies from the
// store. The bound is that for a disrupted store: 3 s until nodes count as connected again, and the
// time within which a change must be active.
TEST_CASE_METHOD(LargeConfigFixture, "CatalogWorld_watchersGetNoReplies_othersTakeOver")
{
    world.run(seconds(2));
    world.silenceStoreFor({ 0, 1, 2 });
    world.publish();
    world.run(seconds(3) + seconds(3) + maxActivationDelay);
    CHECK(world.hasConverged());
}

// Guards against watches that are sent again although their reply, which holds every version since
// the store stopped responding, is too large to be read.
TEST_CASE_METHOD(SmallDomainFixture, "CatalogWorld_watchRepliesTooLarge_newestVersionIsListed")
{
    world.silenceStoreFor(world.allNodes());
    world.run(seconds(4));
    world.silenceStoreFor({});
    world.publishSeries(30, milliseconds(170));
    world.run(maxActivationDelay);
    CHECK(world.hasConverged());
}

// Guards against nodes that wait for watches that a store has taken without responding, after it is
// back: 3 s later they count as connected, and must hold what has been stored meanwhile.
TEST_CASE_METHOD(SmallDomainFixture,
                 "CatalogWorld_storeRespondsAgain_changeIsActiveWithinThreeSeconds")
{
    for (int outage = 1; outage < 20; ++outage) {
        world.publish(); // ends the watches of all nodes at the same moment
        world.run(milliseconds(500));
        world.silenceStoreFor(world.allNodes());
        world.run(outage * milliseconds(250));
        world.silenceStoreFor({});
        world.run(milliseconds(50));
        world.publish();
        world.run(seconds(3) - milliseconds(50));
        CHECK(world.hasConverged());
        world.run(seconds(3));
    }
}

// Guards against calls that are given up by nodes while a store that is slow would answer them.
TEST_CASE_METHOD(SmallDomainFixture, "CatalogWorld_storeTakesTwoSeconds_changesStillArrive")
{
    world.slowStore(seconds(2));
    world.run(seconds(10));
    world.publish();
    world.run(seconds(10));
    CHECK(world.hasConverged());
}

// Guards against calls to a store that does not respond, or is back, by all nodes of a large
// failure domain at once. Each of the 280 nodes tries once to take over from the watchers within 40
// s; the rate of the others' further calls is that of some 16 nodes.
TEST_CASE("CatalogWorld_largeDomainAndSilentStore_callsDoNotGrowWithNodes")
{
    CatalogWorld world { { .nodes = 280, .routes = 10 } };
    world.run(seconds(4));
    world.silenceStoreFor(world.allNodes());
    world.run(seconds(40));
    const std::uint64_t before = world.listAndWatchCalls();
    world.run(seconds(10));
    CHECK(world.listAndWatchCalls() - before <= 2 * 10 * 2 * 16);
    world.silenceStoreFor({});
    const std::uint64_t silent = world.listAndWatchCalls();
    world.publish();
    world.run(seconds(3));
    CHECK(world.hasConverged());
    CHECK(world.listAndWatchCalls() - silent <= 2 * 280);
}

// Guards against a number of store calls that grows with the number of nodes. Expected are two
// watches of 1.6 s at each of three nodes, and a few more for nodes whose copy is briefly too
// stale.
TEST_CASE_METHOD(LargeConfigFixture, "CatalogWorld_noChanges_onlyWatchersCallTheStore")
{
    world.run(seconds(10));
    const std::uint64_t before = world.listAndWatchCalls();
    world.run(seconds(30));
    CHECK(world.listAndWatchCalls() - before <= 3 * 2 * 19 + 26);
}

} // namespace
} // namespace camphorreach
