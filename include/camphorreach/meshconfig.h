// The complete configuration that operators keep in the platform's store: routes, services and
// limits.
#pragma once

#include <camphorreach/finding.h>
#include <camphorreach/ids.h>
#include <camphorreach/organisation.h>
#include <camphorreach/routetable.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/warmup.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace camphorreach {

struct MeshService
{
    ServiceName name;
    std::uint32_t maxConnections = 1; ///< To one backend server, from all callers.
    std::optional<WarmUpPolicy> warmUp {}; ///< Limits the requests to cold backend servers.

    friend bool operator==(const MeshService &, const MeshService &) = default;
};

/// One complete version, which later versions replace.
struct MeshConfig
{
    ConfigVersion version;
    std::vector<HostRoute> routes;
    std::vector<MeshService> services;
    HttpLimits limits;
    std::vector<Organisation> organisations {}; ///< Empty: requests need no key.

    friend bool operator==(const MeshConfig &, const MeshConfig &) = default;
};

/// Scheduling weight of a priority, where priority zero is the highest. A higher weight is more
/// important; the lowest is one.
[[nodiscard]] std::uint32_t weightForPriority(std::uint32_t priority) noexcept;

/// What makes the organisations of \a config invalid; empty when they are valid. A configuration
/// with findings is refused as a whole. The findings name no keys.
[[nodiscard]] Findings findingsOf(const MeshConfig &config);

/// Builds the snapshot that routes requests by \a config. \a retryBudget applies to every service.
/// \a keySeed is the seed of the index of keys; it is random for every process.
[[nodiscard]] std::shared_ptr<const Snapshot> snapshotOf(MeshConfig config, Share retryBudget,
                                                         std::uint64_t keySeed = 0);

} // namespace camphorreach
