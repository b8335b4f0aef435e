// The newest configuration and the changes that led to it.
#include <camphorreach/versionedconfig.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace camphorreach {
namespace {

// A node that is behind by more removals than this is sent everything.
constexpr std::size_t maxRemoved = 4096;
// Sizes in the encoding: numbers as they are, texts and lists behind a length of four bytes.
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t fixedChangesBytes = 3 * 8 + 3 * lengthBytes + 2 * 4 + 3 * 8;
constexpr std::size_t fixedRouteBytes = 5 * lengthBytes + 2 * 4 + 2 * 1 + 2 * 8;
constexpr std::size_t fixedPartBytes = lengthBytes + 4;

// Hashes the parts of a value with their lengths.
class Hasher
{
public:
    Hasher &add(const std::string &text)
    {
        add(text.size());
        m_bytes += text;
        return *this;
    }
    Hasher &add(std::uint64_t number)
    {
        for (int shift = 0; shift < 64; shift += 8)
            m_bytes.push_back(static_cast<char>((number >> shift) & 0xffU));
        return *this;
    }
    Hasher &add(Duration duration) { return add(static_cast<std::uint64_t>(duration.count())); }

    [[nodiscard]] std::uint64_t result() const
    {
        return XXH3_64bits(m_bytes.data(), m_bytes.size());
    }

private:
    std::string m_bytes;
};

std::uint64_t hashOf(const HostRoute &route)
{
    const RoutePolicy &policy = route.policy;
    Hasher hasher;
    hasher.add(route.host).add(policy.name.value()).add(policy.prefix).add(policy.kind.value());
    hasher.add(policy.kindWeight).add(policy.isIdempotent ? 1U : 0U).add(policy.deadline);
    hasher.add(policy.maxAttempts).add(policy.targetLatency).add(policy.maySpill ? 1U : 0U);
    for (const TrafficPart &part : route.parts)
        hasher.add(part.service.value()).add(part.weight);
    return hasher.result();
}

std::uint64_t hashOf(const std::vector<MeshService> &services, const HttpLimits &limits)
{
    Hasher hasher;
    for (const MeshService &service : services)
        hasher.add(service.name.value()).add(service.maxConnections);
    hasher.add(limits.headerBytes).add(limits.bodyBytes);
    hasher.add(limits.headerTimeout).add(limits.idleTimeout);
    return hasher.result();
}

Digest digestOf(std::uint64_t routes, const std::vector<MeshService> &services,
                const HttpLimits &limits)
{
    return Digest(routes + hashOf(services, limits));
}

RouteKey keyOf(const HostRoute &route)
{
    return { canonicalHost(route.host), route.policy.prefix };
}

} // namespace

std::size_t encodedSizeBound(const ConfigChanges &changes) noexcept
{
    std::size_t bytes = fixedChangesBytes;
    for (const HostRoute &route : changes.set) {
        bytes += fixedRouteBytes + route.host.size() + route.policy.name.value().size()
            + route.policy.prefix.size() + route.policy.kind.value().size();
        for (const TrafficPart &part : route.parts)
            bytes += fixedPartBytes + part.service.value().size();
    }
    for (const RouteKey &key : changes.removed)
        bytes += 2 * lengthBytes + key.host.size() + key.prefix.size();
    for (const MeshService &service : changes.services)
        bytes += fixedPartBytes + service.name.value().size();
    return bytes;
}

VersionedConfig::Effect VersionedConfig::take(const MeshConfig &config)
{
    if (config.version <= m_version)
        return Effect::Known;
    std::map<RouteKey, Held> routes;
    for (const HostRoute &route : config.routes)
        routes.insert_or_assign(keyOf(route), Held { route, config.version });
    m_services = config.services;
    m_limits = config.limits;
    takeComplete(std::move(routes), config.version);
    return Effect::Applied;
}

VersionedConfig::Effect VersionedConfig::take(const ConfigChanges &changes)
{
    if (changes.version <= m_version)
        return Effect::Known;
    if (!changes.isComplete() && changes.base > m_version)
        return Effect::Unusable;
    std::map<RouteKey, Held> set;
    for (const HostRoute &route : changes.set)
        set.insert_or_assign(keyOf(route), Held { route, changes.version });
    // The digest is that of the result, so nothing is changed before it is known to match.
    std::uint64_t routeDigest = changes.isComplete() ? 0 : m_routeDigest;
    const auto subtract = [&](const RouteKey &key) {
        const auto held = m_routes.find(key);
        if (held != m_routes.end() && !changes.isComplete())
            routeDigest -= hashOf(held->second.route);
    };
    for (const auto &[key, entry] : set) {
        subtract(key);
        routeDigest += hashOf(entry.route);
    }
    std::vector<RouteKey> removed;
    std::ranges::copy_if(changes.removed, std::back_inserter(removed),
                         [&](const RouteKey &key) { return !set.contains(key); });
    std::ranges::sort(removed);
    removed.erase(std::unique(removed.begin(), removed.end()), removed.end());
    std::ranges::for_each(removed, subtract);
    if (digestOf(routeDigest, changes.services, changes.limits) != changes.digest)
        return Effect::Unusable;
    m_services = changes.services;
    m_limits = changes.limits;
    if (changes.isComplete()) {
        takeComplete(std::move(set), changes.version);
        return Effect::Applied;
    }
    for (RouteKey &key : removed) {
        m_routes.erase(key);
        m_removed.insert_or_assign(std::move(key), changes.version);
    }
    // A route that is set to what is held already may have differed in a version between.
    for (auto &[key, entry] : set) {
        m_removed.erase(key);
        m_routes.insert_or_assign(key, std::move(entry));
    }
    m_routeDigest = routeDigest;
    m_version = changes.version;
    forgetOldRemovals();
    return Effect::Applied;
}

void VersionedConfig::takeComplete(std::map<RouteKey, Held> routes, ConfigVersion version)
{
    if (m_version == ConfigVersion())
        m_oldestBase = version;
    for (const auto &[key, held] : m_routes) {
        const auto found = routes.find(key);
        if (found == routes.end())
            m_removed.insert_or_assign(key, version);
        else if (found->second.route == held.route)
            found->second.changed = held.changed;
    }
    m_routes = std::move(routes);
    m_routeDigest = 0;
    for (const auto &[key, held] : m_routes) {
        m_removed.erase(key);
        m_routeDigest += hashOf(held.route);
    }
    m_version = version;
    forgetOldRemovals();
}

void VersionedConfig::forgetOldRemovals()
{
    if (m_removed.size() <= maxRemoved)
        return;
    m_removed.clear();
    m_oldestBase = m_version;
}

Digest VersionedConfig::digest() const
{
    return digestOf(m_routeDigest, m_services, m_limits);
}

MeshConfig VersionedConfig::config() const
{
    MeshConfig config;
    config.version = m_version;
    config.routes.reserve(m_routes.size());
    for (const auto &[key, held] : m_routes)
        config.routes.push_back(held.route);
    config.services = m_services;
    config.limits = m_limits;
    return config;
}

ConfigChanges VersionedConfig::changesSince(ConfigVersion base) const
{
    const bool isKnown = base != ConfigVersion() && base >= m_oldestBase;
    ConfigChanges changes {
        isKnown ? base : ConfigVersion(), m_version, digest(), {}, {}, m_services, m_limits
    };
    for (const auto &[key, held] : m_routes) {
        if (held.changed > changes.base)
            changes.set.push_back(held.route);
    }
    for (const auto &[key, version] : m_removed) {
        if (isKnown && version > base)
            changes.removed.push_back(key);
    }
    return changes;
}

} // namespace camphorreach
