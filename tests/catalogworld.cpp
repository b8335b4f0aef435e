// Simulates catalogs and their store over links of limited bandwidth.
#include "catalogworld.h"

#include <camphorreach/impl/wire.h>
#include <camphorreach/result.h>

#include <algorithm>
#include <string>
#include <utility>

namespace camphorreach {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint16_t firstPort = 7000;
constexpr Duration latency = microseconds(500); // one way
// Size of one route of a configuration in the store's format.
constexpr std::size_t routeBytesInStore = 120;
constexpr std::size_t replyHeadBytes = 300;
// After this time the calling endpoint reports that there was no reply.
constexpr Duration replyTimeout = milliseconds(3000);

MeshConfig firstConfig(std::size_t routes, bool hasOrganisations)
{
    MeshConfig config;
    config.version = ConfigVersion(1);
    for (std::size_t i = 0; i < routes; ++i) {
        HostRoute route;
        route.host = "voje83.example";
        route.policy.name = RouteName("r-" + std::to_string(100'000 + i));
        route.policy.prefix = "/lese650/p" + std::to_string(100'000 + i) + "/";
        route.policy.deadline = milliseconds(2500);
        route.weightedServices.push_back({ ServiceName("nyxa81a"), 1 });
        config.routes.push_back(std::move(route));
    }
    config.services.push_back({ ServiceName("nyxa81a"), 530 });
    if (hasOrganisations)
        config.organisations.push_back(
            { OrganisationName("ice-depot"), { ApiKey("old"), ApiKey("kept") } });
    return config;
}

} // namespace

CatalogWorld::CatalogWorld(Options options) : m_options(options)
{
    m_history.push_back({ m_revision,
                          std::make_shared<const MeshConfig>(
                              firstConfig(options.routes, options.revocation.has_value())),
                          m_events.now() });
    m_lastSeed = options.nodes;
    for (std::size_t i = 0; i < options.nodes; ++i) {
        m_nodes.push_back(std::make_unique<Node>(endpointOf(i), i + 1, m_options));
        m_nodes.back()->startedAt = m_nodes.back()->disturbedUntil = m_events.now();
    }
    for (std::size_t i = 0; i < options.nodes; ++i)
        deliver(i, EndpointsChanged { table() });
    if (options.revocation)
        checkKeys();
    if (options.readsEvacuations)
        checkEvacuations();
}

std::shared_ptr<const EndpointTable> CatalogWorld::table() const
{
    auto table = std::make_shared<EndpointTable>();
    for (std::size_t i = 0; i < m_options.nodes; ++i)
        table->services[ServiceName("orders")].push_back(endpointOf(i));
    return table;
}

void CatalogWorld::restart(std::size_t node)
{
    std::erase_if(m_pendingWatches,
                  [node](const PendingWatch &pending) { return pending.node == node; });
    const std::uint64_t timerId = m_nodes[node]->timerId + 1; // timers of the old process are void
    m_replaced.push_back(std::move(m_nodes[node])); // so that a new process has another address
    m_nodes[node] = std::make_unique<Node>(endpointOf(node), ++m_lastSeed, m_options);
    m_nodes[node]->timerId = timerId;
    m_nodes[node]->startedAt = m_nodes[node]->disturbedUntil = m_events.now();
    deliver(node, EndpointsChanged { table() });
}

void CatalogWorld::pause(std::size_t node, Duration span)
{
    m_nodes[node]->pausedUntil = m_nodes[node]->disturbedUntil = m_events.now() + span;
}

Endpoint CatalogWorld::endpointOf(std::size_t index) const
{
    Endpoint result;
    result.instance = InstanceId("n" + std::to_string(100 + index));
    result.peer = { "10.1.0.1", static_cast<std::uint16_t>(firstPort + index) };
    result.domain = FailureDomain("arima-" + std::to_string(index % m_options.domains));
    result.service = ServiceName("orders");
    return result;
}

void CatalogWorld::run(Duration span)
{
    const TimePoint end = m_events.now() + span;
    for (auto next = m_events.nextTime(); next && *next <= end; next = m_events.nextTime())
        m_events.runNext();
    m_events.advanceTo(end);
}

void CatalogWorld::publish()
{
    MeshConfig config = *m_history.back().config;
    config.version = next(config.version);
    const auto step = static_cast<std::size_t>(config.version.value());
    for (const std::size_t i : { step, 7 * step })
        config.routes[i % config.routes.size()].policy.deadline += milliseconds(1);
    store(std::move(config));
}

void CatalogWorld::store(MeshConfig config)
{
    m_revision = next(m_revision);
    m_history.push_back(
        { m_revision, std::make_shared<const MeshConfig>(std::move(config)), m_events.now() });
    answerPendingWatches();
}

void CatalogWorld::evacuate(const FailureDomain &domain)
{
    storeOrder(domain, false);
}

void CatalogWorld::takeBack(const FailureDomain &domain)
{
    storeOrder(domain, true);
}

// The object of a removal has the version of its last change.
void CatalogWorld::storeOrder(const FailureDomain &domain, bool isRemoved)
{
    m_revision = next(m_revision);
    const ObjectVersion object = isRemoved ? m_orders.at(domain).object : m_revision;
    m_orders[domain] = { object, isRemoved, m_events.now() };
    StoreEntry event { domain.value(), object, isRemoved, {} };
    if (!isRemoved)
        event.value = EvacuationOrder { domain, object };
    m_orderEvents.push_back(std::move(event));
    m_orderRevisions.push_back(m_revision);
    answerPendingWatches();
}

std::set<std::size_t> CatalogWorld::nodesEvacuating(const FailureDomain &domain) const
{
    std::set<std::size_t> result;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const Node &node = *m_nodes[i];
        if (node.isRunning && node.active && node.evacuated.contains(domain))
            result.insert(i);
    }
    return result;
}

std::optional<Duration> CatalogWorld::maxStaleness() const
{
    std::optional<Duration> result = Duration::zero();
    for (const auto &node : m_nodes) {
        const auto staleness = node->catalog.staleness(m_events.now());
        if (node->isRunning)
            result = staleness && result ? std::max(result, staleness) : std::nullopt;
    }
    return result;
}

void CatalogWorld::checkEvacuations()
{
    const TimePoint now = m_events.now();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        Node &node = *m_nodes[i];
        if (m_silenced.contains(i))
            node.disturbedUntil = now;
        if (!node.isRunning || !node.active || now < node.disturbedUntil + touchTime)
            continue;
        for (const auto &[domain, order] : m_orders) {
            if (now <= order.storedAt + evacuationBound)
                continue;
            const bool isHeld = node.evacuated.contains(domain);
            m_lateEvacuations += !order.isRemoved && !isHeld ? 1 : 0;
            m_lateReturns += order.isRemoved && isHeld ? 1 : 0;
        }
    }
    m_events.scheduleAfter(milliseconds(50), [this] { checkEvacuations(); });
}

void CatalogWorld::withdrawKey()
{
    MeshConfig config = *m_history.back().config;
    config.version = next(config.version);
    std::erase(config.organisations.front().keys, ApiKey("old"));
    m_withdrawnAt = m_events.now();
    store(std::move(config));
}

void CatalogWorld::addKey()
{
    MeshConfig config = *m_history.back().config;
    config.version = next(config.version);
    config.organisations.front().keys.emplace_back("new");
    store(std::move(config));
}

Identification::Result CatalogWorld::identify(std::size_t node, const std::string &key)
{
    if (!m_nodes[node]->active)
        return NotRunReason::NoConfiguration;
    ApiKey sent(key);
    return m_nodes[node]->identification.identify(*m_nodes[node]->active, RoutePolicy {}, sent,
                                                  m_events.now());
}

bool CatalogWorld::isIdentified(std::size_t node, const std::string &key)
{
    const Identification::Result result = identify(node, key);
    const auto *organisation = std::get_if<const Organisation *>(&result);
    return organisation != nullptr && *organisation != nullptr;
}

void CatalogWorld::checkKeys()
{
    const TimePoint now = m_events.now();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const Node &node = *m_nodes[i];
        if (!node.isRunning || now < node.pausedUntil)
            continue;
        m_maxProofAge = std::max(m_maxProofAge,
                                 now - node.identification.provenAsOf().value_or(node.startedAt));
        if (m_withdrawnAt && now > *m_withdrawnAt + *m_options.revocation && isIdentified(i, "old"))
            ++m_lateUses;
    }
    m_events.scheduleAfter(milliseconds(50), [this] { checkKeys(); });
}

