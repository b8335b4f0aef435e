// What a node knows of one target of its requests.
#pragma once

#include <camphorreach/balancing.h>
#include <camphorreach/ejection.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/request.h>
#include <camphorreach/targetlimit.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <optional>

namespace camphorreach {

/// Limit, ejection, slow start and load of one endpoint.
class Target
{
public:
    /// Cold starts of backend servers last seconds; the part of the limit in use grows over this
    /// time.
    static constexpr Duration slowStartTime = std::chrono::seconds(10);
    static constexpr double slowStartFloor = 0.1;
    /// Fraction of the limit under which every request fits.
    static constexpr double unlimited = 1e9;
    /// An older report of a gate's load is not used.
    static constexpr Duration loadHintLifetime = std::chrono::seconds(1);

    /// \a coldSince starts the slow start; without it the target is warm.
    Target(const Endpoint &endpoint, std::optional<TimePoint> coldSince);

    [[nodiscard]] TargetLimit &limit() noexcept { return m_limit; }
    [[nodiscard]] const TargetLimit &limit() const noexcept { return m_limit; }
    [[nodiscard]] Ejection &ejection() noexcept { return m_ejection; }
    [[nodiscard]] const Ejection &ejection() const noexcept { return m_ejection; }
    [[nodiscard]] Incarnation incarnation() const noexcept { return m_incarnation; }
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight; }

    /// True when one more request fits into the part \a fraction of the limit. At least one request
    /// fits always, so that a target can prove itself.
    [[nodiscard]] bool hasRoom(TimePoint now, double fraction) const noexcept;
    [[nodiscard]] double readiness(TimePoint now) const noexcept;
    [[nodiscard]] Candidate candidate(const Endpoint &endpoint, TimePoint now) noexcept;

    void onSent() noexcept
    {
        ++m_inFlight;
        ++m_sinceReport;
    }
    void onEnded() noexcept;
    void onLoad(const GateLoad &load, TimePoint now) noexcept;
    /// A new process runs at the same address; requests in flight keep their count.
    void restart(const Endpoint &endpoint, TimePoint now);
    /// Starts the slow start again, after a return from ejection.
    void restartSlowly(TimePoint now) noexcept { m_coldSince = now; }

private:
    Incarnation m_incarnation;
    TargetLimit m_limit;
    Ejection m_ejection;
    std::optional<TimePoint> m_coldSince;
    std::uint32_t m_inFlight = 0; // requests of this node
    double m_reportedQueue = 0.0; // in parts of the slots, capped at 1
    std::uint32_t m_reportedBusy = 0; // running and queued, of all nodes
    std::uint32_t m_sinceReport = 0; // requests that this node has sent since
    TimePoint m_reportedAt {};
};

} // namespace camphorreach
