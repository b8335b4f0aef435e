// Rules that the borrowers and the owners of quotas share.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/organisation.h>
#include <camphorreach/quotamessage.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/units.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace camphorreach {

/// Requests beyond a quota that are tolerated in a window: a share of the quota, and a count.
struct QuotaTolerance
{
    Duration window = std::chrono::seconds(5);
    Share excess = Share::fromFraction(0.1);
    std::uint32_t slack = 20;
};

struct QuotaOptions
{
    NetAddress self; ///< Address at which this node listens for other nodes.
    QuotaTolerance tolerance {};
};

/// How a quota is lent. In any window, at most `rate * (window + loanLife) + cap` requests run:
/// those that were lent up to one life before it. docs/design/quotas.md has the derivation.
struct LendingTerms
{
    RequestRate rate;
    RequestCount cap; ///< Max requests that all owners together can lend at once.
    Duration loanLife {}; ///< From before the borrower asked, by the borrower's clock.
};

[[nodiscard]] LendingTerms lendingTermsOf(const RequestQuota &quota,
                                          const QuotaTolerance &tolerance);

/// Quotas of the organisations that have one, by the hash of their name.
using QuotaTable = std::unordered_map<Digest, LendingTerms>;

[[nodiscard]] Digest quotaDigestOf(const OrganisationName &name) noexcept;
[[nodiscard]] QuotaTable quotaTableOf(const Snapshot &snapshot, const QuotaTolerance &tolerance);

[[nodiscard]] QuotaGroup quotaGroupOf(Digest organisation) noexcept;

/// A share is delegated for this time after the stamp that its node echoed, by the owner's clock.
inline constexpr Duration quotaVoteTerm = std::chrono::milliseconds(1200);

/// Bound of the nodes that a borrower or an owner counts.
inline constexpr std::size_t maxQuotaNodes = 4096;

} // namespace camphorreach
