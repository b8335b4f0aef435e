// Snapshots of the configuration that lies in the platform's store.
#include <camphorreach/meshconfig.h>

#include <utility>

namespace camphorreach {
namespace {

// Weights are shares of service time, so the lowest rank still gets its part.
constexpr std::uint32_t highestWeight = 4;

} // namespace

std::uint32_t weightOfRank(std::uint32_t rank) noexcept
{
    return rank < highestWeight ? highestWeight - rank : 1;
}

std::shared_ptr<const Snapshot> snapshotOf(MeshConfig config, Share retryBudget)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->version = config.version;
    snapshot->hostRoutes = RouteTable(std::move(config.routes));
    snapshot->limits = config.limits;
    for (const MeshService &service : config.services) {
        ServicePolicy policy;
        policy.name = service.name;
        policy.retryBudget = retryBudget;
        snapshot->services.emplace(service.name, std::move(policy));
    }
    return snapshot;
}

} // namespace camphorreach
