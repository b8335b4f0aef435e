// One observed attempt, as input to the canary analysis of moves.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/request.h>
#include <camphorreach/units.h>

#include <cstdint>

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
};

} // namespace camphorreach
