// A small HTTP/1.1 server on one io_context, with notice of clients that go away.
#pragma once

#include <camphorreach/impl/http.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/routetable.h>
#include <camphorreach/units.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace camphorreach::impl {

/// Identifies one exchange, unique within a server.
using ExchangeId = std::uint64_t;

/// All members are called on the thread that runs the io_context.
class HttpServer
{
public:
    struct Handlers
    {
        /// A whole request has arrived. Exactly one respond() call is expected.
        std::function<void(ExchangeId, HttpRequest &&)> onRequest;
        /// The client closed its connection before the response. May be empty.
        std::function<void(ExchangeId)> onGone;
    };

    /// Binds and listens. Throws boost::system::system_error when the address is not available.
    HttpServer(boost::asio::io_context &io, const NetAddress &address, std::size_t maxConnections,
               Handlers handlers);
    ~HttpServer();

    /// What clients may send from their next request on.
    void setLimits(const HttpLimits &limits);
    /// Ignored when the client has gone.
    void respond(ExchangeId exchange, HttpResponse response);
    /// Ends the connection of the exchange without a response, as a crashed process would.
    void abort(ExchangeId exchange);

    /// Closes each connection after its next response. Connections without a request stay open for
    /// \a grace, because a request may already be on its way on them; after it, no connection is
    /// accepted, and those without a request are closed. \a onClosed runs once all are closed.
    void drain(Duration grace, std::function<void()> onClosed);
    [[nodiscard]] std::size_t connectionCount() const noexcept;
    /// The port that is bound, for listeners that asked for port 0.
    [[nodiscard]] std::uint16_t port() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace camphorreach::impl
