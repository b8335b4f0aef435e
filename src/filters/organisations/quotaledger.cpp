// Loans, delegation and waiting requests of an entry node.
#include <camphorreach/quotaledger.h>

#include <camphorreach/keyowners.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;

constexpr Duration tickInterval = milliseconds(50);
// A vote is renewed by the first ask after this time, or by one of its own at the end of
// maxRenewInterval: well within its term, so that the loss of one datagram does not end it. Stamps
// and echoes in every ask would be a third of the traffic.
constexpr Duration minRenewInterval = milliseconds(300);
constexpr Duration maxRenewInterval = milliseconds(400);
constexpr Duration askTimeout = milliseconds(150);
// Asks in a row without a reply after which the next candidate is asked. Lost datagrams alone must
// not move the vote, because a moved vote is not counted anywhere for a while.
constexpr unsigned maxUnanswered = 3;
// A shorter silence may be a pause of a busy machine.
constexpr Duration failureTime = milliseconds(400);
constexpr std::ptrdiff_t maxFailedOwners = 4;
constexpr Duration failedFor = std::chrono::seconds(5);
// A node that is no longer listed may be cut off and may still admit requests, so its share remains
// its own for this time, unless it has stopped.
constexpr Duration memberRetention = std::chrono::minutes(10);
// A node that starts knows all members when no more have come for this time: it greets all that the
// store lists at once, or gets the whole table from a node that runs.
constexpr Duration membersSettleTime = milliseconds(600);
// The clocks of two machines may differ in speed.
constexpr double clockTolerance = 1.02;
constexpr std::size_t maxAsks = 32;
constexpr std::size_t maxLoans = 32;
constexpr double rateWindowSeconds = 0.5;
// Below this, a loan for expected requests more often expires than it is used.
constexpr double minExpected = 0.3;
// Below this, a request that finds no loan asks, and no ask is sent before.
constexpr double minExpectedToAsk = 4.0;
constexpr double maxNeed = 4096;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void QuotaLedger::setQuotas(const QuotaTable &table)
{
    std::erase_if(m_accounts, [&](const auto &entry) {
        return !table.contains(entry.first) && entry.second.waiters.empty();
    });
    for (const auto &[digest, terms] : table)
        m_accounts[digest].terms = terms;
    if (m_accounts.empty())
        m_nextTick.reset();
    else if (!m_nextTick)
        m_nextTick = TimePoint(); // at once
}

void QuotaLedger::setMembers(const EndpointTable &table, TimePoint now)
{
    std::set<NetAddress> members { m_self };
    for (const auto &[service, endpoints] : table.services) {
        for (const Endpoint &endpoint : endpoints)
            members.insert(endpoint.peer);
    }
    dropShares(now);
    const std::size_t knownBefore = m_shareEnds.size();
    for (const NetAddress &address : members) {
        if (m_shareEnds.size() < maxQuotaNodes || m_shareEnds.contains(address))
            m_shareEnds[address] = TimePoint::max();
    }
    const std::set<NetAddress> stopped(table.stopped.begin(), table.stopped.end());
    for (auto &[address, end] : m_shareEnds) {
        // The last vote of a node that has stopped counts until the end of its term.
        const Duration retention
            = stopped.contains(address) ? scaled(quotaVoteTerm, clockTolerance) : memberRetention;
        if (!members.contains(address))
            end = std::min(end, now + retention);
    }
    std::erase_if(m_failedUntil, [&](const auto &entry) {
        return entry.second <= now || !members.contains(entry.first);
    });
    if (!m_firstMembersAt) {
        m_firstMembersAt = now;
        for (Group &group : m_groups)
            group.voteEnds = now + 2 * quotaVoteTerm;
    }
    if (members.size() > 1 && m_shareEnds.size() > knownBefore) {
        m_newMembersAt = now;
        endFirstTermsEarly();
    }
    for (std::size_t i = 0; i < m_groups.size(); ++i) {
        auto &candidates = m_groups[i].candidates;
        candidates.clear();
        for (const NetAddress &address : members)
            candidates.emplace_back(rendezvousRank(toText(address), i), address);
        std::ranges::sort(candidates, std::greater<>());
    }
}

void QuotaLedger::dropShares(TimePoint now)
{
    std::erase_if(m_shareEnds, [now](const auto &entry) { return entry.second <= now; });
}

