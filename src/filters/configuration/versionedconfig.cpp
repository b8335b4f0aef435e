// The newest configuration and the changes since older versions.
#include <camphorreach/versionedconfig.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace camphorreach {
namespace {

// When more removals than this are recorded, all are dropped, and nodes with older versions are
// sent the complete configuration.
constexpr std::size_t maxRemoved = 4096;
// Sizes in the encoding: numbers have their own size; strings and lists follow a length of four
// bytes.
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t fixedDeltaBytes = 3 * 8 + 3 * lengthBytes + 2 * 4 + 3 * 8;
constexpr std::size_t fixedRouteBytes = 5 * lengthBytes + 2 * 4 + 2 * 1 + 2 * 8;
constexpr std::size_t fixedServiceBytes = lengthBytes + 4;
constexpr std::size_t warmUpBytes = 1 + 8 + 4; // with the flag that says whether it follows

// Hashes the fields of a value. Strings are hashed with their length, so that a different split of
// the same text gives a different hash.
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
    for (const WeightedService &entry : route.weightedServices)
        hasher.add(entry.service.value()).add(entry.weight);
    return hasher.result();
}

std::uint64_t hashOf(const std::vector<MeshService> &services, const HttpLimits &limits)
{
    Hasher hasher;
    for (const MeshService &service : services) {
        hasher.add(service.name.value()).add(service.maxConnections);
        if (service.warmUp)
            hasher.add("warm-up").add(service.warmUp->duration).add(service.warmUp->rate.value());
    }
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

std::size_t encodedSizeBound(const ConfigDelta &delta) noexcept
{
    std::size_t bytes = fixedDeltaBytes;
    for (const HostRoute &route : delta.set) {
        bytes += fixedRouteBytes + route.host.size() + route.policy.name.value().size()
            + route.policy.prefix.size() + route.policy.kind.value().size();
        for (const WeightedService &entry : route.weightedServices)
            bytes += fixedServiceBytes + entry.service.value().size();
    }
    for (const RouteKey &key : delta.removed)
        bytes += 2 * lengthBytes + key.host.size() + key.prefix.size();
    for (const MeshService &service : delta.services)
        bytes += fixedServiceBytes + warmUpBytes + service.name.value().size();
    return bytes;
}

VersionedConfig::Effect VersionedConfig::apply(const MeshConfig &config)
{
    if (config.version <= m_version)
        return Effect::NotNewer;
    std::map<RouteKey, RouteEntry> routes;
    for (const HostRoute &route : config.routes)
        routes.insert_or_assign(keyOf(route), RouteEntry { route, config.version });
    m_services = config.services;
    m_limits = config.limits;
    replaceAll(std::move(routes), config.version);
    return Effect::Applied;
}

VersionedConfig::Effect VersionedConfig::apply(const ConfigDelta &delta)
{
    if (delta.version <= m_version)
        return Effect::NotNewer;
    if (!delta.isComplete() && delta.base > m_version)
        return Effect::Rejected;
    std::map<RouteKey, RouteEntry> set;
    for (const HostRoute &route : delta.set)
        set.insert_or_assign(keyOf(route), RouteEntry { route, delta.version });
    // The digest covers the result, so nothing is changed before it is known to match.
    std::uint64_t routeDigest = delta.isComplete() ? 0 : m_routeDigest;
    const auto subtract = [&](const RouteKey &key) {
        const auto current = m_routes.find(key);
        if (current != m_routes.end() && !delta.isComplete())
            routeDigest -= hashOf(current->second.route);
    };
    for (const auto &[key, entry] : set) {
        subtract(key);
        routeDigest += hashOf(entry.route);
    }
    std::vector<RouteKey> removed;
    std::ranges::copy_if(delta.removed, std::back_inserter(removed),
                         [&](const RouteKey &key) { return !set.contains(key); });
    std::ranges::sort(removed);
    removed.erase(std::unique(removed.begin(), removed.end()), removed.end());
    std::ranges::for_each(removed, subtract);
    if (digestOf(routeDigest, delta.services, delta.limits) != delta.digest)
        return Effect::Rejected;
    m_services = delta.services;
    m_limits = delta.limits;
    if (delta.isComplete()) {
        replaceAll(std::move(set), delta.version);
        return Effect::Applied;
    }
    for (RouteKey &key : removed) {
        m_routes.erase(key);
        m_removed.insert_or_assign(std::move(key), delta.version);
    }
    // A route that is set to its current value may have differed in a version in between, so it
    // counts as changed.
    for (auto &[key, entry] : set) {
        m_removed.erase(key);
        m_routes.insert_or_assign(key, std::move(entry));
    }
    m_routeDigest = routeDigest;
    m_version = delta.version;
    pruneRemovals();
    return Effect::Applied;
}

void VersionedConfig::replaceAll(std::map<RouteKey, RouteEntry> routes, ConfigVersion version)
{
    if (m_version == ConfigVersion())
        m_oldestBase = version;
    for (const auto &[key, entry] : m_routes) {
        const auto found = routes.find(key);
        if (found == routes.end())
            m_removed.insert_or_assign(key, version);
        else if (found->second.route == entry.route)
            found->second.lastChanged = entry.lastChanged;
    }
    m_routes = std::move(routes);
    m_routeDigest = 0;
    for (const auto &[key, entry] : m_routes) {
        m_removed.erase(key);
        m_routeDigest += hashOf(entry.route);
    }
    m_version = version;
    pruneRemovals();
}

void VersionedConfig::pruneRemovals()
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
    for (const auto &[key, entry] : m_routes)
        config.routes.push_back(entry.route);
    config.services = m_services;
    config.limits = m_limits;
    return config;
}

ConfigDelta VersionedConfig::deltaSince(ConfigVersion base) const
{
    const bool isDelta = base != ConfigVersion() && base >= m_oldestBase;
    ConfigDelta delta {
        isDelta ? base : ConfigVersion(), m_version, digest(), {}, {}, m_services, m_limits
    };
    for (const auto &[key, entry] : m_routes) {
        if (entry.lastChanged > delta.base)
            delta.set.push_back(entry.route);
    }
    for (const auto &[key, version] : m_removed) {
        if (isDelta && version > base)
            delta.removed.push_back(key);
    }
    return delta;
}

} // namespace camphorreach
