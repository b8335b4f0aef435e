// Platform reader of a failure domain: contends for a lease and, as its holder, watches the head.
#pragma once

#include <camphorreach/configpeers.h>
#include <camphorreach/filter.h>
#include <camphorreach/lease.h>
#include <camphorreach/platform.h>
#include <camphorreach/random.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace camphorreach {

/// Part of the filter `Configuration`. Only the first few nodes of a failure domain contend, so
/// that the platform's load does not grow with the fleet.
class ConfigReader
{
public:
    static constexpr std::uint8_t slotsPerDomain = 2; ///< Reader leases of a failure domain.
    static constexpr std::size_t contendersPerDomain = 4; ///< Nodes that contend for them.

    ConfigReader(const ConfigPeers &peers, PlatformCallIds &callIds, RandomSource &random);

    /// Returns the head if the reply contains it.
    std::optional<ConfigHead> onReply(const PlatformReply &reply, TimePoint now);

    template <typename Message>
    void advance(TimePoint now, Outbox<Message> &outbox)
    {
        updateLease(now);
        if (m_lease && mayContend(now))
            m_lease->advance(now, outbox);
        if (std::optional<PlatformCall> call = dueWatch(now))
            outbox.emit(std::move(*call));
    }
    [[nodiscard]] std::optional<TimePoint> nextDeadline(TimePoint now) const;

    [[nodiscard]] bool isReader(TimePoint now) const { return m_lease && m_lease->isHeld(now); }
    [[nodiscard]] std::uint8_t slot() const noexcept { return m_slot; }
    /// Other lease holders that were first seen since the last call.
    [[nodiscard]] std::vector<NetAddress> takeNewReaders();

private:
    void updateLease(TimePoint now);
    [[nodiscard]] bool mayContend(TimePoint now) const;
    [[nodiscard]] std::optional<PlatformCall> dueWatch(TimePoint now);

    const ConfigPeers &m_peers;
    PlatformCallIds &m_callIds;
    RandomSource &m_random;
    std::optional<TimePoint> m_contendFrom; // empty before the first advance()
    std::optional<Lease> m_lease;
    std::uint8_t m_slot = 0;
    NetAddress m_reportedHolder; // the holder last added to m_newReaders
    std::vector<NetAddress> m_newReaders;
    ObjectVersion m_headVersion; // of the head as last read
    PlatformCallId m_watchCall;
    Duration m_backoff;
    std::optional<TimePoint> m_nextWatchAt = TimePoint {}; // empty while a watch is in progress
};

} // namespace camphorreach
