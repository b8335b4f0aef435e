// Peer endpoint: messages between nodes over TCP and UDP, connected to the filters by rings.
#pragma once

#include <camphorreach/bodytransfer.h>
#include <camphorreach/egress.h>
#include <camphorreach/impl/iothread.h>
#include <camphorreach/metrics.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/responsetransfer.h>

#include <functional>
#include <memory>
#include <variant>

namespace camphorreach::impl {

using PeerCommand
    = std::variant<PeerSend, ForwardReply, EgressUsed, BodyWanted, ResponseBegun, ResponsePart>;
using PeerEvent = std::variant<
    PeerReceived<ForwardResponse>, LinkDown, ForwardReceived, CancelReceived, LinkClosed,
    PeerReceived<MembershipMessage>, PeerReceived<ConfigMessage>, PeerReceived<MoveMessage>,
    PeerReceived<QuarantineMessage>, PeerReceived<CatalogMessage>, PeerReceived<RolloutMessage>,
    PeerReceived<QuotaMessage>, EgressBacklogChanged, BodyPartReceived, BodyEnded, ResponseWanted>;

class PeerEndpoint
{
public:
    /// Receives events. Returns false when the ring for the event is full.
    using Sink = std::function<bool(PeerEvent &&)>;

    /// Binds TCP and UDP to the same address. Throws boost::system::system_error when that fails.
    /// Long messages are written at \a egressRate at most. Large responses from other nodes are
    /// gathered in \a largeBodies; when it is null, they have an allowance of their own.
    PeerEndpoint(const NetAddress &address, Sink sink, MetricsRegistry &metrics,
                 ByteRate egressRate = {}, std::shared_ptr<LargeBodyAllowance> largeBodies = {},
                 const BodyWindows::Limits &windows = {});
    ~PeerEndpoint();

    [[nodiscard]] Ring<PeerCommand> &ring() noexcept;

    void start();
    /// Stops accepting links. Closes each incoming link once the peer has stopped sending on it,
    /// all its requests are answered and the answers are written. Calls \a onClosed once all
    /// incoming links are closed.
    void drain(std::function<void()> onClosed);
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace camphorreach::impl
