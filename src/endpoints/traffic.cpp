// Counts bytes by kind of message.
#include <camphorreach/impl/traffic.h>

#include <camphorreach/result.h>

namespace camphorreach::impl {

TrafficKind kindOf(const PeerMessage &message) noexcept
{
    return std::visit(Overloaded {
                          [](const RequestMessage &request) {
                              return std::holds_alternative<ForwardResponse>(request)
                                      || std::holds_alternative<LargeResponse>(request)
                                  ? TrafficKind::Responses
                                  : TrafficKind::Requests;
                          },
                          [](const MembershipMessage &) { return TrafficKind::Membership; },
                          [](const ConfigMessage &) { return TrafficKind::Configuration; },
                          [](const MoveMessage &) { return TrafficKind::Moves; },
                          [](const QuarantineMessage &) { return TrafficKind::Quarantine; },
                          [](const LinkMessage &) { return TrafficKind::Links; },
                          [](const CatalogMessage &) { return TrafficKind::Catalog; },
                          [](const RolloutMessage &) { return TrafficKind::Rollouts; },
                          [](const QuotaMessage &) { return TrafficKind::Quotas; },
                      },
                      message);
}

TrafficCounters::TrafficCounters(MetricsRegistry &metrics)
{
    for (std::size_t kind = 0; kind < m_counters.size(); ++kind)
        m_counters[kind]
            = &metrics.counter("peer.sent_bytes." + std::string(trafficKindNames[kind]));
}

std::string TrafficCounters::toText() const
{
    std::string text;
    for (std::size_t kind = 0; kind < m_counters.size(); ++kind) {
        const std::uint64_t bytes = m_counters[kind]->value();
        if (bytes == 0)
            continue;
        if (!text.empty())
            text += " ";
        text += std::string(trafficKindNames[kind]) + "=" + std::to_string(bytes);
    }
    return text;
}

} // namespace camphorreach::impl
