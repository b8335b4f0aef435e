// Conditions and durations of outlier ejection.
#include <camphorreach/ejection.h>

#include <algorithm>

namespace camphorreach {
namespace {

constexpr std::uint32_t maxDoublings = 6; // 64 s, just above maxTime
// Spreads the return of targets that were ejected together.
constexpr double jitter = 0.2;

} // namespace

Ejection::State Ejection::state(TimePoint now) const noexcept
{
    if (!m_ejectedUntil || (m_successes >= successesToReturn))
        return State::Active;
    return now < *m_ejectedUntil ? State::Ejected : State::Probing;
}

std::optional<TimePoint> Ejection::ejectedUntil(TimePoint now) const noexcept
{
    return state(now) == State::Ejected ? m_ejectedUntil : std::nullopt;
}

bool Ejection::onSuccess(TimePoint now)
{
    m_failures = 0;
    if (state(now) != State::Probing)
        return false;
    return ++m_successes >= successesToReturn;
}

bool Ejection::onFailure(TimePoint now)
{
    ++m_failures;
    if (state(now) == State::Probing)
        return true;
    return state(now) == State::Active && isFailing();
}

void Ejection::eject(TimePoint now, RandomSource &random)
{
    if (m_ejectedUntil && now - *m_ejectedUntil > backoffResetTime)
        m_ejections = 0;
    const Duration time = std::min(maxTime, baseTime * (1 << m_ejections));
    m_ejectedUntil = now + scaled(time, 1.0 - jitter * uniformFraction(random));
    m_ejections = std::min(m_ejections + 1, maxDoublings);
    m_successes = 0;
    m_failures = 0;
}

} // namespace camphorreach
