// Version floor: the lowest version that a restarted node may serve.
#pragma once

#include <camphorreach/configmessage.h>
#include <camphorreach/configpeers.h>
#include <camphorreach/filter.h>
#include <camphorreach/lease.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/platform.h>
#include <camphorreach/random.h>

#include <optional>
#include <set>
#include <unordered_map>

namespace camphorreach {

/// The highest version that each other instance reported in force, for its queries after a restart.
class PeerVersions
{
public:
    static constexpr std::size_t maxInstances = 4096;
    /// Longer than a day and than any suspicion timeout.
    static constexpr Duration retention = std::chrono::hours(25);

    void record(const InstanceId &instance, ConfigVersion version, TimePoint now);
    [[nodiscard]] ConfigVersion highest(const InstanceId &instance, TimePoint now) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct Entry
    {
        ConfigVersion version; // highest reported
        TimePoint reportedAt {};
    };

    void evict(TimePoint now);

    std::unordered_map<InstanceId, Entry> m_entries; // at most maxInstances
};

/// Determines the floor after a restart from the platform and several peers. The platform's head is
/// at or above every version that was ever in force; if the platform is unavailable, several peers
/// that know their own floor must answer.
class VersionFloor
{
public:
    static constexpr std::size_t requiredAnswers = 3;

    VersionFloor(InstanceId self, PlatformCallIds &callIds, RandomSource &random);

    void onPeerAnswer(const NetAddress &from, const FloorAnswer &answer);
    /// Returns the head if the reply is to a read of this object and contains it.
    std::optional<ConfigHead> onReply(const PlatformReply &reply, TimePoint now);

    template <typename Message>
    void advance(const ConfigPeers &peers, TimePoint now, Outbox<Message> &outbox)
    {
        if (std::optional<PlatformCall> call = dueRead(now))
            outbox.emit(std::move(*call));
        for (const NetAddress &peer : dueQueries(peers, now)) {
            outbox.emit(
                PeerSend { peer, Transport::Datagram, ConfigMessage(FloorQuery { m_self }) });
        }
    }
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    /// Whether a node that holds version \a held may serve. Once true, it stays true.
    bool establish(ConfigVersion held, const ConfigPeers &peers);
    [[nodiscard]] bool isEstablished() const noexcept { return m_isEstablished; }
    [[nodiscard]] ConfigVersion floor() const noexcept { return m_floor; }
    /// Neither the platform nor any peer that knows its own floor has answered.
    [[nodiscard]] bool isCutOff() const noexcept
    {
        return !m_isEstablished && m_isPlatformUnavailable && m_answered.empty();
    }

private:
    [[nodiscard]] std::optional<PlatformCall> dueRead(TimePoint now);
    [[nodiscard]] std::vector<NetAddress> dueQueries(const ConfigPeers &peers, TimePoint now);

    const InstanceId m_self;
    PlatformCallIds &m_callIds;
    RandomSource &m_random;
    ConfigVersion m_floor; // the maximum of all answers
    std::set<NetAddress> m_answered; // peers that answered and know their own floor
    bool m_hasPlatformAnswered = false;
    bool m_isPlatformUnavailable = false;
    bool m_isEstablished = false;
    bool m_hasStarted = false;
    PlatformCallId m_call;
    Duration m_backoff;
    std::optional<TimePoint> m_readAt; // empty while a read is in progress
    TimePoint m_queryAt {};
};

} // namespace camphorreach
