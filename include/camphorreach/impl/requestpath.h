// Request path: the stages and endpoints that handle requests, and membership. Every kind of node
// has them, whichever way it gets its configuration.
#pragma once

#include <camphorreach/clientmemory.h>
#include <camphorreach/clock.h>
#include <camphorreach/gate.h>
#include <camphorreach/impl/backendendpoint.h>
#include <camphorreach/impl/clientendpoint.h>
#include <camphorreach/impl/decisionlog.h>
#include <camphorreach/impl/event.h>
#include <camphorreach/impl/peerendpoint.h>
#include <camphorreach/membership.h>
#include <camphorreach/metrics.h>
#include <camphorreach/processsettings.h>
#include <camphorreach/router.h>
#include <camphorreach/stage.h>

#include <boost/json/object.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace camphorreach::impl {

/// The endpoint that a process announces when it starts.
[[nodiscard]] Endpoint endpointOf(const ProcessSettings &settings, const ServiceName &service);
/// A random engine for one \a stage of a process. The numbers of stages must differ.
[[nodiscard]] RandomSource seededRandom(const ProcessSettings &settings, std::uint64_t stage);

/// State dumps of filters.
[[nodiscard]] boost::json::value dumpOf(const Router &router);
[[nodiscard]] boost::json::value dumpOf(const MeshRouter &router);
[[nodiscard]] boost::json::value dumpOf(const Gate &gate);
[[nodiscard]] boost::json::value dumpOf(const Membership &membership);

/// What was unfinished when a drain reached its deadline.
struct DrainRemainder
{
    bool hasClients = false; ///< Connections from clients were open.
    bool hasWork = false; ///< The gate had requests queued or running.
    bool hasLinks = false; ///< Links opened by other nodes were open.

    [[nodiscard]] bool isEmpty() const noexcept { return !hasClients && !hasWork && !hasLinks; }
};

/// For logs, such as "guests,links".
[[nodiscard]] std::string toText(const DrainRemainder &unfinished);

/// Owns the threads and rings of the request path. The node that owns the path extends it by hooks,
/// which are called on the threads of the path between start and stop.
template <Filter R, RequestDialect Clients, BackendDialect Backend>
class RequestPath
{
public:
    struct Sizes
    {
        std::size_t requestCapacity = 0;
        std::size_t maxInFlight = 0;
        std::size_t controlCapacity = 0;
        std::size_t controlReserve = 0;
        ClientMemory::Limits clients {};
        std::size_t backendConnections = 0;
        std::size_t warmConnections = 0;
        ByteRate egressRate {}; ///< Of the machine, as far as messages may use it.
        BodyWindows::Limits bodies {}; ///< Of large bodies on their way, in each direction.
    };

    struct Filters
    {
        std::unique_ptr<R> router;
        std::unique_ptr<Gate> gate;
        std::unique_ptr<Membership> membership;
    };

    struct Hooks
    {
        /// Fills in a request before it is routed.
        std::function<void(ClientRequest &)> onRequest;
        /// Receives a message that is not for a stage of the path. Returns false when its ring is
        /// full, or when this kind of node does not use it.
        std::function<bool(PeerEvent &&)> onControl;
        /// Must not block: the router never waits for another stage, so that stages cannot deadlock
        /// in a cycle.
        std::function<void(AttemptEvent &&)> onAttempt;
        std::function<void(const EndpointsChanged &)> onEndpoints;
        std::function<void(bool)> onReachable;
        /// Must not block, like onSample. May be empty.
        std::function<void(BackendHealth &&)> onHealth {};
    };

    /// Binds the listeners. Throws std::exception when an address is not available.
    RequestPath(const ProcessSettings &settings, const NetAddress &backendServer,
                const Sizes &sizes, Filters filters, Hooks hooks, MetricsRegistry &metrics)
        : m_hooks(std::move(hooks)),
          m_largeBodies(std::make_shared<LargeBodyAllowance>(sizes.clients.large)),
          m_routerLog("router", metrics), m_gateLog("gate", metrics),
          m_router(
              std::move(filters.router),
              [this](typename R::Output &&output) { onRouterOutput(std::move(output)); },
              sizes.requestCapacity + answerReserve(sizes), answerReserve(sizes)),
          m_gate(
              std::move(filters.gate),
              [this](Gate::Output &&output) { onGateOutput(std::move(output)); },
              sizes.requestCapacity + answerReserve(sizes), answerReserve(sizes)),
          m_membership(
              std::move(filters.membership),
              [this](Membership::Output &&output) { onMembershipOutput(std::move(output)); },
              sizes.controlCapacity, sizes.controlReserve),
          m_clients(
              settings.clientAddress, sizes.clients,
              [this](ClientEvent &&event) { return onClientEvent(std::move(event)); }, metrics, {},
              m_largeBodies),
          m_peers(
              settings.peerAddress,
              [this](PeerEvent &&event) { return onPeerEvent(std::move(event)); }, metrics,
              sizes.egressRate, m_largeBodies, sizes.bodies),
          m_backend(
              backendServer, sizes.backendConnections, sizes.warmConnections,
              [this](BackendEvent &&event) { onBackendEvent(std::move(event)); }, metrics, {},
              sizes.bodies)
    { }

