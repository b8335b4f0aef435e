// Builds snapshots from the configuration in the platform's store.
#include <camphorreach/meshconfig.h>

#include <cmath>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace camphorreach {
namespace {

// Service time is divided in proportion to the weights, so the lowest priority is not starved.
constexpr std::uint32_t maxWeight = 4;

bool isValid(const RequestQuota &quota)
{
    const double rate = quota.rate.value();
    const double burst = quota.burst.value();
    return std::isfinite(rate) && std::isfinite(burst) && rate > 0.0 && burst >= 0.0;
}

} // namespace

std::uint32_t weightForPriority(std::uint32_t priority) noexcept
{
    return priority < maxWeight ? maxWeight - priority : 1;
}

Findings findingsOf(const MeshConfig &config)
{
    Findings findings;
    std::set<OrganisationName> names;
    std::map<ApiKey, OrganisationName> holders;
    const auto add = [&findings](const OrganisationName &name, std::string text) {
        findings.push_back({ {}, "organisations." + name.value(), std::move(text) });
    };
    for (const Organisation &organisation : config.organisations) {
        const OrganisationName &name = organisation.name;
        if (name.value().empty())
            add(name, "the name is empty");
        else if (!names.insert(name).second)
            add(name, "the name is used twice");
        for (const ApiKey &key : organisation.keys) {
            const auto [holder, isNew] = holders.emplace(key, name);
            if (key.value().empty())
                add(name, "a key is empty");
            else if (!isNew)
                add(name, "a key is also held by '" + holder->second.value() + "'");
        }
        if (organisation.quota && !isValid(*organisation.quota))
            add(name, "the rate or the burst is negative or not a number");
    }
    return findings;
}

std::shared_ptr<const Snapshot> snapshotOf(MeshConfig config, Share retryBudget,
                                           std::uint64_t keySeed)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->version = config.version;
    snapshot->hostRoutes = RouteTable(std::move(config.routes));
    snapshot->limits = config.limits;
    snapshot->organisations = std::move(config.organisations);
    snapshot->keys = KeyIndex(snapshot->organisations, keySeed);
    for (const MeshService &service : config.services) {
        ServicePolicy policy;
        policy.name = service.name;
        policy.retryBudget = retryBudget;
        policy.warmUp = service.warmUp;
        snapshot->services.emplace(service.name, std::move(policy));
    }
    return snapshot;
}

} // namespace camphorreach
