// TCP links and UDP datagrams between nodes.
#include <camphorreach/impl/peerendpoint.h>

#include <camphorreach/impl/framechannel.h>
#include <camphorreach/impl/sockets.h>
#include <camphorreach/impl/traffic.h>
#include <camphorreach/impl/wire.h>
#include <camphorreach/result.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <unordered_map>
#include <utility>

namespace camphorreach::impl {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;
using ErrorCodeType = boost::system::error_code;

namespace {

constexpr std::size_t ringCapacity = 8192;
constexpr auto connectTimeout = std::chrono::seconds(1);
// Limit of queued bytes per link. Messages beyond it are rejected, so that a slow peer cannot
// exhaust the memory.
constexpr std::size_t maxQueuedBytes = 8 * 1024 * 1024;
constexpr std::size_t maxIncomingLinks = 4096;
constexpr auto acceptRetryInterval = std::chrono::milliseconds(100);
constexpr std::size_t datagramBufferBytes = 65536;

} // namespace

class PeerEndpoint::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(const NetAddress &address, Sink sink, MetricsRegistry &metrics, ByteRate egressRate)
        : m_address(address), m_sink(std::move(sink)),
          m_malformed(metrics.counter("peer.malformed")),
          m_dropped(metrics.counter("peer.dropped_ring_full")),
          m_unsendable(metrics.counter("peer.unsendable")),
          m_datagramBytes(metrics.counter("peer.datagram_bytes_sent")),
          m_streamBytes(metrics.counter("peer.stream_bytes_sent")), m_traffic(metrics),
          m_acceptor(m_thread.io()), m_acceptTimer(m_thread.io()), m_datagrams(m_thread.io()),
          m_longFrames(m_thread.io(), egressRate,
                       [this](EgressBacklogChanged changed) { deliver(changed); }),
          m_input(m_thread.io(), ringCapacity, [this](PeerCommand &&command) {
              std::visit(
                  Overloaded { [this](PeerSend &send) { onSend(std::move(send)); },
                               [this](ForwardReply &reply) { onReply(reply); },
                               [this](EgressUsed &used) { m_longFrames.onWritten(used.bytes); } },
                  command);
          })
    {
        const auto host = asio::ip::make_address(address.host);
        const tcp::endpoint endpoint(host, address.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_datagrams.open(udp::endpoint(host, address.port).protocol());
        m_datagrams.bind(udp::endpoint(host, address.port));
    }

    [[nodiscard]] Ring<PeerCommand> &ring() noexcept { return m_input.ring(); }

    void start()
    {
        accept();
        receive();
        m_thread.start();
    }

    void drain(std::function<void()> onClosed)
    {
        // Runs after the messages that were pushed before this call, because their wake-ups are
        // posted earlier.
        asio::post(m_thread.io(),
                   [self = shared_from_this(), onClosed = std::move(onClosed)]() mutable {
                       self->closeLinks(std::move(onClosed));
                   });
    }

    void stop()
    {
        m_thread.stop();
        m_onClosed = {};
        closeAll();
        // Runs the handlers of the operations that closeAll() has cancelled, so that they release
        // their references to this object. Otherwise the object and its handlers keep each other
        // alive.
        m_thread.io().restart();
        m_thread.io().poll();
    }

private:
    class OutgoingLink;
    class IncomingLink;

    void accept();
    void closeLinks(std::function<void()> onClosed);
    void closeAll();
    void reportIfClosed();
    void receive();
    void onDatagram(std::string_view payload);
    void onSend(PeerSend &&send);
    void onReply(const ForwardReply &reply);
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
    std::uint64_t m_nextLinkId = 1;
    std::function<void()> m_onClosed; // set while the incoming links are being closed
    InputRing<PeerCommand> m_input;
};

// A connection that this node opened. Carries its requests and the answers to them.
class PeerEndpoint::Impl::OutgoingLink : public std::enable_shared_from_this<OutgoingLink>
{
public:
    OutgoingLink(std::shared_ptr<Impl> endpoint, NetAddress peer)
        : m_endpoint(std::move(endpoint)), m_peer(std::move(peer)),
          m_channel(tcp::socket(m_endpoint->m_thread.io()), m_endpoint->m_longFrames,
                    m_endpoint->m_streamBytes),
          m_timer(m_endpoint->m_thread.io())
    { }

