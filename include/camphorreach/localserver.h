// Local server: the filter that tracks the state that the local backend server announces.
#pragma once

#include <camphorreach/departedrun.h>
#include <camphorreach/filter.h>
#include <camphorreach/ids.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/request.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/units.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <variant>

namespace camphorreach {

/// Sequence number of an announcement within one run of a backend server.
using AnnouncementSequence = Strong<struct AnnouncementSequenceTag, std::uint64_t>;

/// Heartbeat of a backend server.
struct BackendAnnouncement
{
    InstanceId server;
    BackendStartTime startTime;
    AnnouncementSequence sequence;
    NetAddress address;
    ServiceName service;
    BackendVersion version;
    std::uint32_t slots = 1;
    bool isDraining = false;
    Duration warmUpLeft {};
};

/// A backend server deregisters; it sends no more heartbeats.
struct BackendDeparture
{
    InstanceId server;
    std::optional<BackendStartTime> startTime;
    /// When this node received it. The backend server runs on the same machine, so the clock is the
    /// same as that of `startTime`.
    BackendStartTime receivedAt {};
};

/// Address and service of the backend server from the settings.
struct LocalServerSettings
{
    NetAddress address;
    ServiceName service;
    /// When the settings were read, by the clock that also gives the start time of backend servers.
    BackendStartTime readAt {};
};

/// Another service runs on the machine: that from which its clients' requests originate.
struct LocalServiceChanged
{
    ServiceName service;
};

/// Orders announcements by run and sequence number, so that late ones have no effect, and decides
/// whether the backend server accepts new requests. Publishes nothing before the first
/// announcement.
///
/// A departure that was acknowledged binds later processes of the node too: after a restart,
/// announcements are held back until the departures that earlier processes have stored are known.
/// While the store cannot be read, announcements are accepted that arrive later than a timeout
/// after the start, when those that were sent before the restart should have arrived.
///
/// A health response tells of a warm-up sooner than the next announcement does. The first
/// announcement after it may have been sent before it, so that one does not end the warm-up.
///
/// The service of the machine is the one that was stated last, by the settings or by a backend
/// server. When the settings name a service, an announcement of another one by a server that
/// started before they were read is out of date; after the heartbeat timeout such a server is
/// believed, as it is still there.
///
/// A run whose start time is below that of the latest one is announced late, or the clock has
/// stepped back between the two. It is believed when it must be the latter: it was never the latest
/// before, and for the heartbeat timeout it has sent one announcement after the other while the
/// latest was silent.
class LocalServer
{
public:
    using Input = std::variant<BackendAnnouncement, BackendDeparture, LocalServerSettings,
                               SnapshotChanged, DeparturesRestored, BackendHealth>;
    using Output = std::variant<BackendAnnounced, DeparturesChanged, LocalServiceChanged>;

    /// The backend server is considered gone after \a heartbeatTimeout without an announcement.
    LocalServer(LocalServerSettings settings, Duration heartbeatTimeout);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

private:
    // A run with an earlier start time than the latest one.
    struct EarlierRun
    {
        DepartedRun run;
        AnnouncementSequence sequence; // the highest one
        TimePoint firstAt {}; // of announcements with no gap of the heartbeat timeout
        TimePoint lastAt {}; // of the one with the highest sequence number
    };

    void onAnnouncement(BackendAnnouncement &&announcement, TimePoint now);
    void onDeparture(const BackendDeparture &departure);
    void onHealth(const BackendHealth &health, TimePoint now);
    void onSettings(LocalServerSettings &&settings, TimePoint now);
    void onSnapshot(SnapshotChanged &&changed, TimePoint now);
    void onDeparturesRestored(const DeparturesRestored &restored, TimePoint now);
    void onRestoreTimeout();
    void holdBack(BackendAnnouncement &&announcement);
    void releasePending(TimePoint now);
    [[nodiscard]] bool isKnownService(const ServiceName &service) const;
    // Whether a run with an earlier start time than the latest one is the present one.
    [[nodiscard]] bool isConfirmed(const BackendAnnouncement &announcement, TimePoint now);
    [[nodiscard]] bool isOutOfDate(const BackendAnnouncement &announcement, TimePoint now) const;
    void publish(TimePoint now, Outbox<Output> &outbox);

    LocalServerSettings m_settings;
    std::optional<TimePoint> m_serviceNamedAt; // when the settings last named another service
    ServiceName m_service; // of the machine
    ServiceName m_publishedService;
    std::shared_ptr<const Snapshot> m_snapshot; // null before the first configuration
    const Duration m_heartbeatTimeout;
    std::optional<BackendAnnouncement>
        m_latest; // of the most recent run; its sequence number never decreases
    // Runs that were the latest before, which have ended; the last ones, at most maxReplaced.
    std::deque<DepartedRun> m_replacedRuns;
    std::optional<EarlierRun> m_earlierRun; // that was announced since m_receivedAt
    bool m_isLatestReplaced = false; // the settings have named another service since
    TimePoint m_receivedAt {}; // arrival of m_latest
    Duration m_warmUpLeft {}; // of m_latest's run, at m_warmUpKnownAt
    TimePoint m_warmUpKnownAt {};
    // m_warmUpLeft is from a health response, and no announcement has arrived since.
    bool m_isWarmUpFromHealth = false;
    DepartedRuns m_departures;
    bool m_haveDeparturesChanged = false; // since they were published
    // Whether the stored departures are known, or the timeout for them has passed; never reset.
    bool m_areDeparturesKnown = false;
    std::optional<TimePoint> m_startedAt; // first call of process() or advance()
    // Until the first snapshot and the stored departures are known; at most maxPending.
    std::deque<BackendAnnouncement> m_pending;
    std::optional<BackendAnnounced> m_published;
    TimePoint m_publishedWarmAt {}; // when the published warm-up ends
    bool m_isRunNew = false; // m_latest belongs to a run of which nothing was published
};

static_assert(Filter<LocalServer>);

} // namespace camphorreach
