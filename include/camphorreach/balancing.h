// Load balancing policies: select one of several usable endpoints for the next request.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/random.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

namespace camphorreach {

class Target;

/// How the target of a request is selected, as the settings of a process name it.
enum class PlacementKind : std::uint8_t {
    LeastOccupied,
    ExpectedCompletion,
};

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
    double startUs = 0.0; ///< Expected time until the request starts, in microseconds.
    double runUs = 0.0; ///< Expected time that it runs; zero when unknown.
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

/// The candidate with the least expected completion: its start and the time that the request runs
/// there. Near-ties are broken at random, so that nodes with the same reports do not all choose the
/// same candidate.
struct LeastCompletion
{
    /// Candidates within this factor of the best are equal: estimates are no better than that.
    static constexpr double tieFactor = 1.1;
    /// Expected time at a candidate without a report, relative to the slowest known one. As with
    /// LeastOccupied, it may be cold.
    static constexpr double unknownFactor = 1.5;

    [[nodiscard]] std::size_t pick(std::span<const Candidate> candidates,
                                   RandomSource &random) const
    {
        double maxRun = 0.0;
        for (const Candidate &candidate : candidates)
            maxRun = std::max(maxRun, candidate.runUs);
        if (maxRun <= 0.0)
            return LeastOccupied {}.pick(candidates, random);
        const auto completion = [maxRun](const Candidate &candidate) {
            if (candidate.runUs > 0.0)
                return candidate.startUs + candidate.runUs;
            return unknownFactor * maxRun * (1.0 + candidate.inFlight / candidate.slots);
        };
        double best = completion(candidates.front());
        for (const Candidate &candidate : candidates)
            best = std::min(best, completion(candidate));
        std::size_t ties = 0;
        std::size_t chosen = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (completion(candidates[i]) <= best * tieFactor && uniformBelow(random, ++ties) == 0)
                chosen = i;
        }
        return chosen;
    }

    [[nodiscard]] static constexpr bool usesExpectedCost() noexcept { return true; }
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

/// A policy that a setting of the process selects.
class SelectedPolicy
{
public:
    SelectedPolicy() = default;
    explicit SelectedPolicy(PlacementKind kind)
    {
        if (kind == PlacementKind::ExpectedCompletion)
            m_policy = LeastCompletion {};
    }

    [[nodiscard]] std::size_t pick(std::span<const Candidate> candidates,
                                   RandomSource &random) const
    {
        return std::visit([&](const auto &policy) { return policy.pick(candidates, random); },
                          m_policy);
    }

    [[nodiscard]] bool usesExpectedCost() const noexcept
    {
        return std::holds_alternative<LeastCompletion>(m_policy);
    }

private:
    std::variant<LeastOccupied, LeastCompletion> m_policy;
};

/// Whether the candidates of \a policy need expected start and run times.
template <BalancingPolicy P>
[[nodiscard]] bool usesExpectedCost(const P &policy) noexcept
{
    if constexpr (requires { policy.usesExpectedCost(); })
        return policy.usesExpectedCost();
    else
        return false;
}

static_assert(
    BalancingPolicy<
        PowerOfTwoChoices> && BalancingPolicy<LeastCost> && BalancingPolicy<LeastOccupied> && BalancingPolicy<RandomChoice> && BalancingPolicy<LeastCompletion> && BalancingPolicy<SelectedPolicy>);

} // namespace camphorreach