    void connect()
    {
        m_timer.expires_after(connectTimeout);
        m_timer.async_wait([weak = weak_from_this()](ErrorCodeType error) {
            const auto self = weak.lock();
            if (!error && self && !self->m_isConnected)
                self->end();
        });
        ErrorCodeType malformed; // the address may come from another node's message
        const tcp::endpoint target(asio::ip::make_address(m_peer.host, malformed), m_peer.port);
        if (malformed) {
            asio::post(m_endpoint->m_thread.io(), [self = shared_from_this()] { self->end(); });
            return;
        }
        m_channel.socket().async_connect(target, [self = shared_from_this()](ErrorCodeType error) {
            if (error)
                self->end();
            else
                self->onConnected();
        });
    }

    void send(PeerMessage &&message)
    {
        RequestId request;
        RequestId cancelled;
        FrameClass frameClass = FrameClass::Control;
        if (const auto *requestMessage = std::get_if<RequestMessage>(&message)) {
            frameClass = FrameClass::Request;
            if (const auto *forward = std::get_if<ForwardRequest>(requestMessage))
                request = forward->id;
            if (const auto *cancel = std::get_if<ForwardCancel>(requestMessage))
                cancelled = cancel->id;
        }
        if (cancelled != RequestId()) {
            if (m_channel.removeQueued(cancelled))
                return;
            m_unanswered.erase(cancelled);
        }
        std::string payload = m_endpoint->encode(std::move(message));
        if (m_channel.queuedBytes() + payload.size() > maxQueuedBytes) {
            m_endpoint->m_unsendable.add();
            if (request != RequestId())
                m_endpoint->deliver(LinkDown { m_peer, { request }, {} });
            return;
        }
        if (cancelled != RequestId())
            m_channel.enqueueBehind(std::move(payload), cancelled);
        else
            m_channel.enqueue(std::move(payload), frameClass, request);
    }

    // Closes the link and reports its unsent and unanswered requests. Has an effect only once.
    void end()
    {
        if (m_isEnded)
            return;
        m_isEnded = true;
        m_timer.cancel();
        m_channel.close();
        LinkDown down { m_peer,
                        m_channel.unsentRequests(),
                        { m_unanswered.begin(), m_unanswered.end() } };
        const auto found = m_endpoint->m_outgoing.find(m_peer);
        if (found != m_endpoint->m_outgoing.end() && found->second.get() == this)
            m_endpoint->m_outgoing.erase(found);
        m_endpoint->m_draining.erase(shared_from_this());
        m_endpoint->deliver(std::move(down));
    }

private:
    void onConnected()
    {
        if (m_isEnded)
            return;
        m_isConnected = true;
        m_timer.cancel();
        setTcpOptions(m_channel.socket());
        m_channel.start(weak_from_this(),
                        { [this](std::string_view payload) { return onFrame(payload); },
                          [this] { end(); }, [this] { end(); },
                          [this](RequestId request) { m_unanswered.insert(request); } });
    }

    bool onFrame(std::string_view payload)
    {
        auto envelope = m_endpoint->decode(payload);
        if (!envelope)
            return false;
        if (std::holds_alternative<LinkMessage>(envelope->message)) {
            onClosing();
            return true;
        }
        if (const auto *message = std::get_if<RequestMessage>(&envelope->message)) {
            const auto *answer = std::get_if<ForwardResponse>(message);
            if (answer == nullptr)
                return false;
            m_unanswered.erase(answer->id);
        }
        m_endpoint->dispatch(std::move(*envelope));
        return true;
    }

    // The peer is closing the link. Later requests to it open a new link, or are reported as
    // unsent.
    void onClosing()
    {
        const auto found = m_endpoint->m_outgoing.find(m_peer);
        if (found != m_endpoint->m_outgoing.end() && found->second.get() == this)
            m_endpoint->m_outgoing.erase(found);
        m_endpoint->m_draining.insert(shared_from_this());
        m_channel.shutdownAfterWrites([] {});
    }

    std::shared_ptr<Impl> m_endpoint;
    const NetAddress m_peer;
    FrameChannel m_channel;
    asio::steady_timer m_timer;
    std::set<RequestId> m_unanswered; // at least partly written, without an answer
    bool m_isConnected = false;
    bool m_isEnded = false;
};

// A connection that another node opened. Carries its requests and the answers of this node.
class PeerEndpoint::Impl::IncomingLink : public std::enable_shared_from_this<IncomingLink>
{
public:
    IncomingLink(std::shared_ptr<Impl> endpoint, LinkId id, tcp::socket socket)
        : m_endpoint(std::move(endpoint)), m_id(id),
          m_channel(std::move(socket), m_endpoint->m_longFrames, m_endpoint->m_streamBytes)
    { }

    void start()
    {
        m_channel.start(weak_from_this(),
                        { [this](std::string_view payload) { return onFrame(payload); },
                          [this] { onReadEnd(); }, [this] { end(); } });
    }

