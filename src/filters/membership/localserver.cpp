// Ordering of announcements, and the state of the backend server that results from them.
#include <camphorreach/localserver.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorreach {
namespace {

// A node without a configuration receives about one announcement per second, and the latest ones
// contain the complete state.
constexpr std::size_t maxPending = 64;
// More servers than start beside a node while announcements of an earlier one are late.
constexpr std::size_t maxReplaced = 16;
// A store that works responds within 250 ms, also to a node that has just started.
constexpr Duration restoreTimeout = std::chrono::seconds(2);
// Announcements take different times to arrive. A warm-up that ends this much later than was
// published is another one; a smaller difference is not published.
constexpr Duration warmUpTolerance = std::chrono::milliseconds(250);

} // namespace

LocalServer::LocalServer(LocalServerSettings settings, Duration heartbeatTimeout)
    : m_settings(std::move(settings)), m_service(m_settings.service),
      m_publishedService(m_settings.service), m_heartbeatTimeout(heartbeatTimeout)
{ }

void LocalServer::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    advance(now, outbox); // announcements that arrive after the timeout are not held back
    std::visit(Overloaded {
                   [&](BackendAnnouncement &announcement) {
                       onAnnouncement(std::move(announcement), now);
                   },
                   [&](BackendDeparture &departure) { onDeparture(departure); },
                   [&](LocalServerSettings &settings) { onSettings(std::move(settings), now); },
                   [&](SnapshotChanged &changed) { onSnapshot(std::move(changed), now); },
                   [&](DeparturesRestored &restored) { onDeparturesRestored(restored, now); },
                   [&](BackendHealth &health) { onHealth(health, now); },
               },
               input);
    publish(now, outbox);
}

void LocalServer::onAnnouncement(BackendAnnouncement &&announcement, TimePoint now)
{
    const DepartedRun run { announcement.server, announcement.startTime };
    if (announcement.address != m_settings.address || m_departures.contains(run)
        || isOutOfDate(announcement, now))
        return;
    if (!isKnownService(announcement.service)) {
        // The announcement was acknowledged, so it must be applied once the services are known.
        if (!m_snapshot)
            holdBack(std::move(announcement));
        return;
    }
    if (announcement.isDraining)
        m_haveDeparturesChanged = m_departures.add(run) || m_haveDeparturesChanged;
    if (!m_areDeparturesKnown)
        return holdBack(std::move(announcement));
    if (std::ranges::find(m_replacedRuns, run) != m_replacedRuns.end())
        return;
    if (m_latest) {
        const auto order = [](const BackendAnnouncement &item) {
            return std::tie(item.startTime, item.sequence);
        };
        const bool isEarlierRun = announcement.startTime < m_latest->startTime;
        if (isEarlierRun ? !isConfirmed(announcement, now)
                         : order(announcement) <= order(*m_latest))
            return;
        // A run that has started to drain never stops draining.
        const bool isSameRun = announcement.startTime == m_latest->startTime;
        announcement.isDraining |= isSameRun && m_latest->isDraining;
    }
    const bool isNewRun = !m_latest || announcement.startTime != m_latest->startTime;
    if (m_latest && isNewRun) {
        if (m_replacedRuns.size() == maxReplaced)
            m_replacedRuns.pop_front();
        m_replacedRuns.push_back({ m_latest->server, m_latest->startTime });
    }
    m_earlierRun.reset();
    const bool mayPrecedeHealth = std::exchange(m_isWarmUpFromHealth, false) && !isNewRun;
    if (!mayPrecedeHealth || announcement.warmUpLeft > Duration::zero()) {
        m_warmUpLeft = announcement.warmUpLeft;
        m_warmUpKnownAt = now;
    }
    m_isRunNew = m_isRunNew || isNewRun;
    m_latest = std::move(announcement);
    m_isLatestReplaced = false;
    m_service = m_latest->service;
    m_receivedAt = now;
}

bool LocalServer::isConfirmed(const BackendAnnouncement &announcement, TimePoint now)
{
    const DepartedRun run { announcement.server, announcement.startTime };
    if (!m_earlierRun || m_earlierRun->run != run
        || now - m_earlierRun->lastAt >= m_heartbeatTimeout) {
        m_earlierRun = EarlierRun { run, announcement.sequence, now, now };
        return false;
    }
    if (announcement.sequence <= m_earlierRun->sequence)
        return false;
    m_earlierRun->sequence = announcement.sequence;
    m_earlierRun->lastAt = now;
    return now - m_earlierRun->firstAt >= m_heartbeatTimeout;
}

// The server that was announced before no longer runs, or the settings would still name its
// service.
void LocalServer::onSettings(LocalServerSettings &&settings, TimePoint now)
{
    const bool isOtherService = settings.service != m_settings.service;
    m_settings = std::move(settings);
    if (!isOtherService)
        return;
    m_serviceNamedAt = now;
    m_service = m_settings.service;
    m_isLatestReplaced = m_latest && m_latest->service != m_settings.service;
    if (m_isLatestReplaced)
        m_settings.readAt = std::max(m_settings.readAt, m_latest->startTime);
}

