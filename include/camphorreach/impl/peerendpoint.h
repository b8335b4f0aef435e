// Peer endpoint: messages between nodes over TCP and UDP, rings to and from the filters.
#pragma once

#include <camphorreach/impl/iothread.h>
#include <camphorreach/metrics.h>
#include <camphorreach/peermessage.h>

#include <functional>
#include <memory>
#include <variant>

namespace camphorreach::impl {

using PeerCommand = std::variant<PeerSend, ForwardReply>;
using PeerEvent
    = std::variant<PeerReceived<ForwardAnswer>, LinkDown, ForwardReceived, CancelReceived,
                   LinkClosed, PeerReceived<MembershipMessage>, PeerReceived<ConfigMessage>,
                   PeerReceived<MoveMessage>, PeerReceived<QuarantineMessage>,
                   PeerReceived<CatalogMessage>, PeerReceived<RolloutMessage>>;

class PeerEndpoint
{
public:
    /// Takes an event, or returns false when the ring it belongs to is full.
    using Sink = std::function<bool(PeerEvent &&)>;

    /// Binds TCP and UDP to the same address. Throws boost::system::system_error.
    PeerEndpoint(const NetAddress &address, Sink sink, MetricsRegistry &metrics);
    ~PeerEndpoint();

    [[nodiscard]] Ring<PeerCommand> &ring() noexcept;

    void start();
    /// Accepts no more links and ends the incoming ones once every request on them is answered and
    /// the answers have left. \a onClosed runs when all have ended.
    void drain(std::function<void()> onClosed);
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace camphorreach::impl
