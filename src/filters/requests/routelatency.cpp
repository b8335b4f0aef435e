// Exponential moving averages of latency by route.
#include <camphorreach/routelatency.h>

#include <algorithm>
#include <cmath>

namespace camphorreach {
namespace {

constexpr double smoothing = 0.05; // about 40 answers make up most of the average
// With fewer deviations, requests sent shortly before their deadline often time out.
constexpr double deviationFactor = 2.0;

} // namespace

void RouteLatency::record(const ServiceName &service, const RouteName &route, Duration latency)
{
    const auto sample = static_cast<double>(latency.count());
    const auto [found, isNew]
        = m_latencies.try_emplace({ service, route }, Average { sample, 0.0 });
    if (isNew)
        return;
    Average &average = found->second;
    const double difference = sample - average.mean;
    average.mean += smoothing * difference;
    average.deviation += smoothing * (std::abs(difference) - average.deviation);
}

Duration RouteLatency::expected(const ServiceName &service, const RouteName &route) const
{
    const auto found = m_latencies.find({ service, route });
    if (found == m_latencies.end())
        return {};
    const Average &average = found->second;
    return Duration(static_cast<Duration::rep>(average.mean + deviationFactor * average.deviation));
}

void RouteLatency::retain(const Snapshot &snapshot)
{
    std::erase_if(m_latencies, [&](const auto &entry) {
        const ServicePolicy *service = snapshot.findService(entry.first.first);
        if (service != nullptr && !snapshot.hostRoutes.isEmpty())
            return false; // the size of a configuration bounds the number of host routes
        return service == nullptr
            || std::ranges::find(service->routes, entry.first.second, &RoutePolicy::name)
            == service->routes.end();
    });
}

} // namespace camphorreach