void QuotaLedger::setListedNodes(std::size_t count, TimePoint now)
{
    m_listedNodes = std::min(count, maxQuotaNodes);
    if (m_firstMembersAt && now < *m_firstMembersAt + 2 * quotaVoteTerm)
        endFirstTermsEarly();
}

// The votes of an earlier run of this process may last for the first term. The second is for
// learning all members, which determine the size of a share. It ends early when the store's list
// limits that size as well, because a pause in discovery looks like its end.
void QuotaLedger::endFirstTermsEarly()
{
    if (m_listedNodes < m_shareEnds.size() || m_newMembersAt == TimePoint())
        return;
    const TimePoint settledAt = std::max(*m_firstMembersAt + scaled(quotaVoteTerm, clockTolerance),
                                         m_newMembersAt + membersSettleTime);
    for (Group &group : m_groups) {
        if (!group.voted)
            group.voteEnds = std::min(*m_firstMembersAt + 2 * quotaVoteTerm, settledAt);
    }
}

// The list may name nodes that are gone, so it counts only until all members had time to be heard
// of.
std::size_t QuotaLedger::sharingNodes(TimePoint now) const
{
    const bool isStarting = !m_firstMembersAt || now < *m_firstMembersAt + 2 * quotaVoteTerm;
    return std::max({ std::size_t { 1 }, m_shareEnds.size(), isStarting ? m_listedNodes : 0 });
}

bool QuotaLedger::isFailed(const NetAddress &owner, TimePoint now) const
{
    const auto found = m_failedUntil.find(owner);
    return found != m_failedUntil.end() && found->second > now;
}

// The owner that is asked: the first candidate that replies. While the vote for another one that
// replies is still counted, that one lends this node's share.
std::optional<NetAddress> QuotaLedger::ownerOf(Group &group, TimePoint now)
{
    if (group.voted && now < group.voteEnds && !isFailed(*group.voted, now)
        && std::ranges::any_of(group.candidates, [&](const auto &candidate) {
               return candidate.second == *group.voted;
           }))
        return group.voted;
    return preferred(group, now);
}

std::optional<NetAddress> QuotaLedger::preferred(const Group &group, TimePoint now) const
{
    const auto failed = std::ranges::count_if(
        m_failedUntil, [now](const auto &entry) { return entry.second > now; });
    if (failed >= maxFailedOwners)
        return m_self; // this node is cut off, and lends itself its own share
    const auto found = std::ranges::find_if(
        group.candidates, [&](const auto &candidate) { return !isFailed(candidate.second, now); });
    return found != group.candidates.end() ? std::optional(found->second) : std::nullopt;
}

void QuotaLedger::ask(QuotaGroup id, const std::vector<Digest> &organisations, TimePoint now,
                      Outbox<Output> &outbox)
{
    Group &group = m_groups[id.value()];
    const auto owner = ownerOf(group, now);
    if (!owner || group.asks.size() >= maxAsks)
        return;
    QuotaAsk message;
    message.group = id;
    message.id = QuotaAskId(m_nextAskId++);
    message.nodeCount = static_cast<std::uint16_t>(sharingNodes(now));
    const bool isRenewal = group.voted != owner || now >= group.voteEnds
        || now >= group.renewedAt + minRenewInterval;
    message.wantsStamp = isRenewal;
    const bool isPreferred = preferred(group, now) == owner;
    const auto stamp = group.stamps.find(*owner);
    const bool mayVote = group.voted == owner ? isPreferred : now >= group.voteEnds;
    if (isRenewal && stamp != group.stamps.end() && mayVote) {
        message.echo = stamp->second;
        group.voted = owner;
        group.voteEnds = std::max(group.voteEnds,
                                  group.stampReceivedAt + scaled(quotaVoteTerm, clockTolerance));
    }
    Ask &sent = group.asks[message.id];
    sent.to = *owner;
    sent.sentAt = now;
    for (const Digest organisation : organisations) {
        Account &account = m_accounts.at(organisation);
        dropExpired(account, now);
        message.needs.push_back(needOf(organisation, account, now));
        account.askedAt = now;
        sent.organisations.push_back(organisation);
    }
    if (isRenewal)
        group.renewalSentAt = now;
    outbox.emit(PeerSend { *owner, Transport::Datagram, QuotaMessage(std::move(message)) });
}

