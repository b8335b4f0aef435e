// Decides whether this node watches the platform's store.
#include <camphorreach/watchelection.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

// A node receives two digests per second on average. Without any message for this time it assumes
// that it is cut off from the other nodes, and watches the store itself.
constexpr Duration peerTimeout = std::chrono::seconds(4);
// A node whose copy is staler than this also watches the store itself. A watch resets the staleness
// of a watcher at least every 3 s, and several rounds of digests pass that on to all nodes.
constexpr Duration maxStaleness = std::chrono::seconds(6);

} // namespace

void WatchElection::start(TimePoint now)
{
    if (!m_startedAt)
        m_startedAt = now;
}

bool WatchElection::isWatcher(const Copy &copy, TimePoint now) const
{
    return copy.rank < watchersPerDomain || now >= takeoverTime(copy);
}

bool WatchElection::update(const Copy &copy, TimePoint now)
{
    const bool watched = std::exchange(m_isWatching, isWatcher(copy, now));
    return !watched && m_isWatching;
}

TimePoint WatchElection::takeoverTime(const Copy &copy) const
{
    const TimePoint startedAt = m_startedAt.value_or(TimePoint {});
    const TimePoint staleAt = copy.freshAsOf.value_or(startedAt) + maxStaleness
        + takeoverStagger * static_cast<Duration::rep>(copy.rank);
    const TimePoint next = std::min(m_lastPeerMessage + peerTimeout, staleAt);
    if (!copy.maxProofAge)
        return next;
    return std::min(next, copy.provenAsOf.value_or(startedAt) + *copy.maxProofAge);
}

Duration::rep WatchElection::retryShare(std::size_t rank, TimePoint now) const
{
    return now < m_lastPeerMessage + peerTimeout ? share(rank) : 1;
}

Duration::rep WatchElection::share(std::size_t rank) noexcept
{
    return static_cast<Duration::rep>(1 + rank / watchersPerDomain);
}

} // namespace camphorreach
