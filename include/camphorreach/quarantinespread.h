// Distributes suspects and quarantines to the gates of a service.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace camphorreach {

/// Selects the gates that receive a quarantine notice, and schedules repeated notices. A gate that
/// starts asks some of the others for theirs, and waits for an answer for a limited time: without
/// it, a request that is quarantined elsewhere would crash its backend server once more.
class QuarantineSpread
{
public:
    /// \a service and \a self are the service and the address of this node. With \a asks, other
    /// gates are asked for their entries. \a random must outlive this object.
    QuarantineSpread(ServiceName service, NetAddress self, bool asks, RandomSource &random);

    /// Called before anything else. The first call starts the time in which an answer is awaited.
    void setTime(TimePoint now);

    /// Sets the service whose gates receive notices; takes effect with the next setPeers().
    void setService(const ServiceName &service, TimePoint now);
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

    /// Requests for the entries of other gates, when they are due. Repeated until an answer has
    /// arrived.
    [[nodiscard]] std::vector<PeerSend> ask(TimePoint now);
    /// When ask() is due; empty when there is nothing to ask.
    [[nodiscard]] std::optional<TimePoint> nextAsk() const;
    /// Another gate has answered, with all entries that it knows.
    void onAnswer(const std::vector<QuarantineEntry> &newEntries, TimePoint now);
    /// Until when an answer is awaited; empty once there was one, or the time has passed.
    [[nodiscard]] std::optional<TimePoint> awaitEnd() const { return m_awaitEnd; }
    /// The answer to the request of another gate. Empty while this gate itself awaits one, because
    /// it may know less than others.
    [[nodiscard]] std::vector<PeerSend> answer(const NetAddress &to,
                                               const QuarantineRequest &request,
                                               const std::vector<QuarantineEntry> &entries) const;

private:
    [[nodiscard]] std::vector<NetAddress> samplePeers(std::size_t count);
    std::vector<PeerSend> sendToSample(const std::vector<QuarantineEntry> &entries,
                                       std::size_t fanOut);

    ServiceName m_service;
    const NetAddress m_self;
    RandomSource &m_random;
    std::vector<NetAddress> m_peers; // other gates of the service
    std::optional<TimePoint> m_nextRepair;
    bool m_isStarted = false; // never reset
    std::optional<TimePoint> m_awaitEnd;
    TimePoint m_nextAsk {};
    std::uint32_t m_askCount = 0; // with this service
    const bool m_asks;
    bool m_isAnswered; // or needs no answer
};

} // namespace camphorreach
