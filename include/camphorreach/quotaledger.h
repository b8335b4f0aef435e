// Quota ledger: admits the requests of organisations at an entry node by loans from quota owners.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/filter.h>
#include <camphorreach/outcome.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/quota.h>
#include <camphorreach/random.h>
#include <camphorreach/request.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace camphorreach {

/// The request may be forwarded. Pass the permit to refund() if it ends without having run.
struct QuotaPermit
{
    Digest organisation;
    TimePoint validUntil {}; ///< End of the loan; zero when no quota applies.
};

/// The node asks for a loan; a QuotaVerdict follows within QuotaLedger::maxWait.
struct QuotaPending
{ };

/// OverQuota, with the time after which a retry has a chance.
using QuotaDecision = std::variant<QuotaPermit, QuotaPending, NotRun>;

/// Decision on a request for which admit() returned QuotaPending.
struct QuotaVerdict
{
    RequestId id;
    std::variant<QuotaPermit, NotRun> decision;
};

/// A loan is a number of requests with an end. Loans are asked for ahead of the observed rate, so
/// that the requests of an organisation that is below its limit usually find one. A request that
/// finds none waits for the reply to an ask, unless the owner has just answered that the quota is
/// used up.
class QuotaLedger
{
public:
    /// A request is refused when it has waited this long. Longer than the time after which the
    /// votes for a failed owner have ended, so that requests survive its replacement.
    static constexpr Duration maxWait = std::chrono::milliseconds(1500);
    /// Max requests of an organisation that wait.
    static constexpr std::size_t maxWaiting = 64;

    using Output = std::variant<PeerSend, QuotaVerdict>;

    struct Counts
    {
        std::uint64_t admitted = 0;
        std::uint64_t waited = 0; ///< Requests that found no loan and waited for a reply.
        std::uint64_t overQuota = 0;
        std::uint64_t borrowed = 0;
        std::uint64_t expired = 0; ///< Borrowed, but not used within the life of the loan.
        std::uint64_t refunds = 0;
    };

    QuotaLedger(NetAddress self, RandomSource &random) : m_self(std::move(self)), m_random(random)
    { }

    void setQuotas(const QuotaTable &table);
    void setMembers(const EndpointTable &table, TimePoint now);
    /// Nodes that the store lists, at least as many as there are.
    void setListedNodes(std::size_t count, TimePoint now);
    [[nodiscard]] std::size_t nodeCount() const noexcept { return m_shareEnds.size(); }

    [[nodiscard]] QuotaDecision admit(const OrganisationName &organisation, RequestId id,
                                      TimePoint now, Outbox<Output> &outbox);
    /// Gives back the permit of a request that ended without having run.
    void refund(const QuotaPermit &permit, TimePoint now);
    void onGrant(const NetAddress &from, const QuotaGrant &grant, TimePoint now,
                 Outbox<Output> &outbox);

    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const { return m_nextTick; }

    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }

private:
    struct Loan
    {
        std::uint32_t count = 0;
        TimePoint validUntil {};
    };
    struct Waiter
    {
        RequestId id;
        TimePoint until {};
    };
    struct Account
    {
        LendingTerms terms;
        std::deque<Loan> loans; // ordered by validUntil; at most maxLoans
        std::deque<Waiter> waiters; // ordered by time; at most maxWaiting
        std::optional<TimePoint> askedAt; // of the ask without a reply
        TimePoint closedUntil {}; // the owner has lent all that it had
        double recent = 0.0; // requests that arrived, decayed
        TimePoint decayedAt {};
    };
    struct Ask
    {
        NetAddress to;
        TimePoint sentAt {};
        std::vector<Digest> organisations;
    };
    struct Group
    {
        std::optional<NetAddress> voted; // the owner to which the shares are delegated
        TimePoint voteEnds {}; // no owner counts the delegation after this
        std::map<NetAddress, QuotaStamp> stamps; // latest, of the current owner only
        TimePoint stampReceivedAt {};
        std::map<QuotaAskId, Ask> asks; // without a reply; at most maxAsks
        TimePoint renewedAt {}; // when the latest ask was sent that returned a stamp
        std::optional<TimePoint> renewalSentAt; // of the latest ask that renewed the vote
        unsigned unanswered = 0; // asks in a row
        TimePoint unansweredSince {}; // when the first of them was sent
        std::vector<std::pair<std::uint64_t, NetAddress>> candidates; // by falling rank
    };

    void dropShares(TimePoint now);
    [[nodiscard]] std::optional<NetAddress> ownerOf(Group &group, TimePoint now);
    [[nodiscard]] std::optional<NetAddress> preferred(const Group &group, TimePoint now) const;
    void endFirstTermsEarly();
    [[nodiscard]] std::size_t sharingNodes(TimePoint now) const;
    [[nodiscard]] bool isFailed(const NetAddress &owner, TimePoint now) const;
    void ask(QuotaGroup id, const std::vector<Digest> &organisations, TimePoint now,
             Outbox<Output> &outbox);
    [[nodiscard]] QuotaNeed needOf(Digest organisation, const Account &account,
                                   TimePoint now) const;
    void expireAsks(Group &group, TimePoint now);
    void dropExpired(Account &account, TimePoint now);
    [[nodiscard]] bool take(Account &account, TimePoint now, TimePoint &validUntil);
    void serveWaiters(Digest organisation, Account &account, TimePoint now, Outbox<Output> &outbox);
    void refuseWaiters(Account &account, TimePoint now, bool onlyOverdue, Outbox<Output> &outbox);
    static void decay(Account &account, TimePoint now);
    [[nodiscard]] static std::uint32_t held(const Account &account);
    [[nodiscard]] static double expectedWithinLife(const Account &account);
    [[nodiscard]] NotRun refusal(const Account &account, TimePoint now);

    const NetAddress m_self;
    RandomSource &m_random; // owned by the code that builds the filter
    std::unordered_map<Digest, Account> m_accounts; // as many as the configuration has quotas
    std::array<Group, quotaGroupCount> m_groups;
    // Nodes that share the quotas, and when each ceases to; TimePoint::max() while it is listed. At
    // most maxQuotaNodes.
    std::map<NetAddress, TimePoint> m_shareEnds;
    std::map<NetAddress, TimePoint> m_failedUntil; // owners that did not reply; of the members
    std::optional<TimePoint> m_firstMembersAt;
    TimePoint m_newMembersAt {}; // when another node was heard of that was not known before
    std::size_t m_listedNodes = 0; // in the store; zero until it has answered
    std::uint32_t m_nextAskId = 1;
    std::optional<TimePoint> m_nextTick; // empty when the configuration has no quota
    Counts m_counts;
};

} // namespace camphorreach