void CatalogWorld::publishSeries(int count, Duration gap)
{
    for (int i = 0; i < count; ++i) {
        publish();
        run(gap);
    }
}

void CatalogWorld::silenceStoreFor(std::set<std::size_t> nodes)
{
    m_silenced = std::move(nodes);
    for (PendingWatch &pending : m_pendingWatches)
        pending.isLost = pending.isLost || m_silenced.contains(pending.node);
}

std::set<std::size_t> CatalogWorld::allNodes() const
{
    std::set<std::size_t> result;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        result.insert(i);
    return result;
}

void CatalogWorld::kill(const std::set<std::size_t> &nodes)
{
    for (const std::size_t index : nodes)
        m_nodes[index]->isRunning = false;
}

Duration CatalogWorld::maxDelay() const
{
    Duration maximum = m_maxDelay;
    for (const auto &node : m_nodes) {
        const ConfigVersion held = node->active ? node->active->version : ConfigVersion();
        const auto missing = std::ranges::find_if(m_history, [held](const StoredVersion &stored) {
            return stored.config->version > held;
        });
        if (node->isRunning && missing != m_history.end())
            maximum = std::max(maximum, m_events.now() - missing->storedAt);
    }
    return maximum;
}

bool CatalogWorld::hasConverged() const
{
    const MeshConfig &newest = *m_history.back().config;
    return std::ranges::all_of(m_nodes, [&](const auto &node) {
        if (!node->isRunning)
            return true;
        if (!node->active || node->active->version != newest.version
            || node->active->hostRoutes.size() != newest.routes.size())
            return false;
        return std::ranges::all_of(newest.routes, [&](const HostRoute &route) {
            const HostRoute *held = node->active->hostRoutes.find(route.host, route.policy.prefix);
            return held != nullptr && *held == route;
        });
    });
}

