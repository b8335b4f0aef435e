// Classification of samples.
#include <camphorreach/samplecollector.h>

#include <algorithm>
#include <cmath>

namespace camphorreach {
namespace {

constexpr std::size_t maxStrata = 48;
constexpr double highPart = 0.9;
constexpr float smallestTotal = 20; // samples before a quantile is used
constexpr float decayFactor = 0.7F;
constexpr Duration decayInterval = std::chrono::seconds(5);
// Ten percent steps from 100 us up to about 18 s.
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
    // Old counts are kept while no new ones replace them.
    if (m_total < 4 * smallestTotal)
        return;
    for (float &count : m_counts)
        count *= decayFactor;
    m_total *= decayFactor;
}

Duration LatencyQuantile::highQuantile() const noexcept
{
    if (m_total < smallestTotal)
        return Duration::max();
    double below = 0;
    for (std::size_t i = 0; i < buckets; ++i) {
        below += m_counts[i];
        if (below >= highPart * static_cast<double>(m_total)) {
            const double end
                = firstBucketMicroseconds * std::pow(bucketFactor, static_cast<double>(i + 1));
            return Duration(static_cast<Duration::rep>(end));
        }
    }
    return Duration::max();
}

void SampleCollector::add(const RequestSample &sample)
{
    const bool isNew = sample.version == m_to;
    if (sample.isCrashSuspect || (!isNew && sample.version != m_from))
        return;
    const Stratum wanted { sample.domain, sample.route, sample.kind };
    const bool isKnown = m_latencies.contains(wanted) || m_latencies.size() < maxStrata;
    const Stratum stratum = isKnown ? wanted : Stratum();
    LatencyQuantile &quantile = m_latencies[stratum];
    const bool isSuccess = sample.result == SampleResult::Success;
    const bool isSlow = isSuccess && sample.latency > quantile.highQuantile();
    GroupCounts &counts
        = m_counts[Key { stratum, isNew ? Side::New : Side::Old, groupOf(sample.instance) }];
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
    if (!isNew && isSuccess)
        quantile.add(sample.latency);
}

std::vector<EvidenceEntry> SampleCollector::take(TimePoint now)
{
    std::vector<EvidenceEntry> entries;
    entries.reserve(m_counts.size());
    for (const auto &[key, counts] : m_counts)
        entries.push_back({ key.stratum, key.side, key.group, counts });
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
