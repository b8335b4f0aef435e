// Retry budget: limits the retries of a service at each call depth.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/units.h>

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace camphorreach {

/// Token buckets by service and call depth. First attempts add to a bucket, and every retry takes
/// a token. Separate buckets per depth keep one level of a call chain from spending the retries of
/// another. An optional fleet limit also bounds the retries of all nodes together; every node then
/// uses its share of that limit.
class RetryBudget
{
public:
    /// Max retries of all nodes together in a window: the fraction `ratio` of the requests, plus
    /// `extra`.
    struct FleetLimit
    {
        Share ratio = Share::all();
        std::uint32_t extra = 0;
        Duration window = std::chrono::seconds(10);
    };

    struct Limits
    {
        /// Tokens in a new bucket, so that a service with few requests can retry.
        double initialTokens = 5.0;
        /// Bucket size; bounds the burst of retries after a long time without failures.
        double maxTokens = 50.0;
        /// Further limit on the burst; `extra` is divided by the number of nodes.
        std::optional<FleetLimit> fleet {};
    };

    RetryBudget() = default;
    explicit RetryBudget(Limits limits) : m_limits(limits) { }

    /// Sets the number of nodes that share the fleet limit, including this one; at least one.
    void setNodeCount(std::size_t nodeCount) { m_nodeCount = std::max<std::size_t>(1, nodeCount); }
    /// Records a first attempt, which adds \a ratio of a token.
    void deposit(const ServiceName &service, CallDepth depth, Share ratio, TimePoint now);
    /// Takes a token. Returns false when the budget is exhausted.
    [[nodiscard]] bool tryTake(const ServiceName &service, CallDepth depth, TimePoint now);
    /// Drops the buckets of services that are not in \a snapshot.
    void retain(const Snapshot &snapshot);

    [[nodiscard]] std::size_t size() const noexcept { return m_buckets.size(); }

private:
    struct Key
    {
        ServiceName service;
        CallDepth depth;

        friend auto operator<=>(const Key &, const Key &) = default;
    };

    struct Bucket
    {
        double tokens = 0.0; // in [0, m_limits.maxTokens]
        double recentAttempts = 0.0; // first attempts, decaying over the window of the fleet limit
        Share ratio; // of the latest first attempt
        TimePoint decayedAt {}; // when recentAttempts was last updated
    };

    void decay(Bucket &bucket, TimePoint now) const;
    [[nodiscard]] double tokenLimit(const ServiceName &service, const Bucket &bucket) const;

    Limits m_limits {};
    std::size_t m_nodeCount = 1;
    std::map<Key, Bucket> m_buckets; // at most services times maxCallDepth
};

} // namespace camphorreach
