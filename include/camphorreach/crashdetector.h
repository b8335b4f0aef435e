// Detects crashes of the backend server from lost calls and the end of its process.
#pragma once

#include <camphorreach/request.h>

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace camphorreach {

/// Neither sign alone is a crash. Backend servers also reset connections for other reasons, and one
/// that stops as planned closes its listening socket, but loses no calls.
class CrashDetector
{
public:
    /// A call that has not ended yet.
    struct RunningCall
    {
        CallId id;
        Digest fingerprint;
        TimePoint started {};
    };

    struct Crash
    {
        std::set<Digest> inFlight; ///< Fingerprints of the calls that the process was running.
        std::optional<Digest> isolated; ///< The one that ran with no other call in flight.
    };

    /// The connection of a call ended before the complete response arrived.
    void onCallLost(Digest fingerprint, bool wasIsolated, TimePoint now);
    void onProcessEnded(TimePoint now) noexcept { m_processEndedAt = now; }
    /// Calls that are lost from now on ran in another process than the one that ended.
    void onProcessStarted() noexcept { m_processEndedAt.reset(); }

    /// Declares a crash when calls were lost and the process ended within a second of each other.
    [[nodiscard]] std::optional<Crash> detect(const std::vector<RunningCall> &running,
                                              TimePoint now);
    /// Whether the latest crash is attributed to a request rather than to the version.
    void setAttributed(bool isAttributed) noexcept { m_isAttributed = isAttributed; }
    [[nodiscard]] bool isAttributed() const noexcept { return m_isAttributed; }
    /// A call has ended. Returns whether it was still running at the latest crash.
    [[nodiscard]] bool onCallEnded(CallId id) { return m_crashCalls.erase(id) > 0; }

private:
    struct LostCall
    {
        Digest fingerprint;
        TimePoint time {};
        bool wasIsolated = false;
    };

    std::deque<LostCall> m_lostCalls; // not yet part of a declared crash; at most maxLostCalls
    // When the process was last found to have ended; reset once it is back or a crash is declared.
    std::optional<TimePoint> m_processEndedAt;
    std::set<CallId> m_crashCalls; // in flight at the latest crash and not ended yet
    bool m_isAttributed = false;
};

} // namespace camphorreach
