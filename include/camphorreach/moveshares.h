// Shares of moves and rollouts that the router applies.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace camphorreach {

/// Overrides the weights that the tree configures for one service.
struct ServiceShares
{
    std::map<BackendVersion, Share> shares;
    /// Versions with a verdict. They receive no requests, whatever their weights.
    std::set<BackendVersion> banned;
    /// Version of a rollout. It receives candidateShare of the requests and the baseline the rest.
    std::optional<BackendVersion> candidate {};
    Share candidateShare {};
    /// A rollout is under way. The router reports the start of every attempt.
    bool isObserved = false;
};

struct MoveShares
{
    std::map<ServiceName, ServiceShares> services;
};

struct MoveSharesChanged
{
    std::shared_ptr<const MoveShares> shares;
};

} // namespace camphorreach