    [[nodiscard]] Stage<R> &router() noexcept { return m_router; }
    [[nodiscard]] Stage<Gate> &gate() noexcept { return m_gate; }
    [[nodiscard]] Stage<Membership> &membership() noexcept { return m_membership; }
    [[nodiscard]] BasicClientEndpoint<Clients> &clients() noexcept { return m_clients; }
    [[nodiscard]] PeerEndpoint &peers() noexcept { return m_peers; }
    [[nodiscard]] BasicBackendEndpoint<Backend> &backend() noexcept { return m_backend; }

    void startFilters()
    {
        m_router.start();
        m_gate.start();
        m_membership.start();
    }
    void startEndpoints()
    {
        m_backend.start();
        m_peers.start();
        m_clients.start();
    }

    /// Announces that the node is draining, completes the requests in flight, and closes the
    /// connections of clients; idle ones are closed after \a acceptPeriod at the latest. Requests
    /// that are read later are rejected, and those in flight have an outcome before \a deadline.
    /// Returns what was unfinished at the deadline.
    [[nodiscard]] DrainRemainder drain(Duration acceptPeriod, TimePoint deadline)
    {
        m_membership.ring().push(DrainStarted {});
        m_gate.ring().push(DrainStarted {});
        m_router.ring().push(
            DrainSchedule { SteadyClock().now() + acceptPeriod, deadline - answerTime });
        const auto clientsClosed = std::make_shared<Event>();
        m_clients.drain(acceptPeriod, [clientsClosed] { clientsClosed->set(); });
        DrainRemainder unfinished;
        unfinished.hasWork = !m_gateDrained.waitUntil(deadline - linkCloseTime);
        // Links from other nodes close once their requests are answered. Links to other nodes stay
        // open, so that a client that never finishes sending its request delays neither of them.
        const auto peersClosed = std::make_shared<Event>();
        m_peers.drain([peersClosed] { peersClosed->set(); });
        unfinished.hasClients = !clientsClosed->waitUntil(deadline);
        unfinished.hasLinks = !peersClosed->waitUntil(deadline);
        m_membership.ring().push(NodeLeaving {});
        return unfinished;
    }

    void stopFilters()
    {
        m_router.stop();
        m_gate.stop();
        m_membership.stop();
    }
    void stopEndpoints()
    {
        m_clients.stop();
        m_peers.stop();
        m_backend.stop();
    }

    [[nodiscard]] boost::json::object dump() const
    {
        const auto toJson = [](const auto &filter) { return dumpOf(filter); };
        return { { "router", m_router.inspect(toJson) },
                 { "gate", m_gate.inspect(toJson) },
                 { "members", m_membership.inspect(toJson) } };
    }

private:
    // Other nodes are notified within this time that their links close.
    static constexpr Duration linkCloseTime = std::chrono::milliseconds(400);
    // An outcome reaches its client within this time, on a machine with a tenth of a core.
    static constexpr Duration answerTime = std::chrono::milliseconds(200);

    // Every request in flight produces at most one answer and one end of a link.
    static std::size_t answerReserve(const Sizes &sizes) { return 2 * sizes.maxInFlight; }

    bool onClientEvent(ClientEvent &&event)
    {
        return std::visit(
            Overloaded {
                [this](ClientRequest &request) {
                    if (m_hooks.onRequest)
                        m_hooks.onRequest(request);
                    return m_router.ring().tryPush(std::move(request));
                },
                [this](ClientDisconnected &gone) { return m_router.ring().pushReserved(gone); },
            },
            event);
    }

