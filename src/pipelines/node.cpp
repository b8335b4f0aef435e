// Connects the filters and endpoints of a node.
#include <camphorreach/node.h>

#include <camphorreach/configuration.h>
#include <camphorreach/impl/adminendpoint.h>
#include <camphorreach/impl/movesjson.h>
#include <camphorreach/impl/platformendpoint.h>
#include <camphorreach/impl/requestpath.h>
#include <camphorreach/impl/statusjson.h>
#include <camphorreach/moves.h>

#include <boost/json.hpp>
#include <utility>

namespace camphorreach {

namespace json = boost::json;

namespace {

constexpr std::size_t requestCapacity = 4096;
constexpr std::size_t maxInFlight = 4096;
constexpr std::size_t controlCapacity = 4096;
constexpr std::size_t controlReserve = 64;
constexpr std::size_t maxClientConnections = 4096;
// How long idle client connections stay open in a drain. Also the time in which other nodes receive
// the update that this one is draining; until then the gate rejects their requests.
constexpr Duration acceptPeriod = std::chrono::seconds(1);

Endpoint selfEndpoint(const NodeSettings &settings)
{
    Endpoint self = impl::endpointOf(settings, settings.backendServer.service);
    self.version = settings.backendServer.version;
    self.slots = settings.backendServer.slots;
    return self;
}

// Wall-clock time at the epoch of the monotonic clock.
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
    limits.asksForQuarantines = true;
    return limits;
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
    using Path = impl::RequestPath<Router, impl::ServicePathDialect, impl::NativeBackendDialect>;

