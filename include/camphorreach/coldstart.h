// Cold start limiter: the rate at which a gate starts requests at a cold backend server.
#pragma once

#include <camphorreach/units.h>
#include <camphorreach/warmup.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace camphorreach {

/// Decides when the next request may start at a backend server that is cold, so that in no sliding
/// second more requests start than it tolerates. Every request passes the gate beside its backend
/// server, so the limit holds for all nodes together.
///
/// A limiter that has just been created knows neither whether the server is cold nor what an
/// earlier process started: it takes the server as cold until an announcement says otherwise, and
/// the second before its start as full. Without a policy there is no limit, and nothing is
/// recorded.
class ColdStartLimiter
{
public:
    /// Applies the passage of time; called before every other function.
    void update(TimePoint now);

    void setPolicy(const std::optional<WarmUpPolicy> &policy, TimePoint now);
    /// The backend server announced that it stays cold for \a left; zero when it is warm.
    void onAnnounced(Duration left, TimePoint now);
    /// A health response states that the backend server stays cold for \a left. It may have been
    /// sent before the latest announcement, so it never ends a warm-up.
    void onHealth(Duration left, TimePoint now);
    /// A new process of the backend server accepts connections and has not announced itself yet.
    void onProcessStarted(TimePoint now);
    /// A request was dispatched.
    void onStarted(TimePoint now);

    [[nodiscard]] const std::optional<WarmUpPolicy> &policy() const noexcept { return m_policy; }
    /// Whether the server is warm and more requests started in the last second than it tolerates
    /// while it is cold.
    [[nodiscard]] bool exceedsColdRate() const;
    /// Whether a policy exists and the server is cold.
    [[nodiscard]] bool isLimiting() const noexcept { return m_policy && m_isCold; }
    [[nodiscard]] bool mayStart(TimePoint now) const { return !isLimiting() || nextStart() <= now; }
    /// Earliest time at which a request may start while the server is cold.
    [[nodiscard]] TimePoint nextStart() const;
    /// Time until a request may start when \a ahead requests start before it; zero while warm.
    [[nodiscard]] Duration waitFor(std::size_t ahead, TimePoint now) const;
    /// The slots that requests of \a serviceTime can occupy at the current rate; at least one and
    /// at most \a slots.
    [[nodiscard]] std::uint32_t usableSlots(std::uint32_t slots, Duration serviceTime) const;

private:
    // Whole requests per second; at least one.
    [[nodiscard]] std::size_t startsPerSecond() const;
    // Minimum time between two starts.
    [[nodiscard]] Duration spacing() const;

    std::optional<WarmUpPolicy> m_policy;
    bool m_isCold = true; // at the last update
    TimePoint m_coldUntil = TimePoint::max(); // max() until the first announcement
    bool m_isStarted = false;
    TimePoint m_unknownUntil {}; // until then, unknown starts lie within the last second
    std::deque<TimePoint> m_starts; // of the last second, or the last one; at most maxStarts
};

} // namespace camphorreach
