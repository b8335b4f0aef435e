// Health monitor: when a gate asks its backend server for its state.
#pragma once

#include <camphorreach/request.h>
#include <camphorreach/units.h>

#include <optional>

namespace camphorreach {

/// Paces the health requests of a gate. One request is under way at a time. It occupies a slot of
/// the backend server, so a server that does not answer is asked less and less often.
class HealthMonitor
{
public:
    /// The most that the interval grows to while the backend server does not answer.
    static constexpr Duration maxInterval = std::chrono::seconds(8);

    /// Without an interval, no request is ever due.
    explicit HealthMonitor(std::optional<Duration> interval) noexcept;

    [[nodiscard]] bool isDue(TimePoint now) const noexcept;
    /// Whether a request is under way.
    [[nodiscard]] bool isWaiting() const noexcept { return m_call.has_value(); }
    /// Time limit of a request.
    [[nodiscard]] Duration timeout() const noexcept { return m_interval.value_or(maxInterval); }

    void onSent(CallId call, TimePoint now) noexcept;
    /// Returns whether \a call is the request that was under way.
    [[nodiscard]] bool onEnded(CallId call, bool isAnswered) noexcept;
    /// Another backend server runs from now on.
    void reset() noexcept;

private:
    const std::optional<Duration> m_interval;
    Duration m_currentInterval {}; // from m_interval to maxInterval, or m_interval if longer
    std::optional<CallId> m_call; // under way
    std::optional<TimePoint> m_sentAt; // of the latest request
};

} // namespace camphorreach
