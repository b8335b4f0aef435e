// Operators' orders to roll out a version of a service, and their state.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <vector>

namespace camphorreach {

enum class RolloutState : std::uint8_t { Requested, Running, Completed, RolledBack };

/// One order as it is stored in the platform.
struct RolloutOrder
{
    ServiceName service;
    BackendVersion target;
    Duration ramp {}; ///< Time from the order until all traffic is to be moved.
    RolloutState state = RolloutState::Requested;
    ObjectVersion version; ///< Of the stored object; condition of the next write of its state.

    friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

/// All stored orders. Sent when one of them changes.
struct OrdersChanged
{
    std::vector<RolloutOrder> orders;
};

} // namespace camphorreach
