// Clocks, from which stages and endpoints read the time. Filters receive it as an argument.
#pragma once

#include <camphorreach/units.h>

#include <chrono>
#include <concepts>

namespace camphorreach {

/// A source of monotonic time.
template <typename C>
concept Clock = requires(const C &clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

/// The monotonic clock of the machine.
class SteadyClock
{
public:
    [[nodiscard]] TimePoint now() const noexcept
    {
        const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
        return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
    }
};

/// A clock that tests and benchmarks set and advance manually.
class ManualClock
{
public:
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    void advance(Duration step) noexcept { m_now += step; }
    void set(TimePoint now) noexcept { m_now = now; }

private:
    TimePoint m_now {};
};

static_assert(Clock<SteadyClock> && Clock<ManualClock>);

/// Wall-clock time of the machine.
[[nodiscard]] inline WallTime wallTimeNow()
{
    using std::chrono::milliseconds;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return WallTime(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
}

} // namespace camphorreach
