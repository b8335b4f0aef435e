// Classifies observed requests and counts them as evidence for a move.
#pragma once

#include <camphorreach/moveevidence.h>
#include <camphorreach/requestsample.h>
#include <camphorreach/units.h>

#include <array>
#include <map>
#include <vector>

namespace camphorreach {

/// 90th percentile of latencies, from a histogram with decaying counts.
class LatencyQuantile
{
public:
    void add(Duration latency) noexcept;
    /// Reduces the weight of earlier latencies, so that the percentile follows the load.
    void decay() noexcept;
    /// The 90th percentile, or the maximum duration while there are too few samples.
    [[nodiscard]] Duration p90() const noexcept;

private:
    static constexpr std::size_t buckets = 128;

    std::array<float, buckets> m_counts {};
    float m_total = 0;
};

/// Counts the samples of one node for one move. Requests that are suspected of crashing backend
/// servers are ignored, because they fail on either version.
class SampleCollector
{
public:
    SampleCollector(BackendVersion from, BackendVersion to)
        : m_from(std::move(from)), m_to(std::move(to))
    { }

    void add(const RequestSample &sample);
    /// Returns the counts since the last call, ordered by stratum, and resets them.
    [[nodiscard]] std::vector<EvidenceEntry> take(TimePoint now);
    [[nodiscard]] bool hasAdverse() const noexcept { return m_hasAdverse; }
    [[nodiscard]] bool isEmpty() const noexcept { return m_counts.empty(); }

private:
    struct Key
    {
        Stratum stratum;
        VersionRole role = VersionRole::Baseline;
        std::uint8_t group = 0;

        friend auto operator<=>(const Key &, const Key &) = default;
    };

    const BackendVersion m_from;
    const BackendVersion m_to;
    std::map<Key, GroupCounts> m_counts; // since the last take()
    std::map<Stratum, LatencyQuantile> m_latencies; // of the baseline; at most maxStrata + 1
    TimePoint m_decayedAt {};
    bool m_hasAdverse = false;
};

} // namespace camphorreach
