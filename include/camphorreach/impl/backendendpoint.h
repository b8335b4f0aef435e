// Backend endpoint: HTTP client of the local backend server, connected to the gate by rings.
#pragma once

#include <camphorreach/bodytransfer.h>
#include <camphorreach/clock.h>
#include <camphorreach/impl/httpclient.h>
#include <camphorreach/impl/iothread.h>
#include <camphorreach/impl/reachabilitymonitor.h>
#include <camphorreach/metrics.h>
#include <camphorreach/request.h>
#include <camphorreach/responsetransfer.h>
#include <camphorreach/result.h>

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>

namespace camphorreach::impl {

/// The backend server has another address from now on.
struct BackendAddressChanged
{
    NetAddress address;
};

using BackendCommand = std::variant<BackendCall, BackendCancel, BackendAddressChanged, HealthCall,
                                    BodyPartReceived, BodyEnded, ResponseWanted>;
using BackendEvent = std::variant<BackendResult, BackendReachable, HealthResult, BodyWanted,
                                  ResponseBegun, ResponsePart>;

/// Maps calls to a backend server to HTTP requests, and HTTP responses to results.
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
    {
        dialect.decodeHealth(response)
        } -> std::same_as<BackendHealth>;
};

/// The native HTTP interface to backend servers, described in docs/OPERATIONS.md.
class NativeBackendDialect
{
public:
    [[nodiscard]] HttpRequest encode(BackendCall &&call) const;
    [[nodiscard]] std::variant<Answered, BackendFailure> decode(HttpResponse &&response) const;
    [[nodiscard]] HttpClient::Options clientOptions() const;
    /// The native interface has no health responses.
    [[nodiscard]] BackendHealth decodeHealth(const HttpResponse &) const { return {}; }
};

/// Maps the failure of an HTTP call to the failure that is reported to the gate.
[[nodiscard]] BackendFailure toFailure(HttpFailure::Kind kind);

template <BackendDialect Dialect>
class BasicBackendEndpoint
{
public:
    /// Receives events. It pushes into the reserve of the gate's ring, so it does not fail.
    using Sink = std::function<void(BackendEvent &&)>;

    /// Opens at most \a maxConnections, but at least two, connections, and one more for health
    /// calls. One of them monitors the reachability of the backend server; \a warmConnections of
    /// the others are kept open.
    BasicBackendEndpoint(const NetAddress &backendServer, std::size_t maxConnections,
                         std::size_t warmConnections, Sink sink, MetricsRegistry &metrics,
                         Dialect dialect = {}, const BodyWindows::Limits &bodies = {})
        : m_dialect(std::move(dialect)), m_sink(std::move(sink)),
          m_latency(metrics.histogram("backend.latency")), m_windows(bodies),
          m_warmConnections(warmConnections),
          m_client(m_thread.io(), backendServer, maxCallConnections(maxConnections), callOptions()),
          m_healthClient(m_thread.io(), backendServer, 1, healthOptions()),
          m_monitor(m_thread.io(), backendServer,
                    [this](bool isReachable) { onReachabilityChanged(isReachable); }),
          m_input(m_thread.io(), ringCapacity, [this](BackendCommand &&command) {
              std::visit(Overloaded {
                             [this](BackendCall &call) { onCall(std::move(call)); },
                             [this](BackendCancel &cancel) { onCancel(cancel); },
                             [this](BackendAddressChanged &changed) { onAddress(changed.address); },
                             [this](HealthCall &call) { onHealthCall(std::move(call)); },
                             [this](BodyPartReceived &part) { onBodyPart(std::move(part)); },
                             [this](BodyEnded &ended) { onBodyEnded(ended.key); },
                             [this](ResponseWanted &wanted) { onResponseWanted(wanted); },
                         },
                         command);
          })
    { }

    [[nodiscard]] Ring<BackendCommand> &ring() noexcept { return m_input.ring(); }

    void start()
    {
        boost::asio::post(m_thread.io(), [this] { m_monitor.start(); });
        m_thread.start();
    }
    void stop() { m_thread.stop(); }

private:
    static constexpr std::size_t ringCapacity = 8192;
    static constexpr std::size_t maxHealthBytes = 64 * 1024;
    // Shorter than the time after which backend servers close idle connections if they send no
    // Keep-Alive timeout.
    static constexpr Duration healthIdleTimeout = std::chrono::seconds(4);

    // One connection is for the monitor, but calls always get at least one.
    static std::size_t maxCallConnections(std::size_t maxConnections)
    {
        return std::max<std::size_t>(1, maxConnections - 1);
    }

    struct Call
    {
        HttpClient::CallHandle handle = 0;
        BodyKey key;
    };

    HttpClient::Options callOptions()
    {
        HttpClient::Options options = m_dialect.clientOptions();
        options.largeResponses = HttpClient::LargeResponses {
            .begun =
                [this](HttpClient::CallHandle handle, ByteCount size) {
                    m_sink(ResponseBegun { keyOf(handle), size });
                },
            .part =
                [this](HttpClient::CallHandle handle, ByteCount offset, std::string bytes) {
                    m_sink(ResponsePart { keyOf(handle), offset, std::move(bytes) });
                },
        };
        return options;
    }

