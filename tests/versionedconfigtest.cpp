// Tests of the versioned configuration and of the deltas that nodes send each other.
#include <camphorreach/impl/wire.h>
#include <camphorreach/versionedconfig.h>

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <random>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using Effect = VersionedConfig::Effect;

class VersionedConfigFixture
{
protected:
    static HostRoute route(const std::string &name, int timeoutMs = 100)
    {
        HostRoute result;
        result.host = "a.example";
        result.policy.name = RouteName("r-" + name);
        result.policy.prefix = "/" + name + "/";
        result.policy.deadline = milliseconds(timeoutMs);
        result.weightedServices.push_back({ ServiceName("orders"), 1 });
        return result;
    }
    static MeshConfig config(std::uint64_t version, std::vector<HostRoute> routes)
    {
        MeshConfig result;
        result.version = ConfigVersion(version);
        result.routes = std::move(routes);
        result.services.push_back({ ServiceName("orders"), 10 });
        return result;
    }
    static VersionedConfig holding(const MeshConfig &config)
    {
        VersionedConfig result;
        REQUIRE(result.apply(config) == Effect::Applied);
        return result;
    }
};

TEST_CASE_METHOD(VersionedConfigFixture, "VersionedConfig_baseIsRecorded_deltaHasOnlyChanges")
{
    VersionedConfig sender = holding(config(3, { route("a"), route("b"), route("c") }));
    VersionedConfig receiver = holding(config(3, { route("a"), route("b"), route("c") }));
    REQUIRE(sender.apply(config(5, { route("a"), route("b", 200), route("d") }))
            == Effect::Applied);
    const ConfigDelta delta = sender.deltaSince(ConfigVersion(3));
    CHECK(delta.set == std::vector<HostRoute> { route("b", 200), route("d") });
    CHECK(delta.removed == std::vector<RouteKey> { { "a.example", "/c/" } });
    REQUIRE(receiver.apply(delta) == Effect::Applied);
    CHECK(receiver.config() == sender.config());
    CHECK(receiver.apply(delta) == Effect::NotNewer);
}

// Guards against a node that relays less than it received: one delta may cover several versions,
// and the next node may hold one of the versions in between.
TEST_CASE_METHOD(VersionedConfigFixture,
                 "VersionedConfig_relaySkippedAVersion_nextNodeGetsAllChanges")
{
    VersionedConfig source = holding(config(3, { route("a"), route("b") }));
    VersionedConfig relay = holding(config(3, { route("a"), route("b") }));
    REQUIRE(source.apply(config(4, { route("a", 200), route("c") })) == Effect::Applied);
    VersionedConfig receiver = holding(source.config()); // version 4, which version 5 reverts
    REQUIRE(source.apply(config(5, { route("a"), route("b") })) == Effect::Applied);
    REQUIRE(relay.apply(source.deltaSince(ConfigVersion(3))) == Effect::Applied);
    REQUIRE(receiver.apply(relay.deltaSince(ConfigVersion(4))) == Effect::Applied);
    CHECK(receiver.config() == source.config());
}

// Guards against a delta that is applied to a different base than its own, or only partly.
TEST_CASE_METHOD(VersionedConfigFixture,
                 "VersionedConfig_resultDiffersFromTheSenders_nothingIsApplied")
{
    VersionedConfig sender = holding(config(3, { route("a"), route("b") }));
    REQUIRE(sender.apply(config(5, { route("a"), route("b", 200) })) == Effect::Applied);
    const MeshConfig other = config(4, { route("a", 300), route("b") });
    VersionedConfig receiver = holding(other);
    CHECK(receiver.apply(sender.deltaSince(ConfigVersion(3))) == Effect::Rejected);
    CHECK(receiver.config() == other);
    CHECK(receiver.apply(sender.deltaSince({})) == Effect::Applied);
    CHECK(receiver.config() == sender.config());
}

TEST_CASE_METHOD(VersionedConfigFixture, "VersionedConfig_baseIsNotHeld_isRejected")
{
    VersionedConfig sender = holding(config(3, { route("a") }));
    REQUIRE(sender.apply(config(5, { route("b") })) == Effect::Applied);
    VersionedConfig receiver = holding(config(2, { route("a") }));
    CHECK(receiver.apply(sender.deltaSince(ConfigVersion(3))) == Effect::Rejected);
    CHECK(sender.deltaSince(ConfigVersion(2)).isComplete());
}

