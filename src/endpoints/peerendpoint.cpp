// Listeners, datagrams and dispatch of messages between nodes.
#include "peerlinks.h"

#include <camphorreach/clock.h>
#include <camphorreach/impl/sockets.h>
#include <camphorreach/result.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace camphorreach::impl {

namespace {

constexpr std::size_t ringCapacity = 8192;
constexpr std::size_t maxIncomingLinks = 4096;
constexpr auto acceptRetryInterval = std::chrono::milliseconds(100);
// How often large responses that wait for memory are looked at.
constexpr auto responseRetryInterval = std::chrono::milliseconds(20);

IncomingResponses::Limits responseLimits(const BodyWindows::Limits &windows)
{
    IncomingResponses::Limits limits;
    limits.windows = windows;
    return limits;
}

std::shared_ptr<LargeBodyAllowance> orDefault(std::shared_ptr<LargeBodyAllowance> allowance)
{
    return allowance ? std::move(allowance)
                     : std::make_shared<LargeBodyAllowance>(ByteCount(maxLargeResponseBytes));
}

} // namespace

PeerEndpoint::Impl::Impl(const NetAddress &address, Sink sink, MetricsRegistry &metrics,
                         ByteRate egressRate, std::shared_ptr<LargeBodyAllowance> largeBodies,
                         const BodyWindows::Limits &windows)
    : m_address(address), m_sink(std::move(sink)), m_malformed(metrics.counter("peer.malformed")),
      m_dropped(metrics.counter("peer.dropped_ring_full")),
      m_unsendable(metrics.counter("peer.unsendable")),
      m_datagramBytes(metrics.counter("peer.datagram_bytes_sent")),
      m_streamBytes(metrics.counter("peer.stream_bytes_sent")),
      m_responsesGivenUp(metrics.counter("peer.large_responses_given_up")), m_traffic(metrics),
      m_acceptor(m_thread.io()), m_acceptTimer(m_thread.io()), m_datagrams(m_thread.io()),
      m_longFrames(m_thread.io(), egressRate,
                   [this](EgressBacklogChanged changed) { deliver(changed); }),
      m_responses(responseLimits(windows), orDefault(std::move(largeBodies))),
      m_responseTimer(m_thread.io()),
      m_input(m_thread.io(), ringCapacity, [this](PeerCommand &&command) {
          std::visit(Overloaded { [this](PeerSend &send) { onSend(std::move(send)); },
                                  [this](ForwardReply &reply) { onReply(reply); },
                                  [this](EgressUsed &used) { m_longFrames.onWritten(used.bytes); },
                                  [this](BodyWanted &wanted) { onWanted(wanted); },
                                  [this](ResponseBegun &begun) { onResponseBegun(begun); },
                                  [this](ResponsePart &part) { onResponsePart(std::move(part)); } },
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

void PeerEndpoint::Impl::start()
{
    accept();
    receive();
    m_thread.start();
}

void PeerEndpoint::Impl::drain(std::function<void()> onClosed)
{
    // Runs after the messages that were pushed before this call, because their wake-ups are
    // posted earlier.
    asio::post(m_thread.io(),
               [self = shared_from_this(), onClosed = std::move(onClosed)]() mutable {
                   self->closeLinks(std::move(onClosed));
               });
}

void PeerEndpoint::Impl::stop()
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
    m_responseTimer.cancel();
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

void PeerEndpoint::Impl::onWanted(const BodyWanted &wanted)
{
    const auto found = m_incoming.find(wanted.key.link);
    if (found == m_incoming.end())
        return deliver(BodyEnded { wanted.key });
    const auto link = found->second;
    link->askFor(wanted);
}

// Without its link, nobody takes the response. A call that is not cancelled goes on all the same.
void PeerEndpoint::Impl::onResponseBegun(const ResponseBegun &begun)
{
    const auto found = m_incoming.find(begun.key.link);
    if (found == m_incoming.end())
        return deliver(ResponseWanted { begun.key, ByteCount(maxLargeResponseBytes) });
    const auto link = found->second;
    link->offerResponse(begun);
}

void PeerEndpoint::Impl::onResponsePart(ResponsePart &&part)
{
    const auto found = m_incoming.find(part.key.link);
    if (found == m_incoming.end())
        return;
    const auto link = found->second;
    link->sendPart(std::move(part));
}

std::shared_ptr<PeerEndpoint::Impl::OutgoingLink>
PeerEndpoint::Impl::findAwaiting(const NetAddress &peer, RequestId request) const
{
    const auto found = m_outgoing.find(peer);
    if (found != m_outgoing.end() && found->second->isAwaiting(request))
        return found->second;
    const auto draining = std::ranges::find_if(m_draining, [&](const auto &link) {
        return link->peer() == peer && link->isAwaiting(request);
    });
    return draining == m_draining.end() ? nullptr : *draining;
}

void PeerEndpoint::Impl::retryResponses()
{
    for (const IncomingResponses::Step &step : m_responses.retry(SteadyClock().now())) {
        std::shared_ptr<OutgoingLink> awaiting;
        for (const auto &[peer, link] : m_outgoing)
            awaiting = link->isAwaiting(step.request) ? link : awaiting;
        for (const auto &link : m_draining)
            awaiting = link->isAwaiting(step.request) ? link : awaiting;
        if (awaiting)
            awaiting->apply(step);
        else
            m_responses.remove(step.request);
    }
    watchResponses();
}

void PeerEndpoint::Impl::watchResponses()
{
    if (!m_responses.isWaiting() || std::exchange(m_isResponseTimerSet, true))
        return;
    m_responseTimer.expires_after(responseRetryInterval);
    m_responseTimer.async_wait([weak = weak_from_this()](ErrorCodeType error) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_isResponseTimerSet = false;
        if (!error)
            self->retryResponses();
    });
}

Duration PeerEndpoint::Impl::bodyTime(const NetAddress &peer, ByteCount size) const
{
    if (peer == m_address)
        return Duration::zero();
    std::uint64_t bytes = size.value();
    for (const auto &[address, link] : m_outgoing) {
        if (address != m_address)
            bytes += link->bodies().unsent().value();
    }
    return m_longFrames.drainTime(ByteCount(bytes));
}

std::shared_ptr<const LargeBody> PeerEndpoint::Impl::ownBody(const NetAddress &sender,
                                                             const ForwardRequest &request) const
{
    const auto found = m_outgoing.find(m_address);
    if (sender != m_address || found == m_outgoing.end())
        return nullptr;
    const auto body = found->second->bodies().find(request.id);
    return body && body->size() == request.content.large.size ? body : nullptr;
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
    auto *offer = std::get_if<ForwardOffer>(message);
    if (offer != nullptr)
        offer->request.content.large.data = ownBody(envelope.sender, offer->request);
    auto *request = offer != nullptr ? &offer->request : std::get_if<ForwardRequest>(message);
    if (request != nullptr) {
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
                           ByteRate egressRate, std::shared_ptr<LargeBodyAllowance> largeBodies,
                           const BodyWindows::Limits &windows)
    : m_impl(std::make_shared<Impl>(address, std::move(sink), metrics, egressRate,
                                    std::move(largeBodies), windows))
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
