// State that a node keeps of one target of its requests.
#pragma once

#include <camphorreach/balancing.h>
#include <camphorreach/ejection.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/fleetcosts.h>
#include <camphorreach/request.h>
#include <camphorreach/targetlimit.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <optional>

namespace camphorreach {

/// Concurrency limit, outlier ejection, slow start and load of one endpoint.
class Target
{
public:
    /// The usable fraction of the limit grows to 1 over this time, because cold starts of backend
    /// servers take seconds.
    static constexpr Duration slowStartTime = std::chrono::seconds(10);
    static constexpr double slowStartFloor = 0.1; ///< Usable fraction at the start.
    /// Fraction for hasCapacity() that disables the limit.
    static constexpr double unlimited = 1e9;
    /// Reports of a gate's load older than this are ignored.
    static constexpr Duration loadHintLifetime = std::chrono::seconds(1);

    /// \a coldSince is the start of the slow start; without it the target is warm.
    Target(const Endpoint &endpoint, std::optional<TimePoint> coldSince);

    [[nodiscard]] TargetLimit &limit() noexcept { return m_limit; }
    [[nodiscard]] const TargetLimit &limit() const noexcept { return m_limit; }
    [[nodiscard]] Ejection &ejection() noexcept { return m_ejection; }
    [[nodiscard]] const Ejection &ejection() const noexcept { return m_ejection; }
    [[nodiscard]] Incarnation incarnation() const noexcept { return m_incarnation; }
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight; }

    /// True when one more request fits within \a fraction of the limit. An idle target always has
    /// capacity for one request, so that its health and latency can be measured. A probing target
    /// has capacity for one request only, whatever \a fraction is.
    [[nodiscard]] bool hasCapacity(TimePoint now, double fraction) const noexcept;
    /// Usable fraction of the limit: below 1 during slow start, never zero.
    [[nodiscard]] double readiness(TimePoint now) const noexcept;
    [[nodiscard]] Candidate candidate(const Endpoint &endpoint, TimePoint now) noexcept;
    /// Adds the expected start and run times of a request to \a candidate, if they are known.
    void expect(Candidate &candidate, const RequestCost &cost, TimePoint now) const noexcept;

    void onSent(Duration work = {}) noexcept
    {
        ++m_inFlight;
        ++m_sentSinceReport;
        m_workSinceReport += work;
    }
    void onEnded() noexcept;
    void onLoad(const GateLoad &load, TimePoint now) noexcept;
    /// Time per unit of work, as learned from the reports of the gate; zero when unknown.
    [[nodiscard]] double pace() const noexcept { return m_pace; }
    void setPace(double pace) noexcept { m_pace = pace; }
    /// Resets the state for a new process at the same address; requests in flight stay counted.
    void restart(const Endpoint &endpoint, TimePoint now);
    /// Starts a new slow start, after the target has returned from ejection.
    void restartSlowStart(TimePoint now) noexcept { m_coldSince = now; }

private:
    Incarnation m_incarnation;
    TargetLimit m_limit;
    Ejection m_ejection;
    std::optional<TimePoint> m_coldSince;
    std::uint32_t m_inFlight = 0; // requests of this node only
    double m_reportedQueue = 0.0; // queued requests per slot, capped at 1
    std::uint32_t m_reportedLoad = 0; // running and queued requests of all nodes
    std::uint32_t m_sentSinceReport = 0; // requests of this node
    TimePoint m_reportedAt {};
    double m_pace = 0.0;
    double m_startUs = 0.0; // last reported
    double m_meanStartUs = 0.0; // moving average of the reports
    double m_meanLoad = 0.0; // moving average of the reported running and queued requests
    Duration m_workSinceReport {}; // of the requests in m_sentSinceReport
};

} // namespace camphorreach
