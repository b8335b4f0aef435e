// Wires filters and endpoints of a node together.
#include <camphorreach/node.h>

#include <camphorreach/configuration.h>
#include <camphorreach/gate.h>
#include <camphorreach/impl/adminendpoint.h>
#include <camphorreach/impl/backendendpoint.h>
#include <camphorreach/impl/decisionlog.h>
#include <camphorreach/impl/event.h>
#include <camphorreach/impl/guestendpoint.h>
#include <camphorreach/impl/movesjson.h>
#include <camphorreach/impl/peerendpoint.h>
#include <camphorreach/impl/platformendpoint.h>
#include <camphorreach/impl/statusjson.h>
#include <camphorreach/membership.h>
#include <camphorreach/moves.h>
#include <camphorreach/router.h>
#include <camphorreach/stage.h>

#include <boost/json.hpp>
#include <random>
#include <utility>

namespace camphorreach {

namespace json = boost::json;

namespace {

constexpr std::size_t requestPlaces = 4096;
// Each request in flight yields at most one answer and one end of a link.
constexpr std::size_t maxInFlight = 4096;
constexpr std::size_t answerPlaces = 2 * maxInFlight;
constexpr std::size_t controlPlaces = 4096;
constexpr std::size_t controlReserve = 64;
constexpr std::size_t maxGuestConnections = 4096;
// How long idle guest connections stay open in a drain. Also the time for other nodes to hear that
// this one leaves; until then the gate refuses what they send.
constexpr Duration drainGrace = std::chrono::seconds(1);

Endpoint selfOf(const NodeSettings &settings)
{
    Endpoint self;
    self.instance = settings.instance;
    self.peer = settings.peerAddress;
    self.domain = settings.domain;
    self.region = settings.region;
    self.service = settings.backendServer.service;
    self.version = settings.backendServer.version;
    self.incarnation = Incarnation(static_cast<std::uint64_t>(wallTimeNow().value()));
    self.slots = settings.backendServer.slots;
    return self;
}

// Wall-clock time at the origin of the monotonic clock.
WallTime wallAtMonotonicZero()
{
    const auto sinceZero = SteadyClock().now().time_since_epoch();
    using std::chrono::milliseconds;
    return WallTime(wallTimeNow().value()
                    - std::chrono::duration_cast<milliseconds>(sinceZero).count());
}

Gate::Limits gateLimits(const NodeSettings &settings)
{
    Gate::Limits limits;
    limits.slots = settings.backendServer.slots;
    return limits;
}

RandomSource seeded(const NodeSettings &settings, std::uint64_t part)
{
    const std::uint64_t seed
        = settings.randomSeed != 0 ? settings.randomSeed : std::random_device {}();
    return RandomSource(seed * 31 + part);
}

} // namespace

class Node::Impl
{
public:
    explicit Impl(const NodeSettings &settings);
    ~Impl() { stop(); } // no thread may run while rings and endpoints are destroyed
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void start();
    void drainAndStop(Duration limit);
    [[nodiscard]] std::string dump() const;

private:
    [[nodiscard]] bool onGuestEvent(impl::GuestEvent &&event);
    [[nodiscard]] bool onPeerEvent(impl::PeerEvent &&event);
    void onBackendEvent(impl::BackendEvent &&event);
    void onPlatformReply(impl::PlatformUser user, PlatformReply &&reply);
    void onRouterOutput(Router::Output &&output);
    void onGateOutput(Gate::Output &&output);
    void onMembershipOutput(Membership::Output &&output);
    void onConfigurationOutput(Configuration::Output &&output);
    void onMovesOutput(Moves::Output &&output);
    [[nodiscard]] std::string movesJson() const;
    void stop();

    [[nodiscard]] impl::HttpResponse onBackendLeaving(bool isLeaving);
    [[nodiscard]] std::map<std::string, impl::AdminEndpoint::Handler> adminHandlers();

