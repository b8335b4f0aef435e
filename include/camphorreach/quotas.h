// Quotas of organisations at one node: the ledger of its own requests, and what it lends as an
// owner.
#pragma once

#include <camphorreach/quotaledger.h>
#include <camphorreach/quotaowner.h>
#include <camphorreach/snapshot.h>

#include <memory>
#include <optional>

namespace camphorreach {

/// The part of a router that decides by quotas. Does nothing while the configuration has no quota.
class Quotas
{
public:
    using Output = QuotaLedger::Output;

    Quotas(const QuotaOptions &options, RandomSource &random)
        : m_tolerance(options.tolerance), m_ledger(options.self, random),
          m_owner(QuotaRun(static_cast<std::uint32_t>(1 + uniformBelow(random, 0xffff'fffe))))
    { }

    void onSnapshot(const Snapshot &snapshot, TimePoint now)
    {
        const QuotaTable table = quotaTableOf(snapshot, m_tolerance);
        m_ledger.setQuotas(table);
        m_owner.setQuotas(table, now);
    }
    void onEndpoints(const EndpointTable &table, TimePoint now)
    {
        m_ledger.setMembers(table, now);
        m_owner.setNodeCount(m_ledger.nodeCount());
    }
    void onNodesListed(std::size_t count, TimePoint now) { m_ledger.setListedNodes(count, now); }
    void onMessage(const NetAddress &from, const QuotaMessage &message, TimePoint now,
                   Outbox<Output> &outbox)
    {
        if (const auto *ask = std::get_if<QuotaAsk>(&message))
            outbox.emit(PeerSend { from, Transport::Datagram,
                                   QuotaMessage(m_owner.onAsk(from, *ask, now)) });
        else
            m_ledger.onGrant(from, std::get<QuotaGrant>(message), now, outbox);
    }

    [[nodiscard]] QuotaDecision admit(const OrganisationName &organisation, RequestId id,
                                      TimePoint now, Outbox<Output> &outbox)
    {
        return m_ledger.admit(organisation, id, now, outbox);
    }
    void refund(const QuotaPermit &permit, TimePoint now) { m_ledger.refund(permit, now); }

    void advance(TimePoint now, Outbox<Output> &outbox)
    {
        m_ledger.advance(now, outbox);
        m_owner.setNodeCount(m_ledger.nodeCount());
    }
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const { return m_ledger.nextDeadline(); }

    [[nodiscard]] const QuotaLedger::Counts &counts() const noexcept { return m_ledger.counts(); }
    [[nodiscard]] std::uint64_t lent() const noexcept { return m_owner.lent(); }

private:
    const QuotaTolerance m_tolerance;
    QuotaLedger m_ledger;
    QuotaOwner m_owner;
};

} // namespace camphorreach