    void beginClosing()
    {
        m_isClosing = true;
        send(m_endpoint->encode(LinkMessage(LinkClosing {})), FrameClass::Control);
    }

    void answer(const ForwardResponse &answer)
    {
        m_unanswered.erase(answer.id);
        send(m_endpoint->encode(RequestMessage(answer)), FrameClass::Request, answer.id);
        endIfAnswered();
    }

    void send(std::string payload, FrameClass frameClass, RequestId request = {})
    {
        if (m_channel.queuedBytes() + payload.size() > maxQueuedBytes) {
            end(); // the peer does not read; the end of the link notifies it
            return;
        }
        m_channel.enqueue(std::move(payload), frameClass, request);
    }

    void end()
    {
        if (m_isEnded)
            return;
        m_isEnded = true;
        m_channel.close();
        m_endpoint->m_incoming.erase(m_id);
        m_endpoint->deliver(LinkClosed { m_id });
        m_endpoint->reportIfClosed();
    }

private:
    bool onFrame(std::string_view payload)
    {
        auto envelope = m_endpoint->decode(payload);
        if (!envelope)
            return false;
        if (const auto *message = std::get_if<RequestMessage>(&envelope->message)) {
            if (const auto *request = std::get_if<ForwardRequest>(message))
                m_unanswered.insert(request->id);
            else if (const auto *cancel = std::get_if<ForwardCancel>(message))
                onCancel(cancel->id);
        }
        m_endpoint->onIncoming(m_id, std::move(*envelope));
        return true;
    }

    // Drops a response that nobody waits for, if it has not been started.
    void onCancel(RequestId request)
    {
        m_unanswered.erase(request);
        (void)m_channel.removeQueued(request);
    }

    // While the link is being closed, the peer shuts down its sending side first, and still waits
    // for answers.
    void onReadEnd()
    {
        m_hasReadEnded = true;
        if (m_isClosing)
            endIfAnswered();
        else
            end();
    }

    void endIfAnswered()
    {
        if (!m_isClosing || !m_hasReadEnded || !m_unanswered.empty() || m_isEnded)
            return;
        m_channel.shutdownAfterWrites([this] { end(); });
    }

    std::shared_ptr<Impl> m_endpoint;
    const LinkId m_id;
    FrameChannel m_channel;
    std::set<RequestId> m_unanswered; // received and neither answered nor cancelled
    bool m_isClosing = false;
    bool m_hasReadEnded = false;
    bool m_isEnded = false;
};

void PeerEndpoint::Impl::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](ErrorCodeType error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
            return;
        if (!error && self->m_incoming.size() < maxIncomingLinks) {
            setTcpOptions(socket);
            const LinkId id(self->m_nextLinkId++);
            const auto link = std::make_shared<IncomingLink>(self, id, std::move(socket));
            self->m_incoming.emplace(id, link);
            link->start();
        }
        if (!error)
            return self->accept();
        // An error such as a lack of descriptors lasts, and would keep the thread busy.
        self->m_acceptTimer.expires_after(acceptRetryInterval);
        self->m_acceptTimer.async_wait([weak = self->weak_from_this()](ErrorCodeType waitError) {
            const auto impl = weak.lock();
            if (!waitError && impl && impl->m_acceptor.is_open())
                impl->accept();
        });
    });
}

void PeerEndpoint::Impl::closeLinks(std::function<void()> onClosed)
{
    m_onClosed = std::move(onClosed);
    ErrorCodeType ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
    const auto links = m_incoming;
    for (const auto &[id, link] : links)
        link->beginClosing();
    reportIfClosed();
}

// Peers may wait for the end of a link, so no link may stay open after the thread has stopped.
void PeerEndpoint::Impl::closeAll()
{
    ErrorCodeType ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
    m_datagrams.close(ignored);
    const auto outgoing = std::exchange(m_outgoing, {});
    const auto draining = std::exchange(m_draining, {});
    const auto incoming = std::exchange(m_incoming, {});
    for (const auto &[peer, link] : outgoing)
        link->end();
    for (const auto &link : draining)
        link->end();
    for (const auto &[id, link] : incoming)
        link->end();
}

void PeerEndpoint::Impl::reportIfClosed()
{
    if (m_onClosed && m_incoming.empty())
        std::exchange(m_onClosed, {})();
}

void PeerEndpoint::Impl::receive()
{
    m_datagrams.async_receive_from(
        asio::buffer(m_datagramBuffer), m_datagramSender,
        [self = shared_from_this()](ErrorCodeType error, std::size_t size) {
            // On a closed socket every further receive would fail immediately, in an endless loop.
            if (error == asio::error::operation_aborted || !self->m_datagrams.is_open())
                return;
            if (!error)
                self->onDatagram(std::string_view(self->m_datagramBuffer.data(), size));
            self->receive();
        });
}