    const NodeSettings m_settings;
    const Log m_log { "node" };
    MetricsRegistry m_metrics;
    Counter &m_samplesDropped = m_metrics.counter("moves.samples_dropped_ring_full");
    impl::DecisionLog m_routerLog { "router", m_metrics }; // used by the routing thread
    impl::DecisionLog m_gateLog { "gate", m_metrics }; // used by the gate's thread
    // One engine for each stage, so that no two threads share one.
    RandomSource m_routerRandom;
    RandomSource m_membershipRandom;
    RandomSource m_configurationRandom;
    RandomSource m_movesRandom;
    RandomSource m_gateRandom;
    Stage<Router> m_router;
    Stage<Gate> m_gate;
    Stage<Membership> m_membership;
    Stage<Configuration> m_configuration;
    Stage<Moves> m_moves;
    impl::GuestEndpoint m_guests;
    impl::PeerEndpoint m_peers;
    impl::BackendEndpoint m_backend;
    impl::PlatformEndpoint m_platform;
    impl::AdminEndpoint m_admin;
    impl::Event m_gateDrained; // set by the gate's thread
};

Node::Impl::Impl(const NodeSettings &settings)
    : m_settings(settings), m_routerRandom(seeded(settings, 1)),
      m_membershipRandom(seeded(settings, 2)), m_configurationRandom(seeded(settings, 3)),
      m_movesRandom(seeded(settings, 4)), m_gateRandom(seeded(settings, 5)),
      m_router(
          std::make_unique<Router>(settings.domain, maxInFlight, m_routerRandom),
          [this](Router::Output &&output) { onRouterOutput(std::move(output)); },
          requestPlaces + answerPlaces, answerPlaces),
      m_gate(
          std::make_unique<Gate>(gateLimits(settings), settings.backendServer.service,
                                 settings.peerAddress, m_gateRandom),
          [this](Gate::Output &&output) { onGateOutput(std::move(output)); },
          requestPlaces + answerPlaces, answerPlaces),
      m_membership(
          std::make_unique<Membership>(selfOf(settings), settings.seeds, m_membershipRandom),
          [this](Membership::Output &&output) { onMembershipOutput(std::move(output)); },
          controlPlaces, controlReserve),
      m_configuration(
          std::make_unique<Configuration>(selfOf(settings), Configuration::Options {},
                                          m_configurationRandom),
          [this](Configuration::Output &&output) { onConfigurationOutput(std::move(output)); },
          controlPlaces, controlReserve),
      m_moves(
          std::make_unique<Moves>(selfOf(settings), wallAtMonotonicZero(), m_movesRandom),
          [this](Moves::Output &&output) { onMovesOutput(std::move(output)); }, controlPlaces,
          controlReserve),
      m_guests(
          settings.guestAddress, maxGuestConnections,
          [this](impl::GuestEvent &&event) { return onGuestEvent(std::move(event)); }, m_metrics),
      m_peers(
          settings.peerAddress,
          [this](impl::PeerEvent &&event) { return onPeerEvent(std::move(event)); }, m_metrics),
      m_backend(
          settings.backendServer.address, settings.backendServer.connections,
          settings.backendServer.slots,
          [this](impl::BackendEvent &&event) { onBackendEvent(std::move(event)); }, m_metrics),
      m_platform(
          settings.platform,
          [this](impl::PlatformUser user, PlatformReply &&reply) {
              onPlatformReply(user, std::move(reply));
          },
          m_metrics),
      m_admin({ settings.adminAddress }, adminHandlers())
{ }

bool Node::Impl::onGuestEvent(impl::GuestEvent &&event)
{
    return std::visit(
        Overloaded {
            [this](GuestRequest &request) { return m_router.ring().tryPush(std::move(request)); },
            [this](GuestGone &gone) { return m_router.ring().pushReserved(gone); } },
        event);
}

bool Node::Impl::onPeerEvent(impl::PeerEvent &&event)
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
            [this](PeerReceived<ConfigMessage> &message) {
                return m_configuration.ring().tryPush(std::move(message));
            },
            [this](PeerReceived<MoveMessage> &message) {
                return m_moves.ring().tryPush(std::move(message));
            },
            [this](PeerReceived<QuarantineMessage> &message) {
                return m_gate.ring().tryPush(std::move(message));
            },
            // Of nodes that follow the store; this one learns by leases and deltas.
            [](PeerReceived<CatalogMessage> &) { return false; },
            [](PeerReceived<RolloutMessage> &) { return false; },
        },
        event);
}

void Node::Impl::onBackendEvent(impl::BackendEvent &&event)
{
    // A push into a reserve fails only when the ring is closed.
    std::visit(
        Overloaded {
            [this](BackendResult &result) { (void)m_gate.ring().pushReserved(std::move(result)); },
            [this](BackendReachable &reachable) {
                m_log.info(reachable.isReachable ? "The backend server is reachable."
                                                 : "The backend server is not reachable.");
                (void)m_gate.ring().pushReserved(reachable);
                (void)m_membership.ring().pushReserved(reachable);
            },
        },
        event);
}

void Node::Impl::onPlatformReply(impl::PlatformUser user, PlatformReply &&reply)
{
    if (user == impl::PlatformUser::Configuration)
        (void)m_configuration.ring().pushReserved(std::move(reply)); // false only when closed
    else
        (void)m_moves.ring().pushReserved(std::move(reply));
}

