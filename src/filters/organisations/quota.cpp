// Lending terms of quotas.
#include <camphorreach/quota.h>

#include <algorithm>
#include <xxhash.h>

namespace camphorreach {
namespace {

// The rest of the tolerance is for clocks of different speed and for the whole requests to which
// shares are rounded.
constexpr double usedTolerance = 0.8;
// A longer life would lower the traffic of rare organisations little, as their loans expire unused.
constexpr double maxLoanLifeSeconds = 1.0;

} // namespace

LendingTerms lendingTermsOf(const RequestQuota &quota, const QuotaTolerance &tolerance)
{
    const double rate = quota.rate.value();
    const double window = std::chrono::duration<double>(tolerance.window).count();
    const double limit = rate * window + quota.burst.value();
    const double extra = usedTolerance * (limit * tolerance.excess.fraction() + tolerance.slack);
    const double life = std::min(maxLoanLifeSeconds, extra / rate);
    LendingTerms terms;
    terms.rate = quota.rate;
    terms.cap = RequestCount(quota.burst.value() + extra - rate * life);
    terms.loanLife = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(life));
    return terms;
}

Digest quotaDigestOf(const OrganisationName &name) noexcept
{
    return Digest(XXH3_64bits(name.value().data(), name.value().size()));
}

QuotaTable quotaTableOf(const Snapshot &snapshot, const QuotaTolerance &tolerance)
{
    QuotaTable table;
    for (const Organisation &organisation : snapshot.organisations) {
        if (organisation.quota)
            table[quotaDigestOf(organisation.name)]
                = lendingTermsOf(*organisation.quota, tolerance);
    }
    return table;
}

QuotaGroup quotaGroupOf(Digest organisation) noexcept
{
    return QuotaGroup(static_cast<std::uint8_t>(organisation.value() % quotaGroupCount));
}

} // namespace camphorreach
