// Expected completion of requests at a gate.
#include <camphorreach/completionestimate.h>

namespace camphorreach {
namespace {

// A request may start with this percentage of the mean service time left: about half of all
// requests take less.
constexpr int minStartPercent = 70;

} // namespace

void CompletionEstimate::onAnswered(const ForwardRequest &request, Duration serviceTime,
                                    ByteCount size, TimePoint now)
{
    // The time of a large body on its way is not that of the backend server.
    if (request.content.large.size == ByteCount() && size.value() <= maxBodyBytes)
        m_serviceTimes.record(request.route, serviceTime);
    m_egress.onResponse(request.route, size, now);
}

Duration CompletionEstimate::minTimeLeft(const RouteName &route, Duration assumedRun) const
{
    const Duration mean = m_serviceTimes.mean(route, assumedRun);
    return m_hasTargets ? mean * minStartPercent / 100 : mean;
}

bool CompletionEstimate::canFinish(const GateWork &work, TimePoint now)
{
    const Duration timeLeft = work.answerDeadline - now;
    if (timeLeft <= work.request.bodyTime)
        return false;
    if (timeLeft >= minTimeLeft(work.request.route, work.assumedRun))
        return true;
    m_serviceTimes.onRefused(work.request.route);
    return false;
}

Duration CompletionEstimate::egressWait(const GateWork &work, Duration wait, TimePoint now) const
{
    if (m_egress.transferTimeOf(work.request.route) == Duration::zero())
        return Duration::zero();
    return m_egress.expectedWait(wait + runOf(work), work.egress, now);
}

bool CompletionEstimate::missesDeadline(const GateWork &work, Duration wait, Duration egressWait,
                                        TimePoint now) const
{
    return work.answerDeadline - now
        < wait + runOf(work) + egressWait + m_egress.transferTimeOf(work.request.route);
}

bool CompletionEstimate::missesTarget(const GateWork &work, Duration wait, TimePoint now) const
{
    const RouteName &route = work.request.route;
    return m_hasTargets
        && work.target - now < wait + m_serviceTimes.mean(route) + egressWait(work, wait, now)
            + m_egress.transferTimeOf(route);
}

bool CompletionEstimate::isLate(const GateWork &work, TimePoint now) const
{
    return m_hasTargets && work.target - now < minTimeLeft(work.request.route, {});
}

} // namespace camphorreach