void CatalogWorld::deliver(std::size_t index, Catalog::Input input)
{
    if (!m_nodes[index]->isRunning)
        return;
    if (m_events.now() < m_nodes[index]->pausedUntil) {
        const auto held = std::make_shared<Catalog::Input>(std::move(input));
        m_events.scheduleAt(m_nodes[index]->pausedUntil,
                            [this, index, held] { deliver(index, std::move(*held)); });
        return;
    }
    Outbox<Catalog::Output> outbox;
    m_nodes[index]->catalog.process(std::move(input), m_events.now(), outbox);
    collect(index, outbox);
}

void CatalogWorld::collect(std::size_t index, Outbox<Catalog::Output> &outbox)
{
    for (auto &output : outbox.take()) {
        std::visit(
            Overloaded {
                [&](StoreCall &call) { onCall(index, call); },
                [&](PeerSend &send) { onSend(index, std::move(send)); },
                [&](SnapshotChanged &changed) { onSnapshot(index, std::move(changed.snapshot)); },
                [&](ConfigurationProven &proof) { onProof(index, proof); },
                [&](EvacuationsChanged &changed) { m_nodes[index]->evacuated = *changed.domains; },
                [&](NewerConfigurationKnown &known) {
                    m_nodes[index]->identification.update(known, m_events.now());
                },
                [](auto &) {},
            },
            output);
    }
    scheduleTimer(index);
}

