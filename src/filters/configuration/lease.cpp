// Decisions of a lease contender and holder.
#include <camphorreach/lease.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <utility>

namespace camphorreach {

Lease::Lease(ObjectKey key, LeaseRecord self, Timing timing, PlatformCallNumbers &numbers,
             RandomSource &random)
    : m_key(std::move(key)), m_self(std::move(self)), m_timing(timing), m_numbers(numbers),
      m_random(random)
{ }

bool Lease::isHeld(TimePoint now) const noexcept
{
    return m_heldFrom && now < *m_heldFrom + m_timing.term - m_timing.safetyMargin;
}

bool Lease::mayTake(TimePoint now) const noexcept
{
    if (!m_hasRead || m_isReleased)
        return false;
    const bool isFree = !m_seen || m_seen->holder == InstanceId();
    const bool isOwn
        = m_seen && m_seen->holder == m_self.holder && m_seen->incarnation == m_self.incarnation;
    return isFree || isOwn || now >= m_unchangedSince + m_timing.term;
}

std::optional<PlatformCall> Lease::dueCall(TimePoint now)
{
    if (!m_nextCallAt || now < *m_nextCallAt)
        return std::nullopt;
    m_nextCallAt.reset();
    m_call = m_numbers.take();
    const bool isHandBack = m_isReleased && isHeld(now);
    m_isWrite = isHandBack || mayTake(now);
    if (!m_isWrite)
        return PlatformCall { m_call, PlatformRead { m_key } };
    LeaseRecord record = m_self;
    record.renewals = m_seen ? m_seen->renewals + 1 : 1;
    m_lastWrite = Write { record.renewals, now };
    if (isHandBack) {
        record.holder = InstanceId();
        m_heldFrom.reset();
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
                   [&](const PlatformSilence &silence) { onSilence(silence, now); },
               },
               reply.result);
    return true;
}

// A write that may have taken effect is followed by a read, before any other write.
void Lease::onSilence(const PlatformSilence &silence, TimePoint now)
{
    m_hasRead = m_hasRead && !m_isWrite;
    scheduleCheck(now);
    if (silence.mayHaveTakenEffect && m_nextCallAt)
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
    m_seen = *record;
    const bool isOwn = record->holder == m_self.holder && record->incarnation == m_self.incarnation;
    if (m_isReleased)
        return;
    if (!isOwn) {
        m_heldFrom.reset();
        return scheduleCheck(now);
    }
    // Also after a write whose answer was lost: it took effect after it began, so the term that is
    // counted from its beginning ends no later than the term that contenders count.
    if (m_lastWrite && record->renewals == m_lastWrite->renewals)
        m_heldFrom = m_lastWrite->startedAt;
    m_nextCallAt = m_heldFrom ? std::max(now, *m_heldFrom + m_timing.renewal) : now;
}

void Lease::onRefusal(PlatformRefusal::Reason reason, TimePoint now)
{
    if (reason == PlatformRefusal::Reason::NotFound) {
        m_hasRead = true;
        m_seen.reset();
        m_version = ObjectVersion();
    } else if (reason == PlatformRefusal::Reason::Conflict) {
        m_hasRead = false;
    }
    scheduleCheck(now);
}

// Jitter keeps a group of contenders that started together from reading and writing together.
void Lease::scheduleCheck(TimePoint now)
{
    if (m_isReleased && !isHeld(now))
        return;
    const Duration pause = m_hasRead && mayTake(now) ? m_timing.check / 4 : m_timing.check;
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
