// Observed attempts, as input to the canary analysis of moves and rollouts.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/request.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <variant>

namespace camphorreach {

enum class SampleResult : std::uint8_t { Success, Failure, Shed, Timeout };

/// Result of one attempt at a backend server, as observed by the entry node.
struct RequestSample
{
    ServiceName service;
    RouteName route;
    KindName kind;
    BackendVersion version;
    FailureDomain domain; ///< Of the backend server.
    InstanceId instance; ///< Of the backend server.
    SampleResult result = SampleResult::Success;
    Duration latency {};
    bool isAnswered = false; ///< The backend server answered, with success or failure.
    bool isCrashSuspect = false; ///< The request is suspected of crashing backend servers.
    RequestId attempt {}; ///< Of the AttemptStarted; empty if none was sent.
};

/// The entry node has sent an attempt to a service whose rollout is under way. A RequestSample or
/// an AttemptAbandoned follows.
struct AttemptStarted
{
    ServiceName service;
    RouteName route;
    BackendVersion version;
    RequestId attempt;
    TimePoint sentAt {};
};

/// The attempt has ended without evidence about the version, for instance because its client has
/// disconnected.
struct AttemptAbandoned
{
    ServiceName service;
    RequestId attempt;
};

using AttemptEvent = std::variant<AttemptStarted, RequestSample, AttemptAbandoned>;

/// Events were dropped, so that the ends of earlier attempts may never be known.
struct AttemptsLost
{ };

} // namespace camphorreach
