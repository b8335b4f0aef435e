// Mesh node: the pipeline beside a backend server whose routes and orders lie in the platform's
// store.
#pragma once

#include <camphorreach/catalog.h>
#include <camphorreach/gate.h>
#include <camphorreach/impl/adminendpoint.h>
#include <camphorreach/impl/backendendpoint.h>
#include <camphorreach/impl/decisionlog.h>
#include <camphorreach/impl/event.h>
#include <camphorreach/impl/guestendpoint.h>
#include <camphorreach/impl/peerendpoint.h>
#include <camphorreach/impl/platformendpoint.h>
#include <camphorreach/localserver.h>
#include <camphorreach/log.h>
#include <camphorreach/membership.h>
#include <camphorreach/rollouts.h>
#include <camphorreach/router.h>
#include <camphorreach/sidecarsettings.h>
#include <camphorreach/stage.h>
#include <camphorreach/store.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace camphorreach::impl {

/// The filters that use the store. Call ids are unique for each of them.
enum class StoreUser : std::uint8_t { Catalog, Rollouts };

/// What a backend server says at the address for announcements: an announcement, a departure, or a
/// message that cannot be read.
using LocalMessage = std::variant<BackendAnnouncement, BackendDeparture, Error>;

/// How a platform speaks. It holds names, formats and calls, and decides nothing.
template <typename P>
concept PlatformDialect = GuestDialect<typename P::Guests> && BackendDialect<
    typename P::Backend> && PlatformCodec<typename P::Store> && requires(const HttpRequest &request)
{
    {
        P::decodeLocal(request)
        } -> std::same_as<LocalMessage>;
    {
        P::readyPath()
        } -> std::convertible_to<std::string>;
    {
        P::announcementPrefix()
        } -> std::convertible_to<std::string>;
};

/// Parts of a mesh node that do not depend on the platform's dialect.
[[nodiscard]] Endpoint endpointOf(const SidecarSettings &settings);
[[nodiscard]] Gate::Limits gateLimits(const SidecarSettings &settings);
[[nodiscard]] MeshRouter::Options routerOptions(const SidecarSettings &settings);
[[nodiscard]] RandomSource seeded(const SidecarSettings &settings, std::uint64_t part);
[[nodiscard]] std::string dumpOf(const Membership &membership);
[[nodiscard]] std::string dumpOf(const MeshRouter &router);
[[nodiscard]] std::string dumpOf(const Gate &gate);

/// All threads and rings of one node.
template <PlatformDialect Dialect>
class MeshNode
{
public:
    /// Binds all listeners. Throws std::exception when an address is not available.
    explicit MeshNode(const SidecarSettings &settings);
    ~MeshNode() { stop(); } // no thread may run while rings and endpoints are destroyed
    MeshNode(const MeshNode &) = delete;
    MeshNode &operator=(const MeshNode &) = delete;

    void start();
    /// Takes over what may change while the process runs: the service of the backend server.
    void reload(const SidecarSettings &settings);
    /// Is no longer ready, serves on while guests leave, finishes what is in flight, and stops.
    void drainAndStop();

private:
    static constexpr std::size_t requestPlaces = 2048;
    // Each request in flight yields at most one answer and one end of a link.
    static constexpr std::size_t maxInFlight = 2048;
    static constexpr std::size_t answerPlaces = 2 * maxInFlight;
    static constexpr std::size_t controlPlaces = 1024;
    static constexpr std::size_t controlReserve = 64;
    static constexpr std::size_t maxGuestConnections = 2048;
    // The backend server serves one request at a time on a connection; a few more replace those
    // that are being closed.
    static constexpr std::size_t maxBackendConnections = 64;
    static constexpr std::size_t warmConnections = 2;
    // Announcements may be seconds late; after so many missed ones the server is taken for gone.
    static constexpr int missedHeartbeats = 4;
    // Guests stop sending after two unanswered questions for readiness, a second apart.
    static constexpr Duration serveOn = std::chrono::milliseconds(2500);
    // What is left of the grace for the end of the threads, on a machine with a tenth of a core.
    static constexpr Duration leaveTime = std::chrono::milliseconds(600);

