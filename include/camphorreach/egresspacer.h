// Pacing of long messages to the bandwidth of the machine.
#pragma once

#include <camphorreach/egress.h>

#include <algorithm>

namespace camphorreach {

/// Decides when the next piece of a long message may be written. Load pattern: long responses that
/// together exceed the bandwidth of the machine. Without pacing they queue in the network, and the
/// short messages of all connections (probes, versions, refusals, short responses) wait behind
/// them.
class EgressPacer
{
public:
    /// Pieces are written this early, so that timers that fire late leave no gaps.
    static constexpr Duration maxLead = std::chrono::milliseconds(5);
    /// Longest time for which short messages alone hold back long ones.
    static constexpr Duration maxHold = std::chrono::milliseconds(500);

    explicit EgressPacer(ByteRate rate) noexcept : m_rate(rate) { }

    /// Accounts for bytes of any message that are handed to the network.
    void onWritten(ByteCount bytes, TimePoint now) noexcept
    {
        m_idleAt = std::min(std::max(m_idleAt, now) + transferTime(bytes, m_rate), now + maxHold);
    }

    /// The earliest time for the next piece.
    [[nodiscard]] TimePoint nextPiece() const noexcept { return m_idleAt - maxLead; }

    /// Size of a piece: the bytes of a few milliseconds, which a short message may have to wait.
    [[nodiscard]] ByteCount pieceSize() const noexcept
    {
        constexpr std::uint64_t piecesPerSecond = 100;
        constexpr std::uint64_t minSize = 8 * 1024;
        constexpr std::uint64_t maxSize = 64 * 1024;
        if (m_rate == ByteRate())
            return ByteCount(maxSize);
        return ByteCount(std::clamp(m_rate.value() / piecesPerSecond, minSize, maxSize));
    }

    /// Expected time until \a waiting bytes, and those handed to the network before, are sent.
    [[nodiscard]] Duration drainTime(ByteCount waiting, TimePoint now) const noexcept
    {
        return std::max(Duration::zero(), m_idleAt - now) + transferTime(waiting, m_rate);
    }

private:
    const ByteRate m_rate;
    TimePoint m_idleAt {}; // when the network will have sent what was handed to it
};

} // namespace camphorreach
