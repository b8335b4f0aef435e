// Delay before a failed call to the platform's store is repeated.
#pragma once

#include <camphorreach/random.h>
#include <camphorreach/units.h>

#include <cstdint>

namespace camphorreach {

struct StoreBackoff
{
    static constexpr Duration initialDelay = std::chrono::milliseconds(150);
    static constexpr Duration maxDelay = std::chrono::milliseconds(1200);
    static constexpr std::uint32_t maxDoublings = 3;

    /// The delay after a failure that \a failures others precede. Random.
    [[nodiscard]] static Duration delay(std::uint32_t failures, RandomSource &random)
    {
        return backoff(initialDelay, maxDelay, failures, random);
    }
};

} // namespace camphorreach
