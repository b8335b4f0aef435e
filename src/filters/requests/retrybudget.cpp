// Token buckets for retries.
#include <camphorreach/retrybudget.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace camphorreach {

void RetryBudget::deposit(const ServiceName &service, CallDepth depth, Share ratio, TimePoint now)
{
    Bucket &bucket = m_buckets
                         .try_emplace(Key { service, depth },
                                      Bucket { m_limits.initialTokens, 0.0, ratio, now })
                         .first->second;
    fade(bucket, now);
    bucket.recent += 1.0;
    bucket.ratio = ratio;
    bucket.tokens = std::min(m_limits.maxTokens, bucket.tokens + ratio.fraction());
}

bool RetryBudget::tryTake(const ServiceName &service, CallDepth depth, TimePoint now)
{
    const auto found = m_buckets.find(Key { service, depth });
    if (found == m_buckets.end())
        return false;
    Bucket &bucket = found->second;
    fade(bucket, now);
    bucket.tokens = std::min(bucket.tokens, mostTokens(service, bucket));
    if (bucket.tokens < 1.0)
        return false;
    bucket.tokens -= 1.0;
    return true;
}

void RetryBudget::fade(Bucket &bucket, TimePoint now) const
{
    if (!m_limits.fleet)
        return;
    const auto passed = std::chrono::duration<double>(now - bucket.counted);
    const auto window = std::chrono::duration<double>(m_limits.fleet->window);
    bucket.recent *= std::exp(-passed / window);
    bucket.counted = now;
}

// What a bucket may hold so that all nodes together stay within the fleet's limit in a window: the
// part that their first attempts do not earn anyway, and this bucket's part of the extra retries.
double RetryBudget::mostTokens(const ServiceName &service, const Bucket &bucket) const
{
    if (!m_limits.fleet)
        return m_limits.maxTokens;
    const auto depths = std::ranges::count_if(
        m_buckets, [&](const auto &entry) { return entry.first.service == service; });
    const double unearned
        = std::max(0.0, m_limits.fleet->ratio.fraction() - bucket.ratio.fraction());
    const double extra = static_cast<double>(m_limits.fleet->extra) / static_cast<double>(m_nodes)
        / static_cast<double>(depths);
    return std::min(m_limits.maxTokens, unearned * bucket.recent + extra);
}

void RetryBudget::retain(const Snapshot &snapshot)
{
    std::erase_if(m_buckets, [&](const auto &entry) {
        return snapshot.findService(entry.first.service) == nullptr;
    });
}

} // namespace camphorreach