    using Store = typename Dialect::Store;
    using StoreEndpoint = BasicPlatformEndpoint<Store>;

    [[nodiscard]] bool onGuestEvent(GuestEvent &&event);
    [[nodiscard]] bool onPeerEvent(PeerEvent &&event);
    void onBackendEvent(BackendEvent &&event);
    void onStoreReply(StoreUser user, StoreReply &&reply);
    void onRouterOutput(MeshRouter::Output &&output);
    void onGateOutput(Gate::Output &&output);
    void onMembershipOutput(Membership::Output &&output);
    void onCatalogOutput(Catalog::Output &&output);
    void onRolloutsOutput(Rollouts::Output &&output);
    void onLocalOutput(LocalServer::Output &&output);
    [[nodiscard]] HttpResponse onAnnouncement(const HttpRequest &request);
    [[nodiscard]] std::map<std::string, AdminEndpoint::Handler> adminHandlers();
    [[nodiscard]] std::string dump() const;
    void stop();

    const SidecarSettings m_settings;
    const Log m_log { "node" };
    MetricsRegistry m_metrics;
    Counter &m_samplesDropped = m_metrics.counter("rollouts.samples_dropped_ring_full");
    std::atomic<bool> m_isReady { false }; // a configuration is held, and no stop was asked for
    std::atomic<bool> m_isStopping { false };
    std::mutex m_callerMutex; // guards m_caller
    ServiceName m_caller; // the service beside whose backend server requests begin
    DecisionLog m_routerLog { "router", m_metrics }; // used by the routing thread
    DecisionLog m_gateLog { "gate", m_metrics }; // used by the gate's thread
    // One engine for each stage, so that no two threads share one.
    RandomSource m_routerRandom;
    RandomSource m_membershipRandom;
    RandomSource m_catalogRandom;
    RandomSource m_gateRandom;
    Stage<MeshRouter> m_router;
    Stage<Gate> m_gate;
    Stage<Membership> m_membership;
    Stage<Catalog> m_catalog;
    Stage<Rollouts> m_rollouts;
    Stage<LocalServer> m_local;
    BasicGuestEndpoint<typename Dialect::Guests> m_guests;
    PeerEndpoint m_peers;
    BasicBackendEndpoint<typename Dialect::Backend> m_backend;
    StoreEndpoint m_store;
    AdminEndpoint m_admin;
    Event m_gateDrained; // set by the gate's thread
};

template <PlatformDialect Dialect>
MeshNode<Dialect>::MeshNode(const SidecarSettings &settings)
    : m_settings(settings), m_caller(settings.backendServer.service),
      m_routerRandom(seeded(settings, 1)), m_membershipRandom(seeded(settings, 2)),
      m_catalogRandom(seeded(settings, 3)), m_gateRandom(seeded(settings, 4)),
      m_router(
          std::make_unique<MeshRouter>(settings.domain, maxInFlight, routerOptions(settings),
                                       m_routerRandom),
          [this](MeshRouter::Output &&output) { onRouterOutput(std::move(output)); },
          requestPlaces + answerPlaces, answerPlaces),
      m_gate(
          std::make_unique<Gate>(gateLimits(settings), settings.backendServer.service,
                                 settings.peerAddress, m_gateRandom),
          [this](Gate::Output &&output) { onGateOutput(std::move(output)); },
          requestPlaces + answerPlaces, answerPlaces),
      m_membership(
          std::make_unique<Membership>(endpointOf(settings), settings.seeds, m_membershipRandom),
          [this](Membership::Output &&output) { onMembershipOutput(std::move(output)); },
          controlPlaces, controlReserve),
      m_catalog(
          std::make_unique<Catalog>(endpointOf(settings),
                                    Catalog::Options { settings.retries.ratio }, m_catalogRandom),
          [this](Catalog::Output &&output) { onCatalogOutput(std::move(output)); }, controlPlaces,
          controlReserve),
      m_rollouts(
          std::make_unique<Rollouts>(endpointOf(settings), RolloutPolicy {}),
          [this](Rollouts::Output &&output) { onRolloutsOutput(std::move(output)); }, controlPlaces,
          controlReserve),
      m_local(
          std::make_unique<LocalServer>(settings.backendServer,
                                        missedHeartbeats * settings.heartbeat),
          [this](LocalServer::Output &&output) { onLocalOutput(std::move(output)); }, controlPlaces,
          controlReserve),
      m_guests(
          settings.guestAddress, maxGuestConnections,
          [this](GuestEvent &&event) { return onGuestEvent(std::move(event)); }, m_metrics),
      m_peers(
          settings.peerAddress, [this](PeerEvent &&event) { return onPeerEvent(std::move(event)); },
          m_metrics),
      m_backend(
          settings.backendServer.address, maxBackendConnections, warmConnections,
          [this](BackendEvent &&event) { onBackendEvent(std::move(event)); }, m_metrics),
      m_store(
          settings.platform,
          [this](StoreUser user, StoreReply &&reply) { onStoreReply(user, std::move(reply)); },
          m_metrics),
      m_admin({ settings.readyAddress, settings.announceAddress }, adminHandlers())
{ }

