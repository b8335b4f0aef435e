// Mesh node: the sidecar of a backend server, which reads routes and rollout orders from the
// platform's store.
#pragma once

#include <camphorreach/catalog.h>
#include <camphorreach/impl/adminendpoint.h>
#include <camphorreach/impl/platformendpoint.h>
#include <camphorreach/impl/requestpath.h>
#include <camphorreach/impl/storeddepartures.h>
#include <camphorreach/impl/traffic.h>
#include <camphorreach/localserver.h>
#include <camphorreach/log.h>
#include <camphorreach/rollouts.h>
#include <camphorreach/sidecarsettings.h>
#include <camphorreach/store.h>

#include <atomic>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace camphorreach::impl {

/// The filters that call the store. Call ids are only unique per filter.
enum class StoreUser : std::uint8_t { Catalog, Rollouts };

/// A message of the backend server to the announcement address: a heartbeat, a departure, or the
/// error if it cannot be decoded.
using BackendServerMessage = std::variant<BackendAnnouncement, BackendDeparture, Error>;

/// The names, formats and calls of a platform. Contains no decisions.
template <typename P>
concept PlatformDialect = RequestDialect<typename P::Clients> && BackendDialect<
    typename P::Backend> && PlatformCodec<typename P::Store> && requires(const HttpRequest &request)
{
    {
        P::decodeAnnouncement(request)
        } -> std::same_as<BackendServerMessage>;
    {
        P::readyPath()
        } -> std::convertible_to<std::string>;
    {
        P::announcementPrefix()
        } -> std::convertible_to<std::string>;
    {
        P::encodeConfiguration(MeshConfig())
        } -> std::convertible_to<std::string>;
};

/// The functions of a mesh node that do not depend on the platform's dialect.
[[nodiscard]] Endpoint selfEndpoint(const SidecarSettings &settings);
/// The part of the outgoing bandwidth that messages may use.
[[nodiscard]] ByteRate usableEgress(const SidecarSettings &settings);
/// What the connections of clients may hold, and their number.
[[nodiscard]] ClientMemory::Limits clientLimits(const SidecarSettings &settings);
/// What large bodies from other nodes may hold on their way to the backend server.
[[nodiscard]] BodyWindows::Limits bodyLimits(const SidecarSettings &settings);
[[nodiscard]] Gate::Limits gateLimits(const SidecarSettings &settings);
/// The log line of a change of the evacuated failure domains.
[[nodiscard]] std::string toText(const EvacuationsChanged &changed);
[[nodiscard]] MeshRouter::Options routerOptions(const SidecarSettings &settings);
/// The settings of the backend server, with the current time as that of reading.
[[nodiscard]] LocalServerSettings readNow(LocalServerSettings settings);
/// Formats the event as a log line.
[[nodiscard]] std::string toText(const ConfigurationReceived &received);
[[nodiscard]] std::string toText(const ConfigurationRefused &refused);
[[nodiscard]] std::string toText(const FindingsChanged &changed);
/// The findings as a list for the dump of a node.
[[nodiscard]] boost::json::array dumpOf(const Findings &findings);

/// Owns all threads and rings of one node.
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
    /// Applies the settings that may change at run time: those of the backend server, so that its
    /// announcements may name another service.
    void reload(const SidecarSettings &settings);
    /// Reports not ready, keeps serving while clients disconnect, completes the requests in flight,
    /// and stops.
    void drainAndStop();

