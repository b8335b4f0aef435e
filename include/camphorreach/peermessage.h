// Messages between nodes, and the commands and events of the endpoint that transports them.
#pragma once

#include <camphorreach/catalogmessage.h>
#include <camphorreach/configmessage.h>
#include <camphorreach/membershipmessage.h>
#include <camphorreach/movemessage.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/quarantinemessage.h>
#include <camphorreach/quotamessage.h>
#include <camphorreach/request.h>
#include <camphorreach/rolloutmessage.h>

#include <cstdint>
#include <variant>

namespace camphorreach {

/// Sent by the accepting side of a link that is about to close it, like GOAWAY in HTTP/2. The
/// connecting side sends no further requests on the link, shuts down its sending direction after
/// the queued frames, and still receives all outstanding answers.
struct LinkClosing
{
    friend bool operator==(const LinkClosing &, const LinkClosing &) = default;
};

/// Messages between nodes about the link itself.
using LinkMessage = std::variant<LinkClosing>;

using PeerMessage
    = std::variant<RequestMessage, MembershipMessage, ConfigMessage, MoveMessage, QuarantineMessage,
                   LinkMessage, CatalogMessage, RolloutMessage, QuotaMessage>;

enum class Transport : std::uint8_t {
    Datagram, ///< UDP: may be lost; at most maxDatagramBytes.
    Stream, ///< TCP: in order for the lifetime of the connection.
};

/// Maximum size of an encoded datagram, in bytes; below the usual path MTU.
inline constexpr std::size_t maxDatagramBytes = 1400;
/// Maximum size of an encoded frame on a stream, in bytes: a body with its head, or a full settings
/// tree.
inline constexpr std::size_t maxFrameBytes = 2 * 1024 * 1024;

struct PeerSend
{
    NetAddress to;
    Transport transport = Transport::Datagram;
    PeerMessage message;
};

/// A message from another node.
template <typename Message>
struct PeerReceived
{
    NetAddress from; ///< Listening address of the sender, as stated by the sender.
    Message message;
};

} // namespace camphorreach