// While the organisation is at its limit, expected requests are needed like waiting ones: none of
// these loans expires unused.
QuotaNeed QuotaLedger::needOf(Digest organisation, const Account &account, TimePoint now) const
{
    const double expected = expectedWithinLife(account);
    double ahead = expected >= minExpected
        ? std::max(0.0, std::ceil(expected) - static_cast<double>(held(account)))
        : 0.0;
    auto needed = static_cast<double>(account.waiters.size());
    const bool isAtLimit = now < account.closedUntil + account.terms.loanLife;
    if (isAtLimit) {
        needed = std::max(needed, std::floor(ahead / 2));
        ahead = 0.0;
    }
    return { organisation, static_cast<std::uint16_t>(std::min(maxNeed, needed)),
             static_cast<std::uint16_t>(std::min(maxNeed, ahead)) };
}

std::uint32_t QuotaLedger::held(const Account &account)
{
    std::uint32_t count = 0;
    for (const Loan &loan : account.loans)
        count += loan.count;
    return count;
}

double QuotaLedger::expectedWithinLife(const Account &account)
{
    return account.recent / rateWindowSeconds * seconds(account.terms.loanLife);
}

void QuotaLedger::decay(Account &account, TimePoint now)
{
    account.recent *= std::exp(-seconds(now - account.decayedAt) / rateWindowSeconds);
    account.decayedAt = now;
}

void QuotaLedger::dropExpired(Account &account, TimePoint now)
{
    while (!account.loans.empty()
           && (account.loans.front().validUntil <= now || account.loans.front().count == 0)) {
        m_counts.expired += account.loans.front().count;
        account.loans.pop_front();
    }
}

bool QuotaLedger::take(Account &account, TimePoint now, TimePoint &validUntil)
{
    dropExpired(account, now);
    if (account.loans.empty())
        return false;
    --account.loans.front().count;
    validUntil = account.loans.front().validUntil;
    return true;
}

QuotaDecision QuotaLedger::admit(const OrganisationName &organisation, RequestId id, TimePoint now,
                                 Outbox<Output> &outbox)
{
    const Digest digest = quotaDigestOf(organisation);
    const auto found = m_accounts.find(digest);
    if (found == m_accounts.end())
        return QuotaPermit {};
    Account &account = found->second;
    decay(account, now);
    account.recent += 1.0;
    QuotaPermit permit { digest };
    const bool isAdmitted = account.waiters.empty() && take(account, now, permit.validUntil);
    if (!isAdmitted) {
        if (now < account.closedUntil || account.waiters.size() >= maxWaiting) {
            ++m_counts.overQuota;
            return refusal(account, now);
        }
        account.waiters.push_back({ id, now + maxWait });
        ++m_counts.waited;
    } else {
        ++m_counts.admitted;
    }
    const bool isLow = expectedWithinLife(account) >= minExpectedToAsk
        && held(account) < expectedWithinLife(account) / 2 && now >= account.closedUntil;
    if (!account.askedAt && (!isAdmitted || isLow))
        ask(quotaGroupOf(digest), { digest }, now, outbox);
    if (isAdmitted)
        return permit;
    return QuotaPending {};
}

// The jitter spreads the retries of clients that were refused together.
NotRun QuotaLedger::refusal(const Account &account, TimePoint now)
{
    const Duration wait = std::max(account.closedUntil - now, Duration(milliseconds(50)));
    return { NotRunReason::OverQuota, scaled(wait, 1.0 + uniformFraction(m_random)) };
}

void QuotaLedger::refund(const QuotaPermit &permit, TimePoint now)
{
    const auto found = m_accounts.find(permit.organisation);
    if (found == m_accounts.end() || permit.validUntil <= now)
        return;
    auto &loans = found->second.loans;
    const auto position = std::ranges::lower_bound(loans, permit.validUntil, {}, &Loan::validUntil);
    if (position != loans.end() && position->validUntil == permit.validUntil)
        ++position->count;
    else if (loans.size() < maxLoans)
        loans.insert(position, { 1, permit.validUntil });
    else
        return;
    ++m_counts.refunds;
}

