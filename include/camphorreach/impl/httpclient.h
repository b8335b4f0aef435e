// An HTTP/1.1 client with a bounded pool of warm connections to one server.
#pragma once

#include <camphorreach/impl/http.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/units.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
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
        Lost,
        PartialAnswer,
        BadAnswer, ///< Malformed, too large, or without a length that tells whether it is whole.
        TimedOut,
        Cancelled,
    };

    Kind kind = Kind::NotSent;
    std::string text;
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// Whose answer a response is.
enum class AnswerMatch : std::uint8_t {
    Own,
    Foreign, ///< Belongs to another request; the own answer is still to come.
    Doubtful, ///< May be an earlier response once more, so it proves nothing.
};

/// All members are called on the thread that runs the io_context.
class HttpClient
{
public:
    using Completion = std::function<void(HttpResult &&)>;
    using CallHandle = std::uint64_t;

    struct Options
    {
        /// A body without a length ends with its connection, unless that is reset. Otherwise such
        /// an answer fails.
        bool acceptsUnframed = false;
        /// Whose answer a response is, for servers that send more responses than they should.
        /// \a isFirst: nothing else has been received on its connection, so that it cannot be an
        /// earlier response once more. Empty: each response is an own answer.
        std::function<AnswerMatch(const HttpRequest &, const HttpResponse &, bool isFirst)>
            match {};
        /// Whether a response, written once more, could be taken for the answer to a later request.
        /// Its connection is not used again. May be empty.
        std::function<bool(const HttpResponse &)> endsConnection {};
        /// An idle connection is not used again after this time, or after what the server states.
        Duration idleLimit = std::chrono::hours(1);
        std::size_t bodyBytes = maxBodyBytes;
    };

    /// At most \a maxConnections are open; further calls wait in order, within their timeout.
    HttpClient(boost::asio::io_context &io, NetAddress server, std::size_t maxConnections)
        : HttpClient(io, std::move(server), maxConnections, Options {})
    { }
    HttpClient(boost::asio::io_context &io, NetAddress server, std::size_t maxConnections,
               Options options);
    ~HttpClient();

    /// Sends one request. \a done runs once, also after cancel().
    CallHandle send(HttpRequest request, Duration timeout, Completion done);
    /// Ends the call and its connection. Ignored when the call is over.
    void cancel(CallHandle call);
    /// Opens connections ahead of need, up to \a count.
    void warmUp(std::size_t count);
    [[nodiscard]] std::size_t connectionCount() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace camphorreach::impl
