// Average number of bytes that a request of a route and its answer transfer between nodes.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <map>

namespace camphorreach {

/// Exponential moving averages of request plus answer size by route.
class RouteBytes
{
public:
    void record(const RouteName &route, ByteCount bytes)
    {
        if (m_means.size() >= maxRoutes && !m_means.contains(route))
            return;
        const auto value = static_cast<double>(bytes.value());
        const auto [entry, isNew] = m_means.try_emplace(route, value);
        entry->second += smoothing * (value - entry->second);
    }

    /// Zero before the first answer.
    [[nodiscard]] ByteCount average(const RouteName &route) const
    {
        const auto found = m_means.find(route);
        return ByteCount(found == m_means.end() ? 0 : static_cast<std::uint64_t>(found->second));
    }

private:
    static constexpr std::size_t maxRoutes = 1024;
    static constexpr double smoothing = 0.05; // sizes within one route vary severalfold

    std::map<RouteName, double> m_means; // at most maxRoutes
};

} // namespace camphorreach
