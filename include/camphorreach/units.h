// Units: durations, points in time, byte counts and fractions.
#pragma once

#include <camphorreach/strong.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace camphorreach {

using Duration = std::chrono::microseconds;

/// Clock tag of the monotonic time points of one process. It has no now(): filters receive the time
/// as an argument and never read a clock.
struct MonotonicTime
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicTime, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): trait name
};

using TimePoint = MonotonicTime::time_point;

/// \a factor times the duration, truncated to whole microseconds.
[[nodiscard]] inline Duration scaled(Duration duration, double factor) noexcept
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// Wall-clock time in milliseconds since the Unix epoch, for deadlines set by operators and for
/// logs.
using WallTime = Strong<struct WallTimeTag, std::int64_t>;

using ByteCount = Strong<struct ByteCountTag, std::uint64_t>;

/// A fraction of a whole, from 0 to 1, in millionths.
class Share
{
public:
    static constexpr std::uint32_t whole = 1'000'000;

    constexpr Share() = default;

    /// \a fraction is clamped to [0, 1].
    [[nodiscard]] static Share fromFraction(double fraction) noexcept
    {
        const double clamped = std::clamp(fraction, 0.0, 1.0);
        return Share(static_cast<std::uint32_t>(std::lround(clamped * whole)));
    }
    /// \a millionths is clamped to the whole.
    [[nodiscard]] static constexpr Share fromMillionths(std::uint32_t millionths) noexcept
    {
        return Share(std::min(millionths, whole));
    }
    [[nodiscard]] static constexpr Share none() noexcept { return Share(0); }
    [[nodiscard]] static constexpr Share all() noexcept { return Share(whole); }

    [[nodiscard]] constexpr std::uint32_t millionths() const noexcept { return m_millionths; }
    [[nodiscard]] constexpr double fraction() const noexcept
    {
        return static_cast<double>(m_millionths) / whole;
    }
    [[nodiscard]] constexpr Share complement() const noexcept
    {
        return Share(whole - m_millionths);
    }

    friend constexpr auto operator<=>(const Share &, const Share &) = default;
    friend constexpr bool operator==(const Share &, const Share &) = default;

private:
    constexpr explicit Share(std::uint32_t millionths) : m_millionths(millionths) { }

    std::uint32_t m_millionths = 0; // at most `whole`
};

} // namespace camphorreach
