// Intervals of health requests.
#include <camphorreach/healthmonitor.h>

#include <algorithm>
#include <utility>

namespace camphorreach {

HealthMonitor::HealthMonitor(std::optional<Duration> interval) noexcept
    : m_interval(interval), m_currentInterval(interval.value_or(Duration::zero()))
{ }

bool HealthMonitor::isDue(TimePoint now) const noexcept
{
    return m_interval && !m_call && (!m_sentAt || now >= *m_sentAt + m_currentInterval);
}

void HealthMonitor::onSent(CallId call, TimePoint now) noexcept
{
    m_call = call;
    m_sentAt = now;
}

bool HealthMonitor::onEnded(CallId call, bool isAnswered) noexcept
{
    if (m_call != call)
        return false;
    m_call.reset();
    const Duration interval = timeout();
    m_currentInterval
        = isAnswered ? interval : std::max(interval, std::min(2 * m_currentInterval, maxInterval));
    return true;
}

void HealthMonitor::reset() noexcept
{
    m_currentInterval = timeout();
}

} // namespace camphorreach
