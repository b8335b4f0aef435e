// Bounds of the wait for the first servers.
#include <camphorreach/startwait.h>

#include <algorithm>

namespace camphorreach {
namespace {

// From a node's first configuration until it and its peers know each other. Nodes that start
// together do so within 0.3 s, find each other in the store after up to 0.7 s, and publish changes
// after 0.1 s.
constexpr Duration joinTime = std::chrono::milliseconds(1000);
// A server needs up to a third of the target latency for a request.
constexpr double waitableTargetShare = 0.65;
// Without a target, most of the time is left for the server.
constexpr int waitableBudgetDivisor = 4;
// Servers announce themselves evenly over the interval. At half of it, about half of the servers
// are known, which can serve those that have waited beside the new requests.
constexpr int returnDivisor = 2;

} // namespace

void StartWait::start(TimePoint now)
{
    if (m_heartbeat && !m_end)
        m_end = now + *m_heartbeat + joinTime;
}

bool StartWait::tryAdd(RequestId id, const Terms &terms, TimePoint now)
{
    if (!m_end)
        return false;
    const Duration waitable = terms.targetLatency > Duration::zero()
        ? scaled(terms.targetLatency, waitableTargetShare)
        : (terms.deadline - terms.arrivedAt) / waitableBudgetDivisor;
    TimePoint end = std::min({ *m_end, terms.arrivedAt + waitable, terms.deadline });
    if (terms.permitEnd)
        end = std::min(end, *terms.permitEnd);
    if (end <= now)
        return false;
    m_count += m_waiting.emplace(end, id).second ? 1 : 0;
    return true;
}

std::vector<RequestId> StartWait::takeEnded(TimePoint now)
{
    std::vector<RequestId> ended;
    while (!m_waiting.empty() && m_waiting.begin()->first <= now) {
        ended.push_back(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
    }
    return ended;
}

std::optional<TimePoint> StartWait::nextEnd() const
{
    if (m_waiting.empty())
        return std::nullopt;
    return m_waiting.begin()->first;
}

Duration StartWait::retryAfter(TimePoint now) const
{
    if (!m_end)
        return Duration::zero();
    return std::max(Duration::zero(), (*m_end - now) / returnDivisor);
}

} // namespace camphorreach
