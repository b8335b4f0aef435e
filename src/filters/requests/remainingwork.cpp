// Expected end of running calls, and expected start of a new one.
#include <camphorreach/remainingwork.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

// Lower bound for what is left of a call, so that overdue calls do not add up to an infinite rate.
constexpr Duration minRemaining = std::chrono::microseconds(100);

} // namespace

CostClass RemainingWork::classOf(const ForwardRequest &request)
{
    return m_isEnabled ? m_costs.classOf(request.route, request.content) : CostClasses::all;
}

void RemainingWork::onStarted(CallId id, CostClass costClass)
{
    if (m_isEnabled)
        m_running.emplace(id, Running { costClass, m_now, expectedRun(costClass) });
}

void RemainingWork::onEnded(CallId id, bool isAnswered)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    const Running call = found->second;
    m_running.erase(found);
    if (!isAnswered)
        return;
    const Duration taken = m_now - call.started;
    const Duration work = scaled(taken, 1.0 / m_pace.value());
    const CostDistribution &costs = m_costs.distribution(call.costClass);
    if (costs.weight() >= ExpectedCost::minWeight)
        m_pace.record(costs.rank(work));
    m_costs.record(call.costClass, work);
    if (call.expected > Duration::zero()) {
        ++m_counts.samples;
        m_counts.expected += call.expected;
        m_counts.actual += taken;
    }
}

void RemainingWork::reset()
{
    m_costs = {};
    m_pace = {};
    // Their classes are numbers of the previous table.
    for (auto &[id, call] : m_running)
        call.costClass = CostClasses::all;
}

Duration RemainingWork::remaining(const Running &running) const
{
    const Duration age = m_now - running.started;
    const Duration doneWork = scaled(age, 1.0 / m_pace.value());
    const Duration total = m_costs.distribution(running.costClass).meanBeyond(doneWork);
    return std::max(minRemaining, scaled(total, m_pace.value()) - age);
}

// The time until the first running call ends is taken from the sum of the rates at which they end,
// as if their remaining times were exponential. An old heavy call then adds little to the rate.
Duration RemainingWork::expectedStart(std::uint32_t slots, std::size_t count, Duration queued) const
{
    if (!m_isEnabled || m_running.size() + count < slots
        || m_costs.distribution(CostClasses::all).weight() < ExpectedCost::minWeight)
        return Duration::zero();
    double endsPerUs = 0.0;
    for (const auto &[id, call] : m_running)
        endsPerUs += 1.0 / static_cast<double>(remaining(call).count());
    auto waitingUs = static_cast<double>(queued.count()) * m_pace.value();
    // A response is sent before its slot is filled again, so the first queued requests count as
    // running.
    if (m_running.size() < slots && waitingUs > 0.0) {
        const auto free = static_cast<double>(slots - m_running.size());
        const double meanUs = waitingUs / static_cast<double>(count);
        endsPerUs += free / meanUs;
        waitingUs -= free * meanUs;
    }
    if (endsPerUs <= 0.0)
        return Duration::zero();
    return Duration(static_cast<Duration::rep>(1.0 / endsPerUs + waitingUs / slots));
}

} // namespace camphorreach
