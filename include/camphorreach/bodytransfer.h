// Transfer of large bodies of requests from the node that holds them to a gate.
#pragma once

#include <camphorreach/largebody.h>
#include <camphorreach/request.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorreach {

/// Identifies a body at the gate that receives it.
struct BodyKey
{
    LinkId link;
    RequestId request;

    friend auto operator<=>(const BodyKey &, const BodyKey &) = default;
};

/// The gate's node takes the bytes of a body up to an offset.
struct BodyWanted
{
    BodyKey key;
    ByteCount end;
};

/// A part of a body has arrived.
struct BodyPartReceived
{
    BodyKey key;
    ByteCount offset;
    std::string bytes;
};

/// No more bytes of a body arrive: its request was cancelled, or its link has ended.
struct BodyEnded
{
    BodyKey key;
};

/// The bodies that this node has offered to the gate at the other end of a link, and the parts of
/// them that the gate has asked for. A gate that asks for more than a window is not obeyed: the
/// rest would have to be queued as a copy.
class OutgoingBodies
{
public:
    /// Size of a part. A multiple of the pieces in which long messages are sent.
    static constexpr std::size_t partBytes = 64 * 1024;
    /// The most that one credit can ask for.
    static constexpr std::uint64_t maxGrant = 1024 * 1024;

    void add(RequestId request, LargeBodyRef body);
    void remove(RequestId request);
    /// The parts that may be sent now.
    [[nodiscard]] std::vector<BodyPart> grant(const BodyCredit &credit);

    [[nodiscard]] std::shared_ptr<const LargeBody> find(RequestId request) const;
    /// Bytes that have not been handed out.
    [[nodiscard]] ByteCount unsent() const noexcept { return ByteCount(m_unsent); }
    [[nodiscard]] bool isEmpty() const noexcept { return m_bodies.empty(); }

private:
    struct Body
    {
        LargeBodyRef body;
        std::uint64_t sent = 0;
    };

    std::unordered_map<RequestId, Body> m_bodies; // without an outcome
    std::uint64_t m_unsent = 0; // sum over m_bodies
};

/// Decides how far the senders of bodies may go ahead of the backend server. Load pattern: many
/// large bodies at once, and a backend server that reads slowly. All windows together stay within
/// the total, except that each body may always send a little, so that none waits for another.
class BodyWindows
{
public:
    struct Limits
    {
        /// Bytes that may be on their way to the backend server, over all bodies.
        ByteCount total { 4 * 1024 * 1024 };
        ByteCount maxWindow { 256 * 1024 };
        ByteCount minWindow { 32 * 1024 };
    };

    explicit BodyWindows(const Limits &limits) noexcept : m_limits(limits) { }

    /// Begins a body of \a size. Returns the first credit: the number of its bytes that may be
    /// sent.
    [[nodiscard]] ByteCount open(const BodyKey &key, ByteCount size);
    /// Accounts for a part. Returns false when it does not continue the body or exceeds its credit;
    /// the body can then not be completed.
    [[nodiscard]] bool receive(const BodyKey &key, ByteCount offset, ByteCount size);
    /// Accounts for bytes that the backend server has taken. Returns the next credit when it is
    /// worth a message.
    [[nodiscard]] std::optional<ByteCount> take(const BodyKey &key, ByteCount size);
    void close(const BodyKey &key) { m_bodies.erase(key); }

    /// Size of a body as it was opened; zero when it is not open.
    [[nodiscard]] ByteCount sizeOf(const BodyKey &key) const;
    /// Whether all bytes of an open body have arrived.
    [[nodiscard]] bool isReceived(const BodyKey &key) const;

private:
    struct Body
    {
        std::uint64_t size = 0;
        std::uint64_t credit = 0; // at most size
        std::uint64_t received = 0; // at most credit
        std::uint64_t taken = 0; // at most received
    };

    [[nodiscard]] std::uint64_t window() const noexcept;

    const Limits m_limits;
    std::map<BodyKey, Body> m_bodies; // at most one for each running call
};

} // namespace camphorreach
