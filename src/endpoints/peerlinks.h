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

    // The large bodies of its requests that have no answer.
    [[nodiscard]] const OutgoingBodies &bodies() const noexcept { return m_bodies; }

private:
    void onConnected();
    [[nodiscard]] bool onFrame(std::string_view payload);

    // The gate asks for a part of a body.
    void onCredit(const BodyCredit &credit);

    // The peer is closing the link. Later requests to it open a new link, or are reported as
    // unsent.
    void onClosing();

    // Ends the sending side of a link that the peer closes, once all bodies are sent.
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

    std::shared_ptr<Impl> m_endpoint;
    const LinkId m_id;
    FrameChannel m_channel;
    std::set<RequestId> m_unanswered; // received and neither answered nor cancelled
    std::set<RequestId> m_offered; // those of m_unanswered whose body is at the peer
    bool m_isClosing = false;
    bool m_hasReadEnded = false;
    bool m_isEnded = false;
};

} // namespace camphorreach::impl
