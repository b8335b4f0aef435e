// What nodes send each other, and the commands and events of the endpoint that carries it.
#pragma once

#include <camphorreach/catalogmessage.h>
#include <camphorreach/configmessage.h>
#include <camphorreach/membershipmessage.h>
#include <camphorreach/movemessage.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/quarantinemessage.h>
#include <camphorreach/request.h>
#include <camphorreach/rolloutmessage.h>

#include <cstdint>
#include <variant>

namespace camphorreach {

/// The accepting side of a link is about to close it: the opening side sends no more requests on
/// it, closes its sending half after what is queued, and still receives every answer.
struct LinkClosing
{
    friend bool operator==(const LinkClosing &, const LinkClosing &) = default;
};

/// The part of the protocol between nodes that is about the link itself.
using LinkMessage = std::variant<LinkClosing>;

using PeerMessage = std::variant<RequestMessage, MembershipMessage, ConfigMessage, MoveMessage,
                                 QuarantineMessage, LinkMessage, CatalogMessage, RolloutMessage>;

enum class Transport : std::uint8_t {
    Datagram, ///< May be lost; at most maxDatagramBytes.
    Stream, ///< In order while the connection lasts.
};

/// Largest encoded datagram, in bytes; stays below the usual path MTU.
inline constexpr std::size_t maxDatagramBytes = 1400;
/// Largest encoded frame on a stream, in bytes: a body with its head, or a full settings tree.
inline constexpr std::size_t maxFrameBytes = 2 * 1024 * 1024;

struct PeerSend
{
    NetAddress to;
    Transport transport = Transport::Datagram;
    PeerMessage message;
};

/// A message about members, configuration or moves from another node.
template <typename Message>
struct PeerReceived
{
    NetAddress from; ///< The sender's listening address, as it stated it.
    Message message;
};

} // namespace camphorreach
