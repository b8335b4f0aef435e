// Usual number of bytes that requests of a route and their answers move between nodes.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <map>

namespace camphorreach {

/// Moving averages by route.
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
    [[nodiscard]] ByteCount usual(const RouteName &route) const
    {
        const auto found = m_means.find(route);
        return ByteCount(found == m_means.end() ? 0 : static_cast<std::uint64_t>(found->second));
    }

private:
    static constexpr std::size_t maxRoutes = 1024;
    static constexpr double smoothing = 0.05; // sizes of one route vary by a factor of a few

    std::map<RouteName, double> m_means; // at most maxRoutes
};

} // namespace camphorreach
