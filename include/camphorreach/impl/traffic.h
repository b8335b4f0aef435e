// Bytes that a node sends to other nodes, by kind of message.
#pragma once

#include <camphorreach/metrics.h>
#include <camphorreach/peermessage.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphorreach::impl {

enum class TrafficKind : std::uint8_t {
    Requests, ///< Forwarded requests and their cancellations.
    Responses,
    Membership,
    Configuration,
    Moves,
    Quarantine,
    Links,
    Catalog,
    Rollouts,
    Quotas,
};

/// By TrafficKind.
inline constexpr std::array<std::string_view, 10> trafficKindNames {
    "requests",   "responses", "membership", "configuration", "moves",
    "quarantine", "links",     "catalog",    "rollouts",      "quotas",
};

[[nodiscard]] TrafficKind kindOf(const PeerMessage &message) noexcept;

/// The metrics "peer.sent_bytes.KIND", in bytes of encoded messages. Counted when a message is
/// encoded, before it is sent.
class TrafficCounters
{
public:
    explicit TrafficCounters(MetricsRegistry &metrics);

    void add(TrafficKind kind, ByteCount bytes) noexcept
    {
        m_counters[static_cast<std::size_t>(kind)]->add(bytes.value());
    }
    /// For logs, such as "requests=1200 responses=90321", without the kinds that were not sent.
    [[nodiscard]] std::string toText() const;

private:
    std::array<Counter *, trafficKindNames.size()> m_counters {}; // owned by the registry
};

} // namespace camphorreach::impl
