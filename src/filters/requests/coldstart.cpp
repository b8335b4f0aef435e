// Spacing of the requests to a cold backend server.
#include <camphorreach/coldstart.h>

#include <algorithm>

namespace camphorreach {
namespace {

constexpr Duration window = std::chrono::seconds(1);
constexpr std::uint32_t thousandths = 1000;
// Only the last startsPerSecond() starts decide about the next one.
constexpr std::size_t maxStarts = WarmUpPolicy::maxRate.value() / thousandths;

} // namespace

void ColdStartLimiter::update(TimePoint now)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_unknownUntil = now + window;
    }
    m_isCold = now < m_coldUntil;
    while (m_starts.size() > 1 && m_starts.front() <= now - window)
        m_starts.pop_front();
}

void ColdStartLimiter::setPolicy(const std::optional<WarmUpPolicy> &policy, TimePoint now)
{
    if (policy && !m_policy)
        m_unknownUntil = now + window; // starts were not recorded without a policy
    m_policy = policy;
    if (!m_policy)
        m_starts.clear();
}

// The announcement was sent before it arrived, so the time left is never too short.
void ColdStartLimiter::onAnnounced(Duration left, TimePoint now)
{
    m_coldUntil = now + std::clamp(left, Duration::zero(), WarmUpPolicy::maxDuration);
    m_isCold = now < m_coldUntil;
}

void ColdStartLimiter::onHealth(Duration left, TimePoint now)
{
    if (left <= Duration::zero())
        return;
    m_coldUntil = std::max(m_coldUntil, now + std::min(left, WarmUpPolicy::maxDuration));
    m_isCold = true;
}

void ColdStartLimiter::onProcessStarted(TimePoint now)
{
    if (!m_policy || m_coldUntil == TimePoint::max())
        return;
    m_coldUntil = std::max(m_coldUntil, now + m_policy->duration);
    m_isCold = now < m_coldUntil;
}

void ColdStartLimiter::onStarted(TimePoint now)
{
    if (!m_policy)
        return;
    m_starts.push_back(now);
    if (m_starts.size() > maxStarts)
        m_starts.pop_front();
}

bool ColdStartLimiter::exceedsColdRate() const
{
    return m_policy && !m_isCold && m_starts.size() > startsPerSecond();
}

std::size_t ColdStartLimiter::startsPerSecond() const
{
    return std::max(1U, m_policy->rate.value() / thousandths);
}

Duration ColdStartLimiter::spacing() const
{
    if (m_policy->rate.value() < thousandths)
        return window * thousandths / std::max(m_policy->rate, WarmUpPolicy::minRate).value();
    // Rounded up, so that a second never holds one start more.
    const auto count = static_cast<Duration::rep>(startsPerSecond());
    return (window + Duration(count - 1)) / count;
}

TimePoint ColdStartLimiter::nextStart() const
{
    TimePoint next = m_unknownUntil;
    if (!m_starts.empty())
        next = std::max(next, m_starts.back() + spacing());
    const std::size_t count = startsPerSecond();
    if (m_starts.size() >= count)
        next = std::max(next, m_starts[m_starts.size() - count] + window);
    return std::min(next, m_coldUntil);
}

Duration ColdStartLimiter::waitFor(std::size_t ahead, TimePoint now) const
{
    if (!isLimiting())
        return Duration::zero();
    // The limit ends with the warm-up, so no request waits longer than that for it.
    const Duration byRate = std::max(nextStart() - now, Duration::zero())
        + spacing() * static_cast<Duration::rep>(ahead);
    return std::min(byRate, m_coldUntil - now);
}

std::uint32_t ColdStartLimiter::usableSlots(std::uint32_t slots, Duration serviceTime) const
{
    if (!isLimiting())
        return slots;
    const auto busy = (serviceTime + spacing() - Duration(1)) / spacing();
    return static_cast<std::uint32_t>(std::clamp<Duration::rep>(busy, 1, std::max(1U, slots)));
}

} // namespace camphorreach
