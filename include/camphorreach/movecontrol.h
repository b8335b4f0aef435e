// MoveController: advances the move of one service while this node holds the service's lease.
#pragma once

#include <camphorreach/lease.h>
#include <camphorreach/movemessage.h>
#include <camphorreach/moveplan.h>

#include <optional>

namespace camphorreach {

/// Watches the move record "move/SERVICE" and writes the steps of the move to it while the lease is
/// held. A component of the filter `Moves`.
///
/// Every write is conditional on the version that was last read. After a conflict or a write
/// without a response, nothing is written until the record has been read again.
class MoveController
{
public:
    MoveController(ServiceName service, LeaseRecord self, PlatformCallIds &callIds,
                   RandomSource &random);

    /// Only nodes that contend for the lease watch the record, which limits the number of watches.
    void setContender(bool isContender) noexcept { m_isContender = isContender; }
    /// The record as last read or written since this process started.
    [[nodiscard]] const std::optional<MoveNotice> &notice() const noexcept { return m_notice; }
    [[nodiscard]] bool isLeading(TimePoint now) const noexcept { return m_lease.isHeld(now); }

    /// Increases with every change of the lease holder. Zero while this node does not hold the
    /// lease.
    [[nodiscard]] std::uint64_t term(TimePoint now) noexcept;
    /// Returns whether the reply belongs to this controller.
    bool process(const PlatformReply &reply, TimePoint now);
    /// Emits the calls that are due. A \a verdict of any node on this move causes a rollback.
    template <typename Message>
    void advance(TimePoint now, WallTime wall, const MovePolicy &policy, const MoveView &view,
                 const std::optional<RecordedVerdict> &verdict, Outbox<Message> &outbox)
    {
        if (m_isContender && m_notice && isUnderWay(m_notice->record.state))
            m_lease.advance(now, outbox);
        if (std::optional<PlatformCall> call = dueRead(now))
            outbox.emit(std::move(*call));
        if (std::optional<PlatformCall> call = dueWrite(now, wall, policy, view, verdict))
            outbox.emit(std::move(*call));
    }

private:
    [[nodiscard]] std::optional<PlatformCall> dueRead(TimePoint now);
    [[nodiscard]] std::optional<PlatformCall>
    dueWrite(TimePoint now, WallTime wall, const MovePolicy &policy, const MoveView &view,
             const std::optional<RecordedVerdict> &verdict);
    void observe(const PlatformObject &object);

    const ServiceName m_service;
    const LeaseRecord m_self;
    PlatformCallIds &m_callIds;
    Lease m_lease;
    std::optional<MoveNotice> m_notice; // its version never decreases
    std::optional<PlatformCallId> m_read; // in flight
    std::optional<PlatformCallId> m_write; // in flight
    std::uint64_t m_term = 0; // number of renewals of the lease when it was acquired
    TimePoint m_readAt {}; // earliest time of the next read
    bool m_isContender = false;
    bool m_mustRead = true; // the record has to be read before the next write
};

} // namespace camphorreach
