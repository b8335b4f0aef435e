// Smoothed latency of successful answers by route.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/units.h>

#include <map>
#include <utility>

namespace camphorreach {

/// Estimates whether a queued request can still be answered in time. Only successful answers are
/// recorded, so that the estimate stays below the deadlines and cannot block a route completely.
class RouteLatency
{
public:
    void record(const ServiceName &service, const RouteName &route, Duration latency);
    /// The time within which most answers arrive: the mean plus twice the mean deviation. Zero
    /// before the first answer.
    [[nodiscard]] Duration expected(const ServiceName &service, const RouteName &route) const;
    /// Drops the routes that are not in \a snapshot.
    void retain(const Snapshot &snapshot);

private:
    struct Average
    {
        double mean = 0.0; // us
        double deviation = 0.0; // us
    };

    std::map<std::pair<ServiceName, RouteName>, Average> m_latencies; // routes of a snapshot
};

} // namespace camphorreach
