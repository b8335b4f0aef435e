// Tags of fair queueing.
#include <camphorreach/fairshare.h>

#include <algorithm>

namespace camphorreach {
namespace {

constexpr std::size_t maxRoutes = 256;
// Stands for the cost of a route without samples, so that it is no free ride.
constexpr Duration unknownCost = std::chrono::milliseconds(50);

} // namespace

FairTag FairShare::nextTag(const RouteName &route) const
{
    const auto last = m_last.find(route);
    return last == m_last.end() ? m_now : std::max(last->second, m_now);
}

FairTag FairShare::tagFor(const RouteName &route, std::uint32_t weight, Duration cost)
{
    const Duration known = cost > Duration::zero() ? cost : unknownCost;
    const std::int64_t step = std::max<std::int64_t>(1, known.count() / std::max(1U, weight));
    if (m_last.size() >= maxRoutes) // routes that have caught up need no entry
        std::erase_if(m_last, [this](const auto &entry) { return entry.second <= m_now; });
    const FairTag start = nextTag(route);
    m_last[route] = FairTag(start.value() + step);
    return start;
}

void FairShare::onStarted(FairTag tag)
{
    m_now = std::max(m_now, tag);
}

} // namespace camphorreach
