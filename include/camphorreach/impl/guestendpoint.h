// Guest endpoint: HTTP towards guests on the one side, rings to and from the router on the other.
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

using GuestEvent = std::variant<GuestRequest, GuestGone>;

/// How guests' requests and their outcomes look in HTTP. A request that cannot be read is answered
/// at once.
template <typename D>
concept GuestDialect = requires(const D &dialect, RequestId id, HttpRequest http,
                                GuestAnswer answer, const GuestAttemptId &attempt)
{
    {
        dialect.decode(id, std::move(http))
        } -> std::same_as<std::variant<GuestRequest, HttpResponse>>;
    {
        dialect.encode(std::move(answer.outcome), attempt)
        } -> std::same_as<HttpResponse>;
};

/// The project's own interface: "/SERVICE/ROUTE..." and the headers of docs/OPERATIONS.md.
class ServicePathDialect
{
public:
    [[nodiscard]] std::variant<GuestRequest, HttpResponse> decode(RequestId id,
                                                                  HttpRequest &&http) const;
    [[nodiscard]] HttpResponse encode(Outcome &&outcome, const GuestAttemptId &attempt) const;
};

/// Reads requests, hands them to a sink, and writes the outcomes that come back.
template <GuestDialect Dialect>
class BasicGuestEndpoint
{
public:
    /// Takes an event, or returns false when the router's ring is full.
    using Sink = std::function<bool(GuestEvent &&)>;

    BasicGuestEndpoint(const NetAddress &address, std::size_t maxConnections, Sink sink,
                       MetricsRegistry &metrics, Dialect dialect = {})
        : m_dialect(std::move(dialect)), m_sink(std::move(sink)),
          m_requests(metrics.counter("guest.requests")),
          m_refused(metrics.counter("guest.refused_ring_full")),
          m_gone(metrics.counter("guest.gone")), m_latency(metrics.histogram("guest.latency")),
          m_server(
              m_thread.io(), address, maxConnections,
              { [this](ExchangeId id, HttpRequest &&request) { onRequest(id, std::move(request)); },
                [this](ExchangeId id) { onGone(id); } }),
          m_inlet(m_thread.io(), ringCapacity,
                  [this](GuestAnswer &&answer) { onAnswer(std::move(answer)); })
    { }

    [[nodiscard]] Ring<GuestAnswer> &ring() noexcept { return m_inlet.ring(); }
    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

    void start() { m_thread.start(); }
    void stop() { m_thread.stop(); }

    void setLimits(const HttpLimits &limits)
    {
        boost::asio::post(m_thread.io(), [this, limits] { m_server.setLimits(limits); });
    }

    /// Closes each connection after its next answer, and idle ones after \a grace.
    void drain(Duration grace, std::function<void()> onClosed)
    {
        boost::asio::post(m_thread.io(), [this, grace, onClosed = std::move(onClosed)]() mutable {
            m_server.drain(grace, std::move(onClosed));
        });
    }

    /// Connections that are still open.
    [[nodiscard]] std::size_t connectionCount()
    {
        return m_thread.call([this] { return m_server.connectionCount(); });
    }

private:
    static constexpr std::size_t ringCapacity = 8192;

    struct Waiting
    {
        TimePoint since {};
        GuestAttemptId attempt;
    };

    void onRequest(ExchangeId exchange, HttpRequest &&http)
    {
        m_requests.add();
        auto decoded = m_dialect.decode(RequestId(exchange), std::move(http));
        if (auto *response = std::get_if<HttpResponse>(&decoded)) {
            m_server.respond(exchange, std::move(*response));
            return;
        }
        auto &request = std::get<GuestRequest>(decoded);
        const GuestAttemptId attempt = request.attemptId;
        if (!m_sink(std::move(request))) {
            m_refused.add();
            m_server.respond(exchange,
                             m_dialect.encode(NotRun { NotRunReason::Overloaded }, attempt));
            return;
        }
        m_waiting.emplace(exchange, Waiting { SteadyClock().now(), attempt });
    }

    void onGone(ExchangeId exchange)
    {
        m_gone.add();
        if (m_waiting.erase(exchange) > 0)
            (void)m_sink(GuestGone { RequestId(exchange) }); // on false the deadline ends the work
    }

    void onAnswer(GuestAnswer &&answer)
    {
        const auto waiting = m_waiting.find(answer.id.value());
        if (waiting == m_waiting.end())
            return;
        m_latency.record(SteadyClock().now() - waiting->second.since);
        m_server.respond(answer.id.value(),
                         m_dialect.encode(std::move(answer.outcome), waiting->second.attempt));
        m_waiting.erase(waiting);
    }

    const Dialect m_dialect;
    IoThread m_thread;
    Sink m_sink;
    Counter &m_requests;
    Counter &m_refused;
    Counter &m_gone;
    LatencyHistogram &m_latency;
    std::unordered_map<ExchangeId, Waiting> m_waiting; // exchanges without an answer
    HttpServer m_server;
    Inlet<GuestAnswer> m_inlet;
};

using GuestEndpoint = BasicGuestEndpoint<ServicePathDialect>;

} // namespace camphorreach::impl
