// Accounts and delegated shares of a quota owner.
#include <camphorreach/quotaowner.h>

#include <algorithm>
#include <cmath>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;

constexpr double minRetryMs = 100.0;
constexpr double maxRetryMs = 1000.0;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void QuotaOwner::setQuotas(const QuotaTable &table, TimePoint now)
{
    for (std::size_t i = 0; i < m_groups.size(); ++i) {
        Group &group = m_groups[i];
        advance(group, now);
        for (auto &[digest, account] : group.accounts)
            settle(group, account); // what was earned so far counts by the former rate
        std::erase_if(group.accounts,
                      [&](const auto &entry) { return !table.contains(entry.first); });
        for (const auto &[digest, terms] : table) {
            if (quotaGroupOf(digest).value() != i)
                continue;
            const auto [found, isNew]
                = group.accounts.try_emplace(digest, Account { terms, 0.0, group.earning });
            found->second.terms = terms;
            settle(group, found->second);
        }
    }
}

// Processes the votes that expired since the last call, each at its own time.
void QuotaOwner::advance(Group &group, TimePoint now)
{
    const auto earnUntil = [&group](TimePoint time) {
        if (time <= group.updatedAt)
            return;
        group.earning += std::min(1.0, group.share) * seconds(time - group.updatedAt);
        group.updatedAt = time;
    };
    while (!group.expiries.empty() && group.expiries.begin()->first <= now) {
        const auto [time, address] = *group.expiries.begin();
        earnUntil(time);
        group.expiries.erase(group.expiries.begin());
        const auto vote = group.votes.find(address);
        const double share = group.share - vote->second.share;
        group.votes.erase(vote);
        setShare(group, group.votes.empty() ? 0.0 : share);
    }
    earnUntil(now);
}

// A smaller share lowers the limit of every account at once: what an account holds beyond it may be
// earned again by the owner to which the share goes.
void QuotaOwner::setShare(Group &group, double share)
{
    const bool isLower = share < group.share;
    if (isLower) {
        for (auto &[digest, account] : group.accounts)
            settle(group, account);
    }
    group.share = share;
    if (isLower) {
        for (auto &[digest, account] : group.accounts)
            settle(group, account);
    }
}

void QuotaOwner::settle(const Group &group, Account &account)
{
    const double earned = account.terms.rate.value() * (group.earning - account.settledEarning);
    const double cap = account.terms.cap.value() * std::min(1.0, group.share);
    account.tokens = std::min(cap, account.tokens + earned);
    account.settledEarning = group.earning;
}

void QuotaOwner::addVote(Group &group, const NetAddress &from, const QuotaAsk &ask, TimePoint now)
{
    const TimePoint stampedAt = TimePoint(ask.echo.time);
    const TimePoint validUntil = stampedAt + quotaVoteTerm;
    if (ask.echo.run != m_run || validUntil <= now || stampedAt > now)
        return;
    const auto found = group.votes.find(from);
    if (found == group.votes.end() && group.votes.size() >= maxQuotaNodes)
        return;
    const std::size_t nodes = std::max<std::size_t>({ 1, ask.nodeCount, m_nodeCount });
    Vote vote { validUntil, 1.0 / static_cast<double>(nodes) };
    double share = group.share + vote.share;
    if (found != group.votes.end()) {
        vote.validUntil = std::max(vote.validUntil, found->second.validUntil);
        share -= found->second.share;
        group.expiries.erase({ found->second.validUntil, from });
    }
    const bool isRenewal = found != group.votes.end() && found->second.share == vote.share;
    group.expiries.emplace(vote.validUntil, from);
    group.votes.insert_or_assign(from, vote);
    if (!isRenewal) // does not accumulate rounding errors
        setShare(group, share);
}

QuotaLoan QuotaOwner::lend(Group &group, const QuotaNeed &need)
{
    const auto found = group.accounts.find(need.organisation);
    if (found == group.accounts.end())
        return { 0, static_cast<std::uint16_t>(maxRetryMs) }; // this node's configuration is older
    Account &account = found->second;
    settle(group, account);
    const double needed = std::min<double>(need.needed, std::floor(account.tokens));
    account.tokens -= needed;
    // Loans for expected requests may expire unused, so they are taken from the upper half only.
    const double half = account.terms.cap.value() * std::min(1.0, group.share) / 2;
    const double ahead
        = std::min<double>(need.ahead, std::max(0.0, std::floor(account.tokens - half)));
    account.tokens -= ahead;
    QuotaLoan loan;
    loan.count = static_cast<std::uint16_t>(needed + ahead);
    m_lent += loan.count;
    if (needed < need.needed) {
        const double rate = account.terms.rate.value() * std::min(1.0, group.share);
        const double waitMs = rate > 0.0 ? 1000.0 * (1.0 - account.tokens) / rate : maxRetryMs;
        loan.retryMs = static_cast<std::uint16_t>(std::clamp(waitMs, minRetryMs, maxRetryMs));
    }
    return loan;
}

QuotaGrant QuotaOwner::onAsk(const NetAddress &from, const QuotaAsk &ask, TimePoint now)
{
    QuotaGrant grant;
    grant.group = ask.group;
    grant.id = ask.id;
    if (ask.wantsStamp)
        grant.stamp = { m_run, floor<milliseconds>(now.time_since_epoch()) };
    if (ask.group.value() >= m_groups.size())
        return grant;
    Group &group = m_groups[ask.group.value()];
    advance(group, now);
    addVote(group, from, ask, now);
    grant.isElected = !group.votes.empty();
    for (std::size_t i = 0; i < std::min(ask.needs.size(), maxQuotaNeeds); ++i)
        grant.loans.push_back(lend(group, ask.needs[i]));
    return grant;
}

} // namespace camphorreach
