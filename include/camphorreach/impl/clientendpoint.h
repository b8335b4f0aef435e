// Client endpoint: HTTP server for clients, connected to the router by rings.
#pragma once

#include <camphorreach/clock.h>
#include <camphorreach/impl/httpserver.h>
#include <camphorreach/impl/iothread.h>
#include <camphorreach/metrics.h>
#include <camphorreach/request.h>

#include <concepts>
#include <functional>
#include <unordered_map>
#include <utility>
#include <variant>

namespace camphorreach::impl {

using ClientEvent = std::variant<ClientRequest, ClientDisconnected>;

/// Maps HTTP to client requests, and their outcomes to HTTP responses. decode() returns the error
/// response when the HTTP request is malformed.
template <typename D>
concept RequestDialect = requires(const D &dialect, RequestId id, HttpRequest http,
                                  ClientResponse response, const ClientAttemptId &attempt)
{
    {
        dialect.decode(id, std::move(http))
        } -> std::same_as<std::variant<ClientRequest, HttpResponse>>;
    {
        dialect.encode(std::move(response.outcome), attempt)
        } -> std::same_as<HttpResponse>;
};

/// The native HTTP interface: the target "/SERVICE/PATH" and the headers that are described in
/// docs/OPERATIONS.md.
class ServicePathDialect
{
public:
    [[nodiscard]] std::variant<ClientRequest, HttpResponse> decode(RequestId id,
                                                                   HttpRequest &&http) const;
    [[nodiscard]] HttpResponse encode(Outcome &&outcome, const ClientAttemptId &attempt) const;
};

/// Passes the requests of HTTP clients to a sink, and sends the outcomes as responses.
template <RequestDialect Dialect>
class BasicClientEndpoint
{
public:
    /// Receives events. Returns false when the router's ring is full.
    using Sink = std::function<bool(ClientEvent &&)>;

    BasicClientEndpoint(const NetAddress &address, const ClientMemory::Limits &memory, Sink sink,
                        MetricsRegistry &metrics, Dialect dialect = {},
                        std::shared_ptr<LargeBodyAllowance> largeBodies = {})
        : m_dialect(std::move(dialect)), m_sink(std::move(sink)),
          m_requests(metrics.counter("guest.requests")),
          m_rejected(metrics.counter("guest.refused_ring_full")),
          m_disconnected(metrics.counter("guest.gone")),
          m_latency(metrics.histogram("guest.latency")),
          m_server(
              m_thread.io(), address, memory,
              { [this](ExchangeId id, HttpRequest &&request) { onRequest(id, std::move(request)); },
                [this](ExchangeId id) { onDisconnected(id); } },
              &metrics, std::move(largeBodies)),
          m_input(m_thread.io(), ringCapacity,
                  [this](ClientResponse &&response) { onResponse(std::move(response)); })
    { }

    [[nodiscard]] Ring<ClientResponse> &ring() noexcept { return m_input.ring(); }
    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

    void start() { m_thread.start(); }
    void stop() { m_thread.stop(); }

    void setLimits(const HttpLimits &limits)
    {
        boost::asio::post(m_thread.io(), [this, limits] { m_server.setLimits(limits); });
    }

    /// Closes every connection after its next response, and idle connections after \a grace.
    /// Calls \a onClosed once all connections are closed.
    void drain(Duration grace, std::function<void()> onClosed)
    {
        boost::asio::post(m_thread.io(), [this, grace, onClosed = std::move(onClosed)]() mutable {
            m_server.drain(grace, std::move(onClosed));
        });
    }

    /// Number of open connections.
    [[nodiscard]] std::size_t connectionCount()
    {
        return m_thread.call([this] { return m_server.connectionCount(); });
    }

private:
    static constexpr std::size_t ringCapacity = 8192;

    struct Exchange
    {
        TimePoint receivedAt {};
        ClientAttemptId attempt;
    };

    void onRequest(ExchangeId exchange, HttpRequest &&http)
    {
        m_requests.add();
        auto decoded = m_dialect.decode(RequestId(exchange), std::move(http));
        if (auto *response = std::get_if<HttpResponse>(&decoded)) {
            m_server.respond(exchange, std::move(*response));
            return;
        }
        auto &request = std::get<ClientRequest>(decoded);
        const ClientAttemptId attempt = request.attemptId;
        if (!m_sink(std::move(request))) {
            m_rejected.add();
            m_server.respond(exchange,
                             m_dialect.encode(NotRun { NotRunReason::Overloaded }, attempt));
            return;
        }
        m_pending.emplace(exchange, Exchange { SteadyClock().now(), attempt });
    }

    void onDisconnected(ExchangeId exchange)
    {
        m_disconnected.add();
        if (m_pending.erase(exchange) > 0)
            // If the ring is full, the deadline ends the request.
            (void)m_sink(ClientDisconnected { RequestId(exchange) });
    }

    void onResponse(ClientResponse &&response)
    {
        const auto pending = m_pending.find(response.id.value());
        if (pending == m_pending.end())
            return;
        m_latency.record(SteadyClock().now() - pending->second.receivedAt);
        m_server.respond(response.id.value(),
                         m_dialect.encode(std::move(response.outcome), pending->second.attempt));
        m_pending.erase(pending);
    }

    const Dialect m_dialect;
    IoThread m_thread;
    Sink m_sink;
    Counter &m_requests;
    Counter &m_rejected;
    Counter &m_disconnected;
    LatencyHistogram &m_latency;
    std::unordered_map<ExchangeId, Exchange> m_pending; // exchanges without a response
    HttpServer m_server;
    InputRing<ClientResponse> m_input;
};

using ClientEndpoint = BasicClientEndpoint<ServicePathDialect>;

} // namespace camphorreach::impl
