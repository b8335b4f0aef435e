// Backend endpoint: HTTP towards the local backend server, rings to and from the gate.
#pragma once

#include <camphorreach/clock.h>
#include <camphorreach/impl/httpclient.h>
#include <camphorreach/impl/iothread.h>
#include <camphorreach/impl/reachabilitymonitor.h>
#include <camphorreach/metrics.h>
#include <camphorreach/request.h>
#include <camphorreach/result.h>

#include <algorithm>
#include <concepts>
#include <functional>
#include <unordered_map>
#include <utility>
#include <variant>

namespace camphorreach::impl {

using BackendCommand = std::variant<BackendCall, BackendCancel>;
using BackendEvent = std::variant<BackendResult, BackendReachable>;

/// How calls to a backend server and its answers look in HTTP.
template <typename D>
concept BackendDialect = requires(const D &dialect, BackendCall call, HttpResponse response)
{
    {
        dialect.encode(std::move(call))
        } -> std::same_as<HttpRequest>;
    {
        dialect.decode(std::move(response))
        } -> std::same_as<std::variant<Answered, BackendFailure>>;
    {
        dialect.clientOptions()
        } -> std::same_as<HttpClient::Options>;
};

/// The project's own interface, as docs/OPERATIONS.md describes it.
class OwnBackendDialect
{
public:
    [[nodiscard]] HttpRequest encode(BackendCall &&call) const;
    [[nodiscard]] std::variant<Answered, BackendFailure> decode(HttpResponse &&response) const;
    [[nodiscard]] HttpClient::Options clientOptions() const;
};

/// What the end of a call without a response means.
[[nodiscard]] BackendFailure toFailure(HttpFailure::Kind kind);

template <BackendDialect Dialect>
class BasicBackendEndpoint
{
public:
    /// Takes an event. Uses the reserve of the gate's ring, so it does not fail.
    using Sink = std::function<void(BackendEvent &&)>;

    /// Opens at most \a maxConnections, one of them to watch the backend server, and keeps
    /// \a warmConnections of them open.
    BasicBackendEndpoint(const NetAddress &backendServer, std::size_t maxConnections,
                         std::size_t warmConnections, Sink sink, MetricsRegistry &metrics,
                         Dialect dialect = {})
        : m_dialect(std::move(dialect)), m_sink(std::move(sink)),
          m_latency(metrics.histogram("backend.latency")), m_warmConnections(warmConnections),
          m_client(m_thread.io(), backendServer, callConnections(maxConnections),
                   m_dialect.clientOptions()),
          m_monitor(m_thread.io(), backendServer,
                    [this](bool isReachable) { onReachable(isReachable); }),
          m_inlet(m_thread.io(), ringCapacity, [this](BackendCommand &&command) {
              std::visit(Overloaded { [this](BackendCall &call) { onCall(std::move(call)); },
                                      [this](BackendCancel &cancel) { onCancel(cancel); } },
                         command);
          })
    { }

    [[nodiscard]] Ring<BackendCommand> &ring() noexcept { return m_inlet.ring(); }

    void start()
    {
        boost::asio::post(m_thread.io(), [this] { m_monitor.start(); });
        m_thread.start();
    }
    void stop() { m_thread.stop(); }

private:
    static constexpr std::size_t ringCapacity = 8192;

    // The monitor takes one of the connections, unless there is only one.
    static std::size_t callConnections(std::size_t maxConnections)
    {
        return std::max<std::size_t>(1, maxConnections - 1);
    }

    void onCall(BackendCall &&call)
    {
        const CallId id = call.id;
        const TimePoint started = SteadyClock().now();
        const Duration timeout = call.request.budget;
        const auto handle = m_client.send(m_dialect.encode(std::move(call)), timeout,
                                          [this, id, started](HttpResult &&result) {
                                              m_calls.erase(id);
                                              m_latency.record(SteadyClock().now() - started);
                                              onResult(id, std::move(result));
                                          });
        m_calls.emplace(id, handle);
    }

    void onResult(CallId id, HttpResult &&result)
    {
        auto *response = std::get_if<HttpResponse>(&result);
        if (response == nullptr) {
            m_sink(BackendResult { id, toFailure(std::get<HttpFailure>(result).kind) });
            return;
        }
        m_sink(BackendResult { id, m_dialect.decode(std::move(*response)) });
        m_client.warmUp(m_warmConnections); // replaces connections that were closed
    }

    void onCancel(const BackendCancel &cancel)
    {
        const auto found = m_calls.find(cancel.id);
        if (found != m_calls.end())
            m_client.cancel(found->second);
    }

    void onReachable(bool isReachable)
    {
        m_sink(BackendReachable { isReachable });
        if (isReachable)
            m_client.warmUp(m_warmConnections);
    }

    const Dialect m_dialect;
    IoThread m_thread;
    Sink m_sink;
    LatencyHistogram &m_latency;
    std::unordered_map<CallId, HttpClient::CallHandle> m_calls; // calls that are under way
    const std::size_t m_warmConnections;
    HttpClient m_client;
    ReachabilityMonitor m_monitor;
    Inlet<BackendCommand> m_inlet;
};

using BackendEndpoint = BasicBackendEndpoint<OwnBackendDialect>;

} // namespace camphorreach::impl
