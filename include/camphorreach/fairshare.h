// Fair queueing: routes that wait for the same slots get service time in proportion to their
// weights.
#pragma once

#include <camphorreach/fairtag.h>
#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <map>

namespace camphorreach {

/// Tags of start-time fair queueing. With strict priorities, a route of higher weight that fills
/// all slots would starve a route of lower weight, whose requests may be nested calls of requests
/// that hold slots at other backend servers.
class FairShare
{
public:
    /// Virtual time that a request of the expected service time \a cost takes, at least one unit.
    /// Zero means that the cost is unknown.
    [[nodiscard]] static std::int64_t stepOf(std::uint32_t weight, Duration cost);
    /// Assigns the start tag of a new request of \a route with the expected service time \a cost.
    /// Zero means that it is unknown.
    [[nodiscard]] FairTag assignTag(const RouteName &route, std::uint32_t weight, Duration cost);
    /// The tag that assignTag() would return, without a change of state.
    [[nodiscard]] FairTag nextTag(const RouteName &route) const;
    /// Advances the virtual time, because the request with this tag has started.
    void onStarted(FairTag tag);

private:
    FairTag m_virtualTime; // highest tag of a started request
    // Finish tag of every route's newest request. Entries without effect are removed at maxRoutes.
    std::map<RouteName, FairTag> m_finishTags;
};

} // namespace camphorreach
