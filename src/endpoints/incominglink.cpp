// Requests from another node, and the large bodies that it has offered.
#include "peerlinks.h"

#include <utility>

namespace camphorreach::impl {

PeerEndpoint::Impl::IncomingLink::IncomingLink(std::shared_ptr<Impl> endpoint, LinkId id,
                                               tcp::socket socket)
    : m_endpoint(std::move(endpoint)), m_id(id),
      m_channel(std::move(socket), m_endpoint->m_longFrames, m_endpoint->m_streamBytes)
{ }

void PeerEndpoint::Impl::IncomingLink::start()
{
    m_channel.start(weak_from_this(),
                    { [this](std::string_view payload) { return onFrame(payload); },
                      [this] { onReadEnd(); }, [this] { end(); } });
}

void PeerEndpoint::Impl::IncomingLink::beginClosing()
{
    m_isClosing = true;
    send(m_endpoint->encode(LinkMessage(LinkClosing {})), FrameClass::Control);
}

void PeerEndpoint::Impl::IncomingLink::answer(const ForwardResponse &answer)
{
    m_unanswered.erase(answer.id);
    m_offered.erase(answer.id);
    m_responding.erase(answer.id);
    const auto *answered = std::get_if<Answered>(&answer.outcome);
    if (answered == nullptr || answered->large.size == ByteCount()) {
        send(m_endpoint->encode(RequestMessage(answer)), FrameClass::Request, answer.id);
    } else {
        std::string payload = m_endpoint->encode(RequestMessage(LargeResponse { answer }));
        if (m_isOwn) // its parts were not sent
            send(std::move(payload), FrameClass::Request);
        else
            m_channel.enqueueInOrder(std::move(payload), FrameClass::Request);
    }
    endIfAnswered();
}

void PeerEndpoint::Impl::IncomingLink::askFor(const BodyWanted &wanted)
{
    if (m_offered.contains(wanted.key.request))
        send(m_endpoint->encode(RequestMessage(BodyCredit { wanted.key.request, wanted.end })),
             FrameClass::Request);
    else
        m_endpoint->deliver(BodyEnded { wanted.key });
}

void PeerEndpoint::Impl::IncomingLink::offerResponse(const ResponseBegun &begun)
{
    if (!m_unanswered.contains(begun.key.request))
        return discardResponse(begun.key.request);
    m_responding.insert(begun.key.request);
    send(m_endpoint->encode(RequestMessage(ResponseOffer { begun.key.request, begun.size })),
         FrameClass::Request);
}

// The credits of the entry node bound what is queued here.
void PeerEndpoint::Impl::IncomingLink::sendPart(ResponsePart &&part)
{
    if (!m_responding.contains(part.key.request))
        return;
    BodyPart message { part.key.request, part.offset, std::move(part.bytes) };
    if (!m_isOwn) {
        m_channel.enqueueInOrder(m_endpoint->encode(RequestMessage(std::move(message))),
                                 FrameClass::Request);
        return;
    }
    if (const auto link = m_endpoint->findAwaiting(m_endpoint->m_address, message.id))
        link->onPart(message);
}

void PeerEndpoint::Impl::IncomingLink::discardResponse(RequestId request)
{
    m_responding.erase(request);
    m_endpoint->deliver(ResponseWanted { { m_id, request }, ByteCount(maxLargeResponseBytes) });
}

void PeerEndpoint::Impl::IncomingLink::send(std::string payload, FrameClass frameClass,
                                            RequestId request)
{
    if (m_channel.queuedBytes() + payload.size() > maxQueuedBytes) {
        end(); // the peer does not read; the end of the link notifies it
        return;
    }
    m_channel.enqueue(std::move(payload), frameClass, request);
}

void PeerEndpoint::Impl::IncomingLink::end()
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_channel.close();
    m_endpoint->m_incoming.erase(m_id);
    for (const RequestId request : m_offered)
        m_endpoint->deliver(BodyEnded { { m_id, request } });
    while (!m_responding.empty())
        discardResponse(*m_responding.begin());
    m_endpoint->deliver(LinkClosed { m_id });
    m_endpoint->reportIfClosed();
}

bool PeerEndpoint::Impl::IncomingLink::onFrame(std::string_view payload)
{
    auto envelope = m_endpoint->decode(payload);
    if (!envelope)
        return false;
    m_isOwn = envelope->sender == m_endpoint->m_address;
    if (auto *message = std::get_if<RequestMessage>(&envelope->message)) {
        if (const auto *credit = std::get_if<BodyCredit>(message)) {
            if (m_responding.contains(credit->id))
                m_endpoint->deliver(ResponseWanted { { m_id, credit->id }, credit->end });
            return true;
        }
        if (auto *part = std::get_if<BodyPart>(message)) {
            onPart(std::move(*part));
            return true;
        }
        if (const auto *request = std::get_if<ForwardRequest>(message))
            m_unanswered.insert(request->id);
        else if (const auto *cancel = std::get_if<ForwardCancel>(message))
            onCancel(cancel->id);
        else if (const auto *offer = std::get_if<ForwardOffer>(message); offer && !onOffer(*offer))
            return false;
    }
    m_endpoint->onIncoming(m_id, std::move(*envelope));
    return true;
}

bool PeerEndpoint::Impl::IncomingLink::onOffer(const ForwardOffer &offer)
{
    if (offer.request.content.large.size == ByteCount())
        return false;
    m_unanswered.insert(offer.request.id);
    m_offered.insert(offer.request.id);
    return true;
}

void PeerEndpoint::Impl::IncomingLink::onPart(BodyPart &&part)
{
    if (m_offered.contains(part.id)) // else it is cancelled or answered
        m_endpoint->deliver(
            BodyPartReceived { { m_id, part.id }, part.offset, std::move(part.bytes) });
}

void PeerEndpoint::Impl::IncomingLink::onCancel(RequestId request)
{
    m_unanswered.erase(request);
    if (m_offered.erase(request) > 0)
        m_endpoint->deliver(BodyEnded { { m_id, request } });
    if (m_responding.contains(request))
        discardResponse(request);
    (void)m_channel.removeQueued(request);
}

void PeerEndpoint::Impl::IncomingLink::onReadEnd()
{
    m_hasReadEnded = true;
    if (m_isClosing)
        endIfAnswered();
    else
        end();
}

void PeerEndpoint::Impl::IncomingLink::endIfAnswered()
{
    if (!m_isClosing || !m_hasReadEnded || !m_unanswered.empty() || m_isEnded)
        return;
    m_channel.shutdownAfterWrites([this] { end(); });
}

} // namespace camphorreach::impl
