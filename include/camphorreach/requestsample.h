// One observed request, as evidence for moves.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/request.h>
#include <camphorreach/units.h>

#include <cstdint>

namespace camphorreach {

enum class SampleResult : std::uint8_t { Success, Failure, Shed, Timeout };

/// What an entry node saw of one attempt at a backend server.
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
    bool isAnswered = false; ///< The backend server itself gave the answer, good or bad.
    bool isCrashSuspect = false; ///< The request itself is suspected of crashing backend servers.
};

} // namespace camphorreach
