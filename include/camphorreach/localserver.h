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
};

/// Orders announcements by run and sequence number, so that late ones have no effect, and decides
/// whether the backend server accepts new requests. Publishes nothing before the first
/// announcement.
///
/// A departure that was acknowledged binds later processes of the node too: after a restart,
/// announcements are held back until the departures that earlier processes have stored are known.
/// While the store cannot be read, announcements are accepted that arrive later than a timeout
/// after the start, when those that were sent before the restart should have arrived.
class LocalServer
{
public:
    using Input = std::variant<BackendAnnouncement, BackendDeparture, LocalServerSettings,
                               SnapshotChanged, DeparturesRestored>;
    using Output = std::variant<BackendAnnounced, DeparturesChanged>;

    /// The backend server is considered gone after \a heartbeatTimeout without an announcement.
    LocalServer(LocalServerSettings settings, Duration heartbeatTimeout);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

private:
    void onAnnouncement(BackendAnnouncement &&announcement, TimePoint now);
    void onDeparture(const BackendDeparture &departure);
    void onSnapshot(SnapshotChanged &&changed, TimePoint now);
    void onDeparturesRestored(const DeparturesRestored &restored, TimePoint now);
    void onRestoreTimeout();
    void holdBack(BackendAnnouncement &&announcement);
    void releasePending(TimePoint now);
    [[nodiscard]] bool isKnownService(const ServiceName &service) const;
    void publish(TimePoint now, Outbox<Output> &outbox);

    LocalServerSettings m_settings;
    std::shared_ptr<const Snapshot> m_snapshot; // null before the first configuration
    const Duration m_heartbeatTimeout;
    std::optional<BackendAnnouncement>
        m_latest; // of the most recent run; its sequence number never decreases
    TimePoint m_receivedAt {}; // arrival of m_latest
    DepartedRuns m_departures;
    bool m_haveDeparturesChanged = false; // since they were published
    // Whether the stored departures are known, or the timeout for them has passed; never reset.
    bool m_areDeparturesKnown = false;
    std::optional<TimePoint> m_startedAt; // first call of process() or advance()
    // Until the first snapshot and the stored departures are known; at most maxPending.
    std::deque<BackendAnnouncement> m_pending;
    std::optional<BackendAnnounced> m_published;
};

static_assert(Filter<LocalServer>);

} // namespace camphorreach
