// The usual service time of each route at one backend server.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <map>

namespace camphorreach {

/// A moving average of service times by route, for requests that cannot finish in time.
class ServiceTimes
{
public:
    /// Records a call that the backend server answered.
    void record(const RouteName &route, Duration taken);
    /// The usual time, or zero as long as there are too few samples to tell.
    [[nodiscard]] Duration usual(const RouteName &route) const;
    /// The usual time over all routes, weighted by their use; zero before the first samples.
    [[nodiscard]] Duration overall() const noexcept
    {
        return m_overall.samples < minSamples ? Duration::zero() : m_overall.mean;
    }
    /// A request was refused because of the usual time. Lowers the average a little: otherwise one
    /// slow period could refuse every request, and no new sample would ever correct it.
    void noteRefusal(const RouteName &route);

private:
    struct Average
    {
        Duration mean {};
        std::uint32_t samples = 0;
    };

    static constexpr std::uint32_t minSamples = 8; // fewer may all be of a cold start

    Average m_overall;
    std::map<RouteName, Average> m_averages; // at most maxRoutes
};

} // namespace camphorreach
