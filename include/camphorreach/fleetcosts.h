// Costs of requests relative to each other, as an entry node learns them from all its targets.
#pragma once

#include <camphorreach/expectedcost.h>
#include <camphorreach/units.h>

#include <vector>

namespace camphorreach {

/// What one request is expected to cost. Work is given as the time that a server of pace 1 takes;
/// which server that is does not matter, because only work times pace is used.
struct RequestCost
{
    Duration work {}; ///< Zero when unknown.
    Duration meanWork {}; ///< Of all requests.
};

/// Work by class and pace by target, separated from reports of the expected time of a class at a
/// target. Gates smooth what they report, so few reports are enough.
class FleetCosts
{
public:
    [[nodiscard]] CostClass classOf(const RouteName &route, const RequestContent &content)
    {
        return m_classes.classOf(route, content);
    }
    [[nodiscard]] RequestCost cost(CostClass costClass) const;
    /// Takes a report that \a costClass takes \a run at a target of \a pace, zero when it is not
    /// known. Returns its new pace.
    [[nodiscard]] double onReport(CostClass costClass, Duration run, double pace);

private:
    CostClasses m_classes;
    std::vector<double> m_works; // in microseconds, by class; zero when unknown
    double m_meanWork = 0.0;
};

} // namespace camphorreach
