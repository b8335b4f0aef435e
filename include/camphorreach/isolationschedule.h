// Decides when a suspect may run at the backend server with no other call in flight.
#pragma once

#include <camphorreach/request.h>

#include <cstdint>
#include <optional>

namespace camphorreach {

/// Free slots are held until the running calls have ended, for a limited time, so that one long
/// call does not keep all other requests waiting. After an isolated run, suspects pause.
class IsolationSchedule
{
public:
    enum class Step : std::uint8_t {
        Start, ///< The next suspect may start.
        Hold, ///< No other call may start meanwhile.
        Wait, ///< Other calls may start.
    };

    /// Decides for a suspect that waits. \a isServerIdle when no call is running.
    [[nodiscard]] Step next(bool isServerIdle, TimePoint now);
    /// No suspect waits any more.
    void endHold() noexcept { m_holdSince.reset(); }
    void onStarted(CallId id) noexcept { m_call = id; }
    /// A call that started at \a started has ended. Returns whether it was the isolated one.
    [[nodiscard]] bool onEnded(CallId id, TimePoint started, TimePoint now);

    /// Whether an isolated call is running.
    [[nodiscard]] bool isRunning() const noexcept { return m_call.has_value(); }
    [[nodiscard]] bool isHolding() const noexcept { return m_holdSince.has_value(); }
    /// When the decision for a waiting suspect changes if no call starts or ends before.
    [[nodiscard]] TimePoint nextChange() const;

private:
    std::optional<CallId> m_call; // the isolated call that is running
    std::optional<TimePoint> m_holdSince; // since when slots are held free
    TimePoint m_nextStart {}; // earliest start of the next suspect
};

} // namespace camphorreach
