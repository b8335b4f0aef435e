// The configuration that operators keep in the platform's store: routes, services and limits in
// full.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/routetable.h>
#include <camphorreach/snapshot.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace camphorreach {

struct MeshService
{
    ServiceName name;
    std::uint32_t maxConnections = 1; ///< That one backend server accepts, from all callers.

    friend bool operator==(const MeshService &, const MeshService &) = default;
};

/// One version, complete. Later versions replace it as a whole.
struct MeshConfig
{
    ConfigVersion version;
    std::vector<HostRoute> routes;
    std::vector<MeshService> services;
    HttpLimits limits;

    friend bool operator==(const MeshConfig &, const MeshConfig &) = default;
};

/// Weight of a rank, where zero is the highest rank. Weights grow with importance and are at least
/// one.
[[nodiscard]] std::uint32_t weightOfRank(std::uint32_t rank) noexcept;

/// The snapshot that serves \a config. \a retryBudget applies to each of its services.
[[nodiscard]] std::shared_ptr<const Snapshot> snapshotOf(MeshConfig config, Share retryBudget);

} // namespace camphorreach
