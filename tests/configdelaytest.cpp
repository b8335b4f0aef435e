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

} // namespace
} // namespace camphorreach
