// Estimates of the time that long responses wait for the bandwidth of the machine.
#include <camphorreach/egressbudget.h>

#include <algorithm>

namespace camphorreach {

void EgressBudget::onBacklog(const EgressBacklogChanged &changed, TimePoint now) noexcept
{
    m_drainTime = changed.drainTime;
    m_estimatedAt = now;
}

void EgressBudget::onResponse(const RouteName &route, ByteCount size, TimePoint now)
{
    m_sizes.record(route, size);
    if (size < longMessageSize)
        return;
    m_drainTime = drainTime(now) + transferTime(size, m_limits.rate);
    m_estimatedAt = now;
}

Duration EgressBudget::drainTime(TimePoint now) const noexcept
{
    return std::max(Duration::zero(), m_drainTime - (now - m_estimatedAt));
}

Duration EgressBudget::transferTimeOf(const RouteName &route) const
{
    const ByteCount size = m_sizes.average(route);
    return size < longMessageSize ? Duration::zero() : transferTime(size, m_limits.rate);
}

Duration EgressBudget::reserve(const RouteName &route)
{
    const Duration reserved = transferTimeOf(route);
    m_reserved += reserved;
    return reserved;
}

Duration EgressBudget::expectedWait(Duration readyIn, Duration own, TimePoint now) const noexcept
{
    const Duration ahead = drainTime(now) + m_reserved - own;
    return std::max(Duration::zero(), ahead - readyIn);
}

} // namespace camphorreach
