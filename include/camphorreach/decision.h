// Decisions about single requests, as filters report them for logs.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/outcome.h>
#include <camphorreach/request.h>
#include <camphorreach/units.h>

#include <cstdint>

namespace camphorreach {

/// How a request ended at its entry node, when it did not simply succeed at the first attempt.
struct RouterDecision
{
    GuestAttemptId attempt;
    ServiceName service;
    RouteName route;
    const char *outcome = ""; ///< "answered", "not-run" or "unknown".
    const char *reason = ""; ///< Of an outcome that is no answer.
    std::uint16_t status = 0; ///< Of an answer.
    std::uint32_t attempts = 0;
    std::uint32_t refusals = 0; ///< Attempts that proved "not run".
    InstanceId lastTarget; ///< Node of the last attempt; empty when there was none.
    bool wasSpilled = false; ///< The last attempt left the failure domain.
    ConfigVersion configVersion;
    Duration taken {};
    Duration left {}; ///< Until the deadline.
};

/// Why a gate did not hand a request over.
struct GateDecision
{
    GuestAttemptId attempt;
    ServiceName service;
    RouteName route;
    NotRunReason reason = NotRunReason::Overloaded;
    GateLoad load;
    Duration expectedWait {};
    Duration usual {}; ///< Usual service time of the route; zero when unknown.
    Duration left {};
};

} // namespace camphorreach
