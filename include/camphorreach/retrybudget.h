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
///
/// Organisations share a bucket: half of what the attempts of one add is its own credit. Beyond
/// that it takes tokens only while more are left than it took recently, so that one whose requests
/// all fail leaves some to the others, also to those that have sent nothing yet. Without
/// organisations nothing is divided.
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
    void deposit(const ServiceName &service, CallDepth depth, const OrganisationName &organisation,
                 Share ratio, TimePoint now);
    /// Takes a token. Returns false when the budget is exhausted.
    [[nodiscard]] bool tryTake(const ServiceName &service, CallDepth depth,
                               const OrganisationName &organisation, TimePoint now);
    /// Drops the buckets of services that are not in \a snapshot.
    void retain(const Snapshot &snapshot);

    [[nodiscard]] std::size_t size() const noexcept { return m_buckets.size(); }

    /// Max organisations that are told apart in a bucket.
    static constexpr std::size_t maxParts = 128;
    /// Organisations that are told apart, in all buckets.
    [[nodiscard]] std::size_t partCount() const noexcept;

private:
    struct Key
    {
        ServiceName service;
        CallDepth depth;

        friend auto operator<=>(const Key &, const Key &) = default;
    };

    // What an organisation may take of a bucket.
    struct Part
    {
        double credit = 0.0; // earned and not taken; in [0, m_limits.maxTokens / 2]
        double taken = 0.0; // beyond its credit, decaying
        double recentAttempts = 0.0; // first attempts, decaying
        TimePoint decayedAt {};
    };

    struct Bucket
    {
        double tokens = 0.0; // in [0, m_limits.maxTokens]
        double recentAttempts = 0.0; // first attempts, decaying over the window of the fleet limit
        Share ratio; // of the latest first attempt
        TimePoint decayedAt {}; // when recentAttempts was last updated
        std::map<OrganisationName, Part> parts {}; // at most maxParts
    };

    void decay(Bucket &bucket, TimePoint now) const;
    static void decay(Part &part, TimePoint now);
    [[nodiscard]] static Part &partOf(Bucket &bucket, const OrganisationName &organisation,
                                      TimePoint now);
    static void dropIdle(Bucket &bucket, TimePoint now);
    [[nodiscard]] double tokenLimit(const ServiceName &service, const Bucket &bucket) const;

    Limits m_limits {};
    std::size_t m_nodeCount = 1;
    std::map<Key, Bucket> m_buckets; // at most services times maxCallDepth
};

} // namespace camphorreach
