// Lease: a duty that one node at a time holds, by conditional writes to the platform.
#pragma once

#include <camphorreach/filter.h>
#include <camphorreach/ids.h>
#include <camphorreach/leaserecord.h>
#include <camphorreach/platform.h>
#include <camphorreach/random.h>
#include <camphorreach/units.h>

#include <optional>

namespace camphorreach {

/// Allocates platform call ids that are unique within a filter, for all of its parts.
class PlatformCallIds
{
public:
    [[nodiscard]] PlatformCallId allocate() { return m_next = next(m_next); }

private:
    PlatformCallId m_next;
};

/// Acquires, renews and releases one lease. Part of a filter, not a filter of its own.
///
/// Clocks of different machines are never compared: a contender measures by its own clock how long
/// the object has not changed, and a holder counts the term from the start of its last successful
/// write.
class Lease
{
public:
    struct Timing
    {
        Duration term = std::chrono::seconds(10);
        Duration renewalInterval = std::chrono::seconds(3);
        Duration safetyMargin = std::chrono::seconds(2); ///< Subtracted from the holder's term.
        Duration pollInterval = std::chrono::seconds(5); ///< Between a contender's reads.
    };

    Lease(ObjectKey key, LeaseRecord self, Timing timing, PlatformCallIds &callIds,
          RandomSource &random);

    /// Whether this node may act as the holder. False for a holder that resumes after its term.
    [[nodiscard]] bool isHeld(TimePoint now) const noexcept;
    /// The record as last read, whichever node holds the lease.
    [[nodiscard]] const std::optional<LeaseRecord> &lastSeen() const noexcept { return m_lastSeen; }

    /// Returns whether the reply belongs to this lease.
    bool process(const PlatformReply &reply, TimePoint now);
    /// Emits the call that is due, if any.
    template <typename Message>
    void advance(TimePoint now, Outbox<Message> &outbox)
    {
        if (std::optional<PlatformCall> call = dueCall(now))
            outbox.emit(std::move(*call));
    }
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const noexcept { return m_nextCallAt; }

    /// Stops contending and releases the lease if it is held.
    void release(TimePoint now);
    [[nodiscard]] bool isReleased() const noexcept { return m_isReleased; }

private:
    struct Write
    {
        std::uint64_t renewals = 0; // of the record that was written
        TimePoint startedAt {};
    };

    [[nodiscard]] std::optional<PlatformCall> dueCall(TimePoint now);
    void observe(const PlatformObject &object, TimePoint now);
    void onNoReply(const PlatformNoReply &noReply, TimePoint now);
    void onRefusal(PlatformRefusal::Reason reason, TimePoint now);
    void scheduleCheck(TimePoint now);
    [[nodiscard]] bool mayAcquire(TimePoint now) const noexcept;

    const ObjectKey m_key;
    LeaseRecord m_self;
    const Timing m_timing;
    PlatformCallIds &m_callIds;
    RandomSource &m_random;
    std::optional<LeaseRecord> m_lastSeen;
    ObjectVersion m_version; // of the object as last seen; zero if it does not exist
    TimePoint m_unchangedSince {}; // by this node's clock
    std::optional<Write> m_lastWrite; // whether or not it took effect
    std::optional<TimePoint> m_termStart; // start of the last successful write
    std::optional<TimePoint> m_nextCallAt = TimePoint {}; // empty while a call is in progress
    PlatformCallId m_call;
    bool m_hasRead = false; // the object was read or is known not to exist
    bool m_isWriting = false; // whether the call in progress is a write
    bool m_isReleased = false;
};

} // namespace camphorreach
