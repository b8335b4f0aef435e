// Tests of the catalog: exchange of the configuration with peers.
#include "catalogfixture.h"

#include <vector>

namespace camphorreach {
namespace {

using std::chrono::seconds;

// Guards against nodes that cannot reach the store and miss changes.
TEST_CASE_METHOD(CatalogFixture, "Catalog_peerIsBehind_getsDigestAndRequestedUpdate")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(7), 44));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, digest(3) });
    const auto *reply = lastSent<CatalogDigest>();
    REQUIRE(reply != nullptr);
    CHECK(reply->isAnswer);
    CHECK(reply->versions.config == ConfigVersion(7));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 },
                                           CatalogPull { { ConfigVersion(3), {} } } });
    const auto *update = lastSent<CatalogUpdate>();
    REQUIRE(update != nullptr);
    REQUIRE(update->config);
    CHECK(update->config->version == ConfigVersion(7));
    CHECK(update->config->isComplete()); // the changes since version 3 are not recorded
}

TEST_CASE_METHOD(CatalogFixture, "Catalog_peerIsAhead_isPulledFrom")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, digest(9) });
    const auto *pull = lastSent<CatalogPull>();
    REQUIRE(pull != nullptr);
    CHECK(pull->versions.config == ConfigVersion(3));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, update(9) });
    CHECK(versions == std::vector<std::uint64_t> { 3, 9 });
}

// Guards against a starting node that gets the configuration twice, from the store and from peers.
TEST_CASE_METHOD(CatalogFixture, "Catalog_noConfiguration_pullsFromPeersOnlyWhenStoreIsSlow")
{
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, digest(9) });
    CHECK(lastSent<CatalogPull>() == nullptr);
    advance(seconds(1));
    CHECK(lastSent<CatalogPull>() != nullptr);
}

} // namespace
} // namespace camphorreach
