// Requests to another node, and the large bodies that its gate asks for.
#include "peerlinks.h"

#include <camphorreach/clock.h>
#include <camphorreach/impl/sockets.h>

#include <boost/asio/post.hpp>
#include <utility>

namespace camphorreach::impl {

namespace {

constexpr auto connectTimeout = std::chrono::seconds(1);

} // namespace

PeerEndpoint::Impl::OutgoingLink::OutgoingLink(std::shared_ptr<Impl> endpoint, NetAddress peer)
    : m_endpoint(std::move(endpoint)), m_peer(std::move(peer)),
      m_channel(tcp::socket(m_endpoint->m_thread.io()), m_endpoint->m_longFrames,
                m_endpoint->m_streamBytes),
      m_timer(m_endpoint->m_thread.io())
{ }

void PeerEndpoint::Impl::OutgoingLink::connect()
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

void PeerEndpoint::Impl::OutgoingLink::send(PeerMessage &&message)
{
    RequestId request;
    RequestId cancelled;
    LargeBodyRef body;
    FrameClass frameClass = FrameClass::Control;
    if (auto *requestMessage = std::get_if<RequestMessage>(&message)) {
        frameClass = FrameClass::Request;
        if (const auto *cancel = std::get_if<ForwardCancel>(requestMessage))
            cancelled = cancel->id;
        if (auto *forward = std::get_if<ForwardRequest>(requestMessage)) {
            request = forward->id;
            body = forward->content.large;
            if (body.size > ByteCount()) {
                forward->bodyTime = m_endpoint->bodyTime(m_peer, body.size);
                *requestMessage = ForwardOffer { ForwardRequest(std::move(*forward)) };
            }
        }
    }
    if (cancelled != RequestId()) {
        m_bodies.remove(cancelled);
        if (m_channel.removeQueued(cancelled))
            return;
        forget(cancelled);
    }
    std::string payload = m_endpoint->encode(std::move(message));
    if (m_channel.queuedBytes() + payload.size() > maxQueuedBytes) {
        m_endpoint->m_unsendable.add();
        if (request != RequestId())
            m_endpoint->deliver(LinkDown { m_peer, { request }, {} });
        return;
    }
    if (body.data)
        m_bodies.add(request, std::move(body));
    if (cancelled != RequestId()) {
        m_channel.enqueueBehind(std::move(payload), cancelled);
        shutdownIfClosing();
    } else
        m_channel.enqueue(std::move(payload), frameClass, request);
}

void PeerEndpoint::Impl::OutgoingLink::end()
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_timer.cancel();
    m_channel.close();
    m_bodies = {};
    for (const RequestId request : m_unanswered)
        m_endpoint->m_responses.remove(request);
    LinkDown down { m_peer,
                    m_channel.unsentRequests(),
                    { m_unanswered.begin(), m_unanswered.end() } };
    const auto found = m_endpoint->m_outgoing.find(m_peer);
    if (found != m_endpoint->m_outgoing.end() && found->second.get() == this)
        m_endpoint->m_outgoing.erase(found);
    m_endpoint->m_draining.erase(shared_from_this());
    m_endpoint->deliver(std::move(down));
}

void PeerEndpoint::Impl::OutgoingLink::onConnected()
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

bool PeerEndpoint::Impl::OutgoingLink::onFrame(std::string_view payload)
{
    auto envelope = m_endpoint->decode(payload);
    if (!envelope)
        return false;
    if (std::holds_alternative<LinkMessage>(envelope->message)) {
        onClosing();
        return true;
    }
    if (auto *message = std::get_if<RequestMessage>(&envelope->message)) {
        if (const auto *credit = std::get_if<BodyCredit>(message)) {
            onCredit(*credit);
            return true;
        }
        if (const auto *offer = std::get_if<ResponseOffer>(message)) {
            onResponseOffer(*offer);
            return true;
        }
        if (const auto *part = std::get_if<BodyPart>(message)) {
            onPart(*part);
            return true;
        }
        if (auto *large = std::get_if<LargeResponse>(message))
            *message = completed(std::move(large->answer));
        const auto *answer = std::get_if<ForwardResponse>(message);
        if (answer == nullptr)
            return false;
        forget(answer->id);
        shutdownIfClosing();
    }
    m_endpoint->dispatch(std::move(*envelope));
    return true;
}

// The windows of the gate bound what is queued here.
void PeerEndpoint::Impl::OutgoingLink::onCredit(const BodyCredit &credit)
{
    for (BodyPart &part : m_bodies.grant(credit))
        m_channel.enqueueInOrder(m_endpoint->encode(RequestMessage(std::move(part))),
                                 FrameClass::Request);
}

void PeerEndpoint::Impl::OutgoingLink::onResponseOffer(const ResponseOffer &offer)
{
    if (isAwaiting(offer.id)) // else it is cancelled
        apply(m_endpoint->m_responses.begin(offer.id, offer.size, SteadyClock().now()));
    m_endpoint->watchResponses();
}

void PeerEndpoint::Impl::OutgoingLink::onPart(const BodyPart &part)
{
    apply(m_endpoint->m_responses.append(part.id, part.offset, part.bytes, SteadyClock().now()));
    m_endpoint->watchResponses();
}

void PeerEndpoint::Impl::OutgoingLink::apply(const IncomingResponses::Step &step)
{
    const RequestId request = step.request;
    if (step.credit)
        m_channel.enqueue(m_endpoint->encode(RequestMessage(BodyCredit { request, *step.credit })),
                          FrameClass::Request);
    if (!step.isGivenUp)
        return;
    m_endpoint->m_responsesGivenUp.add();
    forget(request);
    m_channel.enqueueBehind(m_endpoint->encode(RequestMessage(ForwardCancel { request })), request);
    m_endpoint->deliver(PeerReceived<ForwardResponse> {
        m_peer, { request, OutcomeUnknown { UnknownReason::AnswerTooLarge }, {} } });
    shutdownIfClosing();
}

ForwardResponse PeerEndpoint::Impl::OutgoingLink::completed(ForwardResponse &&answer)
{
    auto &answered = std::get<Answered>(answer.outcome);
    answered.large.data
        = m_endpoint->m_responses.finish(answer.id, answered.large.size, answered.large.digest);
    if (!answered.large.data)
        answer.outcome = OutcomeUnknown { UnknownReason::PartialAnswer };
    return std::move(answer);
}

void PeerEndpoint::Impl::OutgoingLink::forget(RequestId request)
{
    m_unanswered.erase(request);
    m_bodies.remove(request);
    m_endpoint->m_responses.remove(request);
}

void PeerEndpoint::Impl::OutgoingLink::onClosing()
{
    const auto found = m_endpoint->m_outgoing.find(m_peer);
    if (found != m_endpoint->m_outgoing.end() && found->second.get() == this)
        m_endpoint->m_outgoing.erase(found);
    m_endpoint->m_draining.insert(shared_from_this());
    m_isClosing = true;
    shutdownIfClosing();
}

void PeerEndpoint::Impl::OutgoingLink::shutdownIfClosing()
{
    if (m_isClosing && m_bodies.isEmpty() && m_unanswered.empty())
        m_channel.shutdownAfterWrites([] {});
}

} // namespace camphorreach::impl
