// Capacity, readiness and load of one target.
#include <camphorreach/target.h>

#include <algorithm>

namespace camphorreach {

Target::Target(const Endpoint &endpoint, std::optional<TimePoint> coldSince)
    : m_incarnation(endpoint.incarnation), m_limit(endpoint.slots), m_coldSince(coldSince)
{ }

bool Target::hasCapacity(TimePoint now, double fraction) const noexcept
{
    if (m_ejection.state(now) == Ejection::State::Probing)
        return m_inFlight == 0;
    return m_inFlight + 1.0 <= std::max(1.0, m_limit.value() * fraction * readiness(now));
}

double Target::readiness(TimePoint now) const noexcept
{
    if (!m_coldSince)
        return 1.0;
    const auto age = static_cast<double>((now - *m_coldSince).count());
    return std::clamp(age / static_cast<double>(slowStartTime.count()), slowStartFloor, 1.0);
}

Candidate Target::candidate(const Endpoint &endpoint, TimePoint now) noexcept
{
    const bool isFresh = now - m_reportedAt < loadHintLifetime;
    return { &endpoint,
             this,
             static_cast<double>(m_inFlight),
             static_cast<double>(m_limit.latency().count()),
             readiness(now),
             isFresh ? m_reportedQueue : 0.0,
             std::max<double>(m_inFlight, isFresh ? m_reportedLoad + m_sentSinceReport : 0),
             static_cast<double>(std::max(endpoint.slots, 1U)) };
}

void Target::onEnded() noexcept
{
    if (m_inFlight > 0)
        --m_inFlight;
}

void Target::restart(const Endpoint &endpoint, TimePoint now)
{
    const std::uint32_t inFlight = m_inFlight;
    *this = Target(endpoint, now);
    m_inFlight = inFlight;
}

void Target::onLoad(const GateLoad &load, TimePoint now) noexcept
{
    // Capped, so that a wrong report of a gate at most doubles its cost in isCheaper().
    m_reportedQueue = load.slots == 0
        ? 0.0
        : std::min(1.0, static_cast<double>(load.queued) / static_cast<double>(load.slots));
    m_reportedLoad = load.running + load.queued;
    m_sentSinceReport = 0;
    m_reportedAt = now;
}

} // namespace camphorreach
