// Additive increase and multiplicative decrease of a target's limit.
#include <camphorreach/targetlimit.h>

#include <algorithm>

namespace camphorreach {
namespace {

// Weight of a new sample in the current latency; about 40 answers make up most of the average.
constexpr double smoothing = 0.05;
// Weight of a new sample in the average whose minimum is the baseline. With a heavier one, the
// minimum follows chance runs of short answers, and an idle target then looks overloaded.
constexpr double baselineSmoothing = 0.02;
// Routes of one service differ in latency, so that only a clear rise counts as queueing. At 2.0,
// the benchmark "overload" lost 3.5 % of the requests at a load of exactly the capacity, because
// limits left slots idle; at 3.0 it lost less than 0.1 %.
constexpr double toleratedRise = 3.0;
// Below this rise, scheduling of threads explains the difference.
constexpr double toleratedRiseUs = 2'000.0;
// With fewer answers the mean of a wide distribution is too uncertain to be a baseline.
constexpr std::uint32_t samplesToTrust = 50;
constexpr Duration baselineWindow = std::chrono::seconds(10);
constexpr double slowDecrease = 0.9;
constexpr double refusalDecrease = 0.7;
// A gate queues what exceeds its slots; a limit above twice the slots only lengthens that queue.
constexpr double highestPerSlot = 2.0;

} // namespace

TargetLimit::TargetLimit(std::uint32_t slots)
    : m_highest(std::max(2.0, highestPerSlot * slots)), m_limit(std::max(1.0, double(slots)))
{ }

Duration TargetLimit::latency() const noexcept
{
    return Duration(static_cast<Duration::rep>(m_latency));
}

Duration TargetLimit::baseline() const noexcept
{
    const double lowest
        = m_previousMinimum > 0.0 ? std::min(m_previousMinimum, m_windowMinimum) : m_windowMinimum;
    return Duration(static_cast<Duration::rep>(lowest));
}

void TargetLimit::observe(Duration latency, TimePoint now)
{
    const double sample = std::max(1.0, static_cast<double>(latency.count()));
    // Plain means at first, so that one short answer does not stand for the target.
    m_samples = std::min(m_samples + 1, samplesToTrust);
    const double first = 1.0 / m_samples;
    m_latency += std::max(smoothing, first) * (sample - m_latency);
    m_slowLatency += std::max(baselineSmoothing, first) * (sample - m_slowLatency);
    if (m_samples < samplesToTrust)
        return;
    if (now >= m_windowEnd) {
        m_previousMinimum = m_windowMinimum;
        m_windowMinimum = m_slowLatency;
        m_windowEnd = now + baselineWindow;
    }
    m_windowMinimum = std::min(m_windowMinimum, m_slowLatency);
}

void TargetLimit::onAnswer(Duration latency, std::uint32_t inFlight, TimePoint sentAt,
                           TimePoint now)
{
    observe(latency, now);
    const auto lowest = static_cast<double>(baseline().count());
    if (lowest > 0.0 && m_latency > toleratedRise * lowest
        && m_latency > lowest + toleratedRiseUs) {
        decrease(slowDecrease, sentAt, now);
        return;
    }
    // A limit that is not in use is not proved, so it does not grow.
    if (2.0 * inFlight >= m_limit)
        m_limit = std::min(m_highest, m_limit + 1.0 / m_limit);
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

// Requests that were sent before the last decrease say nothing about the limit since then.
void TargetLimit::decrease(double factor, TimePoint sentAt, TimePoint now)
{
    if (sentAt < m_lastDecrease)
        return;
    m_lastDecrease = now;
    m_limit = std::max(1.0, m_limit * factor);
}

} // namespace camphorreach