private:
    static constexpr std::size_t requestCapacity = 2048;
    static constexpr std::size_t maxInFlight = 2048;
    static constexpr std::size_t controlCapacity = 1024;
    static constexpr std::size_t controlReserve = 64;
    // The backend server handles one request at a time per connection. A few connections beyond its
    // slots replace those that are being closed.
    static constexpr std::size_t maxBackendConnections = 64;
    static constexpr std::size_t warmConnections = 2;
    // Heartbeats may be seconds late; after this many missed ones the server is considered gone.
    static constexpr int missedHeartbeats = 4;
    // The backend server calls another node, or leaves, when it is not answered within a second.
    static constexpr Duration departureWriteTime = std::chrono::milliseconds(500);
    // Clients stop sending after two failed readiness checks, one second apart.
    static constexpr Duration acceptPeriod = std::chrono::milliseconds(2500);
    // Reserved at the end of the stop grace period for joining the threads, on a machine with a
    // tenth of a core.
    static constexpr Duration shutdownTime = std::chrono::milliseconds(600);

    using Path = RequestPath<MeshRouter, typename Dialect::Clients, typename Dialect::Backend>;
    using StoreEndpoint = BasicPlatformEndpoint<typename Dialect::Store>;

    [[nodiscard]] typename Path::Filters pathFilters();
    [[nodiscard]] typename Path::Hooks pathHooks();
    [[nodiscard]] bool onControlMessage(PeerEvent &&event);
    void onStoreReply(StoreUser user, StoreReply &&reply);
    void onCatalogOutput(Catalog::Output &&output);
    void onAttempt(AttemptEvent &&event);
    void onRolloutsOutput(Rollouts::Output &&output);
    void onLocalServerOutput(LocalServer::Output &&output);
    void onBackendAnnounced(BackendAnnounced &&announced);
    [[nodiscard]] HttpResponse onAnnouncement(const HttpRequest &request);
    void waitUntilStored(const DepartedRun &run);
    [[nodiscard]] std::map<std::string, AdminEndpoint::Handler> adminHandlers();
    [[nodiscard]] std::string dump() const;
    void stop();

    const SidecarSettings m_settings;
    const Log m_log { "node" };
    MetricsRegistry m_metrics;
    bool m_hasLostAttempts = false; // since the last event that was pushed; of the router's thread
    Counter &m_samplesDropped = m_metrics.counter("rollouts.samples_dropped_ring_full");
    std::atomic<bool> m_hasConfiguration { false }; // never reset
    std::atomic<bool> m_isStopping { false }; // never reset
    std::mutex m_callerMutex; // guards m_caller
    ServiceName m_caller; // service of the backend server, from which clients' requests originate
    // One random engine per stage, so that no two threads share one.
    RandomSource m_routerRandom;
    RandomSource m_membershipRandom;
    RandomSource m_catalogRandom;
    RandomSource m_gateRandom;
    Path m_path;
    Stage<Catalog> m_catalog;
    Stage<Rollouts> m_rollouts;
    Stage<LocalServer> m_localServer;
    StoredDepartures m_storedDepartures;
    StoreEndpoint m_store;
    AdminEndpoint m_admin;
};

template <PlatformDialect Dialect>
MeshNode<Dialect>::MeshNode(const SidecarSettings &settings)
    : m_settings(settings), m_caller(settings.backendServer.service),
      m_routerRandom(seededRandom(settings, 1)), m_membershipRandom(seededRandom(settings, 2)),
      m_catalogRandom(seededRandom(settings, 3)), m_gateRandom(seededRandom(settings, 4)),
      m_path(settings, settings.backendServer.address,
             { requestCapacity, maxInFlight, controlCapacity, controlReserve,
               clientLimits(settings), maxBackendConnections, warmConnections,
               usableEgress(settings), bodyLimits(settings) },
             pathFilters(), pathHooks(), m_metrics),
      m_catalog(
          std::make_unique<Catalog>(
              selfEndpoint(settings),
              Catalog::Options {
                  settings.retries.ratio, settings.evacuationTime.has_value(),
                  settings.organisations.revocation,
                  settings.evacuationTime.value_or(Catalog::Options().evacuationTime) },
              m_catalogRandom),
          [this](Catalog::Output &&output) { onCatalogOutput(std::move(output)); }, controlCapacity,
          controlReserve),
      m_rollouts(
          std::make_unique<Rollouts>(selfEndpoint(settings), RolloutPolicy {}),
          [this](Rollouts::Output &&output) { onRolloutsOutput(std::move(output)); },
          controlCapacity, controlReserve),
      m_localServer(
          std::make_unique<LocalServer>(readNow(settings.backendServer),
                                        missedHeartbeats * settings.heartbeat),
          [this](LocalServer::Output &&output) { onLocalServerOutput(std::move(output)); },
          controlCapacity, controlReserve),
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
             std::make_unique<Membership>(selfEndpoint(m_settings), m_settings.seeds,
                                          m_membershipRandom) };
}

