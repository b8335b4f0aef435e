// Times and conditions of outlier ejection.
#include <camphorreach/ejection.h>

#include <algorithm>

namespace camphorreach {
namespace {

constexpr std::uint32_t maxDoublings = 6; // 64 s, just above the longest time
// Spreads the returns of targets that were ejected together.
constexpr double jitter = 0.2;

} // namespace

Ejection::State Ejection::state(TimePoint now) const noexcept
{
    if (!m_until || (m_successes >= successesToReturn))
        return State::Active;
    return now < *m_until ? State::Ejected : State::Probing;
}

std::optional<TimePoint> Ejection::ejectedUntil(TimePoint now) const noexcept
{
    return state(now) == State::Ejected ? m_until : std::nullopt;
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
    if (m_until && now - *m_until > forgetAfter)
        m_ejections = 0;
    const Duration time = std::min(longestTime, firstTime * (1 << m_ejections));
    m_until = now + scaled(time, 1.0 - jitter * uniformFraction(random));
    m_ejections = std::min(m_ejections + 1, maxDoublings);
    m_successes = 0;
    m_failures = 0;
}

} // namespace camphorreach
