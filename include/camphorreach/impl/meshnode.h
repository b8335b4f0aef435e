// Mesh node: the pipeline beside a backend server whose routes and orders lie in the platform's
// store.
#pragma once

#include <camphorreach/catalog.h>
#include <camphorreach/impl/adminendpoint.h>
#include <camphorreach/impl/platformendpoint.h>
#include <camphorreach/impl/requestpath.h>
#include <camphorreach/localserver.h>
#include <camphorreach/log.h>
#include <camphorreach/rollouts.h>
#include <camphorreach/sidecarsettings.h>
#include <camphorreach/store.h>

#include <atomic>
#include <boost/json/serialize.hpp>
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
[[nodiscard]] Endpoint selfOf(const SidecarSettings &settings);
[[nodiscard]] Gate::Limits gateLimits(const SidecarSettings &settings);
[[nodiscard]] MeshRouter::Options routerOptions(const SidecarSettings &settings);
/// A log line.
[[nodiscard]] std::string toText(const ConfigurationHeard &heard);

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
    static constexpr std::size_t maxInFlight = 2048;
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

    using Path = RequestPath<MeshRouter, typename Dialect::Guests, typename Dialect::Backend>;
    using StoreEndpoint = BasicPlatformEndpoint<typename Dialect::Store>;

    [[nodiscard]] typename Path::Filters pathFilters();
    [[nodiscard]] typename Path::Hooks pathHooks();
    [[nodiscard]] bool onControlMessage(PeerEvent &&event);
    void onStoreReply(StoreUser user, StoreReply &&reply);
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
    std::atomic<bool> m_hasConfiguration { false }; // never becomes false again
    std::atomic<bool> m_isStopping { false }; // never becomes false again
    std::mutex m_callerMutex; // guards m_caller
    ServiceName m_caller; // the service beside whose backend server requests begin
    // One engine for each stage, so that no two threads share one.
    RandomSource m_routerRandom;
    RandomSource m_membershipRandom;
    RandomSource m_catalogRandom;
    RandomSource m_gateRandom;
    Path m_path;
    Stage<Catalog> m_catalog;
    Stage<Rollouts> m_rollouts;
    Stage<LocalServer> m_local;
    StoreEndpoint m_store;
    AdminEndpoint m_admin;
};

template <PlatformDialect Dialect>
MeshNode<Dialect>::MeshNode(const SidecarSettings &settings)
    : m_settings(settings), m_caller(settings.backendServer.service),
      m_routerRandom(seeded(settings, 1)), m_membershipRandom(seeded(settings, 2)),
      m_catalogRandom(seeded(settings, 3)), m_gateRandom(seeded(settings, 4)),
      m_path(settings, settings.backendServer.address,
             { requestPlaces, maxInFlight, controlPlaces, controlReserve, maxGuestConnections,
               maxBackendConnections, warmConnections },
             pathFilters(), pathHooks(), m_metrics),
      m_catalog(
          std::make_unique<Catalog>(selfOf(settings), Catalog::Options { settings.retries.ratio },
                                    m_catalogRandom),
          [this](Catalog::Output &&output) { onCatalogOutput(std::move(output)); }, controlPlaces,
          controlReserve),
      m_rollouts(
          std::make_unique<Rollouts>(selfOf(settings), RolloutPolicy {}),
          [this](Rollouts::Output &&output) { onRolloutsOutput(std::move(output)); }, controlPlaces,
          controlReserve),
      m_local(
          std::make_unique<LocalServer>(settings.backendServer,
                                        missedHeartbeats * settings.heartbeat),
          [this](LocalServer::Output &&output) { onLocalOutput(std::move(output)); }, controlPlaces,
          controlReserve),
      m_store(
          settings.platform,
          [this](StoreUser user, StoreReply &&reply) { onStoreReply(user, std::move(reply)); },
          m_metrics),
      m_admin({ settings.readyAddress, settings.announceAddress }, adminHandlers())
{ }

template <PlatformDialect Dialect>
typename MeshNode<Dialect>::Path::Filters MeshNode<Dialect>::pathFilters()
{
    return { std::make_unique<MeshRouter>(m_settings.domain, maxInFlight, routerOptions(m_settings),
                                          m_routerRandom),
             std::make_unique<Gate>(gateLimits(m_settings), m_settings.backendServer.service,
                                    m_settings.peerAddress, m_gateRandom),
             std::make_unique<Membership>(selfOf(m_settings), m_settings.seeds,
                                          m_membershipRandom) };
}

