// Moving averages of service times.
#include <camphorreach/servicetimes.h>

namespace camphorreach {
namespace {

constexpr std::size_t maxRoutes = 256;
constexpr std::uint32_t minSamples = 8; // fewer may all be of a cold start
constexpr int smoothing = 8; // a sample moves the average by one eighth
constexpr int refusalDecay = 32; // about 22 refusals halve the average

} // namespace

void ServiceTimes::record(const RouteName &route, Duration taken)
{
    auto found = m_averages.find(route);
    if (found == m_averages.end()) {
        if (m_averages.size() >= maxRoutes)
            return;
        found = m_averages.emplace(route, Average { taken, 0 }).first;
    }
    Average &average = found->second;
    average.mean += (taken - average.mean) / smoothing;
    ++average.samples;
}

Duration ServiceTimes::usual(const RouteName &route) const
{
    const auto found = m_averages.find(route);
    if (found == m_averages.end() || found->second.samples < minSamples)
        return Duration::zero();
    return found->second.mean;
}

void ServiceTimes::noteRefusal(const RouteName &route)
{
    const auto found = m_averages.find(route);
    if (found != m_averages.end())
        found->second.mean -= found->second.mean / refusalDecay;
}

} // namespace camphorreach
