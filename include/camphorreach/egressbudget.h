// Admission of requests with long responses by the bandwidth of the machine.
#pragma once

#include <camphorreach/egress.h>
#include <camphorreach/routebytes.h>

namespace camphorreach {

/// Estimates when the response to a request would have been sent. Load pattern: requests whose
/// responses together exceed the bandwidth of the machine, while its backend server has free slots.
/// Those that would arrive late are refused before they run; short responses are not limited.
class EgressBudget
{
public:
    struct Limits
    {
        ByteRate rate {};
        /// Longest time that a long response may be expected to wait for earlier ones. A longer
        /// queue would delay all of them and transfer no more.
        Duration maxWait = std::chrono::milliseconds(300);
    };

    explicit EgressBudget(Limits limits) noexcept : m_limits(limits) { }

    void onBacklog(const EgressBacklogChanged &changed, TimePoint now) noexcept;
    /// Records a response, which is going to be sent.
    void onResponse(const RouteName &route, ByteCount size, TimePoint now);

    /// Expected time to send a response of \a route; zero when its responses are short.
    [[nodiscard]] Duration transferTimeOf(const RouteName &route) const;
    /// Reserves bandwidth for an admitted request. Returns the time to be released with release().
    [[nodiscard]] Duration reserve(const RouteName &route);
    void release(Duration reserved) noexcept { m_reserved -= reserved; }

    /// Expected wait of a long response that is ready after \a readyIn. \a own is the part of the
    /// reservations that belongs to the request itself.
    [[nodiscard]] Duration expectedWait(Duration readyIn, Duration own,
                                        TimePoint now) const noexcept;
    [[nodiscard]] bool isTooLong(Duration wait) const noexcept { return wait > m_limits.maxWait; }

private:
    [[nodiscard]] Duration drainTime(TimePoint now) const noexcept;

    const Limits m_limits;
    RouteBytes m_sizes; // of responses
    Duration m_reserved {}; // of requests that were admitted and have no response yet
    // Of the long responses that wait, estimated at m_estimatedAt. It shrinks as time passes, so
    // that a report that is lost delays no later request for longer than the responses take.
    Duration m_drainTime {};
    TimePoint m_estimatedAt {};
};

} // namespace camphorreach