void CatalogWorld::scheduleTimer(std::size_t index)
{
    Node &node = *m_nodes[index];
    const auto deadline = node.catalog.nextDeadline();
    if (!deadline)
        return;
    const std::uint64_t timerId = ++node.timerId;
    m_events.scheduleAt(*deadline, [this, index, timerId] {
        Node &due = *m_nodes[index];
        if (due.timerId != timerId || !due.isRunning)
            return;
        if (m_events.now() < due.pausedUntil)
            return m_events.scheduleAt(due.pausedUntil, [this, index] { scheduleTimer(index); });
        Outbox<Catalog::Output> outbox;
        due.catalog.advance(m_events.now(), outbox);
        collect(index, outbox);
    });
}

// A link carries one transfer at a time in each direction.
TimePoint CatalogWorld::transfer(Link *from, Link &to, std::size_t bytes) const
{
    const Duration span(bytes * 1'000'000 / m_options.linkBytesPerSecond);
    TimePoint end = m_events.now() + span;
    if (from != nullptr)
        end = from->freeAt = std::max(from->freeAt, m_events.now()) + span;
    return to.freeAt = std::max(end + latency, to.freeAt + span);
}

void CatalogWorld::onSend(std::size_t from, PeerSend &&send)
{
    const std::size_t to = send.to.port - firstPort;
    if (m_cutOff.contains(from) != m_cutOff.contains(to))
        return;
    const NetAddress sender = endpointOf(from).peer;
    const std::size_t bytes = impl::encodePayload({ sender, send.message }).size();
    m_peerBytes += bytes;
    const TimePoint arrival = transfer(&m_nodes[from]->up, m_nodes[to]->down, bytes);
    auto message
        = std::make_shared<CatalogMessage>(std::move(std::get<CatalogMessage>(send.message)));
    m_events.scheduleAt(arrival, [this, to, sender, message] {
        deliver(to, PeerReceived<CatalogMessage> { sender, std::move(*message) });
    });
}

void CatalogWorld::onCall(std::size_t index, const StoreCall &call)
{
    std::size_t configs = 0;
    if (const auto *watch = std::get_if<StoreWatch>(&call.operation)) {
        ++m_listAndWatchCalls;
        const std::uint64_t id = ++m_nextWatchId;
        m_pendingWatches.push_back({ index, call.id, *watch, id, m_silenced.contains(index) });
        m_events.scheduleAfter(watch->wait, [this, id] { endWatch(id); });
        answerPendingWatches();
        return;
    }
    const auto *list = std::get_if<StoreList>(&call.operation);
    if (list == nullptr) {
        reply(index, call.id, StoreWritten { ObjectVersion(5) }, 0);
        return;
    }
    m_listAndWatchCalls += list->kind != StoreKind::Nodes ? 1 : 0;
    StoreEntries entries;
    entries.resourceVersion = m_revision;
    if (list->kind == StoreKind::Evacuations) {
        for (const auto &[domain, order] : m_orders) {
            if (!order.isRemoved)
                entries.entries.push_back({ domain.value(), order.object, false,
                                            EvacuationOrder { domain, order.object } });
        }
    }
    if (list->kind == StoreKind::Configuration) {
        configs = 1;
        entries.entries.push_back(
            { "main", m_history.back().object, false, m_history.back().config });
    }
    reply(index, call.id, std::move(entries), configs);
}

void CatalogWorld::endWatch(std::uint64_t id)
{
    const auto found = std::ranges::find(m_pendingWatches, id, &PendingWatch::id);
    if (found == m_pendingWatches.end())
        return;
    const PendingWatch ended = *found;
    m_pendingWatches.erase(found);
    if (ended.isLost)
        loseReply(ended.node, ended.call);
    else
        reply(ended.node, ended.call, StoreEntries { {}, ended.watch.since, false }, 0);
}

