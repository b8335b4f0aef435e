// Builds snapshots from the configuration in the platform's store.
#include <camphorreach/meshconfig.h>

#include <utility>

namespace camphorreach {
namespace {

// Service time is divided in proportion to the weights, so the lowest priority is not starved.
constexpr std::uint32_t maxWeight = 4;

} // namespace

std::uint32_t weightForPriority(std::uint32_t priority) noexcept
{
    return priority < maxWeight ? maxWeight - priority : 1;
}

std::shared_ptr<const Snapshot> snapshotOf(MeshConfig config, Share retryBudget)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->version = config.version;
    snapshot->hostRoutes = RouteTable(std::move(config.routes));
    snapshot->limits = config.limits;
    snapshot->organisations = std::move(config.organisations);
    for (const MeshService &service : config.services) {
        ServicePolicy policy;
        policy.name = service.name;
        policy.retryBudget = retryBudget;
        snapshot->services.emplace(service.name, std::move(policy));
    }
    return snapshot;
}

} // namespace camphorreach
