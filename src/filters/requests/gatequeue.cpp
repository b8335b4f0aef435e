// Order and shedding of queued requests.
#include <camphorreach/gatequeue.h>

#include <algorithm>
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

bool GateQueue::SortKey::precedesInOtherGroup(const SortKey &other) const noexcept
{
    return std::tie(other.weight, target, deadline, sequence)
        < std::tie(weight, other.target, other.deadline, other.sequence);
}

GateQueue::SortKey GateQueue::sortKeyOf(const GateWork &work, std::uint64_t sequence) const noexcept
{
    const FairTag tag = m_limits.isFair ? work.tag : FairTag();
    return { tag, work.request.kindWeight, work.target, work.deadline, sequence };
}

FairTag GateQueue::tagOf(ShareClass shareClass) const
{
    return m_shares != nullptr ? m_shares->tagOf(shareClass) : FairTag();
}

FairTag GateQueue::tagOf(const ShareGroup &group) const
{
    return m_shares != nullptr ? m_shares->tagOf(group) : FairTag();
}

std::vector<GateWork> GateQueue::push(GateWork work)
{
    const SortKey sortKey = sortKeyOf(work, m_nextSequence++);
    m_bytes += sizeOf(work);
    m_expectedWork += work.expectedWork;
    m_deadlines.emplace(sortKey.deadline, sortKey.sequence);
    m_sortKeys.emplace(sortKey.sequence, Position { work.group, sortKey });
    Entries &entries = m_groups[work.group];
    entries.emplace(sortKey, std::move(work));
    std::vector<GateWork> shed;
    while (size() > m_limits.count || m_bytes > m_limits.bytes)
        shed.push_back(popLast());
    return shed;
}

// The group of the request that runs first.
GateQueue::Groups::const_iterator GateQueue::firstGroup() const
{
    if (m_groups.size() <= 1)
        return m_groups.begin();
    return std::ranges::min_element(m_groups, [this](const auto &a, const auto &b) {
        const ShareClass classA = a.first.shareClass;
        const ShareClass classB = b.first.shareClass;
        if (classA != classB)
            return std::pair(tagOf(classA), classA) < std::pair(tagOf(classB), classB);
        const FairTag tagA = tagOf(a.first);
        const FairTag tagB = tagOf(b.first);
        if (tagA != tagB)
            return tagA < tagB;
        return a.second.begin()->first.precedesInOtherGroup(b.second.begin()->first);
    });
}

// The group of the request that runs last: the one whose last request has the greatest start tag,
// in the class whose requests end last. At equal tags, a new request comes after a call.
GateQueue::Groups::const_iterator GateQueue::lastGroup() const
{
    if (m_groups.size() <= 1)
        return m_groups.begin();
    struct Last
    {
        Groups::const_iterator group;
        FairTag tag;
        FairTag classEnd;
    };
    std::map<ShareClass, Last> lastOfClass;
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        const ShareClass shareClass = group->first.shareClass;
        const auto found
            = lastOfClass.try_emplace(shareClass, Last { group, FairTag(), tagOf(shareClass) })
                  .first;
        Last &last = found->second;
        std::int64_t tag = tagOf(group->first).value();
        std::int64_t classEnd = last.classEnd.value();
        std::int64_t step = 0;
        for (const auto &[sortKey, work] : group->second) {
            tag += step;
            step = FairShare::stepOf(sortKey.weight, work.cost);
            classEnd += OrganisationShares::classStepOf(shareClass, sortKey.weight, work.cost);
        }
        last.classEnd = FairTag(classEnd);
        const SortKey &tail = std::prev(group->second.end())->first;
        const SortKey &lastTail = std::prev(last.group->second.end())->first;
        if (last.tag < FairTag(tag)
            || (last.tag == FairTag(tag) && lastTail.precedesInOtherGroup(tail))) {
            last.tag = FairTag(tag);
            last.group = group;
        }
    }
    const auto latest = std::ranges::max_element(lastOfClass, {}, [](const auto &entry) {
        return std::pair(entry.second.classEnd, entry.first);
    });
    return latest->second.group;
}

const GateWork *GateQueue::front() const
{
    return m_groups.empty() ? nullptr : &firstGroup()->second.begin()->second;
}

