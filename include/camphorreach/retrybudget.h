// Retry budget: how many further attempts a service may cause at each call depth.
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

/// Token buckets by service and call depth. First attempts fill a bucket, each retry takes a token.
/// A bucket for each depth keeps the retries of one level from being spent by another one. All
/// nodes together may be bound as well; each then takes its part of what they may send.
class RetryBudget
{
public:
    /// What all nodes may send again in a window: \a ratio of the requests, and \a extra.
    struct FleetLimit
    {
        Share ratio = Share::all();
        std::uint32_t extra = 0;
        Duration window = std::chrono::seconds(10);
    };

    struct Limits
    {
        /// A bucket starts full up to this many tokens, so that a service with few requests can
        /// retry.
        double initialTokens = 5.0;
        /// Bounds the burst of retries after a long time without failures.
        double maxTokens = 50.0;
        /// Bounds the burst further. A node leaves the others their part by their number.
        std::optional<FleetLimit> fleet {};
    };

    RetryBudget() = default;
    explicit RetryBudget(Limits limits) : m_limits(limits) { }

    /// How many nodes share the limit of the fleet, with this one; at least one.
    void setNodes(std::size_t nodes) { m_nodes = std::max<std::size_t>(1, nodes); }
    /// Counts a first attempt, which earns the part \a ratio of a retry.
    void deposit(const ServiceName &service, CallDepth depth, Share ratio, TimePoint now);
    /// Takes a token. False when the budget is spent.
    [[nodiscard]] bool tryTake(const ServiceName &service, CallDepth depth, TimePoint now);
    /// Drops the buckets of services that \a snapshot does not have.
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
        double recent = 0.0; // first attempts, each fading over the window of the fleet's limit
        Share ratio; // of the latest first attempt
        TimePoint counted {}; // when recent was last brought up to date
    };

    void fade(Bucket &bucket, TimePoint now) const;
    [[nodiscard]] double mostTokens(const ServiceName &service, const Bucket &bucket) const;

    Limits m_limits {};
    std::size_t m_nodes = 1;
    std::map<Key, Bucket> m_buckets; // at most services times maxCallDepth
};

} // namespace camphorreach
