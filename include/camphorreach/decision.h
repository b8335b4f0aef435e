// Decisions about single requests, which filters report to the decision log.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/outcome.h>
#include <camphorreach/request.h>
#include <camphorreach/units.h>

#include <cstdint>

namespace camphorreach {

/// The outcome of a request at its entry node, unless it succeeded at the first attempt.
struct RouterDecision
{
    ClientAttemptId attempt;
    ServiceName service;
    RouteName route;
    const char *outcome = ""; ///< "answered", "not-run" or "unknown".
    const char *reason = ""; ///< Empty when the outcome is "answered".
    std::uint16_t status = 0; ///< HTTP status of the response; zero without one.
    std::uint32_t attempts = 0;
    std::uint32_t refusals = 0; ///< Attempts that ended as not run.
    InstanceId lastTarget; ///< Node of the last attempt; empty when there was none.
    bool wasSpilled = false; ///< The last attempt went to another failure domain.
    ConfigVersion configVersion;
    Duration elapsed {};
    Duration timeLeft {}; ///< Time until the deadline.
    Duration retryAfter {}; ///< When the client is to return; zero if nothing is said of that.
};

/// Why a gate refused a request.
struct GateDecision
{
    ClientAttemptId attempt;
    ServiceName service;
    RouteName route;
    NotRunReason reason = NotRunReason::Overloaded;
    GateLoad load;
    Duration expectedWait {};
    Duration meanServiceTime {}; ///< Of the route; zero when unknown.
    Duration timeLeft {};
};

} // namespace camphorreach
