// Orders to move a service's traffic to a version, and what has become of them.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <vector>

namespace camphorreach {

enum class RolloutState : std::uint8_t { Requested, Running, Completed, RolledBack };

/// One order, as the platform's store holds it.
struct RolloutOrder
{
    ServiceName service;
    BackendVersion target;
    Duration ramp {}; ///< Time within which the traffic is to be moved, from the order on.
    RolloutState state = RolloutState::Requested;
    ObjectVersion version; ///< Of the object; the condition of the next write of its status.

    friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

/// All orders that the store holds, after a change of one of them.
struct OrdersChanged
{
    std::vector<RolloutOrder> orders;
};

} // namespace camphorreach
