// Order and capacity of the queue of waiting requests.
#include <camphorreach/waitqueue.h>

namespace camphorreach {

WaitQueue::Rank WaitQueue::rankOf(const Entry &entry) noexcept
{
    return { -static_cast<std::int64_t>(entry.weight), entry.deadline, entry.id };
}

bool WaitQueue::isShedBefore(const Entry &a, const Entry &b) noexcept
{
    return rankOf(b) < rankOf(a);
}

std::optional<RequestId> WaitQueue::push(Entry entry)
{
    std::optional<RequestId> shed;
    if (m_entries.size() >= m_capacity) {
        const auto last = nextToShed();
        if (!last || isShedBefore(entry, *last))
            return entry.id;
        shed = last->id;
        erase(last->id);
    }
    const Rank rank = rankOf(entry);
    m_order.insert(rank);
    m_byService[entry.service].insert(rank);
    if (entry.notBefore > TimePoint {})
        m_backoffs.emplace(entry.notBefore, entry.id);
    const RequestId id = entry.id;
    m_entries.insert_or_assign(id, std::move(entry));
    return shed;
}

void WaitQueue::erase(RequestId id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    const Entry &entry = found->second;
    const Rank rank = rankOf(entry);
    m_order.erase(rank);
    const auto service = m_byService.find(entry.service);
    service->second.erase(rank);
    if (service->second.empty())
        m_byService.erase(service);
    m_backoffs.erase({ entry.notBefore, id });
    m_entries.erase(found);
}

std::optional<WaitQueue::Entry> WaitQueue::nextToShed() const
{
    if (m_order.empty())
        return std::nullopt;
    return m_entries.at(m_order.rbegin()->id);
}

std::vector<RequestId> WaitQueue::ready(const ServiceName &service, TimePoint now,
                                        std::size_t count) const
{
    std::vector<RequestId> result;
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return result;
    for (const Rank &rank : found->second) {
        if (result.size() >= count)
            break;
        if (m_entries.at(rank.id).notBefore <= now)
            result.push_back(rank.id);
    }
    return result;
}

std::vector<ServiceName> WaitQueue::services() const
{
    std::vector<ServiceName> result;
    result.reserve(m_byService.size());
    for (const auto &[service, entries] : m_byService)
        result.push_back(service);
    return result;
}

std::vector<ServiceName> WaitQueue::takeDueServices(TimePoint now)
{
    std::set<ServiceName> due;
    while (!m_backoffs.empty() && m_backoffs.begin()->first <= now) {
        due.insert(m_entries.at(m_backoffs.begin()->second).service);
        m_backoffs.erase(m_backoffs.begin());
    }
    return { due.begin(), due.end() };
}

std::optional<TimePoint> WaitQueue::nextBackoffEnd() const
{
    if (m_backoffs.empty())
        return std::nullopt;
    return m_backoffs.begin()->first;
}

} // namespace camphorreach
