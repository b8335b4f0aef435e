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
inline constexpr std::uint8_t protocolVersion = 4;
/// Size of a frame header: the length of the payload as a 32-bit big-endian integer.
inline constexpr std::size_t frameHeaderBytes = 4;

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

/// Prepends the frame header to a payload.
[[nodiscard]] std::string encodeFrame(std::string_view payload);
/// Decodes a frame header. Fails with Malformed when the length is zero or above maxFrameBytes.
[[nodiscard]] Result<std::size_t> payloadLength(std::string_view header);

} // namespace camphorreach::impl