void Node::Impl::onRouterOutput(Router::Output &&output)
{
    std::visit(
        Overloaded {
            [this](GuestAnswer &answer) { m_guests.ring().push(std::move(answer)); },
            [this](PeerSend &send) { m_peers.ring().push(std::move(send)); },
            [this](RouterDecision &decision) { m_routerLog.write(decision, SteadyClock().now()); },
            [this](RequestSample &sample) {
                // The router never waits for another stage, so that no cycle can form.
                if (!m_moves.ring().tryPush(std::move(sample)))
                    m_samplesDropped.add();
            },
        },
        output);
}

void Node::Impl::onGateOutput(Gate::Output &&output)
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

void Node::Impl::onMembershipOutput(Membership::Output &&output)
{
    std::visit(Overloaded {
                   [this](PeerSend &send) { m_peers.ring().push(std::move(send)); },
                   [this](EndpointsChanged &changed) {
                       (void)m_configuration.ring().tryPush(changed); // the next change repairs it
                       m_moves.ring().push(changed);
                       m_gate.ring().push(changed);
                       m_router.ring().push(std::move(changed));
                   },
               },
               output);
}

void Node::Impl::onConfigurationOutput(Configuration::Output &&output)
{
    std::visit(
        Overloaded {
            [this](PlatformCall &call) {
                m_platform.ring().push({ impl::PlatformUser::Configuration, std::move(call) });
            },
            [this](PeerSend &send) { m_peers.ring().push(std::move(send)); },
            [this](SnapshotChanged &changed) {
                m_log.info("Configuration version "
                           + std::to_string(changed.snapshot->version.value()) + " is in force.");
                m_moves.ring().push(changed);
                m_router.ring().push(std::move(changed));
            },
            [this](JoinPeers &join) { (void)m_membership.ring().tryPush(std::move(join)); },
        },
        output);
}

void Node::Impl::onMovesOutput(Moves::Output &&output)
{
    std::visit(Overloaded {
                   [this](PlatformCall &call) {
                       m_platform.ring().push({ impl::PlatformUser::Moves, std::move(call) });
                   },
                   [this](PeerSend &send) { m_peers.ring().push(std::move(send)); },
                   [this](MoveSharesChanged &changed) { m_router.ring().push(std::move(changed)); },
               },
               output);
}

std::string Node::Impl::movesJson() const
{
    return m_moves.inspect(
        [](const Moves &moves) { return impl::movesJson(moves.accounts(SteadyClock().now())); });
}

// For whoever stops the backend server: repeated until it answers 200, nothing runs there any more.
impl::HttpResponse Node::Impl::onBackendLeaving(bool isLeaving)
{
    const BackendLeaving message { isLeaving };
    if (!m_gate.ring().pushReserved(message) || !m_membership.ring().pushReserved(message))
        return { 503, {}, "the node is busy or stopping\n" };
    const bool isDone = m_gate.inspect([isLeaving](const Gate &gate) {
        return gate.isBackendLeaving() == isLeaving && (!isLeaving || gate.isIdle());
    });
    return isDone ? impl::HttpResponse { 200, {}, "done\n" }
                  : impl::HttpResponse { 202, {}, "under way\n" };
}

std::map<std::string, impl::AdminEndpoint::Handler> Node::Impl::adminHandlers()
{
    using impl::HttpRequest;
    using impl::HttpResponse;
    const std::vector<impl::HttpHeader> jsonType { { "Content-Type", "application/json" } };
    return {
        { "/dump",
          [this, jsonType](const HttpRequest &) {
              return HttpResponse { 200, jsonType, dump() + "\n" };
          } },
        { "/moves",
          [this, jsonType](const HttpRequest &) {
              return HttpResponse { 200, jsonType, movesJson() + "\n" };
          } },
        { "/metrics",
          [this, jsonType](const HttpRequest &) {
              return HttpResponse { 200, jsonType, impl::metricsJson(m_metrics) + "\n" };
          } },
        { "/backend/drain", [this](const HttpRequest &) { return onBackendLeaving(true); } },
        { "/backend/resume", [this](const HttpRequest &) { return onBackendLeaving(false); } },
        { "/ready",
          [this](const HttpRequest &) {
              const bool isReady = m_router.inspect(
                  [](const Router &router) { return router.configVersion() != ConfigVersion(); });
              const std::string reason = m_configuration.inspect(
                  [](const Configuration &configuration) { return configuration.unreadyReason(); });
              return HttpResponse { static_cast<std::uint16_t>(isReady ? 200 : 503),
                                    {},
                                    isReady ? "ready\n" : reason + "\n" };
          } },
        { "/status",
          [this, jsonType](const HttpRequest &) {
              const ConfigStatus status = m_configuration.inspect(
                  [](const Configuration &configuration) { return configuration.status(); });
              return HttpResponse { 200, jsonType, impl::statusJson(status) + "\n" };
          } },
    };
}