    bool onPeerEvent(PeerEvent &&event)
    {
        return std::visit(
            Overloaded {
                [this](PeerReceived<ForwardResponse> &answer) {
                    return m_router.ring().pushReserved(std::move(answer));
                },
                [this](LinkDown &down) { return m_router.ring().pushReserved(std::move(down)); },
                [this](ForwardReceived &received) {
                    return m_gate.ring().tryPush(std::move(received));
                },
                [this](CancelReceived &cancel) { return m_gate.ring().pushReserved(cancel); },
                [this](BodyPartReceived &part) {
                    return m_backend.ring().tryPush(std::move(part));
                },
                [this](BodyEnded &ended) { return m_backend.ring().pushReserved(ended); },
                [this](ResponseWanted &wanted) { return m_backend.ring().pushReserved(wanted); },
                [this](LinkClosed &closed) { return m_gate.ring().pushReserved(closed); },
                [this](PeerReceived<MembershipMessage> &message) {
                    return m_membership.ring().tryPush(std::move(message));
                },
                [this](PeerReceived<QuarantineMessage> &message) {
                    return m_gate.ring().tryPush(std::move(message));
                },
                [this](PeerReceived<QuotaMessage> &message) {
                    return m_router.ring().tryPush(std::move(message));
                },
                [this](EgressBacklogChanged &changed) { return m_gate.ring().tryPush(changed); },
                [this](auto &message) { return m_hooks.onControl(std::move(message)); },
            },
            event);
    }

    void onBackendEvent(BackendEvent &&event)
    {
        // pushReserved() fails only when the ring is closed.
        std::visit(Overloaded {
                       [this](BackendResult &result) {
                           (void)m_gate.ring().pushReserved(std::move(result));
                       },
                       [this](HealthResult &result) {
                           (void)m_gate.ring().pushReserved(std::move(result));
                       },
                       [this](BodyWanted &wanted) { m_peers.ring().push(wanted); },
                       [this](ResponseBegun &begun) { m_peers.ring().push(begun); },
                       [this](ResponsePart &part) { m_peers.ring().push(std::move(part)); },
                       [this](BackendReachable &reachable) {
                           m_hooks.onReachable(reachable.isReachable);
                           (void)m_gate.ring().pushReserved(reachable);
                           (void)m_membership.ring().pushReserved(reachable);
                       },
                   },
                   event);
    }

    void onRouterOutput(typename R::Output &&output)
    {
        std::visit(
            Overloaded {
                [this](ClientResponse &answer) {
                    const auto *answered = std::get_if<Answered>(&answer.outcome);
                    if (answered != nullptr && answered->bodySize() >= longMessageSize)
                        m_peers.ring().push(EgressUsed { answered->bodySize() });
                    m_clients.ring().push(std::move(answer));
                },
                [this](PeerSend &send) { m_peers.ring().push(std::move(send)); },
                [this](RouterDecision &decision) {
                    m_routerLog.write(decision, SteadyClock().now());
                },
                [this](AttemptStarted &started) { m_hooks.onAttempt(std::move(started)); },
                [this](RequestSample &sample) { m_hooks.onAttempt(std::move(sample)); },
                [this](AttemptAbandoned &abandoned) { m_hooks.onAttempt(std::move(abandoned)); },
            },
            output);
    }

    void onGateOutput(Gate::Output &&output)
    {
        std::visit(
            Overloaded {
                [this](ForwardReply &reply) { m_peers.ring().push(std::move(reply)); },
                [this](BackendCall &call) { m_backend.ring().push(std::move(call)); },
                [this](BackendCancel &cancel) { m_backend.ring().push(cancel); },
                [this](PeerSend &send) { m_peers.ring().push(std::move(send)); },
                [this](GateDrained &) { m_gateDrained.set(); },
                [this](GateDecision &decision) { m_gateLog.write(decision, SteadyClock().now()); },
                [this](HealthCall &call) { m_backend.ring().push(std::move(call)); },
                [this](BackendHealth &health) {
                    if (m_hooks.onHealth)
                        m_hooks.onHealth(std::move(health));
                },
            },
            output);
    }

    void onMembershipOutput(Membership::Output &&output)
    {
        std::visit(Overloaded {
                       [this](PeerSend &send) { m_peers.ring().push(std::move(send)); },
                       [this](EndpointsChanged &changed) {
                           m_hooks.onEndpoints(changed);
                           m_gate.ring().push(changed);
                           m_router.ring().push(std::move(changed));
                       },
                   },
                   output);
    }

    const Hooks m_hooks;
    const std::shared_ptr<LargeBodyAllowance> m_largeBodies; // used by two threads
    DecisionLog m_routerLog; // used by the router's thread
    DecisionLog m_gateLog; // used by the gate's thread
    Stage<R> m_router;
    Stage<Gate> m_gate;
    Stage<Membership> m_membership;
    BasicClientEndpoint<Clients> m_clients;
    PeerEndpoint m_peers;
    BasicBackendEndpoint<Backend> m_backend;
    Event m_gateDrained; // set by the gate's thread
};

} // namespace camphorreach::impl
