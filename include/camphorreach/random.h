// The random engine that is passed to filters, seeded by the code that constructs them.
#pragma once

#include <camphorreach/units.h>

#include <algorithm>
#include <cstdint>
#include <random>

namespace camphorreach {

/// The engine of all random choices. A fixed seed makes the decisions of a filter reproducible.
using RandomSource = std::mt19937_64;

/// A uniformly distributed integer in [0, bound). \a bound must be positive.
[[nodiscard]] inline std::uint64_t uniformBelow(RandomSource &random, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

/// A uniformly distributed number in [0, 1).
[[nodiscard]] inline double uniformFraction(RandomSource &random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

/// Exponential backoff with jitter: \a initialDelay, doubled \a doublings times and capped at
/// \a maxDelay, then reduced at random by up to half, so that callers that failed at the same time
/// do not all retry at the same time.
[[nodiscard]] inline Duration backoff(Duration initialDelay, Duration maxDelay,
                                      std::uint32_t doublings, RandomSource &random)
{
    return scaled(std::min(maxDelay, initialDelay * (1 << doublings)),
                  0.5 + 0.5 * uniformFraction(random));
}

} // namespace camphorreach
