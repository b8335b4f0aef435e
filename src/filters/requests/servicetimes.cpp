// Moving averages of service times.
#include <camphorreach/servicetimes.h>

#include <algorithm>

namespace camphorreach {
namespace {

constexpr std::size_t maxRoutes = 256;
constexpr int smoothing = 8; // a sample has a weight of 1/8
constexpr int overallSmoothing = 32; // a mix of routes needs more samples
constexpr int refusalDecay = 32; // about 22 refusals halve the mean
// In the deployments that are known, a route takes between a sixth and a third of its target
// latency. No refusal lowers an assumption, so it must be so small a part of the budget that every
// request is admitted to an idle server.
constexpr int assumedTargetDivisor = 4;

} // namespace

Duration assumedServiceTime(Duration targetBudget, Duration budget) noexcept
{
    return std::max(Duration::zero(), std::min(targetBudget, budget) / assumedTargetDivisor);
}

void ServiceTimes::record(const RouteName &route, Duration serviceTime)
{
    m_overall.mean
        += (serviceTime - m_overall.mean) / (m_overall.samples == 0 ? 1 : overallSmoothing);
    ++m_overall.samples;
    auto found = m_averages.find(route);
    if (found == m_averages.end()) {
        if (m_averages.size() >= maxRoutes)
            return;
        found = m_averages.emplace(route, Average { serviceTime, 0 }).first;
    }
    Average &average = found->second;
    average.mean += (serviceTime - average.mean) / smoothing;
    ++average.samples;
}

Duration ServiceTimes::mean(const RouteName &route, Duration assumed) const
{
    const auto found = m_averages.find(route);
    if (found == m_averages.end() || found->second.samples < minSamples)
        return assumed;
    return found->second.mean;
}

void ServiceTimes::onRefused(const RouteName &route)
{
    const auto found = m_averages.find(route);
    if (found != m_averages.end())
        found->second.mean -= found->second.mean / refusalDecay;
}

} // namespace camphorreach
