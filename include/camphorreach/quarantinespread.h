// Distributes suspects and quarantines to the gates of a service.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>

#include <optional>
#include <vector>

namespace camphorreach {

/// Selects the gates that receive a quarantine notice, and schedules repeated notices.
class QuarantineSpread
{
public:
    /// \a service and \a self are the service and the address of this node. \a random must outlive
    /// this object.
    QuarantineSpread(ServiceName service, NetAddress self, RandomSource &random);

    /// Sets the service whose gates receive notices; takes effect with the next setPeers().
    void setService(const ServiceName &service) { m_service = service; }
    void setPeers(const EndpointsChanged &changed);

    /// Sends new entries of this gate to all gates of the service, up to announceFanOut of them.
    [[nodiscard]] std::vector<PeerSend> announce(const std::vector<QuarantineEntry> &entries,
                                                 TimePoint now);
    /// Forwards entries that were new to this gate to a few random gates, in case a notice to them
    /// was lost.
    [[nodiscard]] std::vector<PeerSend> relay(const std::vector<QuarantineEntry> &newEntries,
                                              TimePoint now);
    /// Sends the active entries to one random gate, for gates that joined later. Repeats until no
    /// entry is active.
    [[nodiscard]] std::vector<PeerSend> repair(const std::vector<QuarantineEntry> &activeEntries,
                                               TimePoint now);
    /// When repair() is due; empty when there is nothing to send.
    [[nodiscard]] std::optional<TimePoint> nextRepair() const { return m_nextRepair; }

private:
    std::vector<PeerSend> sendToSample(const std::vector<QuarantineEntry> &entries,
                                       std::size_t fanOut);

    ServiceName m_service;
    const NetAddress m_self;
    RandomSource &m_random;
    std::vector<NetAddress> m_peers; // other gates of the service
    std::optional<TimePoint> m_nextRepair;
};

} // namespace camphorreach
