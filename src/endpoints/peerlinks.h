// Connections between nodes, as the two sides of them see requests and answers.
#pragma once

#include "peerendpointimpl.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace camphorreach::impl {

// A connection that this node opened. Carries its requests and the answers to them.
class PeerEndpoint::Impl::OutgoingLink : public std::enable_shared_from_this<OutgoingLink>
{
public:
    OutgoingLink(std::shared_ptr<Impl> endpoint, NetAddress peer);

    void connect();
    void send(PeerMessage &&message);

    // Closes the link and reports its unsent and unanswered requests. Has an effect only once.
    void end();

    // Sends what a large response needs next, or ends its request.
    void apply(const IncomingResponses::Step &step);

    // Takes a part of a large response.
    void onPart(const BodyPart &part);

    // Whether a request that was at least partly sent has no answer yet.
    [[nodiscard]] bool isAwaiting(RequestId request) const
    {
        return m_unanswered.contains(request);
    }
    [[nodiscard]] const NetAddress &peer() const noexcept { return m_peer; }

    // The large bodies of its requests that have no answer.
    [[nodiscard]] const OutgoingBodies &bodies() const noexcept { return m_bodies; }

private:
    void onConnected();
    [[nodiscard]] bool onFrame(std::string_view payload);

    // The gate asks for a part of a body.
    void onCredit(const BodyCredit &credit);
    void onResponseOffer(const ResponseOffer &offer);

    // The bytes of a large response are added to it here; without all of them it is no answer.
    [[nodiscard]] ForwardResponse completed(ForwardResponse &&answer);

    // A request has its outcome, or nobody waits for it any more.
    void forget(RequestId request);

    // The peer is closing the link. Later requests to it open a new link, or are reported as
    // unsent.
    void onClosing();

    // Ends the sending side of a link that the peer closes, once all bodies are sent and all
    // responses have arrived: large ones need credits.
    void shutdownIfClosing();

    std::shared_ptr<Impl> m_endpoint;
    const NetAddress m_peer;
    FrameChannel m_channel;
    asio::steady_timer m_timer;
    std::set<RequestId> m_unanswered; // at least partly written, without an answer
    OutgoingBodies m_bodies;
    bool m_isConnected = false;
    bool m_isClosing = false;
    bool m_isEnded = false;
};

// A connection that another node opened. Carries its requests and the answers of this node.
class PeerEndpoint::Impl::IncomingLink : public std::enable_shared_from_this<IncomingLink>
{
public:
    IncomingLink(std::shared_ptr<Impl> endpoint, LinkId id, tcp::socket socket);

    void start();
    void beginClosing();
    void answer(const ForwardResponse &answer);

    // Asks for a part of an offered body.
    void askFor(const BodyWanted &wanted);

    // Offers a large response, and sends a part of it.
    void offerResponse(const ResponseBegun &begun);
    void sendPart(ResponsePart &&part);
    void send(std::string payload, FrameClass frameClass, RequestId request = {});
    void end();

private:
    [[nodiscard]] bool onFrame(std::string_view payload);
    [[nodiscard]] bool onOffer(const ForwardOffer &offer);
    void onPart(BodyPart &&part);

    // Drops a response that nobody waits for, if it has not been started.
    void onCancel(RequestId request);

    // While the link is being closed, the peer shuts down its sending side first, and still waits
    // for answers.
    void onReadEnd();
    void endIfAnswered();

    // Lets the backend endpoint go on with a large response that nobody takes. Its call is
    // cancelled, unless a retry may ask for its outcome.
    void discardResponse(RequestId request);

    std::shared_ptr<Impl> m_endpoint;
    const LinkId m_id;
    FrameChannel m_channel;
    std::set<RequestId> m_unanswered; // received and neither answered nor cancelled
    std::set<RequestId> m_offered; // those of m_unanswered whose body is at the peer
    std::set<RequestId> m_responding; // those of m_unanswered with a large response
    bool m_isOwn = false; // the peer is this node
    bool m_isClosing = false;
    bool m_hasReadEnded = false;
    bool m_isEnded = false;
};

} // namespace camphorreach::impl
