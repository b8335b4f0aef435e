// Encoding of messages between nodes, for streams and datagrams.
#pragma once

#include <camphorreach/peermessage.h>
#include <camphorreach/result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorreach::impl {

/// Incremented with every change that older nodes cannot decode.
inline constexpr std::uint8_t protocolVersion = 12;
/// Size of a frame header: a 32-bit big-endian integer with the length of the payload and flags.
inline constexpr std::size_t frameHeaderBytes = 4;

/// Long messages of one class are sent one after the other on a connection. Those of different
/// classes, and short messages between their pieces, overtake each other.
enum class FrameClass : std::uint8_t {
    Control, ///< Configuration, membership and other messages without requests.
    Request,
};
inline constexpr std::size_t frameClassCount = 2;

struct FrameHeader
{
    std::size_t length = 0; ///< Of the payload, in bytes.
    bool isPiece = false; ///< The payload is a part of a long message.
    bool isLastPiece = false;
    FrameClass frameClass = FrameClass::Control; ///< Of the long message.

    friend bool operator==(const FrameHeader &, const FrameHeader &) = default;
};

/// The content of one frame or datagram.
struct Envelope
{
    NetAddress sender; ///< Address on which the sender listens for other nodes.
    PeerMessage message;
};

/// Encodes a datagram or the payload of a frame: the protocol version, then the envelope.
[[nodiscard]] std::string encodePayload(const Envelope &envelope);
/// Fails with Malformed on truncated, oversized, unknown or trailing content.
[[nodiscard]] Result<Envelope> decodePayload(std::string_view payload);

/// Prepends the frame header to a complete payload.
[[nodiscard]] std::string encodeFrame(std::string_view payload);
/// Prepends the frame header to a part of the payload of a long message.
[[nodiscard]] std::string encodePiece(std::string_view part, FrameClass frameClass, bool isLast);
/// Decodes a frame header. Fails with Malformed when the length is zero or above maxFrameBytes, or
/// on unknown flags.
[[nodiscard]] Result<FrameHeader> decodeFrameHeader(std::string_view header);

} // namespace camphorreach::impl