template <PlatformDialect Dialect>
typename MeshNode<Dialect>::Path::Hooks MeshNode<Dialect>::pathHooks()
{
    return {
        [this](GuestRequest &request) {
            const std::lock_guard lock(m_callerMutex);
            request.caller = m_caller;
        },
        [this](PeerEvent &&event) { return onControlMessage(std::move(event)); },
        [this](RequestSample &&sample) {
            if (!m_rollouts.ring().tryPush(std::move(sample)))
                m_samplesDropped.add();
        },
        [this](const EndpointsChanged &changed) {
            (void)m_catalog.ring().tryPush(changed); // the next repairs it
            (void)m_rollouts.ring().tryPush(changed);
        },
        [this](bool isReachable) {
            m_log.info(isReachable ? "event=backend-reachable" : "event=backend-unreachable");
        },
    };
}

template <PlatformDialect Dialect>
bool MeshNode<Dialect>::onControlMessage(PeerEvent &&event)
{
    if (auto *message = std::get_if<PeerReceived<CatalogMessage>>(&event))
        return m_catalog.ring().tryPush(std::move(*message));
    if (auto *message = std::get_if<PeerReceived<RolloutMessage>>(&event))
        return m_rollouts.ring().tryPush(std::move(*message));
    return false; // of nodes that learn by leases and deltas; this one follows the store
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
void MeshNode<Dialect>::onCatalogOutput(Catalog::Output &&output)
{
    std::visit(
        Overloaded {
            [this](StoreCall &call) {
                m_store.ring().push({ StoreUser::Catalog, std::move(call) });
            },
            [this](PeerSend &send) { m_path.peers().ring().push(std::move(send)); },
            [this](SnapshotChanged &changed) {
                m_log.info("event=config-in-force version="
                           + std::to_string(changed.snapshot->version.value())
                           + " routes=" + std::to_string(changed.snapshot->hostRoutes.size()));
                m_path.guests().setLimits(changed.snapshot->limits);
                m_local.ring().push(changed);
                m_path.router().ring().push(std::move(changed));
                m_hasConfiguration = true;
            },
            [this](const ConfigurationHeard &heard) { m_log.info(toText(heard)); },
            [this](OrdersChanged &changed) { m_rollouts.ring().push(std::move(changed)); },
            [this](JoinPeers &join) { (void)m_path.membership().ring().tryPush(std::move(join)); },
        },
        output);
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::onRolloutsOutput(Rollouts::Output &&output)
{
    std::visit(
        Overloaded {
            [this](StoreCall &call) {
                m_store.ring().push({ StoreUser::Rollouts, std::move(call) });
            },
            [this](PeerSend &send) { m_path.peers().ring().push(std::move(send)); },
            [this](MoveSharesChanged &changed) { m_path.router().ring().push(std::move(changed)); },
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
    m_path.membership().ring().push(SelfChanged { announced.service, announced.version,
                                                  announced.slots, announced.isAccepting });
    m_path.gate().ring().push(std::move(announced));
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
    if (auto *departure = std::get_if<BackendDeparture>(&message))
        departure->receivedAt = BackendBirth(wallTimeNow().value());
    const bool isTaken = std::visit(
        Overloaded { [](Error &) { return false; },
                     [this](auto &part) { return m_local.ring().tryPush(std::move(part)); } },
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
              const bool isReady = m_hasConfiguration && !m_isStopping;
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
    boost::json::object state = m_path.dump();
    state["instance"] = m_settings.instance.value();
    return boost::json::serialize(state);
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::start()
{
    m_path.startFilters();
    m_catalog.start();
    m_rollouts.start();
    m_local.start();
    m_store.start();
    m_path.startEndpoints();
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
    if (const DrainRemainder left = m_path.drain(serveOn, end); !left.isEmpty())
        m_log.warning("event=stop-cut-short left=" + toText(left));
    stop();
    m_log.info("event=stopped");
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::stop()
{
    m_admin.stop();
    m_path.stopFilters();
    m_catalog.stop();
    m_rollouts.stop();
    m_local.stop();
    m_path.stopEndpoints();
    m_store.stop();
}

} // namespace camphorreach::impl
