// Messages between nodes about the quotas of organisations.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace camphorreach {

/// Organisations are divided into groups by the hash of their name. Each group has one owner.
using QuotaGroup = Strong<struct QuotaGroupTag, std::uint8_t>;
inline constexpr std::size_t quotaGroupCount = 2;
/// Number of an ask; a reply to another one than the latest is dropped, so a duplicate lends
/// nothing.
using QuotaAskId = Strong<struct QuotaAskIdTag, std::uint32_t>;
/// Random number of one run of an owner, so that the stamps of an earlier run do not count.
using QuotaRun = Strong<struct QuotaRunTag, std::uint32_t>;

/// A point on the monotonic clock of one run of an owner, rounded down. The zero run stands for no
/// stamp.
struct QuotaStamp
{
    QuotaRun run;
    std::chrono::milliseconds time {};

    friend bool operator==(const QuotaStamp &, const QuotaStamp &) = default;
};

struct QuotaNeed
{
    Digest organisation; ///< Hash of its name.
    std::uint16_t needed = 0; ///< Requests that wait for the reply, or would be refused without it.
    std::uint16_t ahead = 0; ///< Expected requests; lent only while the owner has enough.

    friend bool operator==(const QuotaNeed &, const QuotaNeed &) = default;
};

/// From an entry node to the owner of a group. With a stamp it also delegates the sender's share of
/// the quotas of the group to the receiver.
struct QuotaAsk
{
    QuotaGroup group;
    QuotaAskId id;
    QuotaStamp echo; ///< The latest stamp that the receiver sent; zero delegates nothing.
    std::uint16_t nodeCount = 0; ///< Nodes that share the quotas, as known to the sender.
    std::vector<QuotaNeed> needs; ///< At most maxQuotaNeeds.
    bool wantsStamp = false; ///< The reply should have a stamp.

    friend bool operator==(const QuotaAsk &, const QuotaAsk &) = default;
};

/// Maximum number of organisations in an ask, so that it fits into a datagram.
inline constexpr std::size_t maxQuotaNeeds = 64;

struct QuotaLoan
{
    std::uint16_t count = 0; ///< Requests that the borrower may admit within the life of the loan.
    std::uint16_t retryMs = 0; ///< When the rest may be asked for again.

    friend bool operator==(const QuotaLoan &, const QuotaLoan &) = default;
};

struct QuotaGrant
{
    QuotaGroup group;
    QuotaAskId id;
    QuotaStamp stamp; ///< When the sender processed the ask; zero if the ask wants none.
    bool isElected = false; ///< Whether any node delegates its share to the sender.
    std::vector<QuotaLoan> loans; ///< In the order of the needs of the ask.

    friend bool operator==(const QuotaGrant &, const QuotaGrant &) = default;
};

/// The messages about quotas in the protocol between nodes.
using QuotaMessage = std::variant<QuotaAsk, QuotaGrant>;

} // namespace camphorreach
