// Work that a backend server still has to do, as expected by its gate.
#pragma once

#include <camphorreach/expectedcost.h>
#include <camphorreach/request.h>
#include <camphorreach/units.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace camphorreach {

/// Learns costs and pace from the calls of one backend server, and estimates when a new request
/// would start and how long it would run. Costs nothing and reports zero unless it is enabled.
class RemainingWork
{
public:
    struct Counts
    {
        std::uint64_t samples = 0; ///< Answered calls with an expectation.
        Duration expected {}; ///< Sum of the expected times of these calls at their start.
        Duration actual {}; ///< Sum of the times that they took.
    };

    explicit RemainingWork(bool isEnabled) : m_isEnabled(isEnabled) { }

    /// Sets the time of the estimates. Time never goes back.
    void setTime(TimePoint now) noexcept { m_now = now; }
    [[nodiscard]] CostClass classOf(const ForwardRequest &request);
    /// Expected work of a request; zero when unknown.
    [[nodiscard]] Duration work(CostClass costClass) const { return m_costs.mean(costClass); }

    void onStarted(CallId id, CostClass costClass);
    /// Only calls that were \a answered with a success are samples: others may have ended early.
    void onEnded(CallId id, bool isAnswered);
    /// Forgets everything for a new process of the backend server. Running calls stay known.
    void reset();

    /// Expected time until a new request gets one of \a slots, when \a count requests with
    /// \a queued work wait. Zero while a slot is left for it.
    [[nodiscard]] Duration expectedStart(std::uint32_t slots, std::size_t count,
                                         Duration queued) const;
    /// Expected time that a request runs here now; zero when unknown.
    [[nodiscard]] Duration expectedRun(CostClass costClass) const
    {
        return scaled(m_costs.mean(costClass), m_pace.value());
    }

    [[nodiscard]] double pace() const noexcept { return m_pace.value(); }
    [[nodiscard]] const ExpectedCost &costs() const noexcept { return m_costs; }
    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }

private:
    struct Running
    {
        CostClass costClass;
        TimePoint started {};
        Duration expected {};
    };

    [[nodiscard]] Duration remaining(const Running &running) const;

    const bool m_isEnabled;
    ExpectedCost m_costs;
    ServerPace m_pace;
    std::map<CallId, Running> m_running; // the running calls of the gate
    TimePoint m_now {};
    Counts m_counts;
};

} // namespace camphorreach
