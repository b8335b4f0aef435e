// Additive increase and multiplicative decrease of a target's concurrency limit.
#include <camphorreach/targetlimit.h>

#include <algorithm>

namespace camphorreach {
namespace {

// Weight of a new sample in the current latency; the last 40 answers or so dominate the average.
constexpr double smoothing = 0.05;
// Weight of a new sample in the average whose minimum is the baseline. With a larger weight, random
// runs of fast answers lower the minimum, and an idle target then looks overloaded.
constexpr double baselineSmoothing = 0.02;
// Latency up to this multiple of the baseline does not count as queueing, because routes of one
// service differ in latency. At a load equal to the capacity (benchmark "overload"), 2.0 left slots
// idle and lost 3.5 % of the requests; 3.0 lost less than 0.1 %.
constexpr double toleratedLatencyRatio = 3.0;
// A smaller rise above the baseline can be caused by thread scheduling.
constexpr double toleratedLatencyRiseUs = 2'000.0;
// With fewer answers, the mean of a wide distribution is too uncertain for a baseline.
constexpr std::uint32_t minBaselineSamples = 50;
constexpr Duration baselineWindow = std::chrono::seconds(10);
constexpr double latencyDecrease = 0.9;
constexpr double refusalDecrease = 0.7;
// A gate queues requests beyond its slots; a limit above twice the slots only lengthens that queue.
constexpr double maxLimitPerSlot = 2.0;

} // namespace

TargetLimit::TargetLimit(std::uint32_t slots)
    : m_maxLimit(std::max(2.0, maxLimitPerSlot * slots)), m_limit(std::max(1.0, double(slots)))
{ }

Duration TargetLimit::latency() const noexcept
{
    return Duration(static_cast<Duration::rep>(m_latency));
}

Duration TargetLimit::baseline() const noexcept
{
    const double minimum
        = m_previousMinimum > 0.0 ? std::min(m_previousMinimum, m_windowMinimum) : m_windowMinimum;
    return Duration(static_cast<Duration::rep>(minimum));
}

void TargetLimit::observe(Duration latency, TimePoint now)
{
    const double sample = std::max(1.0, static_cast<double>(latency.count()));
    // Starts as an arithmetic mean, so that a single fast answer does not determine the average.
    m_samples = std::min(m_samples + 1, minBaselineSamples);
    const double meanWeight = 1.0 / m_samples;
    m_latency += std::max(smoothing, meanWeight) * (sample - m_latency);
    m_longTermLatency += std::max(baselineSmoothing, meanWeight) * (sample - m_longTermLatency);
    if (m_samples < minBaselineSamples)
        return;
    if (now >= m_windowEnd) {
        m_previousMinimum = m_windowMinimum;
        m_windowMinimum = m_longTermLatency;
        m_windowEnd = now + baselineWindow;
    }
    m_windowMinimum = std::min(m_windowMinimum, m_longTermLatency);
}

void TargetLimit::onAnswer(Duration latency, std::uint32_t inFlight, TimePoint sentAt,
                           TimePoint now)
{
    observe(latency, now);
    const auto baselineUs = static_cast<double>(baseline().count());
    if (baselineUs > 0.0 && m_latency > toleratedLatencyRatio * baselineUs
        && m_latency > baselineUs + toleratedLatencyRiseUs) {
        decrease(latencyDecrease, sentAt, now);
        return;
    }
    // Grows only while at least half used: at low concurrency, latency says nothing about the
    // limit.
    if (2.0 * inFlight >= m_limit)
        m_limit = std::min(m_maxLimit, m_limit + 1.0 / m_limit);
}

void TargetLimit::onRefused(TimePoint sentAt, TimePoint now)
{
    decrease(refusalDecrease, sentAt, now);
}

void TargetLimit::onTimeout(Duration waited, TimePoint sentAt, TimePoint now)
{
    observe(waited, now);
    decrease(refusalDecrease, sentAt, now);
}

// Ignores requests sent before the last decrease: they were not subject to the current limit.
void TargetLimit::decrease(double factor, TimePoint sentAt, TimePoint now)
{
    if (sentAt < m_lastDecrease)
        return;
    m_lastDecrease = now;
    m_limit = std::max(1.0, m_limit * factor);
}

} // namespace camphorreach
