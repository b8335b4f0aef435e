// Versioned configuration: the newest configuration that a node holds, with the version of the last
// change of every route and organisation, so that a node with an older version is sent only a
// delta.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/meshconfig.h>
#include <camphorreach/routetable.h>
#include <camphorreach/versionedmap.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorreach {

/// Identifies a route.
struct RouteKey
{
    std::string host; ///< In the form that canonicalHost() returns.
    std::string prefix;

    friend auto operator<=>(const RouteKey &, const RouteKey &) = default;
    friend bool operator==(const RouteKey &, const RouteKey &) = default;
};

/// Delta from any version between `base` and `version` to `version`. With a base of zero it is the
/// complete configuration.
struct ConfigDelta
{
    ConfigVersion base;
    ConfigVersion version;
    Digest digest; ///< Of the complete configuration at `version`.
    std::vector<HostRoute> set; ///< Added and changed routes; the receiver may have some already.
    std::vector<RouteKey> removed;
    std::vector<MeshService> services; ///< All services, changed or not.
    HttpLimits limits;
    std::vector<Organisation> organisations {}; ///< Added and changed ones, like `set`.
    std::vector<OrganisationName> removedOrganisations {};

    [[nodiscard]] bool isComplete() const noexcept { return base == ConfigVersion(); }
    friend bool operator==(const ConfigDelta &, const ConfigDelta &) = default;
};

/// Upper bound of the encoded size, in bytes.
[[nodiscard]] std::size_t encodedSizeBound(const ConfigDelta &delta) noexcept;

/// Holds the newest configuration. The version never decreases, and an update is applied completely
/// or not at all.
class VersionedConfig
{
public:
    enum class Effect : std::uint8_t {
        Applied,
        NotNewer, ///< The version is not newer than the one held.
        Rejected, ///< The base is not held, or the result does not match the digest.
    };

    /// Replaces the content with a version read from the store.
    Effect apply(const MeshConfig &config);
    /// Applies a delta or a complete configuration from another node.
    Effect apply(const ConfigDelta &delta);

    /// Zero while nothing is held.
    [[nodiscard]] ConfigVersion version() const noexcept { return m_version; }
    [[nodiscard]] std::size_t routeCount() const noexcept { return m_routes.size(); }
    [[nodiscard]] MeshConfig config() const;
    /// The delta for a node that holds \a base. It is the complete configuration when \a base is
    /// zero or older than the recorded removals.
    [[nodiscard]] ConfigDelta deltaSince(ConfigVersion base) const;

    [[nodiscard]] bool hasOrganisations() const noexcept { return m_organisations.size() > 0; }

private:
    struct RouteTraits
    {
        static RouteKey keyOf(const HostRoute &route);
        static std::uint64_t hashOf(const HostRoute &route);
    };
    struct OrganisationTraits
    {
        static OrganisationName keyOf(const Organisation &organisation);
        static std::uint64_t hashOf(const Organisation &organisation);
    };

    [[nodiscard]] Digest digest() const;

    ConfigVersion m_version;
    VersionedMap<RouteKey, HostRoute, RouteTraits> m_routes;
    VersionedMap<OrganisationName, Organisation, OrganisationTraits> m_organisations;
    std::vector<MeshService> m_services;
    HttpLimits m_limits;
};

} // namespace camphorreach
