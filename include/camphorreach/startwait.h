// Start wait: what an entry node that has just started does with requests whose servers it does not
// know yet.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstddef>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace camphorreach {

/// Load pattern: all processes are killed at once and start again. Every request of the next second
/// finds no server, because each node learns its backend server from the next heartbeat only.
///
/// For one heartbeat interval and some time for joining after its first configuration, a node keeps
/// such a request for as long as it can still be answered within its target. A request that is
/// refused is told to come back when most servers should be known. docs/design/restart.md has the
/// reasons.
class StartWait
{
public:
    /// What a request allows.
    struct Terms
    {
        TimePoint arrivedAt {};
        TimePoint deadline {};
        Duration targetLatency {}; ///< Zero when its route has none.
        std::optional<TimePoint> permitEnd {}; ///< It must be sent by then.
    };

    /// Backend servers announce themselves every \a heartbeat. Without a value no request waits.
    explicit StartWait(std::optional<Duration> heartbeat) : m_heartbeat(heartbeat) { }

    /// The node has a configuration; only the first call counts.
    void start(TimePoint now);

    /// Adds the request, and returns whether it may wait for a server. A request that already waits
    /// keeps its end.
    [[nodiscard]] bool tryAdd(RequestId id, const Terms &terms, TimePoint now);
    /// Removes and returns the requests whose wait has ended.
    [[nodiscard]] std::vector<RequestId> takeEnded(TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextEnd() const;

    /// When a request that found no server should come back, before jitter; zero when servers were
    /// given enough time to announce themselves.
    [[nodiscard]] Duration retryAfter(TimePoint now) const;

    /// Requests that have waited since the start.
    [[nodiscard]] std::size_t count() const noexcept { return m_count; }

private:
    const std::optional<Duration> m_heartbeat;
    std::optional<TimePoint> m_end; // of the time in which servers may still be unknown
    std::set<std::pair<TimePoint, RequestId>> m_waiting; // empty soon after m_end
    std::size_t m_count = 0;
};

} // namespace camphorreach
