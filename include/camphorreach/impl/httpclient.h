// HTTP/1.1 client with a bounded pool of persistent connections to one server.
#pragma once

#include <camphorreach/impl/http.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/units.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

namespace boost::asio {
class io_context;
}

namespace camphorreach::impl {

struct HttpFailure
{
    enum class Kind : std::uint8_t {
        NotSent,
        InvalidRequest, ///< HTTP/1.1 does not allow the request, so nothing was sent.
        ConnectionLost,
        PartialResponse,
        /// Malformed, of unknown length (see acceptsCloseDelimited), or not matched to the call.
        InvalidResponse,
        /// The body exceeds Options::bodyBytes, or the limit for large responses.
        ResponseTooLarge,
        TimedOut,
        Cancelled,
    };

    Kind kind = Kind::NotSent;
    std::string text;

    /// Whether no byte of the request was written.
    [[nodiscard]] bool isUnsent() const noexcept
    {
        return kind == Kind::NotSent || kind == Kind::InvalidRequest;
    }
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// Whether a response belongs to the call that its connection carries.
enum class ResponseMatch : std::uint8_t {
    Matched,
    OtherRequest, ///< Belongs to another request; the response to the call is still expected.
    Ambiguous, ///< May be a duplicate of an earlier response, so the call fails.
};

/// Not thread-safe: call all members on the thread that runs the io_context.
class HttpClient
{
public:
    using Completion = std::function<void(HttpResult &&)>;
    /// The head of the response to a call has been received.
    using HeadReceived = std::function<void()>;
    /// Bytes of a body that was passed to feed() have been handed to the network.
    using BodyTaken = std::function<void(ByteCount)>;
    using CallHandle = std::uint64_t;

    /// Passes on bodies above Options::bodyBytes as they come. The complete response then has only
    /// the size and the digest of its body.
    struct LargeResponses
    {
        /// Larger bodies fail the call.
        std::size_t maxBytes = maxLargeResponseBytes;
        /// A large body begins. Its size is zero when it is not announced.
        std::function<void(CallHandle, ByteCount size)> begun;
        /// Bytes that the call has been granted, in order.
        std::function<void(CallHandle, ByteCount offset, std::string bytes)> part;
    };

    struct Options
    {
        /// Accepts a body that is delimited by the end of its connection, unless the connection is
        /// reset. When false, a response with such a body is invalid.
        bool acceptsCloseDelimited = false;
        /// Matches a response to a request, for servers that send unsolicited responses.
        /// \a isFirst: nothing else has been received on the connection, so the response cannot be
        /// a duplicate. When empty, every response matches.
        std::function<ResponseMatch(const HttpRequest &, const HttpResponse &, bool isFirst)>
            match {};
        /// Whether a duplicate of a response could be taken for the response to a later request. If
        /// so, its connection is not reused. May be empty.
        std::function<bool(const HttpResponse &)> preventsReuse {};
        /// A connection that has been idle for this long is not reused. A shorter timeout in the
        /// server's Keep-Alive header takes precedence.
        Duration idleTimeout = std::chrono::hours(1);
        std::size_t bodyBytes = maxBodyBytes;
        /// Time for the body of a response after its head, for calls with a HeadReceived handler.
        /// When empty, and for all other calls, the timeout of the call covers the body as well.
        std::optional<Duration> bodyTimeout {};
        /// When empty, responses above bodyBytes fail.
        std::optional<LargeResponses> largeResponses {};
    };

    /// Opens at most \a maxConnections connections. Further calls are queued in order; their
    /// timeout includes the time in the queue.
    HttpClient(boost::asio::io_context &io, NetAddress server, std::size_t maxConnections)
        : HttpClient(io, std::move(server), maxConnections, Options {})
    { }
    HttpClient(boost::asio::io_context &io, NetAddress server, std::size_t maxConnections,
               Options options);
    ~HttpClient();

    /// Sends a request. \a done is called exactly once, also after cancel(); \a headReceived, if
    /// set, at most once and before it.
    CallHandle send(HttpRequest request, Duration timeout, Completion done,
                    HeadReceived headReceived = {});
    /// Sends a request with a large body, whose bytes are passed to feed() unless \a request refers
    /// to them. Nothing is written before there are any. A response that the server sends before
    /// it has read the whole body ends the call and its connection.
    CallHandle sendLarge(HttpRequest request, Duration timeout, Completion done,
                         BodyTaken bodyTaken);
    /// Adds bytes to the body of a call. No effect once the call has completed.
    void feed(CallHandle call, std::string bytes);
    /// Takes the bytes of the large response to a call up to \a end. The response is complete once
    /// all its bytes have been taken. No effect once the call has completed.
    void grant(CallHandle call, ByteCount end);
    /// Cancels a call and closes its connection. No effect once the call has completed.
    void cancel(CallHandle call);
    /// Opens idle connections in advance until \a count connections are open.
    void warmUp(std::size_t count);
    /// Calls that have no connection yet, and later ones, go to \a server. Calls on a connection
    /// end there; idle connections to another server are closed.
    void setServer(NetAddress server);
    [[nodiscard]] std::size_t connectionCount() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace camphorreach::impl