void Node::Impl::start()
{
    m_router.start();
    m_gate.start();
    m_membership.start();
    m_configuration.start();
    m_moves.start();
    m_backend.start();
    m_platform.start();
    m_peers.start();
    m_guests.start();
    m_admin.start();
    m_log.info("Instance " + m_settings.instance.value() + " has started.");
}

void Node::Impl::drainAndStop(Duration limit)
{
    m_log.info("The drain has begun.");
    const TimePoint end = SteadyClock().now() + limit;
    m_membership.ring().push(DrainStarted {});
    m_gate.ring().push(DrainStarted {});
    m_router.ring().push(DrainStarted {});
    const auto guestsClosed = std::make_shared<impl::Event>();
    m_guests.drain(drainGrace, [guestsClosed] { guestsClosed->set(); });
    bool isWhole = guestsClosed->waitUntil(end);
    isWhole = m_gateDrained.waitUntil(end) && isWhole;
    // Links close last: each waits for the answers to all requests on it.
    const auto peersClosed = std::make_shared<impl::Event>();
    m_peers.drain([peersClosed] { peersClosed->set(); });
    isWhole = peersClosed->waitUntil(end) && isWhole;
    if (!isWhole)
        m_log.warning("The time limit of the drain has passed with work left.");
    m_membership.ring().push(NodeLeaving {});
    stop();
    m_log.info("The node has stopped.");
}

void Node::Impl::stop()
{
    m_admin.stop();
    m_router.stop();
    m_gate.stop();
    m_membership.stop();
    m_configuration.stop();
    m_moves.stop();
    m_guests.stop();
    m_peers.stop();
    m_backend.stop();
    m_platform.stop();
}

std::string Node::Impl::dump() const
{
    json::object state;
    state["instance"] = m_settings.instance.value();
    state["failure_domain"] = m_settings.domain.value();
    m_router.inspect([&state](const Router &router) {
        const Router::Counts &counts = router.counts();
        state["router"] = { { "config_version", router.configVersion().value() },
                            { "in_flight", router.inFlight() },
                            { "waiting", router.waiting() },
                            { "shed", counts.shed },
                            { "cancelled", counts.cancelled },
                            { "requests", counts.requests },
                            { "answered", counts.answered },
                            { "not_run", counts.notRun },
                            { "unknown", counts.unknown },
                            { "retries", counts.retries },
                            { "unmatched_answers", counts.unmatchedAnswers } };
    });
    m_gate.inspect([&state](const Gate &gate) {
        const GateLoad load = gate.load();
        state["gate"] = { { "running", load.running },
                          { "queued", load.queued },
                          { "slots", load.slots },
                          { "received", gate.counts().received },
                          { "handed_over", gate.counts().handedOver },
                          { "refused", gate.counts().refused },
                          { "shed", gate.counts().shed },
                          { "late_results", gate.counts().lateResults },
                          { "key_hits", gate.counts().keyHits },
                          { "stored_results", gate.results().size() },
                          { "evicted_results", gate.results().evictions() },
                          { "crashes", gate.counts().crashes },
                          { "isolated_runs", gate.counts().isolatedRuns },
                          { "suspects", gate.containment().suspectCount() },
                          { "quarantined", gate.containment().quarantinedCount() },
                          { "is_backend_reachable", gate.isReachable() } };
    });
    m_membership.inspect([&state](const Membership &membership) {
        json::array members;
        for (const Endpoint &endpoint : membership.members()) {
            members.push_back({ { "instance", endpoint.instance.value() },
                                { "peer", toText(endpoint.peer) },
                                { "failure_domain", endpoint.domain.value() },
                                { "service", endpoint.service.value() },
                                { "version", endpoint.version.value() } });
        }
        state["members"] = std::move(members);
    });
    m_configuration.inspect([&state](const Configuration &configuration) {
        json::object part { { "version", configuration.version().value() } };
        if (const auto &refusal = configuration.refusal()) {
            part["refused_version"] = refusal->version.value();
            part["refused_because"] = toText(refusal->findings);
        }
        state["configuration"] = std::move(part);
    });
    return json::serialize(state);
}

Node::Node(const NodeSettings &settings) : m_impl(std::make_unique<Impl>(settings)) { }
Node::~Node() = default;

void Node::start()
{
    m_impl->start();
}

void Node::drainAndStop(Duration limit)
{
    m_impl->drainAndStop(limit);
}

std::string Node::dump() const
{
    return m_impl->dump();
}

} // namespace camphorreach
