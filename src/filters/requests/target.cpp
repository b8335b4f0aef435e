// Capacity, readiness and load of one target.
#include <camphorreach/target.h>

#include <algorithm>
#include <cmath>

namespace camphorreach {
namespace {

// Age of a report, in mean run times at the target, after which a third of its weight is left.
constexpr double reportTrustRuns = 4.0;
constexpr double reportSmoothing = 1.0 / 16.0;

} // namespace

Target::Target(const Endpoint &endpoint, std::optional<TimePoint> coldSince)
    : m_incarnation(endpoint.incarnation), m_limit(endpoint.slots), m_coldSince(coldSince)
{ }

bool Target::hasCapacity(TimePoint now, double fraction) const noexcept
{
    if (m_ejection.state(now) == Ejection::State::Probing)
        return m_inFlight == 0;
    return m_inFlight + 1.0 <= std::max(1.0, m_limit.value() * fraction * readiness(now));
}

double Target::readiness(TimePoint now) const noexcept
{
    if (!m_coldSince)
        return 1.0;
    const auto age = static_cast<double>((now - *m_coldSince).count());
    return std::clamp(age / static_cast<double>(slowStartTime.count()), slowStartFloor, 1.0);
}

Candidate Target::candidate(const Endpoint &endpoint, TimePoint now) noexcept
{
    const bool isFresh = now - m_reportedAt < loadHintLifetime;
    return { &endpoint,
             this,
             static_cast<double>(m_inFlight),
             static_cast<double>(m_limit.latency().count()),
             readiness(now),
             isFresh ? m_reportedQueue : 0.0,
             std::max<double>(m_inFlight, isFresh ? m_reportedLoad + m_sentSinceReport : 0),
             static_cast<double>(std::max(endpoint.slots, 1U)) };
}

void Target::expect(Candidate &candidate, const RequestCost &cost, TimePoint now) const noexcept
{
    if (m_pace <= 0.0 || cost.work <= Duration::zero())
        return;
    const double meanRun = static_cast<double>(cost.meanWork.count()) * m_pace;
    const auto age = static_cast<double>((now - m_reportedAt).count());
    // Other nodes send here too, and a request that ends frees a slot. A report loses its
    // meaning within a few run times, and the mean of the reports is the better estimate.
    const double trust = std::exp(-age / (reportTrustRuns * meanRun));
    const double slots = candidate.slots;
    const double load = m_meanLoad + (m_reportedLoad - m_meanLoad) * trust + m_sentSinceReport;
    const double start = m_meanStartUs + (m_startUs - m_meanStartUs) * trust;
    // A slot that was free may have been taken since. The chance is taken from the load, and the
    // wait is then that for one request, and for those that this node has sent.
    const double busy = std::min(1.0, load / slots);
    const double sent = static_cast<double>(m_workSinceReport.count()) * m_pace;
    candidate.startUs = start + busy * (meanRun + sent);
    candidate.runUs = static_cast<double>(cost.work.count()) * m_pace;
}

void Target::onEnded() noexcept
{
    if (m_inFlight > 0)
        --m_inFlight;
}

void Target::restart(const Endpoint &endpoint, TimePoint now)
{
    const std::uint32_t inFlight = m_inFlight;
    *this = Target(endpoint, now);
    m_inFlight = inFlight;
}

void Target::onLoad(const GateLoad &load, TimePoint now) noexcept
{
    // Capped, so that a wrong report of a gate at most doubles its cost in isCheaper().
    m_reportedQueue = load.slots == 0
        ? 0.0
        : std::min(1.0, static_cast<double>(load.queued) / static_cast<double>(load.slots));
    m_reportedLoad = load.running + load.queued;
    m_sentSinceReport = 0;
    m_reportedAt = now;
    m_workSinceReport = {};
    m_startUs = static_cast<double>(load.expectedStart.count());
    m_meanStartUs += (m_startUs - m_meanStartUs) * reportSmoothing;
    m_meanLoad += (m_reportedLoad - m_meanLoad) * reportSmoothing;
}

} // namespace camphorreach
