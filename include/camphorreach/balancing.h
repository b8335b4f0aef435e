// Balancing policies: which of several usable endpoints receives the next request.
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

/// A usable endpoint, with what this node has observed of it.
struct Candidate
{
    const Endpoint *endpoint = nullptr;
    Target *target = nullptr;
    double inFlight = 0.0; ///< Requests of this node only.
    double latencyUs = 0.0; ///< Smoothed, in microseconds; zero when unknown.
    double readiness = 1.0; ///< Less than one during slow start; never zero.
    double reportedQueue = 0.0; ///< What the gate last said, in parts of its slots; a hint.
    double occupied = 0.0; ///< Requests at the gate, of all nodes, as far as this node knows.
    double slots = 1.0; ///< As announced; at least one.
};

/// Picks an index into a non-empty list.
template <typename P>
concept BalancingPolicy
    = requires(P policy, std::span<const Candidate> candidates, RandomSource &random)
{
    {
        policy.pick(candidates, random)
        } -> std::same_as<std::size_t>;
};

/// Expected cost of one more request at a candidate. Without a latency on both sides, costs compare
/// by requests in flight alone, so that an endpoint without answers yet does not attract them all.
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

/// The cheapest of all candidates, among equals a random one.
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

/// The candidate whose slots are the least occupied for the time that its answers take, among
/// equals a random one.
struct LeastOccupied
{
    static constexpr double coldFactor = 1.5; ///< A cold start about doubles the time of an answer.

    [[nodiscard]] std::size_t pick(std::span<const Candidate> candidates,
                                   RandomSource &random) const
    {
        // A target without answers yet is taken for a cold one, slower than all others.
        double slowest = 1.0;
        for (const Candidate &candidate : candidates)
            slowest = std::max(slowest, candidate.latencyUs);
        const auto cost = [slowest](const Candidate &candidate) {
            const double latency
                = candidate.latencyUs > 0.0 ? candidate.latencyUs : coldFactor * slowest;
            return (candidate.occupied + 1.0) / candidate.slots * latency;
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

/// A random candidate, whatever its load: the baseline for measurements.
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
