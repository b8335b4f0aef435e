// Versioned configuration: the newest configuration that a node holds, with the version of the last
// change of every route, so that a node with an older version is sent only a delta.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/meshconfig.h>
#include <camphorreach/routetable.h>

#include <compare>
#include <cstddef>
#include <map>
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

private:
    struct RouteEntry
    {
        HostRoute route;
        ConfigVersion lastChanged; // it last changed at this version or an earlier one
    };

    void replaceAll(std::map<RouteKey, RouteEntry> routes, ConfigVersion version);
    void pruneRemovals();
    [[nodiscard]] Digest digest() const;

    ConfigVersion m_version;
    std::map<RouteKey, RouteEntry> m_routes;
    std::map<RouteKey, ConfigVersion> m_removed; // version of the removal; not in m_routes; bounded
    ConfigVersion m_oldestBase; // m_removed has all removals after this version
    std::vector<MeshService> m_services;
    HttpLimits m_limits;
    // Sum of the hashes of m_routes, so that a delta only rehashes the routes that it changes.
    std::uint64_t m_routeDigest = 0;
};

} // namespace camphorreach
