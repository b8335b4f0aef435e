// Outgoing bandwidth of the machine, which long responses share with everything else that it sends.
#pragma once

#include <camphorreach/strong.h>
#include <camphorreach/units.h>

#include <cstdint>

namespace camphorreach {

/// Bytes per second; zero when there is no limit.
using ByteRate = Strong<struct ByteRateTag, std::uint64_t>;

/// Size from which a message between nodes is long: it is written in pieces, after shorter ones.
inline constexpr ByteCount longMessageSize { 16 * 1024 };

/// How long \a bytes take at \a rate; zero without a limit.
[[nodiscard]] inline Duration transferTime(ByteCount bytes, ByteRate rate) noexcept
{
    if (rate == ByteRate())
        return Duration::zero();
    return scaled(std::chrono::seconds(1),
                  static_cast<double>(bytes.value()) / static_cast<double>(rate.value()));
}

/// Expected time until all long messages that wait have been sent.
struct EgressBacklogChanged
{
    Duration drainTime {};
};

/// Bytes that were sent to clients, past the connections between nodes.
struct EgressUsed
{
    ByteCount bytes;
};

} // namespace camphorreach
