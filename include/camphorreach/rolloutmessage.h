// Messages between nodes about rollouts that are under way.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <variant>

namespace camphorreach {

/// Counts of the responses that one node received from one side of a rollout since its start.
struct RolloutCounts
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0; ///< Responses that the backend server itself marked as failed.
    /// Attempts that were sent longer ago than the time after which their route counts as slow.
    std::uint64_t settled = 0;
    std::uint64_t slow = 0; ///< Of the settled ones, those without a response within that time.

    RolloutCounts &operator+=(const RolloutCounts &other) noexcept
    {
        requests += other.requests;
        failures += other.failures;
        settled += other.settled;
        slow += other.slow;
        return *this;
    }
    friend bool operator==(const RolloutCounts &, const RolloutCounts &) = default;
};

/// Counts of one node, sent to the leaders of the rollout.
struct RolloutReport
{
    InstanceId node;
    ServiceName service;
    BackendVersion target;
    Duration elapsed {}; ///< Since the start of the rollout, as known to the node.
    RolloutCounts baseline; ///< Of all versions except the target.
    RolloutCounts candidate; ///< Of the target.

    friend bool operator==(const RolloutReport &, const RolloutReport &) = default;
};

/// Decision of a leader, sent to all nodes. A verdict is never withdrawn.
struct RolloutDirective
{
    ServiceName service;
    BackendVersion target;
    Share share; ///< Of the target.
    bool isBad = false; ///< Verdict on the target.
    Duration elapsed {}; ///< Since the start of the rollout, as known to the leader.

    friend bool operator==(const RolloutDirective &, const RolloutDirective &) = default;
};

using RolloutMessage = std::variant<RolloutReport, RolloutDirective>;

} // namespace camphorreach
