// Local server: the filter that keeps what the backend server beside this node says of itself.
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

/// Wall-clock time at which a backend server started, by its own clock. Only compared with itself.
using BackendBirth = Strong<struct BackendBirthTag, std::int64_t>;
/// Counts what one start of a backend server has announced.
using AnnouncementNumber = Strong<struct AnnouncementNumberTag, std::uint64_t>;

/// A heartbeat of a backend server.
struct BackendAnnouncement
{
    InstanceId server;
    BackendBirth born;
    AnnouncementNumber number;
    NetAddress address;
    ServiceName service;
    BackendVersion version;
    std::uint32_t slots = 1;
    bool isDraining = false;
    Duration warmUpLeft {};
};

/// A backend server takes its leave; it says nothing afterwards.
struct BackendDeparture
{
    InstanceId server;
    std::optional<BackendBirth> born;
    /// When it was heard, by the clock of the machine that both run on.
    BackendBirth heardAt {};
};

/// The address of the backend server and its service, as the settings name them.
struct LocalServerSettings
{
    NetAddress address;
    ServiceName service;
};

/// Puts announcements in order, so that a late one changes nothing, and decides whether the backend
/// server takes new work. Nothing is known before the first announcement, also after a restart of
/// this node, so that a leaving server that this node has forgotten gets no work.
class LocalServer
{
public:
    using Input
        = std::variant<BackendAnnouncement, BackendDeparture, LocalServerSettings, SnapshotChanged>;
    using Output = std::variant<BackendAnnounced>;

    /// \a silence: without an announcement for so long, the backend server is taken for gone.
    LocalServer(LocalServerSettings settings, Duration silence);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

private:
    struct Departed
    {
        InstanceId server;
        BackendBirth born;
    };

    void onAnnouncement(BackendAnnouncement &&announcement, TimePoint now);
    void onDeparture(const BackendDeparture &departure);
    void onSnapshot(SnapshotChanged &&changed, TimePoint now);
    [[nodiscard]] bool isKnownService(const ServiceName &service) const;
    [[nodiscard]] bool hasDeparted(const BackendAnnouncement &announcement) const;
    void publish(TimePoint now, Outbox<Output> &outbox);

    LocalServerSettings m_settings;
    std::shared_ptr<const Snapshot> m_snapshot; // null until a configuration is held
    const Duration m_silence;
    std::optional<BackendAnnouncement>
        m_latest; // of the youngest start; its number never decreases
    TimePoint m_heardAt {}; // of m_latest
    std::deque<Departed> m_departed; // at most maxDeparted
    std::deque<BackendAnnouncement> m_unjudged; // before the first snapshot; at most maxUnjudged
    std::optional<BackendAnnounced> m_published;
};

static_assert(Filter<LocalServer>);

} // namespace camphorreach