// Guards against nodes that hold different routes under one version, over random edits that reach
// the nodes along random paths. A delta that does not fit must be rejected, not applied wrongly.
TEST_CASE_METHOD(VersionedConfigFixture,
                 "VersionedConfig_randomEditsAndPaths_contentMatchesVersion")
{
    std::mt19937_64 random(GENERATE(range(1, 20)));
    constexpr std::size_t nodes = 5;
    std::vector<HostRoute> routes;
    std::map<ConfigVersion, MeshConfig> contents;
    std::array<VersionedConfig, nodes> copies;
    for (std::uint64_t version = 1; version <= 60; ++version) {
        const int key = static_cast<int>(random() % 12);
        const HostRoute edited = route(std::to_string(key), static_cast<int>(random() % 3) + 1);
        std::erase_if(routes, [&](const HostRoute &existing) {
            return existing.policy.prefix == edited.policy.prefix;
        });
        if (random() % 3 != 0)
            routes.push_back(edited);
        VersionedConfig reference;
        (void)reference.apply(config(version, routes));
        contents.emplace(ConfigVersion(version), reference.config());
        if (random() % 2 == 0)
            (void)copies[0].apply(config(version, routes));
        for (int i = 0; i < 4; ++i) {
            const VersionedConfig &from = copies[random() % nodes];
            VersionedConfig &to = copies[random() % nodes];
            if (from.version() <= to.version())
                continue;
            if (to.apply(from.deltaSince(to.version())) == Effect::Rejected)
                REQUIRE(to.apply(from.deltaSince({})) == Effect::Applied);
            REQUIRE(to.config() == contents.at(to.version()));
        }
    }
}

// Guards against an update that is sent as a datagram although it is larger than one.
TEST_CASE_METHOD(VersionedConfigFixture, "VersionedConfig_sizeBound_isNotBelowTheEncodedSize")
{
    for (int count = 0; count < 20; ++count) {
        std::vector<HostRoute> routes(static_cast<std::size_t>(count));
        std::size_t length = 0;
        for (HostRoute &one : routes)
            one = route(std::string(length++, 'x'));
        VersionedConfig sender = holding(config(1, routes));
        const MeshConfig next = config(2, { route("last") });
        REQUIRE(sender.apply(next) == Effect::Applied);
        const ConfigDelta delta = sender.deltaSince(ConfigVersion(1));
        const auto sizeOf = [](CatalogUpdate update) {
            return impl::encodePayload({ {}, CatalogMessage(std::move(update)) }).size();
        };
        CHECK(sizeOf({ {}, delta, {}, {} }) - sizeOf({}) <= encodedSizeBound(delta));
    }
}

// Guards against nodes that learn a configuration from peers and limit cold servers differently
// from those that read it from the store, and against a changed rate that the digest does not
// cover.
TEST_CASE_METHOD(VersionedConfigFixture, "VersionedConfig_warmUpOfService_isPartOfDeltaAndDigest")
{
    MeshConfig before = config(3, { route("a") });
    MeshConfig after = config(4, { route("a") });
    after.services.front().warmUp = WarmUpPolicy { std::chrono::seconds(3), WarmUpRate(8700) };
    const VersionedConfig sender = holding(after);
    const ConfigDelta delta = sender.deltaSince({});
    CHECK(delta.digest != holding(config(4, { route("a") })).deltaSince({}).digest);
    const impl::Envelope envelope { {}, CatalogMessage(CatalogUpdate { {}, delta, {}, {} }) };
    const std::string payload = impl::encodePayload(envelope);
    CHECK(payload.size() <= encodedSizeBound(delta) + 200);
    const auto decoded = impl::decodePayload(payload);
    REQUIRE(isOk(decoded));
    const auto &update
        = std::get<CatalogUpdate>(std::get<CatalogMessage>(valueOf(decoded).message));
    VersionedConfig receiver = holding(before);
    REQUIRE(receiver.apply(*update.config) == Effect::Applied);
    CHECK(receiver.config() == sender.config());
    const auto snapshot = snapshotOf(receiver.config(), Share::none());
    CHECK(snapshot->findService(ServiceName("orders"))->warmUp == after.services.front().warmUp);
}

class OrganisationsFixture : protected VersionedConfigFixture
{
protected:
    static Organisation organisation(const std::string &name, std::vector<std::string> keys)
    {
        Organisation result { OrganisationName(name), {} };
        for (std::string &key : keys)
            result.keys.emplace_back(std::move(key));
        return result;
    }
    static MeshConfig with(std::uint64_t version, std::vector<Organisation> organisations)
    {
        MeshConfig result = config(version, { route("a") });
        result.organisations = std::move(organisations);
        return result;
    }
};

