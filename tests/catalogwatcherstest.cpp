// Tests of the catalog: which nodes watch the store, and what the others get from their peers.
#include "catalogfixture.h"

#include <algorithm>
#include <string>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LargeDomainCatalogFixture : public CatalogFixture
{
protected:
    // This node has the fifth lowest address of its failure domain, so it is not a watcher.
    LargeDomainCatalogFixture() : CatalogFixture(5)
    {
        auto table = std::make_shared<EndpointTable>();
        for (std::uint16_t port = 1; port <= 9; ++port)
            table->services[ServiceName("orders")].push_back(
                endpoint("n" + std::to_string(port), port));
        process(EndpointsChanged { table });
        receiveDigest(0);
    }

    // Delivers a peer's digest with this version.
    void receiveDigest(std::uint64_t version, std::uint16_t from = 1, Duration staleness = {})
    {
        process(PeerReceived<CatalogMessage> { { "127.0.0.1", from }, digest(version, staleness) });
    }

    [[nodiscard]] std::size_t callCount(StoreKind kind) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(calls, [kind](const StoreCall &call) {
            const auto *list = std::get_if<StoreList>(&call.operation);
            const auto *watch = std::get_if<StoreWatch>(&call.operation);
            return (list != nullptr && list->kind == kind)
                || (watch != nullptr && watch->kind == kind);
        }));
    }
};

// Guards against a number of store calls that grows with the number of nodes.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_peersAreUpToDate_storeIsNotCalled")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    answer(lastCall<StoreList>(StoreKind::Rollouts), StoreEntries { {}, ObjectVersion(40) });
    const std::size_t before = callCount(StoreKind::Configuration);
    for (int i = 0; i < 60; ++i) {
        advance(milliseconds(500));
        receiveDigest(3, 1, milliseconds(500));
    }
    CHECK(callCount(StoreKind::Configuration) == before);
    CHECK(lastCall<StoreWatch>(StoreKind::Configuration) == nullptr);
}

// Guards against a node that relies on peers as stale as itself: the watchers stop or are refused
// by the store, while all nodes still receive digests from each other.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_peersAreStale_watchesTheStore")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    answer(lastCall<StoreList>(StoreKind::Rollouts), StoreEntries { {}, ObjectVersion(40) });
    Duration staleness {};
    for (int i = 0; i < 14; ++i) {
        advance(milliseconds(500));
        staleness += milliseconds(500);
        receiveDigest(3, 1, staleness);
    }
    const StoreCall *watch = lastCall<StoreWatch>(StoreKind::Configuration);
    REQUIRE(watch != nullptr);
    CHECK(std::get<StoreWatch>(watch->operation).since == ObjectVersion(40));
}

// Guards against a watch that returns, in full, every version that peers have already sent.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_startsToWatchAfterPeerUpdate_listsFirst")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, update(9) });
    const std::size_t before = callCount(StoreKind::Configuration);
    advance(seconds(7));
    REQUIRE(callCount(StoreKind::Configuration) == before + 1);
    const StoreCall *list = lastCall<StoreList>(StoreKind::Configuration);
    CHECK_FALSE(std::get<StoreList>(list->operation).mayBeStale);
    CHECK(lastCall<StoreWatch>(StoreKind::Configuration) == nullptr);
}

// Guards against relying on watchers that are draining.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_watchersDrain_nextRanksWatch")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    REQUIRE(lastCall<StoreWatch>(StoreKind::Configuration) == nullptr);
    auto table = std::make_shared<EndpointTable>();
    for (std::uint16_t port = 1; port <= 9; ++port) {
        table->services[ServiceName("orders")].push_back(
            endpoint("n" + std::to_string(port), port));
        if (port <= 3)
            table->services[ServiceName("orders")].back().state = EndpointState::Draining;
    }
    process(EndpointsChanged { table });
    CHECK(lastCall<StoreWatch>(StoreKind::Configuration) != nullptr);
}

// Guards against a node that is cut off from its peers and misses changes.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_peersSilent_watchesTheStore")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    REQUIRE(lastCall<StoreWatch>(StoreKind::Configuration) == nullptr);
    advance(seconds(4));
    const StoreCall *watch = lastCall<StoreWatch>(StoreKind::Configuration);
    REQUIRE(watch != nullptr);
    CHECK(std::get<StoreWatch>(watch->operation).since == ObjectVersion(40));
}

// Guards against changes that reach nodes which do not watch only with the next periodic digests.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_newConfiguration_digestIsPushedAtOnce")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    CHECK(sends.size() == 3);
    sends.clear();
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, update(5) });
    CHECK(versions.back() == 5);
    CHECK(sends.size() == 3);
    sends.clear();
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 3 }, update(5) });
    CHECK(sends.empty());
}

// Guards against pulling the same change from every node whose digest shows it.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_severalPeersAreAhead_pullsFromOne")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    sends.clear();
    receiveDigest(4, 2);
    receiveDigest(4, 3);
    CHECK(sends.size() == 1);
    advance(milliseconds(300)); // the node that was asked may have stopped
    REQUIRE(sends.size() == 2);
    CHECK(std::holds_alternative<CatalogPull>(std::get<CatalogMessage>(sends[1].message)));
    CHECK(sends[0].to != sends[1].to);
}

} // namespace
} // namespace camphorreach