template <PlatformDialect Dialect>
typename MeshNode<Dialect>::Path::Hooks MeshNode<Dialect>::pathHooks()
{
    return {
        [this](ClientRequest &request) {
            const std::lock_guard lock(m_callerMutex);
            request.caller = m_caller;
        },
        [this](PeerEvent &&event) { return onControlMessage(std::move(event)); },
        [this](AttemptEvent &&event) { onAttempt(std::move(event)); },
        [this](const EndpointsChanged &changed) {
            (void)m_catalog.ring().tryPush(changed); // superseded by the next table
            (void)m_rollouts.ring().tryPush(changed);
        },
        [this](bool isReachable) {
            m_log.info(isReachable ? "event=backend-reachable" : "event=backend-unreachable");
        },
        [this](BackendHealth &&health) {
            (void)m_localServer.ring().tryPush(std::move(health)); // the gate has applied it
        },
    };
}

// Runs on the router's thread.
template <PlatformDialect Dialect>
void MeshNode<Dialect>::onAttempt(AttemptEvent &&event)
{
    const auto push
        = [this](Rollouts::Input &&input) { return m_rollouts.ring().tryPush(std::move(input)); };
    const bool isPushed = (!m_hasLostAttempts || push(AttemptsLost {}))
        && std::visit([&push](auto &item) { return push(std::move(item)); }, event);
    m_hasLostAttempts = !isPushed;
    if (!isPushed)
        m_samplesDropped.add();
}