    [[nodiscard]] Path::Filters pathFilters();
    [[nodiscard]] Path::Hooks pathHooks();
    [[nodiscard]] bool onControlMessage(impl::PeerEvent &&event);
    void onPlatformReply(impl::PlatformUser user, PlatformReply &&reply);
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
    // One random engine per stage, so that no two threads share one.
    RandomSource m_routerRandom;
    RandomSource m_membershipRandom;
    RandomSource m_configurationRandom;
    RandomSource m_movesRandom;
    RandomSource m_gateRandom;
    Path m_path;
    Stage<Configuration> m_configuration;
    Stage<Moves> m_moves;
    impl::PlatformEndpoint m_platform;
    impl::AdminEndpoint m_admin;
};

Node::Impl::Impl(const NodeSettings &settings)
    : m_settings(settings), m_routerRandom(impl::seededRandom(settings, 1)),
      m_membershipRandom(impl::seededRandom(settings, 2)),
      m_configurationRandom(impl::seededRandom(settings, 3)),
      m_movesRandom(impl::seededRandom(settings, 4)), m_gateRandom(impl::seededRandom(settings, 5)),
      m_path(settings, settings.backendServer.address,
             { requestCapacity, maxInFlight, controlCapacity, controlReserve,
               ClientMemory::Limits { .connections = maxClientConnections },
               settings.backendServer.connections, settings.backendServer.slots },
             pathFilters(), pathHooks(), m_metrics),
      m_configuration(
          std::make_unique<Configuration>(selfEndpoint(settings), Configuration::Options {},
                                          m_configurationRandom),
          [this](Configuration::Output &&output) { onConfigurationOutput(std::move(output)); },
          controlCapacity, controlReserve),
      m_moves(
          std::make_unique<Moves>(selfEndpoint(settings), wallAtMonotonicZero(), m_movesRandom),
          [this](Moves::Output &&output) { onMovesOutput(std::move(output)); }, controlCapacity,
          controlReserve),
      m_platform(
          settings.platform,
          [this](impl::PlatformUser user, PlatformReply &&reply) {
              onPlatformReply(user, std::move(reply));
          },
          m_metrics),
      m_admin({ settings.adminAddress }, adminHandlers())
{ }

Node::Impl::Path::Filters Node::Impl::pathFilters()
{
    return { std::make_unique<Router>(m_settings.domain, maxInFlight, m_routerRandom),
             std::make_unique<Gate>(gateLimits(m_settings), m_settings.backendServer.service,
                                    m_settings.peerAddress, m_gateRandom),
             std::make_unique<Membership>(selfEndpoint(m_settings), m_settings.seeds,
                                          m_membershipRandom) };
}

Node::Impl::Path::Hooks Node::Impl::pathHooks()
{
    return {
        {},
        [this](impl::PeerEvent &&event) { return onControlMessage(std::move(event)); },
        [this](AttemptEvent &&event) {
            auto *sample = std::get_if<RequestSample>(&event); // no rollouts here
            if (sample != nullptr && !m_moves.ring().tryPush(std::move(*sample)))
                m_samplesDropped.add();
        },
        [this](const EndpointsChanged &changed) {
            (void)m_configuration.ring().tryPush(changed); // superseded by the next table
            m_moves.ring().push(changed);
        },
        [this](bool isReachable) {
            m_log.info(isReachable ? "The backend server is reachable."
                                   : "The backend server is not reachable.");
        },
    };
}

bool Node::Impl::onControlMessage(impl::PeerEvent &&event)
{
    if (auto *message = std::get_if<PeerReceived<ConfigMessage>>(&event))
        return m_configuration.ring().tryPush(std::move(*message));
    if (auto *message = std::get_if<PeerReceived<MoveMessage>>(&event))
        return m_moves.ring().tryPush(std::move(*message));
    return false; // from nodes that read the store; this one is configured by leases and deltas
}

void Node::Impl::onPlatformReply(impl::PlatformUser user, PlatformReply &&reply)
{
    if (user == impl::PlatformUser::Configuration)
        (void)m_configuration.ring().pushReserved(std::move(reply)); // fails only when closed
    else
        (void)m_moves.ring().pushReserved(std::move(reply));
}

void Node::Impl::onConfigurationOutput(Configuration::Output &&output)
{
    std::visit(
        Overloaded {
            [this](PlatformCall &call) {
                m_platform.ring().push({ impl::PlatformUser::Configuration, std::move(call) });
            },
            [this](PeerSend &send) { m_path.peers().ring().push(std::move(send)); },
            [this](SnapshotChanged &changed) {
                m_log.info("Configuration version "
                           + std::to_string(changed.snapshot->version.value()) + " is in force.");
                m_moves.ring().push(changed);
                m_path.router().ring().push(std::move(changed));
            },
            [this](JoinPeers &join) { (void)m_path.membership().ring().tryPush(std::move(join)); },
        },
        output);
}

void Node::Impl::onMovesOutput(Moves::Output &&output)
{
    std::visit(
        Overloaded {
            [this](PlatformCall &call) {
                m_platform.ring().push({ impl::PlatformUser::Moves, std::move(call) });
            },
            [this](PeerSend &send) { m_path.peers().ring().push(std::move(send)); },
            [this](MoveSharesChanged &changed) { m_path.router().ring().push(std::move(changed)); },
        },
        output);
}

std::string Node::Impl::movesJson() const
{
    return m_moves.inspect(
        [](const Moves &moves) { return impl::movesJson(moves.statuses(SteadyClock().now())); });
}

// For a tool that stops the backend server: it repeats the request until the status is 200, after
// which no request runs there any more.
impl::HttpResponse Node::Impl::onBackendLeaving(bool isLeaving)
{
    const BackendLeaving message { isLeaving };
    if (!m_path.gate().ring().pushReserved(message)
        || !m_path.membership().ring().pushReserved(message))
        return { 503, {}, "the node is busy or stopping\n" };
    const bool isDone = m_path.gate().inspect([isLeaving](const Gate &gate) {
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
              const bool isReady = m_path.router().inspect(
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
    m_path.startFilters();
    m_configuration.start();
    m_moves.start();
    m_platform.start();
    m_path.startEndpoints();
    m_admin.start();
    m_log.info("Instance " + m_settings.instance.value() + " has started.");
}

void Node::Impl::drainAndStop(Duration limit)
{
    m_log.info("The drain has begun.");
    const TimePoint deadline = SteadyClock().now() + limit;
    if (const impl::DrainRemainder unfinished = m_path.drain(acceptPeriod, deadline);
        !unfinished.isEmpty())
        m_log.warning(
            "The drain has reached its time limit; unfinished: " + impl::toText(unfinished) + ".");
    stop();
    m_log.info("The node has stopped.");
}

void Node::Impl::stop()
{
    m_admin.stop();
    m_path.stopFilters();
    m_configuration.stop();
    m_moves.stop();
    m_path.stopEndpoints();
    m_platform.stop();
}

std::string Node::Impl::dump() const
{
    json::object state = m_path.dump();
    state["instance"] = m_settings.instance.value();
    state["failure_domain"] = m_settings.domain.value();
    m_configuration.inspect([&state](const Configuration &configuration) {
        json::object section { { "version", configuration.version().value() } };
        if (const auto &refusal = configuration.refusal()) {
            section["refused_version"] = refusal->version.value();
            section["refused_because"] = toText(refusal->findings);
        }
        state["configuration"] = std::move(section);
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
