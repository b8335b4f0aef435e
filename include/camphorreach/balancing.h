// Load balancing policies: select one of several usable endpoints for the next request.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/random.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>

namespace camphorreach {

class Target;

/// A usable endpoint with the load that this node has observed.
struct Candidate
{
    const Endpoint *endpoint = nullptr;
    Target *target = nullptr;
    double inFlight = 0.0; ///< Requests of this node only.
    double latencyUs = 0.0; ///< Smoothed, in microseconds; zero when unknown.
    double readiness = 1.0; ///< Below 1 during slow start; never zero.
    double reportedQueue = 0.0; ///< Queued requests per slot, as last reported by the gate; a hint.
    double occupancy = 0.0; ///< Estimated requests of all nodes at the gate, running or queued.
    double slots = 1.0; ///< As announced; at least one.
};

/// Selects an index in a non-empty list of candidates.
template <typename P>
concept BalancingPolicy
    = requires(P policy, std::span<const Candidate> candidates, RandomSource &random)
{
    {
        policy.pick(candidates, random)
        } -> std::same_as<std::size_t>;
};

/// True when one more request is expected to cost less at \a a than at \a b. Unless the latency of
/// both is known, it is left out on both sides, so that an endpoint without answers yet does not
/// attract all requests.
[[nodiscard]] inline bool isCheaper(const Candidate &a, const Candidate &b) noexcept
{
    const auto cost = [](const Candidate &candidate, bool useLatency) {
        const double latency = useLatency ? candidate.latencyUs : 1.0;
        return (candidate.inFlight + 1.0) * latency * (1.0 + candidate.reportedQueue)
            / candidate.readiness;
    };
    const bool useLatency = a.latencyUs > 0.0 && b.latencyUs > 0.0;
    return cost(a, useLatency) < cost(b, useLatency);
}

/// The cheaper of two different random candidates.
struct PowerOfTwoChoices
{
    [[nodiscard]] std::size_t pick(std::span<const Candidate> candidates,
                                   RandomSource &random) const
    {
        const std::size_t first = uniformBelow(random, candidates.size());
        if (candidates.size() == 1)
            return first;
        std::size_t second = uniformBelow(random, candidates.size() - 1);
        if (second >= first)
            ++second;
        return isCheaper(candidates[second], candidates[first]) ? second : first;
    }
};

/// The cheapest of all candidates; ties are broken at random.
struct LeastCost
{
    [[nodiscard]] std::size_t pick(std::span<const Candidate> candidates,
                                   RandomSource &random) const
    {
        const std::size_t start = uniformBelow(random, candidates.size());
        std::size_t best = start;
        for (std::size_t i = 1; i < candidates.size(); ++i) {
            const std::size_t index = (start + i) % candidates.size();
            if (isCheaper(candidates[index], candidates[best]))
                best = index;
        }
        return best;
    }
};

/// The candidate with the lowest product of requests per slot and latency; ties are broken at
/// random.
struct LeastOccupied
{
    /// Latency of a candidate without answers, relative to the slowest one. It may be cold, and a
    /// cold start about doubles the latency.
    static constexpr double coldLatencyFactor = 1.5;

    [[nodiscard]] std::size_t pick(std::span<const Candidate> candidates,
                                   RandomSource &random) const
    {
        // A target without answers yet is assumed to be cold, and slower than all others.
        double maxLatency = 1.0;
        for (const Candidate &candidate : candidates)
            maxLatency = std::max(maxLatency, candidate.latencyUs);
        const auto cost = [maxLatency](const Candidate &candidate) {
            const double latency
                = candidate.latencyUs > 0.0 ? candidate.latencyUs : coldLatencyFactor * maxLatency;
            return (candidate.occupancy + 1.0) / candidate.slots * latency;
        };
        const std::size_t start = uniformBelow(random, candidates.size());
        std::size_t best = start;
        for (std::size_t i = 1; i < candidates.size(); ++i) {
            const std::size_t index = (start + i) % candidates.size();
            if (cost(candidates[index]) < cost(candidates[best]))
                best = index;
        }
        return best;
    }
};

/// A random candidate regardless of load: the baseline for benchmarks.
struct RandomChoice
{
    [[nodiscard]] std::size_t pick(std::span<const Candidate> candidates,
                                   RandomSource &random) const
    {
        return uniformBelow(random, candidates.size());
    }
};

static_assert(
    BalancingPolicy<
        PowerOfTwoChoices> && BalancingPolicy<LeastCost> && BalancingPolicy<LeastOccupied> && BalancingPolicy<RandomChoice>);

} // namespace camphorreach
