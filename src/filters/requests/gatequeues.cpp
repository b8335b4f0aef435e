// Queues of the requests that wait at a gate.
#include <camphorreach/gatequeues.h>

#include <functional>

namespace camphorreach {
namespace {

constexpr std::size_t maxQueuedSuspects = 64;

GateQueue::Limits suspectLimits(const GateQueue::Limits &limits)
{
    return { std::min(maxQueuedSuspects, limits.count), limits.bytes };
}

} // namespace

GateQueues::GateQueues(GateQueue::Limits limits, const OrganisationShares &shares)
    : m_timely(limits, shares), m_late(limits, shares), m_suspects(suspectLimits(limits), shares)
{ }

std::vector<GateWork> GateQueues::push(Kind kind, GateWork work)
{
    GateQueue &queue = kind == Kind::Suspect ? m_suspects : kind == Kind::Late ? m_late : m_timely;
    return queue.push(std::move(work));
}

template <typename Take>
std::vector<GateWork> GateQueues::takeFromEach(Take take)
{
    std::vector<GateWork> requests;
    for (GateQueue *queue : { &m_timely, &m_late, &m_suspects })
        std::ranges::move(std::invoke(take, *queue), std::back_inserter(requests));
    return requests;
}

std::vector<GateWork> GateQueues::takeAll()
{
    return takeFromEach(&GateQueue::takeAll);
}

std::vector<GateWork> GateQueues::takeExpired(TimePoint now)
{
    return takeFromEach([&](GateQueue &queue) { return queue.takeExpired(now); });
}

std::vector<GateWork> GateQueues::takeByLink(LinkId link, std::optional<RequestId> id)
{
    return takeFromEach([&](GateQueue &queue) { return queue.takeByLink(link, id); });
}

std::vector<GateWork> GateQueues::takeByFingerprint(Digest fingerprint)
{
    return takeFromEach([&](GateQueue &queue) { return queue.takeByFingerprint(fingerprint); });
}

std::size_t GateQueues::size() const noexcept
{
    return m_timely.size() + m_late.size() + m_suspects.size();
}

Duration GateQueues::expectedWork() const noexcept
{
    return m_timely.expectedWork() + m_late.expectedWork() + m_suspects.expectedWork();
}

std::optional<TimePoint> GateQueues::earliestDeadline() const
{
    std::optional<TimePoint> earliest;
    for (const GateQueue *queue : { &m_timely, &m_late, &m_suspects }) {
        const std::optional<TimePoint> deadline = queue->earliestDeadline();
        if (deadline && (!earliest || *deadline < *earliest))
            earliest = deadline;
    }
    return earliest;
}

} // namespace camphorreach
