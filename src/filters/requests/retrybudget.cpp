// Token buckets and fleet limit of retries.
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
    decay(bucket, now);
    bucket.recentAttempts += 1.0;
    bucket.ratio = ratio;
    bucket.tokens = std::min(m_limits.maxTokens, bucket.tokens + ratio.fraction());
}

bool RetryBudget::tryTake(const ServiceName &service, CallDepth depth, TimePoint now)
{
    const auto found = m_buckets.find(Key { service, depth });
    if (found == m_buckets.end())
        return false;
    Bucket &bucket = found->second;
    decay(bucket, now);
    bucket.tokens = std::min(bucket.tokens, tokenLimit(service, bucket));
    if (bucket.tokens < 1.0)
        return false;
    bucket.tokens -= 1.0;
    return true;
}

void RetryBudget::decay(Bucket &bucket, TimePoint now) const
{
    if (!m_limits.fleet)
        return;
    const auto elapsed = std::chrono::duration<double>(now - bucket.decayedAt);
    const auto window = std::chrono::duration<double>(m_limits.fleet->window);
    bucket.recentAttempts *= std::exp(-elapsed / window);
    bucket.decayedAt = now;
}

// Max tokens of a bucket that keep the retries of all nodes in a window within the fleet limit: the
// retries that the fleet ratio allows for recent first attempts beyond their deposits, plus the
// extra retries divided by the nodes and by the call depths of the service.
double RetryBudget::tokenLimit(const ServiceName &service, const Bucket &bucket) const
{
    if (!m_limits.fleet)
        return m_limits.maxTokens;
    const auto depths = std::ranges::count_if(
        m_buckets, [&](const auto &entry) { return entry.first.service == service; });
    const double unearned
        = std::max(0.0, m_limits.fleet->ratio.fraction() - bucket.ratio.fraction());
    const double extra = static_cast<double>(m_limits.fleet->extra)
        / static_cast<double>(m_nodeCount) / static_cast<double>(depths);
    return std::min(m_limits.maxTokens, unearned * bucket.recentAttempts + extra);
}

void RetryBudget::retain(const Snapshot &snapshot)
{
    std::erase_if(m_buckets, [&](const auto &entry) {
        return snapshot.findService(entry.first.service) == nullptr;
    });
}

} // namespace camphorreach
