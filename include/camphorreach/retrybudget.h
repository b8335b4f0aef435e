// Retry budget: how many further attempts a service may cause at each call depth.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/units.h>

#include <compare>
#include <cstddef>
#include <map>

namespace camphorreach {

/// Token buckets by service and call depth. First attempts fill a bucket, each retry takes a token.
/// A bucket for each depth keeps the retries of one level from being spent by another one.
class RetryBudget
{
public:
    struct Limits
    {
        /// A bucket starts full up to this many tokens, so that a service with few requests can
        /// retry.
        double initialTokens = 5.0;
        /// Bounds the burst of retries after a long time without failures.
        double maxTokens = 50.0;
    };

    RetryBudget() = default;
    explicit RetryBudget(Limits limits) : m_limits(limits) { }

    /// Counts a first attempt, which earns the part \a ratio of a retry.
    void deposit(const ServiceName &service, CallDepth depth, Share ratio);
    /// Takes a token. False when the budget is spent.
    [[nodiscard]] bool tryTake(const ServiceName &service, CallDepth depth);
    /// Drops the buckets of services that \a snapshot does not have.
    void retain(const Snapshot &snapshot);

    [[nodiscard]] std::size_t size() const noexcept { return m_tokens.size(); }

private:
    struct Key
    {
        ServiceName service;
        CallDepth depth;

        friend auto operator<=>(const Key &, const Key &) = default;
    };

    Limits m_limits {};
    std::map<Key, double>
        m_tokens; // in [0, m_limits.maxTokens]; at most services times maxCallDepth
};

} // namespace camphorreach
