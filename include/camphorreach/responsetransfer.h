// Transfer of large responses from a backend server, through its gate's node, to the entry node.
#pragma once

#include <camphorreach/bodytransfer.h>
#include <camphorreach/largebody.h>
#include <camphorreach/largebodyallowance.h>
#include <camphorreach/request.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorreach {

/// A large response has begun. Its size is zero when the backend server does not announce it.
struct ResponseBegun
{
    BodyKey key;
    ByteCount size;
};

/// Bytes of a large response, in order.
struct ResponsePart
{
    BodyKey key;
    ByteCount offset;
    std::string bytes;
};

/// The entry node takes the bytes of a large response up to an offset.
struct ResponseWanted
{
    BodyKey key;
    ByteCount end;
};

/// The bytes of one large response at the gate's node: how far they may be read from the backend
/// server, and which of them may go on. Load pattern: a backend server that is faster than the link
/// or than the entry node. What is held is bounded, and the rest stays with the backend server.
class ResponseRelay
{
public:
    /// No more is read while so much waits for credit.
    static constexpr std::size_t maxWaiting = 64 * 1024;
    /// Size of a part. A multiple of the pieces in which long messages are sent.
    static constexpr std::size_t partBytes = 64 * 1024;

    struct Part
    {
        ByteCount offset;
        std::string bytes;
    };

    /// Adds bytes that were read.
    void append(std::string bytes);
    /// The entry node takes the bytes up to \a end.
    void grant(ByteCount end) noexcept;
    /// The next part that may go on; empty when there is none.
    [[nodiscard]] std::optional<Part> takePart();

    [[nodiscard]] bool mayRead() const noexcept { return m_waitingBytes < maxWaiting; }
    /// Whether everything that was read has gone on.
    [[nodiscard]] bool isTaken() const noexcept { return m_waitingBytes == 0; }
    [[nodiscard]] ByteCount size() const noexcept { return m_hash.size(); }
    /// XXH3 hash of the bytes that were read.
    [[nodiscard]] Digest digest() const { return m_hash.digest(); }

private:
    std::deque<std::string> m_waiting; // not empty each; the first one from m_offset on
    std::size_t m_offset = 0;
    std::uint64_t m_waitingBytes = 0; // sum over m_waiting
    std::uint64_t m_taken = 0;
    std::uint64_t m_credit = 0;
    BodyHash m_hash;
};

/// The large responses that an entry node gathers, before the first byte goes to the client. Load
/// pattern: more of them at once than there is memory for. An announced size is reserved as a
/// whole, so that two responses do not each hold a part and wait for each other. One that waits too
/// long for memory is given up, because it keeps its backend server from other requests.
class IncomingResponses
{
public:
    struct Limits
    {
        ByteCount maxSize { maxLargeResponseBytes };
        /// Longest wait for memory.
        Duration maxWait = std::chrono::seconds(1);
        /// Responses that may wait at the same time, as each holds a slot of its backend server.
        std::size_t waiting = 2;
        BodyWindows::Limits windows {};
    };

    /// What is to be sent to the gate.
    struct Step
    {
        RequestId request;
        std::optional<ByteCount> credit {};
        bool isGivenUp = false; ///< There is no room, or the parts cannot become a body.
    };

    IncomingResponses(const Limits &limits, std::shared_ptr<LargeBodyAllowance> allowance);

    /// Begins a response. \a size is zero when it is not known.
    [[nodiscard]] Step begin(RequestId request, ByteCount size, TimePoint now);
    /// Adds a part. Parts of a response that is not gathered are ignored.
    [[nodiscard]] Step append(RequestId request, ByteCount offset, std::string_view bytes,
                              TimePoint now);
    /// Asks again for those that wait for memory.
    [[nodiscard]] std::vector<Step> retry(TimePoint now);
    /// Ends a response. Returns its bytes, or null unless they are complete and intact.
    [[nodiscard]] std::shared_ptr<const LargeBody> finish(RequestId request, ByteCount size,
                                                          Digest digest);
    void remove(RequestId request);

    [[nodiscard]] bool isWaiting() const noexcept { return m_waiting > 0; }
    [[nodiscard]] std::size_t size() const noexcept { return m_responses.size(); }

private:
    struct Response
    {
        std::shared_ptr<LargeBody> body;
        LargeBodyAllowance::Share share;
        ByteCount wanted; // credit that is to be sent, once there is memory for it
        bool isSizeKnown = false;
        std::optional<TimePoint> waitingSince {}; // for memory
    };

    static BodyKey keyOf(RequestId request) { return { LinkId(), request }; }
    [[nodiscard]] Step ask(RequestId request, Response &response, TimePoint now);
    [[nodiscard]] Step giveUp(RequestId request);
    void setWaiting(Response &response, std::optional<TimePoint> since);

    const Limits m_limits;
    const std::shared_ptr<LargeBodyAllowance> m_allowance;
    BodyWindows m_windows; // one for each response
    std::unordered_map<RequestId, Response> m_responses;
    std::size_t m_waiting = 0; // number of responses that wait for memory
};

} // namespace camphorreach
