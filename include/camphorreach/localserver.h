// Local server: the filter that tracks the state that the local backend server announces.
#pragma once

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

/// Wall-clock time at which a backend server started, which identifies one run of it. Only compared
/// with times from the clock of the same machine.
using BackendStartTime = Strong<struct BackendStartTimeTag, std::int64_t>;
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
/// announcement, including after a restart of this node, so that a draining server whose state was
/// lost in the restart gets no requests.
class LocalServer
{
public:
    using Input
        = std::variant<BackendAnnouncement, BackendDeparture, LocalServerSettings, SnapshotChanged>;
    using Output = std::variant<BackendAnnounced>;

    /// The backend server is considered gone after \a heartbeatTimeout without an announcement.
    LocalServer(LocalServerSettings settings, Duration heartbeatTimeout);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

private:
    struct DepartedRun
    {
        InstanceId server;
        BackendStartTime startTime;
    };

    void onAnnouncement(BackendAnnouncement &&announcement, TimePoint now);
    void onDeparture(const BackendDeparture &departure);
    void onSnapshot(SnapshotChanged &&changed, TimePoint now);
    [[nodiscard]] bool isKnownService(const ServiceName &service) const;
    [[nodiscard]] bool hasDeparted(const BackendAnnouncement &announcement) const;
    void publish(TimePoint now, Outbox<Output> &outbox);

    LocalServerSettings m_settings;
    std::shared_ptr<const Snapshot> m_snapshot; // null before the first configuration
    const Duration m_heartbeatTimeout;
    std::optional<BackendAnnouncement>
        m_latest; // of the most recent run; its sequence number never decreases
    TimePoint m_receivedAt {}; // arrival of m_latest
    std::deque<DepartedRun> m_departed; // at most maxDeparted
    std::deque<BackendAnnouncement> m_pending; // until the first snapshot; at most maxPending
    std::optional<BackendAnnounced> m_published;
};

static_assert(Filter<LocalServer>);

} // namespace camphorreach
