// Schedules the lists and watches of one kind of object.
#include <camphorreach/storeinformer.h>

#include <camphorreach/storebackoff.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

// A slow store responds within 250 ms. Without the beginning of a reply for this long, it may have
// stopped responding.
constexpr Duration responseTime = std::chrono::milliseconds(400);

} // namespace

bool StoreInformer::isDue(TimePoint now) const
{
    return !m_pending && m_overdue.size() < maxOverdueCalls && m_nextCall && now >= *m_nextCall;
}

std::optional<TimePoint> StoreInformer::nextDeadline() const
{
    if (m_pending)
        return m_pending->overdueAt;
    return m_overdue.size() < maxOverdueCalls ? m_nextCall : std::nullopt;
}

void StoreInformer::startWatching(TimePoint now)
{
    if (std::exchange(m_isSuperseded, false))
        m_resourceVersion.reset();
    m_nextCall = std::min(m_nextCall.value_or(now), now);
}

StoreList StoreInformer::startList(StoreCallId id, bool mayBeStale, ConfigVersion held,
                                   TimePoint now)
{
    const bool isFirstPage = m_cursor.empty();
    if (isFirstPage)
        m_listStartedAt = now;
    if (m_kind == StoreKind::Nodes) // not urgent, and may be long
        m_pending = { id, Read::List, now, TimePoint::max(), now };
    else
        m_pending = { id,
                      isFirstPage ? Read::List : Read::NextPage,
                      now,
                      now + responseTime,
                      m_listStartedAt,
                      held };
    return { m_kind, m_cursor, mayBeStale };
}

StoreWatch StoreInformer::startWatch(StoreCallId id, Duration wait, ConfigVersion held,
                                     TimePoint now)
{
    m_pending = { id, Read::Watch, now, now + wait + responseTime, now, held, m_resourceVersion };
    return { m_kind, *m_resourceVersion, wait };
}

bool StoreInformer::isPending(StoreCallId id) const
{
    return m_pending && m_pending->id == id;
}

bool StoreInformer::isOverdue(StoreCallId id) const
{
    return std::ranges::find(m_overdue, id, &Call::id) != m_overdue.end();
}

bool StoreInformer::isReplyOverdue(TimePoint now) const
{
    return m_pending && now >= m_pending->overdueAt;
}

void StoreInformer::onReplyBegun() noexcept
{
    m_pending->overdueAt = TimePoint::max();
}

StoreInformer::Call StoreInformer::takePending()
{
    return *std::exchange(m_pending, std::nullopt);
}

StoreInformer::Call StoreInformer::takeOverdue(StoreCallId id)
{
    const auto found = std::ranges::find(m_overdue, id, &Call::id);
    Call call = *found;
    m_overdue.erase(found);
    return call;
}

void StoreInformer::dropOtherCalls()
{
    m_pending.reset();
    m_overdue.clear();
}

void StoreInformer::onOverdue()
{
    m_overdue.push_back(takePending());
    restartList();
}

void StoreInformer::restartList()
{
    m_resourceVersion.reset();
    m_cursor.clear();
    m_collected.reset();
}

void StoreInformer::retryAfter(Duration delay, TimePoint now)
{
    m_nextCall = now + delay;
    m_failures = std::min(m_failures + 1, StoreBackoff::maxDoublings);
}

// An unreadable entry may have no name. A page without a name after the cursor ends the list, or
// the same page would be read again.
bool StoreInformer::onPage(const StoreEntries &entries, TimePoint now)
{
    m_failures = 0;
    m_nextCall = now;
    std::string lastName;
    for (const StoreEntry &entry : entries.entries)
        lastName = std::max(lastName, entry.name);
    const bool hasMore = entries.hasMore && lastName > m_cursor;
    m_cursor = hasMore ? lastName : std::string();
    return hasMore;
}

void StoreInformer::onLastPage(ObjectVersion resourceVersion, std::size_t versions, bool isNewer,
                               TimePoint now)
{
    m_freshAsOf = now;
    m_isSuperseded = false;
    m_isCatchingUp = versions > 1 || (m_isCatchingUp && isNewer);
    m_resourceVersion = resourceVersion;
    if (m_isCatchingUp)
        m_resourceVersion.reset();
}

std::optional<StoreEntries> StoreInformer::collect(Read read, const StoreEntries &entries,
                                                   bool hasMore)
{
    if (read == Read::List || !m_collected)
        m_collected = StoreEntries { {}, entries.resourceVersion };
    m_collected->entries.insert(m_collected->entries.end(), entries.entries.begin(),
                                entries.entries.end());
    if (hasMore)
        return std::nullopt;
    return std::exchange(m_collected, std::nullopt);
}

void StoreInformer::limitFreshness(std::optional<TimePoint> before, TimePoint sentAt)
{
    m_freshAsOf = std::max(before, std::optional(sentAt));
}

} // namespace camphorreach
