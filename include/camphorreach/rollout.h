// Operators' orders to roll out a version of a service, and their state.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorreach {

enum class RolloutState : std::uint8_t {
    Requested,
    Running,
    Completed,
    RolledBack,
    TakenBack, ///< The operator has removed the order. Never written to the store.
};

/// One order as it is stored in the platform.
struct RolloutOrder
{
    ServiceName service;
    BackendVersion target;
    Duration ramp {}; ///< Time from the order until all traffic is to be moved.
    RolloutState state = RolloutState::Requested;
    /// Of the stored object; condition of the next write of its state. Once taken back, of the
    /// store when it was gone.
    ObjectVersion version;

    [[nodiscard]] const std::string &objectName() const noexcept { return service.value(); }
    [[nodiscard]] bool isTakenBack() const noexcept { return state == RolloutState::TakenBack; }
    [[nodiscard]] static RolloutOrder takenBack(const std::string &name, ObjectVersion at)
    {
        return { ServiceName(name), {}, {}, RolloutState::TakenBack, at };
    }

    friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

/// All stored orders, and those that were taken back. Sent when one of them changes.
struct OrdersChanged
{
    std::vector<RolloutOrder> orders;
};

} // namespace camphorreach
