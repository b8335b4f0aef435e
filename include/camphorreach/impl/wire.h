// Encoding of messages between nodes, for streams and datagrams.
#pragma once

#include <camphorreach/peermessage.h>
#include <camphorreach/result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorreach::impl {

/// Raised with each change that an older node cannot read.
inline constexpr std::uint8_t protocolVersion = 4;
/// Bytes before the payload of a frame: its length as four bytes, most significant first.
inline constexpr std::size_t frameHeaderBytes = 4;

/// What one frame or datagram carries.
struct Envelope
{
    NetAddress sender; ///< Where the sender listens for other nodes.
    PeerMessage message;
};

/// One datagram, or the payload of one frame: protocol version, then the envelope.
[[nodiscard]] std::string encodePayload(const Envelope &envelope);
/// Fails with Malformed for truncated, oversized, unknown or trailing content.
[[nodiscard]] Result<Envelope> decodePayload(std::string_view payload);

/// A payload with its length in front.
[[nodiscard]] std::string frame(std::string_view payload);
/// The payload length in a frame header, or Malformed when it is zero or above maxFrameBytes.
[[nodiscard]] Result<std::size_t> payloadLength(std::string_view header);

} // namespace camphorreach::impl
