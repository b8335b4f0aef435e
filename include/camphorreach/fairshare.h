// Fair queueing: routes that wait for the same slots get service time in proportion to their
// weights.
#pragma once

#include <camphorreach/gatequeue.h>
#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <map>

namespace camphorreach {

/// Start-time fair queueing. The load that it answers: a more urgent route that fills all slots by
/// itself, while the requests of a less urgent one are calls of requests that hold slots elsewhere.
class FairShare
{
public:
    /// The tag of one more request of \a route, which will take about \a cost.
    [[nodiscard]] FairTag tagFor(const RouteName &route, std::uint32_t weight, Duration cost);
    /// The tag that tagFor() would give, without taking it.
    [[nodiscard]] FairTag nextTag(const RouteName &route) const;
    /// A request with this tag has started.
    void onStarted(FairTag tag);

private:
    FairTag m_now; // of the latest start; never decreases
    std::map<RouteName, FairTag> m_last; // of the newest request of each route; bounded
};

} // namespace camphorreach
