// Fake network between nodes: latency, datagram loss, one-way partitions and broken links.
#pragma once

#include "eventqueue.h"

#include <camphorreach/impl/peerendpoint.h>
#include <camphorreach/random.h>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace camphorreach::scenario {

/// Encodes and decodes every message, so that scenarios exercise the wire codec. Like a peer
/// endpoint, it tracks the unanswered requests of every link.
class FakeNetwork
{
public:
    using EventSink = std::function<void(impl::PeerEvent &&)>;

    FakeNetwork(EventQueue &events, RandomSource &random) : m_events(events), m_random(random) { }

    void attach(const NetAddress &address, const FailureDomain &domain, EventSink sink);
    /// Removes a process that has ended. Its links end at once, without the link timeout.
    void detach(const NetAddress &address);

    void send(const NetAddress &from, impl::PeerCommand &&command);

    void cut(const FailureDomain &from, const FailureDomain &to) { m_cuts.emplace(from, to); }
    void heal();
    /// Whether a failure domain cannot reach the platform. In cut(), the platform is a failure
    /// domain with the name "platform".
    [[nodiscard]] bool isCutFromPlatform(const FailureDomain &domain) const
    {
        return m_cuts.contains({ domain, FailureDomain("platform") });
    }
    void setLoss(double probability) { m_lossProbability = probability; }
    void setLatency(Duration latency) { m_latency = latency; }
    [[nodiscard]] std::uint64_t bytesSent() const noexcept { return m_bytesSent; }

private:
    struct Process
    {
        FailureDomain domain;
        EventSink sink;
        std::uint64_t generation = 0;
    };
    struct Link
    {
        LinkId id;
        std::set<RequestId> unanswered;
        TimePoint lastArrival {}; // of any message so far; keeps the link in order
        bool isBreaking = false; // a message was lost; the link ends after the link timeout
    };
    using LinkKey = std::pair<NetAddress, NetAddress>; // initiator, acceptor

    void sendStream(const NetAddress &from, PeerSend &&send);
    void sendReply(const NetAddress &from, ForwardReply &&reply);
    void sendDatagram(const NetAddress &from, const PeerSend &send);
    void scheduleDelivery(const NetAddress &from, const NetAddress &to, std::string payload,
                          TimePoint arrival, LinkId link);
    void deliver(const NetAddress &to, const std::string &payload, LinkId link);
    void notify(const NetAddress &to, std::uint64_t generation, impl::PeerEvent event);
    void breakLink(const LinkKey &key);
    void endLink(const LinkKey &key);
    [[nodiscard]] bool isCut(const NetAddress &from, const NetAddress &to) const;
    [[nodiscard]] Duration delay();

    EventQueue &m_events;
    RandomSource &m_random;
    std::map<NetAddress, Process> m_processes;
    std::map<LinkKey, Link> m_links;
    std::map<LinkId, LinkKey> m_linkKeys;
    std::set<std::pair<FailureDomain, FailureDomain>> m_cuts;
    std::uint64_t m_nextLink = 1;
    std::uint64_t m_nextGeneration = 1;
    std::uint64_t m_bytesSent = 0;
    double m_lossProbability = 0;
    Duration m_latency = std::chrono::microseconds(500);
};

} // namespace camphorreach::scenario
