// Classification of samples and latency percentiles.
#include <camphorreach/samplecollector.h>

#include <algorithm>
#include <cmath>

namespace camphorreach {
namespace {

constexpr std::size_t maxStrata = 48;
constexpr double quantileLevel = 0.9;
constexpr float minSamples = 20; // before the percentile is used
constexpr float decayFactor = 0.7F;
constexpr Duration decayInterval = std::chrono::seconds(5);
// Buckets grow by 10 %, from 100 us to about 18 s.
constexpr double firstBucketMicroseconds = 100.0;
constexpr double bucketFactor = 1.1;

} // namespace

void LatencyQuantile::add(Duration latency) noexcept
{
    const double ratio = static_cast<double>(latency.count()) / firstBucketMicroseconds;
    static const double logFactor = std::log(bucketFactor);
    const double bucket = ratio <= 1 ? 0 : std::log(ratio) / logFactor;
    m_counts[std::min(buckets - 1, static_cast<std::size_t>(bucket))] += 1;
    m_total += 1;
}

void LatencyQuantile::decay() noexcept
{
    // Earlier counts are kept until there are enough new ones to replace them.
    if (m_total < 4 * minSamples)
        return;
    for (float &count : m_counts)
        count *= decayFactor;
    m_total *= decayFactor;
}

Duration LatencyQuantile::p90() const noexcept
{
    if (m_total < minSamples)
        return Duration::max();
    double countBelow = 0;
    for (std::size_t i = 0; i < buckets; ++i) {
        countBelow += m_counts[i];
        if (countBelow >= quantileLevel * static_cast<double>(m_total)) {
            const double upperBound
                = firstBucketMicroseconds * std::pow(bucketFactor, static_cast<double>(i + 1));
            return Duration(static_cast<Duration::rep>(upperBound));
        }
    }
    return Duration::max();
}

void SampleCollector::add(const RequestSample &sample)
{
    const bool isCandidate = sample.version == m_to;
    if (sample.isCrashSuspect || (!isCandidate && sample.version != m_from))
        return;
    const Stratum sampleStratum { sample.domain, sample.route, sample.kind };
    const bool isKnown = m_latencies.contains(sampleStratum) || m_latencies.size() < maxStrata;
    const Stratum stratum = isKnown ? sampleStratum : Stratum();
    LatencyQuantile &quantile = m_latencies[stratum];
    const bool isSuccess = sample.result == SampleResult::Success;
    const bool isSlow = isSuccess && sample.latency > quantile.p90();
    GroupCounts &counts
        = m_counts[Key { stratum, isCandidate ? VersionRole::Candidate : VersionRole::Baseline,
                         groupOf(sample.instance) }];
    ++counts.requests;
    const auto count = [&](AdverseKind kind) {
        ++counts.adverse[static_cast<std::size_t>(kind)];
        m_hasAdverse = m_hasAdverse || kind != AdverseKind::Slow;
    };
    if (sample.result == SampleResult::Failure)
        count(AdverseKind::Failure);
    else if (sample.result == SampleResult::Shed)
        count(AdverseKind::Shed);
    else if (sample.result == SampleResult::Timeout)
        count(AdverseKind::Timeout);
    else if (isSlow)
        count(AdverseKind::Slow);
    if (!isCandidate && isSuccess)
        quantile.add(sample.latency);
}

std::vector<EvidenceEntry> SampleCollector::take(TimePoint now)
{
    std::vector<EvidenceEntry> entries;
    entries.reserve(m_counts.size());
    for (const auto &[key, counts] : m_counts)
        entries.push_back({ key.stratum, key.role, key.group, counts });
    m_counts.clear();
    m_hasAdverse = false;
    if (now >= m_decayedAt + decayInterval) {
        m_decayedAt = now;
        for (auto &[stratum, quantile] : m_latencies)
            quantile.decay();
    }
    return entries;
}

} // namespace camphorreach
