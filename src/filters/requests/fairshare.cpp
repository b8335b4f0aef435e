// Start-time fair queueing.
#include <camphorreach/fairshare.h>

#include <algorithm>

namespace camphorreach {
namespace {

constexpr std::size_t maxRoutes = 256;
// Cost of a route without samples; with zero, its requests would use no part of its share.
constexpr Duration defaultCost = std::chrono::milliseconds(50);

} // namespace

std::int64_t FairShare::stepOf(std::uint32_t weight, Duration cost)
{
    const Duration expectedCost = cost > Duration::zero() ? cost : defaultCost;
    return std::max<std::int64_t>(1, expectedCost.count() / std::max(1U, weight));
}

FairTag FairShare::nextTag(const RouteName &route) const
{
    const auto last = m_finishTags.find(route);
    return last == m_finishTags.end() ? m_virtualTime : std::max(last->second, m_virtualTime);
}

FairTag FairShare::assignTag(const RouteName &route, std::uint32_t weight, Duration cost)
{
    if (m_finishTags.size() >= maxRoutes) // entries up to the virtual time have no effect
        std::erase_if(m_finishTags,
                      [this](const auto &entry) { return entry.second <= m_virtualTime; });
    const FairTag start = nextTag(route);
    m_finishTags[route] = FairTag(start.value() + stepOf(weight, cost));
    return start;
}

void FairShare::onStarted(FairTag tag)
{
    m_virtualTime = std::max(m_virtualTime, tag);
}

} // namespace camphorreach