const GateWork *GateQueue::last() const
{
    return m_groups.empty() ? nullptr : &std::prev(lastGroup()->second.end())->second;
}

GateWork GateQueue::pop()
{
    const auto group = m_groups.find(firstGroup()->first);
    return take(group, group->second.begin());
}

GateWork GateQueue::popLast()
{
    const auto group = m_groups.find(lastGroup()->first);
    return take(group, std::prev(group->second.end()));
}

GateWork GateQueue::take(Groups::iterator group, Entries::iterator entry)
{
    GateWork work = std::move(entry->second);
    const SortKey sortKey = entry->first;
    m_bytes -= sizeOf(work);
    m_expectedWork -= work.expectedWork;
    m_deadlines.erase({ sortKey.deadline, sortKey.sequence });
    m_sortKeys.erase(sortKey.sequence);
    group->second.erase(entry);
    if (group->second.empty())
        m_groups.erase(group);
    return work;
}

std::vector<GateWork> GateQueue::takeExpired(TimePoint now)
{
    std::vector<GateWork> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const Position position = m_sortKeys.at(m_deadlines.begin()->second);
        const auto group = m_groups.find(position.group);
        expired.push_back(take(group, group->second.find(position.sortKey)));
    }
    return expired;
}

template <typename Predicate>
std::vector<GateWork> GateQueue::takeIf(Predicate &&matches)
{
    std::vector<GateWork> taken;
    for (auto group = m_groups.begin(); group != m_groups.end();) {
        const auto currentGroup = group++;
        // The last take() of a group removes it.
        std::size_t left = currentGroup->second.size();
        for (auto entry = currentGroup->second.begin(); left > 0; --left) {
            const auto current = entry++;
            if (matches(current->second))
                taken.push_back(take(currentGroup, current));
        }
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
    const auto own = m_groups.find(work.group);
    if (own == m_groups.end())
        return countBeforeInOtherGroups(work, sortKey, {});
    const auto end = own->second.lower_bound(sortKey);
    const auto before = static_cast<std::size_t>(std::distance(own->second.begin(), end));
    return m_groups.size() == 1 ? before : before + countBeforeInOtherGroups(work, sortKey, end);
}

// Replays the order of the groups up to \a work, which runs after the requests of its own group
// before \a ownEnd.
std::size_t GateQueue::countBeforeInOtherGroups(const GateWork &work, const SortKey &sortKey,
                                                Entries::const_iterator ownEnd) const
{
    const ShareClass shareClass = work.group.shareClass;
    std::int64_t tag = tagOf(work.group).value();
    std::int64_t classTag = tagOf(shareClass).value();
    std::size_t before = 0;
    if (const auto own = m_groups.find(work.group); own != m_groups.end()) {
        for (auto entry = own->second.begin(); entry != ownEnd; ++entry) {
            tag += FairShare::stepOf(entry->first.weight, entry->second.cost);
            classTag += OrganisationShares::classStepOf(shareClass, entry->first.weight,
                                                        entry->second.cost);
        }
    }
    for (const auto &[group, entries] : m_groups) {
        if (group == work.group || group.shareClass != shareClass)
            continue;
        std::int64_t start = tagOf(group).value();
        for (const auto &[key, other] : entries) {
            if (start > tag || (start == tag && sortKey.precedesInOtherGroup(key)))
                break;
            ++before;
            start += FairShare::stepOf(key.weight, other.cost);
            classTag += OrganisationShares::classStepOf(shareClass, key.weight, other.cost);
        }
    }
    const ShareClass otherClass
        = shareClass == ShareClass::Calls ? ShareClass::NewRequests : ShareClass::Calls;
    std::int64_t start = tagOf(otherClass).value();
    for (const auto &[group, entries] : m_groups) {
        if (group.shareClass != otherClass)
            continue;
        for (const auto &[key, other] : entries) {
            if (start > classTag || (start == classTag && otherClass != ShareClass::Calls))
                return before;
            ++before;
            start += OrganisationShares::classStepOf(otherClass, key.weight, other.cost);
        }
    }
    return before;
}

std::optional<TimePoint> GateQueue::earliestDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

} // namespace camphorreach
