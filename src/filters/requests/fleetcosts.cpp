// Separation of the costs of requests from the paces of servers.
#include <camphorreach/fleetcosts.h>

#include <cmath>

namespace camphorreach {
namespace {

// The pace of a target follows a slow moment; the work of a class is common to all targets and
// changes rarely.
constexpr double paceSmoothing = 0.25;
constexpr double workSmoothing = 1.0 / 16.0;
constexpr double meanSmoothing = 1.0 / 64.0;

} // namespace

RequestCost FleetCosts::cost(CostClass costClass) const
{
    const Duration mean(static_cast<Duration::rep>(m_meanWork));
    if (costClass.value() >= m_works.size() || m_works[costClass.value()] <= 0.0)
        return { mean, mean };
    return { Duration(static_cast<Duration::rep>(m_works[costClass.value()])), mean };
}

double FleetCosts::onReport(CostClass costClass, Duration run, double pace)
{
    if (run <= Duration::zero())
        return pace;
    if (m_works.size() < m_classes.size())
        m_works.resize(m_classes.size(), 0.0);
    const auto time = static_cast<double>(run.count());
    double &work = m_works[costClass.value()];
    if (pace <= 0.0)
        pace = work > 0.0 ? time / work : 1.0;
    if (work <= 0.0)
        work = time / pace;
    const double ratio = time / (work * pace);
    pace *= std::pow(ratio, paceSmoothing);
    work *= std::pow(ratio, workSmoothing);
    m_meanWork += (work - m_meanWork) * (m_meanWork > 0.0 ? meanSmoothing : 1.0);
    return pace;
}

} // namespace camphorreach
