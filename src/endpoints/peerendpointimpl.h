// State of the peer endpoint that its links share.
#pragma once

#include <camphorreach/impl/framechannel.h>
#include <camphorreach/impl/peerendpoint.h>
#include <camphorreach/impl/traffic.h>
#include <camphorreach/impl/wire.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace camphorreach::impl {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;
using ErrorCodeType = boost::system::error_code;

// Limit of queued bytes per link. Messages beyond it are rejected, so that a slow peer cannot
// exhaust the memory.
inline constexpr std::size_t maxQueuedBytes = 8 * 1024 * 1024;

// The listeners, the datagrams and the links to and from other nodes.
class PeerEndpoint::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(const NetAddress &address, Sink sink, MetricsRegistry &metrics, ByteRate egressRate,
         std::shared_ptr<LargeBodyAllowance> largeBodies, const BodyWindows::Limits &windows);

    [[nodiscard]] Ring<PeerCommand> &ring() noexcept { return m_input.ring(); }
    void start();
    void drain(std::function<void()> onClosed);
    void stop();

private:
    class OutgoingLink;
    class IncomingLink;

    static constexpr std::size_t datagramBufferBytes = 65536;

    void accept();
    void closeLinks(std::function<void()> onClosed);
    void closeAll();
    void reportIfClosed();
    void receive();
    void onDatagram(std::string_view payload);
    void onSend(PeerSend &&send);
    void onReply(const ForwardReply &reply);
    void onWanted(const BodyWanted &wanted);
    void onResponseBegun(const ResponseBegun &begun);
    void onResponsePart(ResponsePart &&part);
    // The link to \a peer on which the response to a request is awaited; null when there is none.
    [[nodiscard]] std::shared_ptr<OutgoingLink> findAwaiting(const NetAddress &peer,
                                                             RequestId request) const;
    // Asks again for memory while large responses wait for it.
    void retryResponses();
    void watchResponses();
    // Time to send a body of this size after those that were offered before. Zero when it stays on
    // this node.
    [[nodiscard]] Duration bodyTime(const NetAddress &peer, ByteCount size) const;
    // The bytes of an offered body that this node has sent to itself; null when there are none.
    [[nodiscard]] std::shared_ptr<const LargeBody> ownBody(const NetAddress &sender,
                                                           const ForwardRequest &request) const;
    void sendDatagram(const NetAddress &to, const std::string &payload);
    void dispatch(Envelope &&envelope);
    void onIncoming(LinkId link, Envelope &&envelope);
    void deliver(PeerEvent &&event);
    [[nodiscard]] std::optional<Envelope> decode(std::string_view payload);
    [[nodiscard]] std::string encode(PeerMessage message);

    const NetAddress m_address;
    Sink m_sink;
    Counter &m_malformed;
    Counter &m_dropped;
    Counter &m_unsendable;
    Counter &m_datagramBytes;
    Counter &m_streamBytes;
    Counter &m_responsesGivenUp; // large ones, for lack of memory or because parts were lost
    TrafficCounters m_traffic;
    IoThread m_thread;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer; // after an error
    udp::socket m_datagrams;
    std::array<char, datagramBufferBytes> m_datagramBuffer {};
    udp::endpoint m_datagramSender;
    LongFrameScheduler m_longFrames; // destroyed after the links
    std::unordered_map<NetAddress, std::shared_ptr<OutgoingLink>> m_outgoing;
    std::unordered_map<LinkId, std::shared_ptr<IncomingLink>>
        m_incoming; // at most maxIncomingLinks
    std::set<std::shared_ptr<OutgoingLink>> m_draining; // wait for answers only
    IncomingResponses m_responses; // large ones, to requests of this node
    asio::steady_timer m_responseTimer; // while m_isResponseTimerSet
    bool m_isResponseTimerSet = false;
    std::uint64_t m_nextLinkId = 1;
    std::function<void()> m_onClosed; // set while the incoming links are being closed
    InputRing<PeerCommand> m_input;
};

} // namespace camphorreach::impl
