// The source of randomness that is passed into filters, seeded by whoever builds them.
#pragma once

#include <camphorreach/units.h>

#include <algorithm>
#include <cstdint>
#include <random>

namespace camphorreach {

/// The engine behind every random choice. A fixed seed makes a filter's decisions repeatable.
using RandomSource = std::mt19937_64;

/// A uniform integer in [0, bound). \a bound must be positive.
[[nodiscard]] inline std::uint64_t uniformBelow(RandomSource &random, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

/// A uniform real in [0, 1).
[[nodiscard]] inline double uniformFraction(RandomSource &random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

/// A pause before the next try: \a first, doubled \a doublings times up to \a longest, of which at
/// least half is kept, so that those who failed together do not come back together.
[[nodiscard]] inline Duration backoff(Duration first, Duration longest, std::uint32_t doublings,
                                      RandomSource &random)
{
    return scaled(std::min(longest, first * (1 << doublings)), 0.5 + 0.5 * uniformFraction(random));
}

} // namespace camphorreach
