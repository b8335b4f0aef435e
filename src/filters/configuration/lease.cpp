// Acquisition, renewal and release of a lease.
#include <camphorreach/lease.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <utility>

namespace camphorreach {

Lease::Lease(ObjectKey key, LeaseRecord self, Timing timing, PlatformCallIds &callIds,
             RandomSource &random)
    : m_key(std::move(key)), m_self(std::move(self)), m_timing(timing), m_callIds(callIds),
      m_random(random)
{ }

bool Lease::isHeld(TimePoint now) const noexcept
{
    return m_termStart && now < *m_termStart + m_timing.term - m_timing.safetyMargin;
}

bool Lease::mayAcquire(TimePoint now) const noexcept
{
    if (!m_hasRead || m_isReleased)
        return false;
    const bool isFree = !m_lastSeen || m_lastSeen->holder == InstanceId();
    const bool isOwn = m_lastSeen && m_lastSeen->holder == m_self.holder
        && m_lastSeen->incarnation == m_self.incarnation;
    return isFree || isOwn || now >= m_unchangedSince + m_timing.term;
}

std::optional<PlatformCall> Lease::dueCall(TimePoint now)
{
    if (!m_nextCallAt || now < *m_nextCallAt)
        return std::nullopt;
    m_nextCallAt.reset();
    m_call = m_callIds.allocate();
    const bool isRelease = m_isReleased && isHeld(now);
    m_isWriting = isRelease || mayAcquire(now);
    if (!m_isWriting)
        return PlatformCall { m_call, PlatformRead { m_key } };
    LeaseRecord record = m_self;
    record.renewals = m_lastSeen ? m_lastSeen->renewals + 1 : 1;
    m_lastWrite = Write { record.renewals, now };
    if (isRelease) {
        record.holder = InstanceId();
        m_termStart.reset();
    }
    return PlatformCall { m_call, PlatformWrite { m_key, m_version, record } };
}

bool Lease::process(const PlatformReply &reply, TimePoint now)
{
    if (reply.id != m_call || m_nextCallAt)
        return false;
    std::visit(Overloaded {
                   [&](const PlatformObject &object) { observe(object, now); },
                   [&](const PlatformRefusal &refusal) { onRefusal(refusal.reason, now); },
                   [&](const PlatformNoReply &noReply) { onNoReply(noReply, now); },
               },
               reply.result);
    return true;
}

// A write without a reply may have taken effect, so it is followed by a read before another write.
void Lease::onNoReply(const PlatformNoReply &noReply, TimePoint now)
{
    m_hasRead = m_hasRead && !m_isWriting;
    scheduleCheck(now);
    if (noReply.mayHaveTakenEffect && m_nextCallAt)
        m_nextCallAt = now + (*m_nextCallAt - now) / 8;
}

void Lease::observe(const PlatformObject &object, TimePoint now)
{
    const auto *record = std::get_if<LeaseRecord>(&object.value);
    if (record == nullptr)
        return scheduleCheck(now);
    if (!m_hasRead || object.version != m_version)
        m_unchangedSince = now;
    m_hasRead = true;
    m_version = object.version;
    m_lastSeen = *record;
    const bool isOwn = record->holder == m_self.holder && record->incarnation == m_self.incarnation;
    if (m_isReleased)
        return;
    if (!isOwn) {
        m_termStart.reset();
        return scheduleCheck(now);
    }
    // Also correct if the reply to the write was lost: the write took effect after it started, so a
    // term counted from its start ends no later than the term that contenders count.
    if (m_lastWrite && record->renewals == m_lastWrite->renewals)
        m_termStart = m_lastWrite->startedAt;
    m_nextCallAt = m_termStart ? std::max(now, *m_termStart + m_timing.renewalInterval) : now;
}

void Lease::onRefusal(PlatformRefusal::Reason reason, TimePoint now)
{
    if (reason == PlatformRefusal::Reason::NotFound) {
        m_hasRead = true;
        m_lastSeen.reset();
        m_version = ObjectVersion();
    } else if (reason == PlatformRefusal::Reason::Conflict) {
        m_hasRead = false;
    }
    scheduleCheck(now);
}

// Jitter keeps contenders that started together from calling the platform at the same time.
void Lease::scheduleCheck(TimePoint now)
{
    if (m_isReleased && !isHeld(now))
        return;
    const Duration pause
        = m_hasRead && mayAcquire(now) ? m_timing.pollInterval / 4 : m_timing.pollInterval;
    const auto jitter = uniformBelow(m_random, static_cast<std::uint64_t>(pause.count()));
    m_nextCallAt = now + pause / 2 + Duration(static_cast<Duration::rep>(jitter));
}

void Lease::release(TimePoint now)
{
    m_isReleased = true;
    if (m_nextCallAt || !isHeld(now))
        m_nextCallAt = isHeld(now) ? std::optional(now) : std::nullopt;
}

} // namespace camphorreach
