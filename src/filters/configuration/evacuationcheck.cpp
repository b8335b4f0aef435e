// Schedules the lists of evacuation orders by nodes that do not watch the store.
#include <camphorreach/evacuationcheck.h>

#include <camphorreach/watchelection.h>

#include <algorithm>

namespace camphorreach {
namespace {

// An order must spread within this time after a stale node has asked the store for it.
constexpr Duration evacuationMargin = std::chrono::milliseconds(500);
// Minimum time between two such questions of one node.
constexpr Duration evacuationCheckInterval = std::chrono::seconds(1);

} // namespace

TimePoint EvacuationCheck::nextCheck(TimePoint asOf, std::size_t rank) const
{
    const Duration stagger = WatchElection::takeoverStagger * static_cast<Duration::rep>(rank);
    return std::max(asOf + m_evacuationTime - evacuationMargin + stagger, m_notBefore);
}

// While the store fails, nodes ask less often the higher their rank.
void EvacuationCheck::onChecked(std::size_t rank, TimePoint now)
{
    m_notBefore = now + evacuationCheckInterval * WatchElection::share(rank);
}

} // namespace camphorreach
