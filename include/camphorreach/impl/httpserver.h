// HTTP/1.1 server on one io_context that reports clients that disconnect before the response.
#pragma once

#include <camphorreach/clientmemory.h>
#include <camphorreach/impl/http.h>
#include <camphorreach/largebodyallowance.h>
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

namespace camphorreach {
class MetricsRegistry;
}

namespace camphorreach::impl {

/// Identifies a request and its response; unique within a server.
using ExchangeId = std::uint64_t;

/// Not thread-safe: call all members on the thread that runs the io_context.
class HttpServer
{
public:
    struct Handlers
    {
        /// A complete request has arrived. It needs exactly one call of respond() or abort().
        std::function<void(ExchangeId, HttpRequest &&)> onRequest;
        /// The client closed its connection before the response. May be empty.
        std::function<void(ExchangeId)> onDisconnected;
    };

    /// Binds and listens. Throws boost::system::system_error when the address is not available.
    /// \a memory limits what all connections together may make the process hold, and their number.
    /// Large bodies are held in \a largeBodies; when it is null, they have an allowance of their
    /// own.
    HttpServer(boost::asio::io_context &io, const NetAddress &address,
               const ClientMemory::Limits &memory, Handlers handlers,
               MetricsRegistry *metrics = nullptr,
               std::shared_ptr<LargeBodyAllowance> largeBodies = {});
    /// With the default limits for memory.
    HttpServer(boost::asio::io_context &io, const NetAddress &address, std::size_t maxConnections,
               Handlers handlers);
    ~HttpServer();

    /// Sets the limits for requests. A connection applies them when it starts to wait for its next
    /// request.
    void setLimits(const HttpLimits &limits);
    /// No effect once the client has disconnected.
    void respond(ExchangeId exchange, HttpResponse response);
    /// Closes the connection of the exchange without a response, as if the process had crashed.
    void abort(ExchangeId exchange);

    /// Closes every connection after its next response. Idle connections stay open for \a grace,
    /// because a client may already have sent a request on them. After \a grace, no connections are
    /// accepted and idle ones are closed. Calls \a onClosed once all connections are closed.
    void drain(Duration grace, std::function<void()> onClosed);
    [[nodiscard]] std::size_t connectionCount() const noexcept;
    /// The bound port, also when the address has port 0.
    [[nodiscard]] std::uint16_t port() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace camphorreach::impl
