// Shares of moves that are under way, as the router applies them.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace camphorreach {

/// Overrides the tree's weights of one service.
struct ServiceShares
{
    std::map<BackendVersion, Share> shares;
    std::set<BackendVersion> banned; ///< Judged bad: no request goes there, whatever the weights.
    /// With a candidate: its share of the requests; the established version has the rest.
    std::optional<BackendVersion> candidate {};
    Share candidateShare {};
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
