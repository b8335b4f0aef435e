// A stand-in of a backend server beside a sidecar, as a process of its own.
#pragma once

#include "net.h"

#include <string>

namespace review {

struct UpstreamOptions
{
    Address listen;
    Address control; ///< Where it sends its heartbeats.
    std::string id;
    std::string service;
    std::string zone;
    std::string events; ///< File to which it appends what it runs.
    int slots = 18;
    std::int64_t workMs = 40;
    std::int64_t beatMs = 1500; ///< Zero: it sends none itself.
    std::string crashPath; ///< A request to this path ends the process. May be empty.
    std::int64_t crashAfterMs = 30; ///< From the start of such a request.
};

/// Appends a line with the time to the file of events. One write, so lines do not mix.
void appendEvent(const std::string &file, const std::string &line);

/// The body of a heartbeat.
[[nodiscard]] std::string heartbeatBody(const UpstreamOptions &options, std::int64_t born,
                                        std::uint64_t sequence, const std::string &state);

/// Serves until the process ends. Does not return.
void runUpstream(const UpstreamOptions &options);

} // namespace review
