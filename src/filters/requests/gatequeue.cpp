// Order and shedding of queued requests.
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

bool GateQueue::SortKey::operator<(const SortKey &other) const noexcept
{
    return std::tie(tag, other.weight, target, deadline, sequence)
        < std::tie(other.tag, weight, other.target, other.deadline, other.sequence);
}

GateQueue::SortKey GateQueue::sortKeyOf(const GateWork &work, std::uint64_t sequence) const noexcept
{
    const FairTag tag = m_limits.isFair ? work.tag : FairTag();
    return { tag, work.request.kindWeight, work.target, work.deadline, sequence };
}

std::vector<GateWork> GateQueue::push(GateWork work)
{
    const SortKey sortKey = sortKeyOf(work, m_nextSequence++);
    m_bytes += sizeOf(work);
    m_expectedWork += work.expectedWork;
    m_deadlines.emplace(sortKey.deadline, sortKey.sequence);
    m_sortKeys.emplace(sortKey.sequence, sortKey);
    m_entries.emplace(sortKey, std::move(work));
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
    const SortKey sortKey = entry->first;
    m_bytes -= sizeOf(work);
    m_expectedWork -= work.expectedWork;
    m_deadlines.erase({ sortKey.deadline, sortKey.sequence });
    m_sortKeys.erase(sortKey.sequence);
    m_entries.erase(entry);
    return work;
}

std::vector<GateWork> GateQueue::takeExpired(TimePoint now)
{
    std::vector<GateWork> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        expired.push_back(take(m_entries.find(m_sortKeys.at(m_deadlines.begin()->second))));
    return expired;
}

template <typename Predicate>
std::vector<GateWork> GateQueue::takeIf(Predicate &&matches)
{
    std::vector<GateWork> taken;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto current = entry++;
        if (matches(current->second))
            taken.push_back(take(current));
    }
    return taken;
}

std::vector<GateWork> GateQueue::takeAll()
{
    return takeIf([](const GateWork &) { return true; });
}

std::vector<GateWork> GateQueue::takeByLink(LinkId link, std::optional<RequestId> id)
{
    return takeIf(
        [&](const GateWork &work) { return work.link == link && (!id || work.request.id == *id); });
}

std::vector<GateWork> GateQueue::takeByFingerprint(Digest fingerprint)
{
    return takeIf([&](const GateWork &work) { return work.fingerprint == fingerprint; });
}

std::size_t GateQueue::countBefore(const GateWork &work) const
{
    const SortKey sortKey = sortKeyOf(work, m_nextSequence);
    return static_cast<std::size_t>(
        std::distance(m_entries.begin(), m_entries.lower_bound(sortKey)));
}

std::optional<TimePoint> GateQueue::earliestDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

} // namespace camphorreach