    // There is a call for each slot of the backend server, so a search is short.
    [[nodiscard]] BodyKey keyOf(HttpClient::CallHandle handle) const
    {
        const auto found = std::ranges::find_if(
            m_calls, [handle](const auto &entry) { return entry.second.handle == handle; });
        return found == m_calls.end() ? BodyKey {} : found->second.key;
    }

    void onResponseWanted(const ResponseWanted &wanted)
    {
        for (const auto &[id, call] : m_calls) {
            if (call.key == wanted.key)
                return m_client.grant(call.handle, wanted.end);
        }
    }

    void onCall(BackendCall &&call)
    {
        if (call.request.content.large.size > ByteCount())
            return onLargeCall(std::move(call));
        const CallId id = call.id;
        const BodyKey key { call.link, call.request.id };
        const TimePoint started = SteadyClock().now();
        const Duration timeout = call.request.budget;
        const auto handle = m_client.send(m_dialect.encode(std::move(call)), timeout,
                                          [this, id, started](HttpResult &&result) {
                                              m_calls.erase(id);
                                              m_latency.record(SteadyClock().now() - started);
                                              onResult(id, std::move(result));
                                          });
        m_calls.emplace(id, Call { handle, key });
    }

    void onLargeCall(BackendCall &&call)
    {
        const CallId id = call.id;
        const BodyKey key { call.link, call.request.id };
        const ByteCount size = call.request.content.large.size;
        const bool isHere = call.request.content.large.data != nullptr;
        const Duration timeout = call.request.budget;
        const auto handle = m_client.sendLarge(
            m_dialect.encode(std::move(call)), timeout,
            [this, id, key](HttpResult &&result) {
                m_calls.erase(id);
                m_windows.close(key);
                m_bodies.erase(key);
                const bool isBodyLost = m_lostBodies.erase(id) > 0;
                const auto *failure = std::get_if<HttpFailure>(&result);
                if (isBodyLost && failure != nullptr && !failure->isUnsent())
                    m_sink(BackendResult { id, BackendFailure::BodyLost });
                else
                    onResult(id, std::move(result));
            },
            [this, key](ByteCount taken) {
                if (const auto end = m_windows.take(key, taken))
                    m_sink(BodyWanted { key, *end });
            });
        m_calls.emplace(id, Call { handle, key });
        if (isHere)
            return;
        m_bodies.emplace(key, id);
        m_sink(BodyWanted { key, m_windows.open(key, size) });
    }

    void onBodyPart(BodyPartReceived &&part)
    {
        const auto found = m_bodies.find(part.key);
        if (found == m_bodies.end())
            return; // the call has ended
        if (m_windows.receive(part.key, part.offset, ByteCount(part.bytes.size())))
            m_client.feed(m_calls.at(found->second).handle, std::move(part.bytes));
        else
            loseBody(found->second);
    }

    void onBodyEnded(const BodyKey &key)
    {
        const auto found = m_bodies.find(key);
        if (found != m_bodies.end() && !m_windows.isReceived(key))
            loseBody(found->second);
    }

    void loseBody(CallId id)
    {
        m_lostBodies.insert(id);
        m_client.cancel(m_calls.at(id).handle);
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

    // Health responses carry no id, so they have a connection of their own: none of them can be
    // taken for the response to a request. A connection on which anything arrives between two
    // calls is closed, which ends a series of responses that are one call late.
    static HttpClient::Options healthOptions()
    {
        HttpClient::Options options;
        options.bodyBytes = maxHealthBytes;
        options.idleTimeout = healthIdleTimeout;
        return options;
    }

    void onHealthCall(HealthCall &&call)
    {
        HttpRequest request;
        request.method = "GET";
        request.target = std::move(call.path);
        m_healthClient.send(
            std::move(request), call.timeout, [this, id = call.id](HttpResult &&result) {
                const auto *response = std::get_if<HttpResponse>(&result);
                m_sink(HealthResult { id,
                                      response != nullptr
                                          ? std::optional(m_dialect.decodeHealth(*response))
                                          : std::nullopt });
            });
    }

    void onCancel(const BackendCancel &cancel)
    {
        const auto found = m_calls.find(cancel.id);
        if (found != m_calls.end())
            m_client.cancel(found->second.handle);
    }

    void onAddress(const NetAddress &address)
    {
        m_client.setServer(address);
        m_healthClient.setServer(address);
        m_monitor.setServer(address);
    }

    void onReachabilityChanged(bool isReachable)
    {
        m_sink(BackendReachable { isReachable });
        if (isReachable)
            m_client.warmUp(m_warmConnections);
    }

    const Dialect m_dialect;
    IoThread m_thread;
    Sink m_sink;
    LatencyHistogram &m_latency;
    std::unordered_map<CallId, Call> m_calls; // calls in flight
    BodyWindows m_windows;
    std::map<BodyKey, CallId> m_bodies; // of calls in flight, from other nodes
    std::set<CallId> m_lostBodies; // while their calls are being cancelled
    const std::size_t m_warmConnections;
    HttpClient m_client;
    HttpClient m_healthClient;
    ReachabilityMonitor m_monitor;
    InputRing<BackendCommand> m_input;
};

using BackendEndpoint = BasicBackendEndpoint<NativeBackendDialect>;

} // namespace camphorreach::impl
