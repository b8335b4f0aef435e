// The newest configuration and the changes since older versions.
#include <camphorreach/versionedconfig.h>

#include <algorithm>
#include <bit>
#include <utility>
#include <xxhash.h>

namespace camphorreach {
namespace {

// Sizes in the encoding: numbers have their own size; strings and lists follow a length of four
// bytes.
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t fixedDeltaBytes = 3 * 8 + 5 * lengthBytes + 2 * 4 + 3 * 8;
constexpr std::size_t fixedRouteBytes = 5 * lengthBytes + 2 * 4 + 3 * 1 + 2 * 8;
constexpr std::size_t fixedServiceBytes = lengthBytes + 4;
// With the flag that says whether it follows, without the path.
constexpr std::size_t warmUpBytes = 1 + 8 + 4 + lengthBytes;
// Name, list of keys, and the optional weight and quota, each after a flag.
constexpr std::size_t fixedOrganisationBytes = 2 * lengthBytes + (1 + 4) + (1 + 2 * 8);

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
    Hasher &add(double number) { return add(std::bit_cast<std::uint64_t>(number)); }
    Hasher &add(std::uint32_t number) { return add(std::uint64_t { number }); }
    Hasher &add(Duration duration) { return add(static_cast<std::uint64_t>(duration.count())); }

    [[nodiscard]] std::uint64_t result() const
    {
        return XXH3_64bits(m_bytes.data(), m_bytes.size());
    }

private:
    std::string m_bytes;
};

std::uint64_t hashOf(const std::vector<MeshService> &services, const HttpLimits &limits)
{
    Hasher hasher;
    for (const MeshService &service : services) {
        hasher.add(service.name.value()).add(service.maxConnections);
        if (service.warmUp) {
            hasher.add("warm-up").add(service.warmUp->duration).add(service.warmUp->rate.value());
            hasher.add(service.warmUp->healthPath);
        }
    }
    hasher.add(limits.headerBytes).add(limits.bodyBytes);
    hasher.add(limits.headerTimeout).add(limits.idleTimeout);
    return hasher.result();
}

Digest digestOf(std::uint64_t routes, std::uint64_t organisations,
                const std::vector<MeshService> &services, const HttpLimits &limits)
{
    return Digest(routes + organisations + hashOf(services, limits));
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
        bytes += fixedServiceBytes + warmUpBytes + service.name.value().size()
            + (service.warmUp ? service.warmUp->healthPath.size() : 0);
    for (const Organisation &organisation : delta.organisations) {
        bytes += fixedOrganisationBytes + organisation.name.value().size();
        for (const ApiKey &key : organisation.keys)
            bytes += lengthBytes + key.value().size();
    }
    for (const OrganisationName &name : delta.removedOrganisations)
        bytes += lengthBytes + name.value().size();
    return bytes;
}

RouteKey VersionedConfig::RouteTraits::keyOf(const HostRoute &route)
{
    return { canonicalHost(route.host), route.policy.prefix };
}

std::uint64_t VersionedConfig::RouteTraits::hashOf(const HostRoute &route)
{
    const RoutePolicy &policy = route.policy;
    Hasher hasher;
    hasher.add(route.host).add(policy.name.value()).add(policy.prefix).add(policy.kind.value());
    hasher.add(policy.kindWeight).add(policy.isIdempotent ? 1U : 0U).add(policy.deadline);
    hasher.add(policy.maxAttempts).add(policy.targetLatency).add(policy.maySpill ? 1U : 0U);
    hasher.add(policy.isKeyExempt ? 1U : 0U);
    for (const WeightedService &entry : route.weightedServices)
        hasher.add(entry.service.value()).add(entry.weight);
    return hasher.result();
}

OrganisationName VersionedConfig::OrganisationTraits::keyOf(const Organisation &organisation)
{
    return organisation.name;
}

std::uint64_t VersionedConfig::OrganisationTraits::hashOf(const Organisation &organisation)
{
    Hasher hasher;
    hasher.add(organisation.name.value()).add(organisation.keys.size());
    for (const ApiKey &key : organisation.keys)
        hasher.add(key.value());
    hasher.add(organisation.weight ? 1U : 0U).add(organisation.weight.value_or(0));
    hasher.add(organisation.quota ? 1U : 0U);
    if (organisation.quota)
        hasher.add(organisation.quota->rate.value()).add(organisation.quota->burst.value());
    return hasher.result();
}

VersionedConfig::Effect VersionedConfig::apply(const MeshConfig &config)
{
    if (config.version <= m_version)
        return Effect::NotNewer;
    if (m_version == ConfigVersion()) {
        m_routes.start(config.version);
        m_organisations.start(config.version);
    }
    m_routes.replace(config.routes, config.version);
    m_organisations.replace(config.organisations, config.version);
    m_services = config.services;
    m_limits = config.limits;
    m_version = config.version;
    return Effect::Applied;
}

VersionedConfig::Effect VersionedConfig::apply(const ConfigDelta &delta)
{
    if (delta.version <= m_version)
        return Effect::NotNewer;
    if (!delta.isComplete() && delta.base > m_version)
        return Effect::Rejected;
    // The digest covers the result, so nothing is changed before it is known to match.
    auto routes = m_routes.prepare(delta.set, delta.removed, delta.isComplete());
    auto organisations = m_organisations.prepare(delta.organisations, delta.removedOrganisations,
                                                 delta.isComplete());
    if (digestOf(routes.digest, organisations.digest, delta.services, delta.limits) != delta.digest)
        return Effect::Rejected;
    if (delta.isComplete()) {
        MeshConfig complete { delta.version, delta.set, delta.services, delta.limits,
                              delta.organisations };
        return apply(complete);
    }
    m_routes.commit(std::move(routes), delta.version);
    m_organisations.commit(std::move(organisations), delta.version);
    m_services = delta.services;
    m_limits = delta.limits;
    m_version = delta.version;
    return Effect::Applied;
}

Digest VersionedConfig::digest() const
{
    return digestOf(m_routes.digest(), m_organisations.digest(), m_services, m_limits);
}

MeshConfig VersionedConfig::config() const
{
    return { m_version, m_routes.values(), m_services, m_limits, m_organisations.values() };
}

ConfigDelta VersionedConfig::deltaSince(ConfigVersion base) const
{
    const bool isDelta = base != ConfigVersion()
        && base >= std::max(m_routes.oldestBase(), m_organisations.oldestBase());
    ConfigDelta delta {
        isDelta ? base : ConfigVersion(), m_version, digest(), {}, {}, m_services, m_limits
    };
    delta.set = m_routes.changedSince(delta.base);
    delta.organisations = m_organisations.changedSince(delta.base);
    if (isDelta) {
        delta.removed = m_routes.removedSince(base);
        delta.removedOrganisations = m_organisations.removedSince(base);
    }
    return delta;
}

} // namespace camphorreach
