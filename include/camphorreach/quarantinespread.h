// Spreads quarantines between the gates of a service.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>

#include <optional>
#include <vector>

namespace camphorreach {

/// Chooses which gates hear of suspects and quarantines, and when.
class QuarantineSpread
{
public:
    /// \a service and \a self are those of this node; \a random is owned by the caller.
    QuarantineSpread(ServiceName service, NetAddress self, RandomSource &random);

    /// The service whose gates are told; takes effect with the next setPeers().
    void setService(const ServiceName &service) { m_service = service; }
    void setPeers(const EndpointsChanged &changed);

    /// This gate has found something out: all gates of the service are told.
    [[nodiscard]] std::vector<PeerSend> announce(const std::vector<QuarantineEntry> &entries,
                                                 TimePoint now);
    /// This gate has heard something new: a few gates are told, in case a notice to them was lost.
    [[nodiscard]] std::vector<PeerSend> relay(const std::vector<QuarantineEntry> &news,
                                              TimePoint now);
    /// Tells one gate what is in force, for gates that joined later. Ends when nothing is.
    [[nodiscard]] std::vector<PeerSend> repair(const std::vector<QuarantineEntry> &inForce,
                                               TimePoint now);
    /// When repair() is due, while there is something to tell.
    [[nodiscard]] std::optional<TimePoint> nextRepair() const { return m_nextRepair; }

private:
    std::vector<PeerSend> sendTo(const std::vector<QuarantineEntry> &entries, std::size_t fanOut);

    ServiceName m_service;
    const NetAddress m_self;
    RandomSource &m_random;
    std::vector<NetAddress> m_peers; // gates of the same service, without this one
    std::optional<TimePoint> m_nextRepair;
};

} // namespace camphorreach
