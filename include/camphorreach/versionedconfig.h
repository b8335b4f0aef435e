// Versioned config: the newest configuration that a node holds, and since when each route is as it
// is, so that a node which holds an older version is told only what changed.
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

/// What selects a route.
struct RouteKey
{
    std::string host; ///< As the route table compares it.
    std::string prefix;

    friend auto operator<=>(const RouteKey &, const RouteKey &) = default;
    friend bool operator==(const RouteKey &, const RouteKey &) = default;
};

/// One version as changes to any version from \a base on. With a base of zero it is complete.
struct ConfigChanges
{
    ConfigVersion base;
    ConfigVersion version;
    Digest digest; ///< Of the whole content at `version`.
    std::vector<HostRoute> set; ///< May hold routes that the receiver has already.
    std::vector<RouteKey> removed;
    std::vector<MeshService> services; ///< All of them.
    HttpLimits limits;

    [[nodiscard]] bool isComplete() const noexcept { return base == ConfigVersion(); }
    friend bool operator==(const ConfigChanges &, const ConfigChanges &) = default;
};

/// Upper bound of the encoded size, in bytes.
[[nodiscard]] std::size_t encodedSizeBound(const ConfigChanges &changes) noexcept;

/// The version never decreases, and a version is taken whole or not at all.
class VersionedConfig
{
public:
    enum class Effect : std::uint8_t {
        Applied,
        Known, ///< Not newer than what is held.
        Unusable, ///< The base is not held, or the result would differ from the sender's content.
    };

    /// Takes a complete version of the store.
    Effect take(const MeshConfig &config);
    /// Takes what another node sent.
    Effect take(const ConfigChanges &changes);

    /// Zero while nothing is held.
    [[nodiscard]] ConfigVersion version() const noexcept { return m_version; }
    [[nodiscard]] std::size_t routeCount() const noexcept { return m_routes.size(); }
    [[nodiscard]] MeshConfig config() const;
    /// What a node that holds \a base lacks; complete when the changes since then are not known.
    [[nodiscard]] ConfigChanges changesSince(ConfigVersion base) const;

private:
    struct Held
    {
        HostRoute route;
        ConfigVersion changed; // at this version or before
    };

    void takeComplete(std::map<RouteKey, Held> routes, ConfigVersion version);
    void forgetOldRemovals();
    [[nodiscard]] Digest digest() const;

    ConfigVersion m_version;
    std::map<RouteKey, Held> m_routes;
    std::map<RouteKey, ConfigVersion> m_removed; // not in m_routes; bounded
    ConfigVersion m_oldestBase; // removals after this version are all in m_removed
    std::vector<MeshService> m_services;
    HttpLimits m_limits;
    std::uint64_t m_routeDigest = 0; // sum over m_routes, so that a change costs what it changes
};

} // namespace camphorreach