template <PlatformDialect Dialect>
bool MeshNode<Dialect>::onGuestEvent(GuestEvent &&event)
{
    return std::visit(Overloaded {
                          [this](GuestRequest &request) {
                              {
                                  const std::lock_guard lock(m_callerMutex);
                                  request.caller = m_caller;
                              }
                              return m_router.ring().tryPush(std::move(request));
                          },
                          [this](GuestGone &gone) { return m_router.ring().pushReserved(gone); },
                      },
                      event);
}

template <PlatformDialect Dialect>
bool MeshNode<Dialect>::onPeerEvent(PeerEvent &&event)
{
    return std::visit(
        Overloaded {
            [this](PeerReceived<ForwardAnswer> &answer) {
                return m_router.ring().pushReserved(std::move(answer));
            },
            [this](LinkDown &down) { return m_router.ring().pushReserved(std::move(down)); },
            [this](ForwardReceived &received) {
                return m_gate.ring().tryPush(std::move(received));
            },
            [this](CancelReceived &cancel) { return m_gate.ring().pushReserved(cancel); },
            [this](LinkClosed &closed) { return m_gate.ring().pushReserved(closed); },
            [this](PeerReceived<MembershipMessage> &message) {
                return m_membership.ring().tryPush(std::move(message));
            },
            [this](PeerReceived<CatalogMessage> &message) {
                return m_catalog.ring().tryPush(std::move(message));
            },
            [this](PeerReceived<RolloutMessage> &message) {
                return m_rollouts.ring().tryPush(std::move(message));
            },
            [this](PeerReceived<QuarantineMessage> &message) {
                return m_gate.ring().tryPush(std::move(message));
            },
            // Of nodes that learn by leases and deltas; this one follows the store.
            [](PeerReceived<ConfigMessage> &) { return false; },
            [](PeerReceived<MoveMessage> &) { return false; },
        },
        event);
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::onBackendEvent(BackendEvent &&event)
{
    // A push into a reserve fails only when the ring is closed.
    std::visit(
        Overloaded {
            [this](BackendResult &result) { (void)m_gate.ring().pushReserved(std::move(result)); },
            [this](BackendReachable &reachable) {
                m_log.info(reachable.isReachable ? "event=backend-reachable"
                                                 : "event=backend-unreachable");
                (void)m_gate.ring().pushReserved(reachable);
                (void)m_membership.ring().pushReserved(reachable);
            },
        },
        event);
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::onStoreReply(StoreUser user, StoreReply &&reply)
{
    if (user == StoreUser::Catalog)
        (void)m_catalog.ring().pushReserved(std::move(reply)); // false only when closed
    else
        (void)m_rollouts.ring().pushReserved(std::move(reply));
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::onRouterOutput(MeshRouter::Output &&output)
{
    std::visit(
        Overloaded {
            [this](GuestAnswer &answer) { m_guests.ring().push(std::move(answer)); },
            [this](PeerSend &send) { m_peers.ring().push(std::move(send)); },
            [this](RouterDecision &decision) { m_routerLog.write(decision, SteadyClock().now()); },
            [this](RequestSample &sample) {
                // The router never waits for another stage, so that no cycle can form.
                if (!m_rollouts.ring().tryPush(std::move(sample)))
                    m_samplesDropped.add();
            },
        },
        output);
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::onGateOutput(Gate::Output &&output)
{
    std::visit(
        Overloaded {
            [this](ForwardReply &reply) { m_peers.ring().push(std::move(reply)); },
            [this](BackendCall &call) { m_backend.ring().push(std::move(call)); },
            [this](BackendCancel &cancel) { m_backend.ring().push(cancel); },
            [this](PeerSend &send) { m_peers.ring().push(std::move(send)); },
            [this](GateDrained &) { m_gateDrained.set(); },
            [this](GateDecision &decision) { m_gateLog.write(decision, SteadyClock().now()); },
        },
        output);
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::onMembershipOutput(Membership::Output &&output)
{
    std::visit(Overloaded {
                   [this](PeerSend &send) { m_peers.ring().push(std::move(send)); },
                   [this](EndpointsChanged &changed) {
                       (void)m_catalog.ring().tryPush(changed); // the next change repairs it
                       (void)m_rollouts.ring().tryPush(changed);
                       m_gate.ring().push(changed);
                       m_router.ring().push(std::move(changed));
                   },
               },
               output);
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::onCatalogOutput(Catalog::Output &&output)
{
    std::visit(Overloaded {
                   [this](StoreCall &call) {
                       m_store.ring().push({ StoreUser::Catalog, std::move(call) });
                   },
                   [this](PeerSend &send) { m_peers.ring().push(std::move(send)); },
                   [this](SnapshotChanged &changed) {
                       m_log.info("event=config-in-force version="
                                  + std::to_string(changed.snapshot->version.value()) + " routes="
                                  + std::to_string(changed.snapshot->hostRoutes.size()));
                       m_guests.setLimits(changed.snapshot->limits);
                       m_local.ring().push(changed);
                       m_router.ring().push(std::move(changed));
                       m_isReady = !m_isStopping;
                   },
                   [this](OrdersChanged &changed) { m_rollouts.ring().push(std::move(changed)); },
                   [this](JoinPeers &join) { (void)m_membership.ring().tryPush(std::move(join)); },
               },
               output);
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::onRolloutsOutput(Rollouts::Output &&output)
{
    std::visit(Overloaded {
                   [this](StoreCall &call) {
                       m_store.ring().push({ StoreUser::Rollouts, std::move(call) });
                   },
                   [this](PeerSend &send) { m_peers.ring().push(std::move(send)); },
                   [this](MoveSharesChanged &changed) { m_router.ring().push(std::move(changed)); },
               },
               output);
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::onLocalOutput(LocalServer::Output &&output)
{
    auto &announced = std::get<BackendAnnounced>(output);
    m_log.info("event=backend-announced server=" + announced.server.value()
               + " service=" + announced.service.value() + " version=" + announced.version.value()
               + " accepting=" + (announced.isAccepting ? "1" : "0"));
    {
        const std::lock_guard lock(m_callerMutex);
        m_caller = announced.service;
    }
    m_membership.ring().push(SelfChanged { announced.service, announced.version, announced.slots,
                                           announced.isAccepting });
    m_gate.ring().push(std::move(announced));
}

// The gate closes within the ring's delay, so the answer need not wait for it.
template <PlatformDialect Dialect>
HttpResponse MeshNode<Dialect>::onAnnouncement(const HttpRequest &request)
{
    LocalMessage message = Dialect::decodeLocal(request);
    if (const auto *error = std::get_if<Error>(&message)) {
        m_log.warning("event=announcement-unreadable reason=\"" + error->text + "\"");
        return { 400, {}, error->text + "\n" };
    }
    const bool isTaken
        = std::visit(Overloaded { [](Error &) { return false; },
                                  [this](BackendAnnouncement &announcement) {
                                      return m_local.ring().tryPush(std::move(announcement));
                                  },
                                  [this](BackendDeparture &departure) {
                                      departure.heardAt = BackendBirth(wallTimeNow().value());
                                      return m_local.ring().tryPush(std::move(departure));
                                  } },
                     message);
    const HttpHeader jsonType { "Content-Type", "application/json" };
    return isTaken ? HttpResponse { 200, { jsonType }, "{}" }
                   : HttpResponse { 503, {}, "the node is busy or stopping\n" };
}

template <PlatformDialect Dialect>
std::map<std::string, AdminEndpoint::Handler> MeshNode<Dialect>::adminHandlers()
{
    const HttpHeader jsonType { "Content-Type", "application/json" };
    return {
        { Dialect::readyPath(),
          [this](const HttpRequest &) {
              const bool isReady = m_isReady;
              return HttpResponse { static_cast<std::uint16_t>(isReady ? 200 : 503),
                                    {},
                                    isReady ? "ready\n" : "no configuration, or stopping\n" };
          } },
        { Dialect::announcementPrefix(),
          [this](const HttpRequest &request) { return onAnnouncement(request); } },
        { "/dump",
          [this, jsonType](const HttpRequest &) {
              return HttpResponse { 200, { jsonType }, dump() + "\n" };
          } },
        { "/metrics",
          [this, jsonType](const HttpRequest &) {
              return HttpResponse { 200, { jsonType }, metricsJson(m_metrics) + "\n" };
          } },
    };
}

template <PlatformDialect Dialect>
std::string MeshNode<Dialect>::dump() const
{
    const auto part = [](const auto &filter) { return dumpOf(filter); };
    return "{\"instance\":\"" + m_settings.instance.value()
        + "\",\"router\":" + m_router.inspect(part) + ",\"gate\":" + m_gate.inspect(part)
        + ",\"members\":" + m_membership.inspect(part) + "}";
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::start()
{
    m_router.start();
    m_gate.start();
    m_membership.start();
    m_catalog.start();
    m_rollouts.start();
    m_local.start();
    m_backend.start();
    m_store.start();
    m_peers.start();
    m_guests.start();
    m_admin.start();
    m_log.info("event=started instance=" + m_settings.instance.value()
               + " failure-domain=" + m_settings.domain.value());
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::reload(const SidecarSettings &settings)
{
    m_log.info("event=settings-reloaded service=" + settings.backendServer.service.value());
    m_local.ring().push(settings.backendServer);
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::drainAndStop()
{
    m_log.info("event=stop-asked");
    const TimePoint end = SteadyClock().now() + m_settings.stopGrace - leaveTime;
    m_isStopping = true;
    m_isReady = false;
    m_membership.ring().push(DrainStarted {});
    m_gate.ring().push(DrainStarted {});
    const auto guestsClosed = std::make_shared<Event>();
    m_guests.drain(serveOn, [guestsClosed] { guestsClosed->set(); });
    bool isWhole = guestsClosed->waitUntil(end);
    isWhole = m_gateDrained.waitUntil(end) && isWhole;
    // Links close last: each waits for the answers to all requests on it.
    const auto peersClosed = std::make_shared<Event>();
    m_peers.drain([peersClosed] { peersClosed->set(); });
    isWhole = peersClosed->waitUntil(end) && isWhole;
    if (!isWhole)
        m_log.warning("event=stop-cut-short");
    m_membership.ring().push(NodeLeaving {});
    stop();
    m_log.info("event=stopped");
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::stop()
{
    m_admin.stop();
    m_router.stop();
    m_gate.stop();
    m_membership.stop();
    m_catalog.stop();
    m_rollouts.stop();
    m_local.stop();
    m_guests.stop();
    m_peers.stop();
    m_backend.stop();
    m_store.stop();
}

} // namespace camphorreach::impl
