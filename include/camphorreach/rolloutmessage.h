// Messages between nodes about roll-outs that are under way.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <variant>

namespace camphorreach {

/// What one node has seen of the answers of the old versions and of the new one, since the order.
struct RolloutCounts
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0; ///< Answers that the backend server itself marked as failed.
    std::uint64_t slow = 0; ///< Answers that took several times as long as usual for their route.

    RolloutCounts &operator+=(const RolloutCounts &other) noexcept
    {
        requests += other.requests;
        failures += other.failures;
        slow += other.slow;
        return *this;
    }
    friend bool operator==(const RolloutCounts &, const RolloutCounts &) = default;
};

/// One node's view, for the nodes that lead the roll-out.
struct RolloutReport
{
    InstanceId node;
    ServiceName service;
    BackendVersion target;
    Duration elapsed {}; ///< Since the node heard of the order.
    RolloutCounts established; ///< Of all versions but the target.
    RolloutCounts candidate; ///< Of the target.

    friend bool operator==(const RolloutReport &, const RolloutReport &) = default;
};

/// What a leading node has decided. A verdict is never taken back.
struct RolloutDirective
{
    ServiceName service;
    BackendVersion target;
    Share share; ///< Of the target.
    bool isBad = false;
    Duration elapsed {}; ///< Of the roll-out, as the leading node counts it.

    friend bool operator==(const RolloutDirective &, const RolloutDirective &) = default;
};

using RolloutMessage = std::variant<RolloutReport, RolloutDirective>;

} // namespace camphorreach
