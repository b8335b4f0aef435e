// Tests of the configuration that is held, and of the changes that nodes send each other.
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
        result.parts.push_back({ ServiceName("orders"), 1 });
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
    static VersionedConfig held(const MeshConfig &config)
    {
        VersionedConfig result;
        REQUIRE(result.take(config) == Effect::Applied);
        return result;
    }
};

TEST_CASE_METHOD(VersionedConfigFixture, "VersionedConfig_baseIsKnown_onlyChangesAreTold")
{
    VersionedConfig sender = held(config(3, { route("a"), route("b"), route("c") }));
    VersionedConfig receiver = held(config(3, { route("a"), route("b"), route("c") }));
    REQUIRE(sender.take(config(5, { route("a"), route("b", 200), route("d") })) == Effect::Applied);
    const ConfigChanges changes = sender.changesSince(ConfigVersion(3));
    CHECK(changes.set == std::vector<HostRoute> { route("b", 200), route("d") });
    CHECK(changes.removed == std::vector<RouteKey> { { "a.example", "/c/" } });
    REQUIRE(receiver.take(changes) == Effect::Applied);
    CHECK(receiver.config() == sender.config());
    CHECK(receiver.take(changes) == Effect::Known);
}

// Guards against a node that passes on less than it was told: what it got at once may have come in
// several versions, and the next node may hold one of those between.
TEST_CASE_METHOD(VersionedConfigFixture, "VersionedConfig_relayMissedAVersion_nextNodeIsTold")
{
    VersionedConfig source = held(config(3, { route("a"), route("b") }));
    VersionedConfig relay = held(config(3, { route("a"), route("b") }));
    REQUIRE(source.take(config(4, { route("a", 200), route("c") })) == Effect::Applied);
    VersionedConfig last = held(source.config()); // version 4, with what is taken back next
    REQUIRE(source.take(config(5, { route("a"), route("b") })) == Effect::Applied);
    REQUIRE(relay.take(source.changesSince(ConfigVersion(3))) == Effect::Applied);
    REQUIRE(last.take(relay.changesSince(ConfigVersion(4))) == Effect::Applied);
    CHECK(last.config() == source.config());
}

// Guards against a version that is applied to something else than it was made for, or in part.
TEST_CASE_METHOD(VersionedConfigFixture,
                 "VersionedConfig_resultDiffersFromTheSenders_nothingIsTaken")
{
    VersionedConfig sender = held(config(3, { route("a"), route("b") }));
    REQUIRE(sender.take(config(5, { route("a"), route("b", 200) })) == Effect::Applied);
    const MeshConfig other = config(4, { route("a", 300), route("b") });
    VersionedConfig receiver = held(other);
    CHECK(receiver.take(sender.changesSince(ConfigVersion(3))) == Effect::Unusable);
    CHECK(receiver.config() == other);
    CHECK(receiver.take(sender.changesSince({})) == Effect::Applied);
    CHECK(receiver.config() == sender.config());
}

TEST_CASE_METHOD(VersionedConfigFixture, "VersionedConfig_baseIsNotHeld_isUnusable")
{
    VersionedConfig sender = held(config(3, { route("a") }));
    REQUIRE(sender.take(config(5, { route("b") })) == Effect::Applied);
    VersionedConfig receiver = held(config(2, { route("a") }));
    CHECK(receiver.take(sender.changesSince(ConfigVersion(3))) == Effect::Unusable);
    CHECK(sender.changesSince(ConfigVersion(2)).isComplete());
}

// Guards against nodes that hold different routes under one version, over random edits and random
// paths of the changes; what doesn't fit must be refused, never taken wrongly.
TEST_CASE_METHOD(VersionedConfigFixture,
                 "VersionedConfig_randomEditsAndPaths_contentFollowsVersion")
{
    std::mt19937_64 random(GENERATE(range(1, 20)));
    constexpr std::size_t nodes = 5;
    std::vector<HostRoute> routes;
    std::map<ConfigVersion, MeshConfig> contents;
    std::array<VersionedConfig, nodes> copies;
    for (std::uint64_t version = 1; version <= 60; ++version) {
        const int key = static_cast<int>(random() % 12);
        const HostRoute edited = route(std::to_string(key), static_cast<int>(random() % 3) + 1);
        std::erase_if(routes, [&](const HostRoute &one) {
            return one.policy.prefix == edited.policy.prefix;
        });
        if (random() % 3 != 0)
            routes.push_back(edited);
        VersionedConfig reference;
        (void)reference.take(config(version, routes));
        contents.emplace(ConfigVersion(version), reference.config());
        if (random() % 2 == 0)
            (void)copies[0].take(config(version, routes));
        for (int i = 0; i < 4; ++i) {
            const VersionedConfig &from = copies[random() % nodes];
            VersionedConfig &to = copies[random() % nodes];
            if (from.version() <= to.version())
                continue;
            if (to.take(from.changesSince(to.version())) == Effect::Unusable)
                REQUIRE(to.take(from.changesSince({})) == Effect::Applied);
            REQUIRE(to.config() == contents.at(to.version()));
        }
    }
}

// Guards against an update in a datagram that is larger than a datagram.
TEST_CASE_METHOD(VersionedConfigFixture, "VersionedConfig_sizeBound_isNotBelowTheEncodedSize")
{
    for (int count = 0; count < 20; ++count) {
        std::vector<HostRoute> routes(static_cast<std::size_t>(count));
        std::size_t length = 0;
        for (HostRoute &one : routes)
            one = route(std::string(length++, 'x'));
        VersionedConfig sender = held(config(1, routes));
        const MeshConfig next = config(2, { route("last") });
        REQUIRE(sender.take(next) == Effect::Applied);
        const ConfigChanges changes = sender.changesSince(ConfigVersion(1));
        const auto sizeOf = [](CatalogUpdate update) {
            return impl::encodePayload({ {}, CatalogMessage(std::move(update)) }).size();
        };
        CHECK(sizeOf({ {}, changes, {}, {} }) - sizeOf({}) <= encodedSizeBound(changes));
    }
}

} // namespace
} // namespace camphorreach