// Guards against a change of one key that sends all organisations.
TEST_CASE_METHOD(OrganisationsFixture, "VersionedConfig_oneKeyChanges_deltaHasOnlyItsOrganisation")
{
    const auto quarry = organisation("quarry", { "k3" });
    VersionedConfig sender = holding(with(3, { organisation("ice", { "k1" }), quarry }));
    VersionedConfig receiver = holding(with(3, { organisation("ice", { "k1" }), quarry }));
    const auto changed = organisation("ice", { "k1", "k2" });
    REQUIRE(sender.apply(with(5, { changed, quarry })) == Effect::Applied);
    const ConfigDelta delta = sender.deltaSince(ConfigVersion(3));
    CHECK(delta.organisations == std::vector<Organisation> { changed });
    CHECK(delta.removedOrganisations.empty());
    CHECK(delta.set.empty());
    REQUIRE(receiver.apply(delta) == Effect::Applied);
    CHECK(receiver.config() == sender.config());
}

// Guards against a key that two organisations hold at a node that applied a delta.
TEST_CASE_METHOD(OrganisationsFixture, "VersionedConfig_keyMovesAndOrganisationGoes_deltaHasBoth")
{
    const MeshConfig before
        = with(3,
               { organisation("ice", { "k1", "k2" }), organisation("quarry", { "k3" }),
                 organisation("trucks", { "k4" }) });
    VersionedConfig sender = holding(before);
    VersionedConfig receiver = holding(before);
    REQUIRE(sender.apply(
                with(4, { organisation("ice", { "k1" }), organisation("quarry", { "k3", "k2" }) }))
            == Effect::Applied);
    const ConfigDelta delta = sender.deltaSince(ConfigVersion(3));
    CHECK(delta.organisations.size() == 2);
    CHECK(delta.removedOrganisations
          == std::vector<OrganisationName> { OrganisationName("trucks") });
    REQUIRE(receiver.apply(delta) == Effect::Applied);
    CHECK(receiver.config() == sender.config());
    CHECK(receiver.deltaSince(ConfigVersion(3)) == delta);
}

// Guards against any field of an organisation or a route that the digest leaves out, so that nodes
// with different contents take themselves for equal.
TEST_CASE_METHOD(OrganisationsFixture, "VersionedConfig_organisationsDiffer_deltaIsRejected")
{
    Organisation base = organisation("ice", { "k1" });
    base.weight = 2;
    base.quota = RequestQuota { RequestRate(10), RequestCount(5) };
    std::vector<Organisation> others(5, base);
    others[0].keys.front() = ApiKey("k2");
    others[1].weight = 3;
    others[2].weight.reset();
    others[3].quota->burst = RequestCount(6);
    others[4].quota.reset();
    VersionedConfig sender = holding(with(3, { base }));
    MeshConfig later = with(4, { base });
    later.routes = { route("b") };
    REQUIRE(sender.apply(later) == Effect::Applied);
    for (const Organisation &other : others) {
        VersionedConfig receiver = holding(with(3, { other }));
        CHECK(receiver.apply(sender.deltaSince(ConfigVersion(3))) == Effect::Rejected);
    }
    MeshConfig exempt = with(3, { base });
    exempt.routes.push_back(route("c"));
    MeshConfig notExempt = exempt;
    exempt.routes.back().policy.isKeyExempt = true;
    VersionedConfig exemptSender = holding(exempt);
    later.routes = { route("a"), exempt.routes.back() };
    later.services.push_back({ ServiceName("trucks"), 1 });
    REQUIRE(exemptSender.apply(later) == Effect::Applied);
    CHECK(holding(notExempt).apply(exemptSender.deltaSince(ConfigVersion(3))) == Effect::Rejected);
}

TEST_CASE_METHOD(OrganisationsFixture,
                 "VersionedConfig_sizeBoundWithOrganisations_isNotBelowTheEncodedSize")
{
    for (std::size_t count = 0; count < 20; ++count) {
        std::vector<Organisation> organisations;
        for (std::size_t i = 0; i < count; ++i) {
            organisations.push_back(
                organisation(std::string(i + 1, 'o'), std::vector<std::string>(i, "a-key")));
            organisations.back().weight = 3;
            organisations.back().quota = RequestQuota { RequestRate(10), RequestCount(5) };
        }
        VersionedConfig sender = holding(with(1, { organisation("gone", {}) }));
        REQUIRE(sender.apply(with(2, organisations)) == Effect::Applied);
        const ConfigDelta delta = sender.deltaSince(ConfigVersion(1));
        const auto sizeOf = [](CatalogUpdate update) {
            return impl::encodePayload({ {}, CatalogMessage(std::move(update)) }).size();
        };
        CHECK(sizeOf({ {}, delta, {}, {} }) - sizeOf({}) <= encodedSizeBound(delta));
    }
}

} // namespace
} // namespace camphorreach
