// Order and shedding of waiting requests.
#include <camphorreach/gatequeue.h>

#include <iterator>
#include <tuple>
#include <utility>

namespace camphorreach {

std::size_t sizeOf(const GateWork &work) noexcept
{
    const ForwardRequest &request = work.request;
    const RequestContent &content = request.content;
    return sizeof(GateWork) + content.method.size() + content.target.size()
        + content.contentType.size() + content.body.size() + content.host.size()
        + request.key.value().size();
}

bool GateQueue::Place::operator<(const Place &other) const noexcept
{
    return std::tie(tag, other.weight, target, deadline, sequence)
        < std::tie(other.tag, weight, other.target, other.deadline, other.sequence);
}

GateQueue::Place GateQueue::placeOf(const GateWork &work, std::uint64_t sequence) const noexcept
{
    const FairTag tag = m_limits.isFair ? work.tag : FairTag();
    return { tag, work.request.kindWeight, work.target, work.deadline, sequence };
}

std::vector<GateWork> GateQueue::push(GateWork work)
{
    const Place place = placeOf(work, m_nextSequence++);
    m_bytes += sizeOf(work);
    m_deadlines.emplace(place.deadline, place.sequence);
    m_places.emplace(place.sequence, place);
    m_entries.emplace(place, std::move(work));
    std::vector<GateWork> shed;
    while (m_entries.size() > m_limits.count || m_bytes > m_limits.bytes)
        shed.push_back(take(std::prev(m_entries.end())));
    return shed;
}

const GateWork *GateQueue::front() const noexcept
{
    return m_entries.empty() ? nullptr : &m_entries.begin()->second;
}

GateWork GateQueue::pop()
{
    return take(m_entries.begin());
}

GateWork GateQueue::take(Entries::iterator entry)
{
    GateWork work = std::move(entry->second);
    const Place place = entry->first;
    m_bytes -= sizeOf(work);
    m_deadlines.erase({ place.deadline, place.sequence });
    m_places.erase(place.sequence);
    m_entries.erase(entry);
    return work;
}

std::vector<GateWork> GateQueue::takeExpired(TimePoint now)
{
    std::vector<GateWork> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        expired.push_back(take(m_entries.find(m_places.at(m_deadlines.begin()->second))));
    return expired;
}

template <typename Predicate>
std::vector<GateWork> GateQueue::takeIf(Predicate &&isMeant)
{
    std::vector<GateWork> taken;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto current = entry++;
        if (isMeant(current->second))
            taken.push_back(take(current));
    }
    return taken;
}

std::vector<GateWork> GateQueue::takeAll()
{
    return takeIf([](const GateWork &) { return true; });
}

std::vector<GateWork> GateQueue::takeOf(LinkId link, std::optional<RequestId> id)
{
    return takeIf(
        [&](const GateWork &work) { return work.link == link && (!id || work.request.id == *id); });
}

std::vector<GateWork> GateQueue::takeWith(Digest fingerprint)
{
    return takeIf([&](const GateWork &work) { return work.fingerprint == fingerprint; });
}

std::size_t GateQueue::countBefore(const GateWork &work) const
{
    const Place place = placeOf(work, m_nextSequence);
    return static_cast<std::size_t>(std::distance(m_entries.begin(), m_entries.lower_bound(place)));
}

std::optional<TimePoint> GateQueue::earliestDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

} // namespace camphorreach
