// Ages of attempts, and the limits above which they are slow.
#include <camphorreach/latencyevidence.h>

#include <algorithm>

namespace camphorreach {
namespace {

constexpr std::size_t maxRoutes = 1024;
constexpr std::size_t maxAttempts = 4096;
constexpr double smoothing = 0.1; // min weight of a new latency in the average
constexpr double slowMarginUs = 15'000; // smaller differences may be due to scheduling
// Attempts on a route without responses of the baseline are forgotten at this age.
constexpr Duration maxAge = std::chrono::seconds(30);

} // namespace

void LatencyEvidence::onStarted(const AttemptStarted &started, bool isCandidate)
{
    m_latestEvent = std::max(m_latestEvent, started.sentAt);
    if (m_attempts.size() < maxAttempts)
        m_attempts.insert_or_assign(started.attempt,
                                    Attempt { started.route, started.sentAt, isCandidate });
}

void LatencyEvidence::onEnded(const RequestSample &sample, bool isCandidate)
{
    if (!isCandidate && sample.result == SampleResult::Success
        && (m_usual.size() < maxRoutes || m_usual.contains(sample.route))) {
        Usual &usual = m_usual[sample.route];
        const double weight = std::max(smoothing, 1.0 / static_cast<double>(++usual.count));
        usual.latencyUs += weight * (static_cast<double>(sample.latency.count()) - usual.latencyUs);
    }
    const auto found = m_attempts.find(sample.attempt);
    if (found == m_attempts.end())
        return;
    m_latestEvent = std::max(m_latestEvent, found->second.sentAt + sample.latency);
    if (sample.result != SampleResult::Timeout)
        found->second.latency = sample.latency;
}

void LatencyEvidence::onAbandoned(RequestId attempt)
{
    m_attempts.erase(attempt);
}

void LatencyEvidence::settle(RolloutCounts &baseline, RolloutCounts &candidate)
{
    std::erase_if(m_attempts, [&](const auto &entry) {
        const Attempt &attempt = entry.second;
        const Duration age = m_latestEvent - attempt.sentAt;
        const std::optional<Duration> limit = slowLimit(attempt.route);
        if (!limit || age < *limit)
            return age > maxAge;
        RolloutCounts &counts = attempt.isCandidate ? candidate : baseline;
        ++counts.settled;
        counts.slow += !attempt.latency || *attempt.latency > *limit ? 1 : 0;
        return true;
    });
}

std::optional<Duration> LatencyEvidence::slowLimit(const RouteName &route) const
{
    const auto found = m_usual.find(route);
    if (found == m_usual.end())
        return std::nullopt;
    return Duration(
        static_cast<Duration::rep>(m_slowFactor * found->second.latencyUs + slowMarginUs));
}

} // namespace camphorreach
