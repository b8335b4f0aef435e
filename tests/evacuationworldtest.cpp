// Tests of evacuations at the catalogs of a whole deployment, while parts of it are cut off, paused
// or refused by the store.
#include "catalogworld.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <set>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Nodes = std::set<std::size_t>;

const FailureDomain evacuated("arima-0");

// Three failure domains; node i belongs to domain i % 3.
class EvacuationWorldFixture
{
protected:
    static constexpr std::size_t nodeCount = 24;
    static constexpr std::size_t domainCount = 3;
    // By which the bound is stretched for nodes that the store refuses.
    static constexpr Duration maxStretch = seconds(5);

    static CatalogWorld::Options options()
    {
        CatalogWorld::Options result;
        result.nodes = nodeCount;
        result.routes = 20;
        result.domains = domainCount;
        result.readsEvacuations = true;
        return result;
    }
    static Nodes domain(std::size_t index)
    {
        Nodes result;
        for (std::size_t i = index; i < nodeCount; i += domainCount)
            result.insert(i);
        return result;
    }
    static Nodes allBut(const Nodes &others)
    {
        Nodes result;
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (!others.contains(i))
                result.insert(i);
        }
        return result;
    }
    [[nodiscard]] bool isInForceEverywhere() const
    {
        return world.nodesEvacuating(evacuated).size() == nodeCount;
    }
    [[nodiscard]] bool isInForceNowhere() const { return world.nodesEvacuating(evacuated).empty(); }
    void checkKept() const
    {
        CHECK(world.lateEvacuations() == 0);
        CHECK(world.lateReturns() == 0);
    }

    EvacuationWorldFixture() { world.run(seconds(10)); }

    CatalogWorld world { options() };
};

// Guards against an order, or its end, that only the nodes near a watcher learn.
TEST_CASE_METHOD(EvacuationWorldFixture, "EvacuationWorld_calm_orderAndItsEndAreInForceEverywhere")
{
    world.evacuate(evacuated);
    world.run(seconds(2));
    CHECK(isInForceEverywhere());
    world.takeBack(evacuated);
    world.run(seconds(2));
    CHECK(isInForceNowhere());
    world.run(seconds(10));
    checkKept();
}

// Guards against a part that relies on watchers of the other part: of a failure domain, and of a
// part without any node that watches by its rank.
TEST_CASE_METHOD(EvacuationWorldFixture, "EvacuationWorld_cutInTwo_bothPartsReadTheStore")
{
    const Nodes part = GENERATE(domain(0), domain(1), Nodes { 0, 1, 2, 3, 4, 5, 6, 7, 8 },
                                Nodes { 15, 16, 17, 18, 19, 20, 21, 22, 23 }, Nodes { 23 });
    const Duration cutFor = GENERATE(seconds(0), seconds(2), seconds(20));
    world.cutOff(part);
    world.run(cutFor);
    world.evacuate(evacuated);
    world.run(seconds(20));
    CHECK(isInForceEverywhere());
    world.takeBack(evacuated);
    world.run(seconds(20));
    CHECK(isInForceNowhere());
    world.cutOff({});
    world.run(seconds(10));
    checkKept();
}

// Guards against a part without the store that renews an order after the cut, because it never
// heard that the order was taken back; and against one that never learns of it.
TEST_CASE_METHOD(EvacuationWorldFixture,
                 "EvacuationWorld_partWithoutStore_knowsTheNewestAfterTheCut")
{
    const Nodes part = GENERATE(domain(0), Nodes { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11 },
                                Nodes { 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23 });
    world.evacuate(evacuated);
    world.run(seconds(5));
    REQUIRE(isInForceEverywhere());
    world.cutOff(part);
    world.silenceStoreFor(part);
    world.run(seconds(3));
    world.takeBack(evacuated);
    world.run(seconds(30));
    CHECK(world.nodesEvacuating(evacuated) == part);
    world.cutOff({});
    world.silenceStoreFor({});
    world.run(CatalogWorld::touchTime);
    CHECK(isInForceNowhere());
    world.run(seconds(30));
    CHECK(isInForceNowhere());
    checkKept();

    world.cutOff(part);
    world.silenceStoreFor(part);
    world.run(seconds(3));
    world.evacuate(evacuated);
    world.run(seconds(30));
    CHECK(world.nodesEvacuating(evacuated) == allBut(part));
    world.cutOff({});
    world.silenceStoreFor({});
    world.run(CatalogWorld::touchTime);
    CHECK(isInForceEverywhere());
    checkKept();
}

