// Quota owner: lends requests of the quotas to entry nodes.
#pragma once

#include <camphorreach/quota.h>

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace camphorreach {

/// Every node has an equal share of each quota and delegates the shares of a group to at most one
/// owner at a time. An owner lends what its delegated shares earn, so that several owners of a
/// group never lend more than the quota together, and an owner without delegated shares lends
/// nothing.
///
/// The state is held in memory only. After a restart the nodes delegate to the new run, which
/// starts with empty accounts.
class QuotaOwner
{
public:
    explicit QuotaOwner(QuotaRun run) : m_run(run) { }

    void setQuotas(const QuotaTable &table, TimePoint now);
    /// Nodes that share the quotas, as known to this node.
    void setNodeCount(std::size_t count) noexcept { m_nodeCount = count; }
    [[nodiscard]] QuotaGrant onAsk(const NetAddress &from, const QuotaAsk &ask, TimePoint now);

    /// Requests lent since the start.
    [[nodiscard]] std::uint64_t lent() const noexcept { return m_lent; }

private:
    struct Vote
    {
        TimePoint validUntil {};
        double share = 0.0; // of each quota of the group
    };
    struct Account
    {
        LendingTerms terms;
        double tokens = 0.0; // at most the delegated share of terms.cap
        double settledEarning = 0.0; // Group::earning when `tokens` was updated
    };
    struct Group
    {
        std::map<NetAddress, Vote> votes; // not expired at `updatedAt`; at most maxQuotaNodes
        std::set<std::pair<TimePoint, NetAddress>> expiries; // one per vote
        double share = 0.0; // sum of the votes' shares
        double earning = 0.0; // integral of min(1, share) over time, in seconds
        TimePoint updatedAt {};
        std::unordered_map<Digest, Account> accounts; // as many as the configuration has quotas
    };

    void advance(Group &group, TimePoint now);
    void addVote(Group &group, const NetAddress &from, const QuotaAsk &ask, TimePoint now);
    void setShare(Group &group, double share);
    static void settle(const Group &group, Account &account);
    [[nodiscard]] QuotaLoan lend(Group &group, const QuotaNeed &need);

    const QuotaRun m_run;
    std::size_t m_nodeCount = 1;
    std::array<Group, quotaGroupCount> m_groups;
    std::uint64_t m_lent = 0;
};

} // namespace camphorreach