void PeerEndpoint::Impl::onDatagram(std::string_view payload)
{
    auto envelope = decode(payload);
    if (envelope)
        dispatch(std::move(*envelope));
}

std::optional<Envelope> PeerEndpoint::Impl::decode(std::string_view payload)
{
    auto envelope = decodePayload(payload);
    if (isOk(envelope))
        return valueOf(std::move(envelope));
    m_malformed.add();
    return std::nullopt;
}

std::string PeerEndpoint::Impl::encode(PeerMessage message)
{
    const TrafficKind kind = kindOf(message);
    std::string payload = encodePayload({ m_address, std::move(message) });
    m_traffic.add(kind, ByteCount(payload.size()));
    return payload;
}

void PeerEndpoint::Impl::onSend(PeerSend &&send)
{
    if (send.transport == Transport::Datagram) {
        sendDatagram(send.to, encode(std::move(send.message)));
        return;
    }
    auto &link = m_outgoing[send.to];
    if (!link) {
        link = std::make_shared<OutgoingLink>(shared_from_this(), send.to);
        link->connect();
    }
    const auto keepAlive = link;
    keepAlive->send(std::move(send.message));
}

void PeerEndpoint::Impl::sendDatagram(const NetAddress &to, const std::string &payload)
{
    if (payload.size() > maxDatagramBytes) {
        m_unsendable.add();
        return;
    }
    ErrorCodeType error; // the address may come from another node's message
    const auto host = asio::ip::make_address(to.host, error);
    if (!error)
        m_datagrams.send_to(asio::buffer(payload), udp::endpoint(host, to.port), 0, error);
    if (error)
        m_unsendable.add();
    else
        m_datagramBytes.add(payload.size());
}

void PeerEndpoint::Impl::onReply(const ForwardReply &reply)
{
    const auto found = m_incoming.find(reply.link);
    if (found == m_incoming.end())
        return; // the end of the link has notified the entry node
    const auto link = found->second;
    link->answer(reply.answer);
}

// Delivers a message that does not depend on the link on which it arrived.
void PeerEndpoint::Impl::dispatch(Envelope &&envelope)
{
    NetAddress &sender = envelope.sender;
    std::visit(Overloaded {
                   [&](RequestMessage &message) {
                       if (auto *answer = std::get_if<ForwardResponse>(&message))
                           deliver(PeerReceived<ForwardResponse> { sender, std::move(*answer) });
                       else
                           m_malformed.add(); // requests arrive on incoming links only
                   },
                   [&](LinkMessage &) { m_malformed.add(); }, // arrives on outgoing links only
                   [&]<typename Message>(Message &message) {
                       deliver(PeerReceived<Message> { sender, std::move(message) });
                   },
               },
               envelope.message);
}

void PeerEndpoint::Impl::onIncoming(LinkId link, Envelope &&envelope)
{
    auto *message = std::get_if<RequestMessage>(&envelope.message);
    if (message == nullptr) {
        dispatch(std::move(envelope));
        return;
    }
    if (auto *request = std::get_if<ForwardRequest>(message)) {
        const RequestId id = request->id;
        if (!m_sink(ForwardReceived { link, std::move(*request) })) {
            m_dropped.add();
            onReply({ link, { id, NotRun { NotRunReason::Overloaded }, {} } });
        }
    } else if (const auto *cancel = std::get_if<ForwardCancel>(message)) {
        deliver(CancelReceived { link, cancel->id });
    } else {
        m_malformed.add();
    }
}

void PeerEndpoint::Impl::deliver(PeerEvent &&event)
{
    if (!m_sink(std::move(event)))
        m_dropped.add();
}

PeerEndpoint::PeerEndpoint(const NetAddress &address, Sink sink, MetricsRegistry &metrics,
                           ByteRate egressRate)
    : m_impl(std::make_shared<Impl>(address, std::move(sink), metrics, egressRate))
{ }

PeerEndpoint::~PeerEndpoint()
{
    m_impl->stop();
}

Ring<PeerCommand> &PeerEndpoint::ring() noexcept
{
    return m_impl->ring();
}

void PeerEndpoint::start()
{
    m_impl->start();
}

void PeerEndpoint::drain(std::function<void()> onClosed)
{
    m_impl->drain(std::move(onClosed));
}

void PeerEndpoint::stop()
{
    m_impl->stop();
}

} // namespace camphorreach::impl
