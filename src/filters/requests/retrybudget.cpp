// Token buckets for retries.
#include <camphorreach/retrybudget.h>

#include <algorithm>

namespace camphorreach {

void RetryBudget::deposit(const ServiceName &service, CallDepth depth, Share ratio)
{
    double &tokens
        = m_tokens.try_emplace(Key { service, depth }, m_limits.initialTokens).first->second;
    tokens = std::min(m_limits.maxTokens, tokens + ratio.fraction());
}

bool RetryBudget::tryTake(const ServiceName &service, CallDepth depth)
{
    const auto found = m_tokens.find(Key { service, depth });
    if (found == m_tokens.end() || found->second < 1.0)
        return false;
    found->second -= 1.0;
    return true;
}

void RetryBudget::retain(const Snapshot &snapshot)
{
    std::erase_if(m_tokens, [&](const auto &entry) {
        return snapshot.findService(entry.first.service) == nullptr;
    });
}

} // namespace camphorreach