template <PlatformDialect Dialect>
bool MeshNode<Dialect>::onControlMessage(PeerEvent &&event)
{
    if (auto *message = std::get_if<PeerReceived<CatalogMessage>>(&event))
        return m_catalog.ring().tryPush(std::move(*message));
    if (auto *message = std::get_if<PeerReceived<RolloutMessage>>(&event))
        return m_rollouts.ring().tryPush(std::move(*message));
    return false; // from nodes that are configured by leases and deltas; this one reads the store
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::onStoreReply(StoreUser user, StoreReply &&reply)
{
    if (user == StoreUser::Catalog)
        (void)m_catalog.ring().pushReserved(std::move(reply)); // fails only when closed
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
                m_path.clients().setLimits(changed.snapshot->limits);
                m_localServer.ring().push(changed);
                m_path.gate().ring().push(changed);
                m_path.router().ring().push(std::move(changed));
                m_hasConfiguration = true;
            },
            [this](const ConfigurationReceived &received) { m_log.info(toText(received)); },
            [this](OrdersChanged &changed) { m_rollouts.ring().push(std::move(changed)); },
            [this](EvacuationsChanged &changed) {
                m_log.info(toText(changed));
                m_path.gate().ring().push(
                    BackendEvacuated { changed.domains->contains(m_settings.domain) });
                m_path.router().ring().push(std::move(changed));
            },
            [this](JoinPeers &join) { (void)m_path.membership().ring().tryPush(std::move(join)); },
            [this](DeparturesRestored &restored) {
                m_localServer.ring().push(std::move(restored));
            },
            [this](const DeparturesStored &stored) {
                m_storedDepartures.update(stored.departures);
            },
            [this](const ConfigurationRefused &refused) { m_log.error(toText(refused)); },
            [this](const FindingsChanged &changed) { m_log.warning(toText(changed)); },
            [this](const ConfigurationProven &proof) { m_path.router().ring().push(proof); },
            [this](const NewerConfigurationKnown &known) { m_path.router().ring().push(known); },
            [this](const NodesListed &listed) { m_path.router().ring().push(listed); },
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
void MeshNode<Dialect>::onLocalServerOutput(LocalServer::Output &&output)
{
    std::visit(
        Overloaded {
            [this](BackendAnnounced &announced) { onBackendAnnounced(std::move(announced)); },
            [this](LocalServiceChanged &changed) {
                m_log.info("event=local-service-changed service=" + changed.service.value());
                const std::lock_guard lock(m_callerMutex);
                m_caller = std::move(changed.service);
            },
            // From the reserve, as the catalog's thread waits for this one's ring.
            [this](DeparturesChanged &changed) {
                (void)m_catalog.ring().pushReserved(std::move(changed));
            },
        },
        output);
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::onBackendAnnounced(BackendAnnounced &&announced)
{
    m_log.info(
        "event=backend-announced server=" + announced.server.value()
        + " service=" + announced.service.value() + " version=" + announced.version.value()
        + " accepting=" + (announced.isAccepting ? "1" : "0") + " warm-up-ms="
        + std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(announced.warmUpLeft).count()));
    m_path.membership().ring().push(SelfChanged { announced.service, announced.version,
                                                  announced.slots, announced.isAccepting });
    m_path.gate().ring().push(std::move(announced));
}

// The response does not wait for the gate, which stops admitting requests as soon as the
// announcement has passed through the rings. It waits for the store, because the acknowledgement of
// a departure binds the processes after this one.
template <PlatformDialect Dialect>
HttpResponse MeshNode<Dialect>::onAnnouncement(const HttpRequest &request)
{
    BackendServerMessage message = Dialect::decodeAnnouncement(request);
    if (const auto *error = std::get_if<Error>(&message)) {
        m_log.warning("event=announcement-unreadable reason=\"" + error->text + "\"");
        return { 400, {}, error->text + "\n" };
    }
    std::optional<DepartedRun> leaving;
    if (auto *departure = std::get_if<BackendDeparture>(&message)) {
        departure->receivedAt = BackendStartTime(wallTimeNow().value());
        leaving = { departure->server, departure->startTime.value_or(BackendStartTime()) };
    } else if (const auto *announcement = std::get_if<BackendAnnouncement>(&message);
               announcement != nullptr && announcement->isDraining) {
        leaving = { announcement->server, announcement->startTime };
    }
    const bool isQueued
        = std::visit(Overloaded { [](Error &) { return false; },
                                  [this](auto &decoded) {
                                      return m_localServer.ring().tryPush(std::move(decoded));
                                  } },
                     message);
    if (isQueued && leaving)
        waitUntilStored(*leaving);
    const HttpHeader jsonType { "Content-Type", "application/json" };
    return isQueued ? HttpResponse { 200, { jsonType }, "{}" }
                    : HttpResponse { 503, {}, "the node is busy or stopping\n" };
}

// While the store does not respond, the departure is acknowledged all the same: this process keeps
// to it, and writes it as soon as the store is back.
template <PlatformDialect Dialect>
void MeshNode<Dialect>::waitUntilStored(const DepartedRun &run)
{
    const bool isStored = m_storedDepartures.waitFor(run, departureWriteTime);
    m_log.info("event=departure-acknowledged server=" + run.server.value() + " start-time="
               + std::to_string(run.startTime.value()) + " stored=" + (isStored ? "1" : "0"));
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
        { "/configuration",
          [this, jsonType](const HttpRequest &) {
              const MeshConfig config = m_catalog.inspect(
                  [](const Catalog &catalog) { return catalog.configuration(); });
              if (config.version == ConfigVersion())
                  return HttpResponse { 503, {}, "no configuration\n" };
              return HttpResponse { 200,
                                    { jsonType },
                                    Dialect::encodeConfiguration(config) + "\n" };
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
    state["findings"] = dumpOf(m_catalog.inspect(
        [](const Catalog &catalog) { return catalog.findings(SteadyClock().now()); }));
    return boost::json::serialize(state);
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::start()
{
    m_path.startFilters();
    m_catalog.start();
    m_rollouts.start();
    m_localServer.start();
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
    m_path.backend().ring().push(BackendAddressChanged { settings.backendServer.address });
    m_localServer.ring().push(readNow(settings.backendServer));
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::drainAndStop()
{
    m_log.info("event=stop-asked");
    const TimePoint deadline = SteadyClock().now() + m_settings.stopGrace - shutdownTime;
    m_isStopping = true;
    if (const DrainRemainder unfinished = m_path.drain(acceptPeriod, deadline);
        !unfinished.isEmpty())
        m_log.warning("event=stop-cut-short left=" + toText(unfinished));
    stop();
    m_log.info("event=bytes-sent " + TrafficCounters(m_metrics).toText());
    m_log.info("event=stopped");
}

template <PlatformDialect Dialect>
void MeshNode<Dialect>::stop()
{
    m_storedDepartures.close();
    m_admin.stop();
    m_path.stopFilters();
    m_catalog.stop();
    m_rollouts.stop();
    m_localServer.stop();
    m_path.stopEndpoints();
    m_store.stop();
}

} // namespace camphorreach::impl
