// The warm-up of a service's backend servers, as configured.
#pragma once

#include <camphorreach/strong.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <string>

namespace camphorreach {

/// Thousandths of a request per second.
using WarmUpRate = Strong<struct WarmUpRateTag, std::uint32_t>;

/// What a backend server tolerates while it is cold.
struct WarmUpPolicy
{
    /// Longest warm-up that is believed. A longer one would limit a server for good.
    static constexpr Duration maxDuration = std::chrono::hours(1);
    static constexpr WarmUpRate minRate { 1 };
    /// A server that tolerates more than this many requests per second needs no limit in practice.
    static constexpr WarmUpRate maxRate { 1'000'000 };
    /// Applies where no valid rate is known. A cold server without any request would not warm up.
    static constexpr WarmUpRate safeRate { 1'000 };

    Duration duration {}; ///< Of the warm-up after a start; at most maxDuration.
    WarmUpRate rate = safeRate; ///< From minRate to maxRate.
    /// Where the server answers health requests; empty when it is not to be asked.
    std::string healthPath {};

    friend bool operator==(const WarmUpPolicy &, const WarmUpPolicy &) = default;
};

} // namespace camphorreach
