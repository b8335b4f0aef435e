// Order of announcements, and what follows from them.
#include <camphorreach/localserver.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorreach {
namespace {

constexpr std::size_t maxDeparted = 16; // one at a time runs beside a node
// A node without a configuration hears about one announcement a second; the latest ones say all.
constexpr std::size_t maxUnjudged = 64;

} // namespace

LocalServer::LocalServer(LocalServerSettings settings, Duration silence)
    : m_settings(std::move(settings)), m_silence(silence)
{ }

void LocalServer::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    std::visit(Overloaded {
                   [&](BackendAnnouncement &announcement) {
                       onAnnouncement(std::move(announcement), now);
                   },
                   [&](BackendDeparture &departure) { onDeparture(departure); },
                   [&](LocalServerSettings &settings) { m_settings = std::move(settings); },
                   [&](SnapshotChanged &changed) { onSnapshot(std::move(changed), now); },
               },
               input);
    publish(now, outbox);
}

void LocalServer::onAnnouncement(BackendAnnouncement &&announcement, TimePoint now)
{
    if (announcement.address != m_settings.address || hasDeparted(announcement))
        return;
    if (!isKnownService(announcement.service)) {
        // It has been acknowledged, so it must count once the services are known.
        if (m_snapshot)
            return;
        if (m_unjudged.size() == maxUnjudged)
            m_unjudged.pop_front();
        m_unjudged.push_back(std::move(announcement));
        return;
    }
    if (m_latest) {
        const auto place
            = [](const BackendAnnouncement &one) { return std::tie(one.born, one.number); };
        if (place(announcement) <= place(*m_latest))
            return;
        // A start does not take back that it leaves.
        const bool isSameStart = announcement.born == m_latest->born;
        announcement.isDraining |= isSameStart && m_latest->isDraining;
    }
    m_latest = std::move(announcement);
    m_heardAt = now;
}

void LocalServer::onDeparture(const BackendDeparture &departure)
{
    const bool isLatest = m_latest && m_latest->server == departure.server
        && (!departure.born || *departure.born >= m_latest->born);
    // A node that has just started may not know which start takes its leave, and hear late
    // announcements of it afterwards: all starts until now have left.
    const BackendBirth born
        = departure.born.value_or(isLatest ? m_latest->born : departure.heardAt);
    m_departed.push_back({ departure.server, born });
    if (m_departed.size() > maxDeparted)
        m_departed.pop_front();
    if (isLatest)
        m_latest->isDraining = true;
}

void LocalServer::onSnapshot(SnapshotChanged &&changed, TimePoint now)
{
    m_snapshot = std::move(changed.snapshot);
    for (BackendAnnouncement &announcement : std::exchange(m_unjudged, {}))
        onAnnouncement(std::move(announcement), now);
}

// Another writer may announce a service that nobody has configured.
bool LocalServer::isKnownService(const ServiceName &service) const
{
    return service == m_settings.service
        || (m_snapshot && m_snapshot->findService(service) != nullptr);
}

bool LocalServer::hasDeparted(const BackendAnnouncement &announcement) const
{
    return std::ranges::any_of(m_departed, [&](const Departed &departed) {
        return departed.server == announcement.server && announcement.born <= departed.born;
    });
}

void LocalServer::publish(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_latest)
        return;
    const bool isSilent = now - m_heardAt >= m_silence;
    BackendAnnounced announced { m_latest->server,
                                 m_latest->service,
                                 m_latest->version,
                                 m_latest->slots,
                                 !m_latest->isDraining && !isSilent,
                                 m_latest->warmUpLeft };
    // The rest of a warm-up shrinks with each announcement; only its beginning is news.
    if (m_published && announced.warmUpLeft > Duration::zero()
        && m_published->warmUpLeft > Duration::zero())
        announced.warmUpLeft = m_published->warmUpLeft;
    if (m_published == announced)
        return;
    m_published = announced;
    outbox.emit(std::move(announced));
}

void LocalServer::advance(TimePoint now, Outbox<Output> &outbox)
{
    publish(now, outbox);
}

std::optional<TimePoint> LocalServer::nextDeadline() const
{
    if (!m_published || !m_published->isAccepting)
        return std::nullopt;
    return m_heardAt + m_silence;
}

} // namespace camphorreach