// Guards against an order that was made, taken back and made again on the two sides of a cut, and
// of which the sides keep different states.
TEST_CASE_METHOD(EvacuationWorldFixture, "EvacuationWorld_madeAgainDuringACut_lastStateCounts")
{
    const Nodes part = domain(1);
    world.evacuate(evacuated);
    world.run(seconds(5));
    world.cutOff(part);
    world.silenceStoreFor(part);
    world.takeBack(evacuated);
    world.run(seconds(8));
    world.evacuate(evacuated);
    world.run(seconds(8));
    world.silenceStoreFor(allBut(part)); // now the other side has no store
    world.run(seconds(3));
    world.takeBack(evacuated);
    world.run(seconds(8));
    world.cutOff({});
    world.run(seconds(3));
    CHECK(isInForceNowhere());
    world.silenceStoreFor({});
    world.run(seconds(10));
    CHECK(isInForceNowhere());
    checkKept();
}

// Guards against a process that continues after a pause with a reply from before it, and keeps or
// spreads the old state.
TEST_CASE_METHOD(EvacuationWorldFixture, "EvacuationWorld_processPaused_knowsTheNewestSoonAfter")
{
    const std::size_t node = GENERATE(0U, 1U, 9U, 23U); // of each domain; watchers and others
    const Duration span = GENERATE(seconds(1), seconds(4), seconds(30));
    world.pause(node, span);
    world.run(milliseconds(100));
    world.evacuate(evacuated);
    world.run(span);
    world.run(CatalogWorld::touchTime);
    CHECK(isInForceEverywhere());
    world.pause(node, span);
    world.run(milliseconds(100));
    world.takeBack(evacuated);
    world.run(span);
    world.run(CatalogWorld::touchTime);
    CHECK(isInForceNowhere());
    world.run(seconds(10));
    checkKept();
}

// Guards against a pause of all watchers of a failure domain at once, after which nobody reads.
TEST_CASE_METHOD(EvacuationWorldFixture, "EvacuationWorld_allWatchersPaused_othersTakeOver")
{
    for (std::size_t node = 0; node < 3 * domainCount; ++node)
        world.pause(node, seconds(40));
    world.run(seconds(1));
    world.evacuate(evacuated);
    world.run(seconds(20));
    CHECK(world.nodesEvacuating(evacuated).size() >= nodeCount - 3 * domainCount);
    world.run(seconds(25));
    CHECK(isInForceEverywhere());
    checkKept();
}

// Guards against nodes that the store refuses and that never learn of an order, although others
// know it, and against an order that comes late to the others because all watchers are refused.
TEST_CASE_METHOD(EvacuationWorldFixture, "EvacuationWorld_storeAnswersSome_othersLearnFromThem")
{
    const Nodes refused
        = GENERATE(allBut({ 23 }), allBut({ 0 }), domain(0), Nodes { 0, 1, 2, 3, 4, 5, 6, 7, 8 },
                   Nodes { 0, 3, 6, 9, 12, 15, 18, 21 });
    const Duration before = GENERATE(seconds(0), seconds(1), seconds(15));
    world.silenceStoreFor(refused);
    world.run(before);
    world.evacuate(evacuated);
    world.run(CatalogWorld::evacuationBound + maxStretch);
    CHECK(isInForceEverywhere());
    world.takeBack(evacuated);
    world.run(CatalogWorld::evacuationBound + maxStretch);
    CHECK(isInForceNowhere());
    world.silenceStoreFor({});
    world.run(seconds(10));
    checkKept();
}

// Guards against a process that starts during an evacuation, is refused by the store, and sends
// requests to the evacuated servers because it got only the configuration from a peer.
TEST_CASE_METHOD(EvacuationWorldFixture, "EvacuationWorld_restartWithoutStore_neverServesUnaware")
{
    const std::size_t node = GENERATE(0U, 1U, 9U, 23U);
    world.evacuate(evacuated);
    world.run(seconds(5));
    world.silenceStoreFor({ node });
    world.restart(node);
    for (int i = 0; i < 200; ++i) {
        world.run(milliseconds(50));
        CHECK(world.nodesEvacuating(evacuated).contains(node) == world.isServing(node));
    }
    CHECK(world.isServing(node));
}

// Guards against a fleet whose processes are all replaced during an evacuation, and against one in
// which an old order returns with the first process that knew it.
TEST_CASE_METHOD(EvacuationWorldFixture, "EvacuationWorld_allRestartedInTurn_orderAndItsEndStay")
{
    world.evacuate(evacuated);
    world.run(seconds(5));
    for (std::size_t node = 0; node < nodeCount; ++node) {
        world.restart(node);
        world.run(milliseconds(300));
    }
    CHECK(isInForceEverywhere());
    for (std::size_t node = 0; node < nodeCount; ++node) {
        if (node == nodeCount / 2)
            world.takeBack(evacuated);
        world.restart(node);
        world.run(milliseconds(300));
    }
    world.run(seconds(2));
    CHECK(isInForceNowhere());
    checkKept();
}

} // namespace
} // namespace camphorreach
