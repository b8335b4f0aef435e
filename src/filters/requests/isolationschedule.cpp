// Holds and pauses around the isolated runs of suspects.
#include <camphorreach/isolationschedule.h>

namespace camphorreach {
namespace {

// Maximum time for which slots are held free for a suspect.
constexpr Duration maxHold = std::chrono::milliseconds(500);
// After an isolated run, the pause before the next one lasts this many times as long as the run and
// the hold before it, so that other requests have the slots and suspects take at most a fifth of
// the backend server's time.
constexpr int pauseFactor = 4;

} // namespace

IsolationSchedule::Step IsolationSchedule::next(bool isServerIdle, TimePoint now)
{
    if (now < m_nextStart) {
        m_holdSince.reset();
        return Step::Wait;
    }
    if (!m_holdSince)
        m_holdSince = now;
    if (isServerIdle)
        return Step::Start;
    if (now - *m_holdSince < maxHold)
        return Step::Hold;
    m_holdSince.reset();
    m_nextStart = now + pauseFactor * maxHold;
    return Step::Wait;
}

bool IsolationSchedule::onEnded(CallId id, TimePoint started, TimePoint now)
{
    if (m_call != id)
        return false;
    m_call.reset();
    m_nextStart = now + pauseFactor * (now - m_holdSince.value_or(started));
    m_holdSince.reset();
    return true;
}

TimePoint IsolationSchedule::nextChange() const
{
    return m_holdSince ? *m_holdSince + maxHold : m_nextStart;
}

} // namespace camphorreach