bool CatalogWorld::hasNewerThan(const StoreWatch &watch) const
{
    if (watch.kind == StoreKind::Evacuations)
        return !m_orderRevisions.empty() && watch.since < m_orderRevisions.back();
    return watch.kind == StoreKind::Configuration && watch.since < m_history.back().object;
}

StoreEntries CatalogWorld::entriesSince(const StoreWatch &watch, std::size_t &configs) const
{
    StoreEntries entries;
    entries.resourceVersion = m_revision;
    for (std::size_t i = 0; i < m_orderEvents.size(); ++i) {
        if (watch.kind == StoreKind::Evacuations && m_orderRevisions[i] > watch.since)
            entries.entries.push_back(m_orderEvents[i]);
    }
    for (const StoredVersion &stored : m_history) {
        if (watch.kind != StoreKind::Configuration || stored.object <= watch.since)
            continue;
        ++configs;
        entries.entries.push_back({ "main", stored.object, false, stored.config });
    }
    return entries;
}

void CatalogWorld::answerPendingWatches()
{
    std::vector<PendingWatch> due;
    std::erase_if(m_pendingWatches, [&](const PendingWatch &pending) {
        const bool isDue = !pending.isLost && hasNewerThan(pending.watch);
        if (isDue)
            due.push_back(pending);
        return isDue;
    });
    for (const PendingWatch &pending : due) {
        std::size_t configs = 0;
        StoreEntries entries = entriesSince(pending.watch, configs);
        reply(pending.node, pending.call, std::move(entries), configs);
    }
}

// A call to a store that does not respond ends with the timeout of the calling endpoint.
void CatalogWorld::loseReply(std::size_t index, StoreCallId call)
{
    const Node *process = m_nodes[index].get();
    m_events.scheduleAfter(replyTimeout, [this, index, call, process] {
        if (m_nodes[index].get() == process)
            deliver(index, StoreReply { call, StoreNoReply {} });
    });
}

void CatalogWorld::reply(std::size_t index, StoreCallId call, StoreResult result,
                         std::size_t configs)
{
    if (m_silenced.contains(index) || m_storeResponseTime > replyTimeout)
        return loseReply(index, call);
    const std::size_t bytes = replyHeadBytes + configs * m_options.routes * routeBytesInStore;
    if (bytes > m_options.maxReplyBytes)
        return deliver(index, StoreReply { call, StoreReplyTooLarge {} });
    const auto sharedResult = std::make_shared<StoreResult>(std::move(result));
    // A reply to a process that has been replaced since is lost with its connection.
    const Node *process = m_nodes[index].get();
    m_events.scheduleAfter(m_storeResponseTime, [this, index, call, bytes, sharedResult, process] {
        if (m_nodes[index].get() != process)
            return;
        deliver(index, StoreReply { call, StoreReplyBegun {} });
        m_events.scheduleAt(transfer(nullptr, m_nodes[index]->down, bytes),
                            [this, index, call, sharedResult, process] {
                                if (m_nodes[index].get() == process)
                                    deliver(index, StoreReply { call, std::move(*sharedResult) });
                            });
    });
}

void CatalogWorld::onProof(std::size_t index, const ConfigurationProven &proof)
{
    const bool isWrong = std::ranges::any_of(m_history, [&](const StoredVersion &stored) {
        return stored.storedAt < proof.asOf && stored.config->version > proof.version;
    });
    m_wrongProofs += isWrong ? 1 : 0;
    m_nodes[index]->identification.update(proof);
}

void CatalogWorld::onSnapshot(std::size_t index, std::shared_ptr<const Snapshot> snapshot)
{
    Node &node = *m_nodes[index];
    const ConfigVersion before = node.active ? node.active->version : ConfigVersion();
    for (const StoredVersion &stored : m_history) {
        const ConfigVersion version = stored.config->version;
        if (version > before && version <= snapshot->version)
            m_maxDelay = std::max(m_maxDelay, m_events.now() - stored.storedAt);
    }
    node.active = std::move(snapshot);
}

} // namespace camphorreach