bool LocalServer::isOutOfDate(const BackendAnnouncement &announcement, TimePoint now) const
{
    return announcement.service != m_settings.service && m_serviceNamedAt
        && announcement.startTime <= m_settings.readAt
        && now < *m_serviceNamedAt + m_heartbeatTimeout;
}

void LocalServer::onDeparture(const BackendDeparture &departure)
{
    const bool isLatest = m_latest && m_latest->server == departure.server
        && (!departure.startTime || *departure.startTime >= m_latest->startTime);
    // A node that has just started may not know which run deregisters, and may receive late
    // announcements of that run afterwards. It then treats all runs that started until now as
    // departed.
    const BackendStartTime startTime
        = departure.startTime.value_or(isLatest ? m_latest->startTime : departure.receivedAt);
    m_haveDeparturesChanged
        = m_departures.add({ departure.server, startTime }) || m_haveDeparturesChanged;
    if (isLatest)
        m_latest->isDraining = true;
}

// Warm-ups are ended by announcements only, because a late response would end a newer one.
void LocalServer::onHealth(const BackendHealth &health, TimePoint now)
{
    if (!m_latest || m_isLatestReplaced || health.server != m_latest->server
        || health.warmUpLeft.value_or(Duration::zero()) <= Duration::zero())
        return;
    m_warmUpLeft = *health.warmUpLeft;
    m_warmUpKnownAt = now;
    m_isWarmUpFromHealth = true;
}

void LocalServer::onDeparturesRestored(const DeparturesRestored &restored, TimePoint now)
{
    m_departures.add(restored.departures);
    if (m_latest && m_departures.contains({ m_latest->server, m_latest->startTime }))
        m_latest->isDraining = true;
    m_areDeparturesKnown = true;
    releasePending(now);
}

// What arrived until now may have been sent before the restart, by a server that has departed.
void LocalServer::onRestoreTimeout()
{
    m_areDeparturesKnown = true;
    m_pending.clear();
}

void LocalServer::holdBack(BackendAnnouncement &&announcement)
{
    if (m_pending.size() == maxPending)
        m_pending.pop_front();
    m_pending.push_back(std::move(announcement));
}

void LocalServer::releasePending(TimePoint now)
{
    for (BackendAnnouncement &announcement : std::exchange(m_pending, {}))
        onAnnouncement(std::move(announcement), now);
}

void LocalServer::onSnapshot(SnapshotChanged &&changed, TimePoint now)
{
    m_snapshot = std::move(changed.snapshot);
    releasePending(now);
}

// Other processes can send announcements too, with a service that is not configured.
bool LocalServer::isKnownService(const ServiceName &service) const
{
    return service == m_settings.service
        || (m_snapshot && m_snapshot->findService(service) != nullptr);
}

void LocalServer::publish(TimePoint now, Outbox<Output> &outbox)
{
    if (std::exchange(m_haveDeparturesChanged, false))
        outbox.emit(DeparturesChanged { m_departures });
    if (m_service != m_publishedService) {
        m_publishedService = m_service;
        outbox.emit(LocalServiceChanged { m_service });
    }
    if (!m_latest)
        return;
    const bool isTimedOut = now - m_receivedAt >= m_heartbeatTimeout;
    BackendAnnounced announced { m_latest->server,
                                 m_latest->service,
                                 m_latest->version,
                                 m_latest->slots,
                                 !m_latest->isDraining && !m_isLatestReplaced && !isTimedOut,
                                 m_warmUpLeft };
    // The remaining warm-up time shrinks with every announcement; only a start of a warm-up is a
    // change. The server may become cold again before the last warm-up has ended.
    const TimePoint warmAt = m_warmUpKnownAt + m_warmUpLeft;
    const bool isCold = announced.warmUpLeft > Duration::zero();
    const bool wasCold = m_published && m_published->warmUpLeft > Duration::zero();
    const bool isColdAgain = isCold && (!wasCold || warmAt > m_publishedWarmAt + warmUpTolerance);
    if (isColdAgain)
        m_publishedWarmAt = warmAt;
    else if (isCold)
        announced.warmUpLeft = m_published->warmUpLeft;
    if (m_published == announced && !isColdAgain && !m_isRunNew)
        return;
    m_isRunNew = false;
    m_published = announced;
    if (isCold)
        announced.warmUpLeft = std::max(warmAt - now, Duration::zero());
    outbox.emit(std::move(announced));
}

void LocalServer::advance(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_startedAt)
        m_startedAt = m_serviceNamedAt = now;
    if (!m_areDeparturesKnown && now >= *m_startedAt + restoreTimeout)
        onRestoreTimeout();
    publish(now, outbox);
}

std::optional<TimePoint> LocalServer::nextDeadline() const
{
    if (!m_areDeparturesKnown)
        return m_startedAt.value_or(TimePoint {}) + restoreTimeout;
    if (!m_published || !m_published->isAccepting)
        return std::nullopt;
    return m_receivedAt + m_heartbeatTimeout;
}

} // namespace camphorreach