void QuotaLedger::onGrant(const NetAddress &from, const QuotaGrant &grant, TimePoint now,
                          Outbox<Output> &outbox)
{
    if (grant.group.value() >= m_groups.size())
        return;
    Group &group = m_groups[grant.group.value()];
    const auto found = group.asks.find(grant.id);
    if (found == group.asks.end() || found->second.to != from)
        return; // late, or a duplicate
    const Ask asked = std::move(found->second);
    group.asks.erase(found);
    group.unanswered = 0;
    m_failedUntil.erase(from);
    const auto known = group.stamps.find(from);
    const bool isStamped = grant.stamp.run != QuotaRun();
    if (isStamped
        && (known == group.stamps.end() || known->second.run != grant.stamp.run
            || known->second.time < grant.stamp.time)) {
        group.stamps = { { from, grant.stamp } };
        group.stampReceivedAt = now;
    }
    // An owner that nobody has elected may have restarted: the next ask renews the vote.
    group.renewedAt = !grant.isElected ? TimePoint() : isStamped ? asked.sentAt : group.renewedAt;
    for (std::size_t i = 0; i < asked.organisations.size() && i < grant.loans.size(); ++i) {
        const auto accountEntry = m_accounts.find(asked.organisations[i]);
        if (accountEntry == m_accounts.end())
            continue;
        Account &account = accountEntry->second;
        account.askedAt.reset();
        const QuotaLoan &loan = grant.loans[i];
        m_counts.borrowed += loan.count;
        const TimePoint validUntil = asked.sentAt + account.terms.loanLife;
        const auto position
            = std::ranges::upper_bound(account.loans, validUntil, {}, &Loan::validUntil);
        if (loan.count > 0 && validUntil > now && account.loans.size() < maxLoans)
            account.loans.insert(position, { loan.count, validUntil });
        serveWaiters(asked.organisations[i], account, now, outbox);
        if (loan.retryMs == 0 || !grant.isElected)
            continue; // an owner that nobody has elected yet cannot tell whether the quota is used
        account.closedUntil = now + milliseconds(loan.retryMs);
        refuseWaiters(account, now, false, outbox);
    }
}

void QuotaLedger::serveWaiters(Digest organisation, Account &account, TimePoint now,
                               Outbox<Output> &outbox)
{
    QuotaPermit permit { organisation };
    while (!account.waiters.empty() && take(account, now, permit.validUntil)) {
        ++m_counts.admitted;
        outbox.emit(QuotaVerdict { account.waiters.front().id, permit });
        account.waiters.pop_front();
    }
}

void QuotaLedger::refuseWaiters(Account &account, TimePoint now, bool onlyOverdue,
                                Outbox<Output> &outbox)
{
    while (!account.waiters.empty() && (!onlyOverdue || account.waiters.front().until <= now)) {
        ++m_counts.overQuota;
        outbox.emit(QuotaVerdict { account.waiters.front().id, refusal(account, now) });
        account.waiters.pop_front();
    }
}

void QuotaLedger::expireAsks(Group &group, TimePoint now)
{
    for (auto entry = group.asks.begin(); entry != group.asks.end();) {
        const Ask &asked = entry->second;
        if (now < asked.sentAt + askTimeout) {
            ++entry;
            continue;
        }
        for (const Digest organisation : asked.organisations) {
            const auto account = m_accounts.find(organisation);
            if (account != m_accounts.end())
                account->second.askedAt.reset();
        }
        if (group.unanswered++ == 0)
            group.unansweredSince = asked.sentAt;
        if (group.unanswered >= maxUnanswered && now >= group.unansweredSince + failureTime) {
            m_failedUntil[asked.to] = now + failedFor;
            group.unanswered = 0;
        }
        entry = group.asks.erase(entry);
    }
}

void QuotaLedger::advance(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_nextTick || now < *m_nextTick)
        return;
    m_nextTick = now + tickInterval;
    dropShares(now);
    std::array<std::vector<Digest>, quotaGroupCount> asking;
    for (Group &group : m_groups)
        expireAsks(group, now);
    for (auto &[digest, account] : m_accounts) {
        if (account.waiters.empty())
            continue;
        refuseWaiters(account, now, true, outbox);
        auto &digests = asking[quotaGroupOf(digest).value()];
        if (!account.waiters.empty() && !account.askedAt && digests.size() < maxQuotaNeeds)
            digests.push_back(digest);
    }
    for (std::size_t i = 0; i < m_groups.size(); ++i) {
        Group &group = m_groups[i];
        const bool isDue = !group.renewalSentAt || now >= *group.renewalSentAt + maxRenewInterval;
        // A node that may vote again does so at once: until then nobody lends its share.
        const bool needsVote = now >= group.voteEnds && group.asks.empty();
        std::ranges::sort(asking[i]); // hash order differs between builds; decisions must not
        if (!asking[i].empty() || isDue || needsVote)
            ask(QuotaGroup(static_cast<std::uint8_t>(i)), asking[i], now, outbox);
    }
}

} // namespace camphorreach
