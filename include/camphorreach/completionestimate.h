// Estimates whether a request at a gate can be answered in time.
#pragma once

#include <camphorreach/egressbudget.h>
#include <camphorreach/gatequeue.h>
#include <camphorreach/servicetimes.h>

namespace camphorreach {

/// Adds up the expected wait for a slot, the service time of the route, and the time to send the
/// response. The wait for a slot is given by the caller, which knows the slots and queues.
class CompletionEstimate
{
public:
    /// With \a hasTargets, a request is also expected to be answered by its target, and may start
    /// with less than the mean service time left.
    CompletionEstimate(bool hasTargets, EgressBudget::Limits limits) noexcept
        : m_hasTargets(hasTargets), m_egress(limits)
    { }

    void onBacklog(const EgressBacklogChanged &changed, TimePoint now) noexcept
    {
        m_egress.onBacklog(changed, now);
    }
    /// A call of \a request took \a serviceTime, and its response of \a size is going to be sent.
    void onAnswered(const ForwardRequest &request, Duration serviceTime, ByteCount size,
                    TimePoint now);
    /// Forgets the service times, for a new process of the backend server.
    void resetServiceTimes() { m_serviceTimes = {}; }

    /// Reserves bandwidth for the response of an admitted request, until release().
    void reserve(GateWork &work) { work.egress = m_egress.reserve(work.request.route); }
    void release(const GateWork &work) noexcept { m_egress.release(work.egress); }

    /// The mean service time of \a route, or zero when unknown.
    [[nodiscard]] Duration serviceTime(const RouteName &route) const
    {
        return m_serviceTimes.mean(route);
    }
    /// The mean service time of all routes, or \a assumed when unknown.
    [[nodiscard]] Duration overallServiceTime(Duration assumed = {}) const noexcept
    {
        return m_serviceTimes.overallMean(assumed);
    }

    /// Minimum time that a request must have left to be started. \a assumedRun stands for the
    /// service time when that is unknown.
    [[nodiscard]] Duration minTimeLeft(const RouteName &route, Duration assumedRun) const;
    /// Whether enough time is left to start the request. A refusal lowers the mean service time.
    [[nodiscard]] bool canFinish(const GateWork &work, TimePoint now);
    /// Expected wait of the response for bandwidth, when the request waits \a wait for a slot. Zero
    /// for short responses, which are sent before long ones.
    [[nodiscard]] Duration egressWait(const GateWork &work, Duration wait, TimePoint now) const;
    [[nodiscard]] bool isEgressWaitTooLong(Duration egressWait) const noexcept
    {
        return m_egress.isTooLong(egressWait);
    }
    /// Whether the request is expected to be answered after its deadline if it waits \a wait for a
    /// slot and \a egressWait for bandwidth.
    [[nodiscard]] bool missesDeadline(const GateWork &work, Duration wait, Duration egressWait,
                                      TimePoint now) const;
    /// Whether the request is expected to be answered after its target if it waits \a wait for a
    /// slot.
    [[nodiscard]] bool missesTarget(const GateWork &work, Duration wait, TimePoint now) const;
    /// Whether the request is expected to miss its target even if it starts now.
    [[nodiscard]] bool isLate(const GateWork &work, TimePoint now) const;

private:
    // The mean service time of its route, or the assumed one when unknown.
    [[nodiscard]] Duration runOf(const GateWork &work) const
    {
        return m_serviceTimes.mean(work.request.route, work.assumedRun);
    }

    const bool m_hasTargets;
    ServiceTimes m_serviceTimes;
    EgressBudget m_egress;
};

} // namespace camphorreach
