// Token buckets and fleet limit of retries.
#include <camphorreach/retrybudget.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace camphorreach {
namespace {

// Half of what an organisation adds is its own, and half is for all.
constexpr double creditShare = 0.5;
// An organisation takes the same number beyond its credit again after about this time.
constexpr double partWindowSeconds = 10.0;
// An organisation with fewer recent attempts shares no bucket with others.
constexpr double minRecentAttempts = 0.01;

} // namespace

void RetryBudget::deposit(const ServiceName &service, CallDepth depth,
                          const OrganisationName &organisation, Share ratio, TimePoint now)
{
    Bucket &bucket = m_buckets
                         .try_emplace(Key { service, depth },
                                      Bucket { m_limits.initialTokens, 0.0, ratio, now })
                         .first->second;
    decay(bucket, now);
    bucket.recentAttempts += 1.0;
    bucket.ratio = ratio;
    bucket.tokens = std::min(m_limits.maxTokens, bucket.tokens + ratio.fraction());
    Part &part = partOf(bucket, organisation, now);
    part.recentAttempts += 1.0;
    part.credit = std::min(m_limits.maxTokens / 2, part.credit + creditShare * ratio.fraction());
}

bool RetryBudget::tryTake(const ServiceName &service, CallDepth depth,
                          const OrganisationName &organisation, TimePoint now)
{
    const auto found = m_buckets.find(Key { service, depth });
    if (found == m_buckets.end())
        return false;
    Bucket &bucket = found->second;
    decay(bucket, now);
    const double limit = tokenLimit(service, bucket);
    bucket.tokens = std::min(bucket.tokens, limit);
    if (bucket.tokens < 1.0)
        return false;
    dropIdle(bucket, now);
    Part &part = partOf(bucket, organisation, now);
    // A limit below two leaves no room for a credit and a token for others.
    part.credit = std::min(part.credit, std::max(1.0, limit / 2));
    const bool isUndivided = bucket.parts.size() == 1 && organisation == OrganisationName();
    if (part.credit >= 1.0)
        part.credit -= 1.0;
    else if (isUndivided || bucket.tokens - 1.0 >= part.taken)
        part.taken += 1.0;
    else
        return false;
    bucket.tokens -= 1.0;
    return true;
}

RetryBudget::Part &RetryBudget::partOf(Bucket &bucket, const OrganisationName &organisation,
                                       TimePoint now)
{
    if (!bucket.parts.contains(organisation) && bucket.parts.size() >= maxParts) {
        for (auto &[name, part] : bucket.parts)
            decay(part, now);
        // What has few attempts has little credit to lose, and what took much is kept, as it would
        // otherwise count as having taken nothing.
        bucket.parts.erase(std::ranges::min_element(bucket.parts, {}, [](const auto &entry) {
            return entry.second.recentAttempts + entry.second.taken;
        }));
    }
    Part &part = bucket.parts.try_emplace(organisation, Part { 0.0, 0.0, 0.0, now }).first->second;
    decay(part, now);
    return part;
}

void RetryBudget::decay(Part &part, TimePoint now)
{
    const auto elapsed = std::chrono::duration<double>(now - part.decayedAt);
    const double remaining = std::exp(-elapsed.count() / partWindowSeconds);
    part.taken *= remaining;
    part.recentAttempts *= remaining;
    part.decayedAt = now;
}

void RetryBudget::dropIdle(Bucket &bucket, TimePoint now)
{
    for (auto &[organisation, part] : bucket.parts)
        decay(part, now);
    std::erase_if(bucket.parts, [](const auto &entry) {
        return entry.second.recentAttempts < minRecentAttempts;
    });
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

std::size_t RetryBudget::partCount() const noexcept
{
    std::size_t count = 0;
    for (const auto &[key, bucket] : m_buckets)
        count += bucket.parts.size();
    return count;
}

void RetryBudget::retain(const Snapshot &snapshot)
{
    std::erase_if(m_buckets, [&](const auto &entry) {
        return snapshot.findService(entry.first.service) == nullptr;
    });
}

} // namespace camphorreach
