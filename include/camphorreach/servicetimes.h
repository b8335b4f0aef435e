// Mean service times of the routes at one backend server.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <map>

namespace camphorreach {

/// The service time to assume for a request of which only the time left to its target and to its
/// deadline is known; zero without a target.
[[nodiscard]] Duration assumedServiceTime(Duration targetBudget, Duration budget) noexcept;

/// Moving averages of service times, by which requests that cannot finish in time are refused.
class ServiceTimes
{
public:
    /// Records a call that the backend server answered.
    void record(const RouteName &route, Duration serviceTime);
    /// The mean of \a route, or \a assumed while there are too few samples.
    [[nodiscard]] Duration mean(const RouteName &route, Duration assumed = {}) const;
    /// The mean over all requests of all routes, or \a assumed while there are too few samples.
    [[nodiscard]] Duration overallMean(Duration assumed = {}) const noexcept
    {
        return m_overall.samples < minSamples ? assumed : m_overall.mean;
    }
    /// Lowers the mean a little, because a request was refused on account of it. Otherwise one slow
    /// period could get every request refused, and no new sample would ever correct the mean.
    void onRefused(const RouteName &route);

private:
    struct Average
    {
        Duration mean {};
        std::uint32_t samples = 0;
    };

    static constexpr std::uint32_t minSamples = 8; // fewer may all come from a cold start

    Average m_overall;
    std::map<RouteName, Average> m_averages; // at most maxRoutes
};

} // namespace camphorreach
