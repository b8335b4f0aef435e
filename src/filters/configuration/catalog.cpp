// Lists and watches the platform's store, with peers as the fallback.
#include <camphorreach/catalog.h>

#include <camphorreach/result.h>
#include <camphorreach/storebackoff.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace camphorreach {
namespace {

// A store that stops responding takes watches without a sign, and is noticed only when they should
// have ended. A machine counts as connected 3 s after the store is back and must then hold what was
// stored since, so the maximum wait, the response time and the transfer must fit into these 3 s.
constexpr Duration maxWatchWait = std::chrono::seconds(2);
constexpr double minWatchWaitFraction = 0.8;
// Node lists serve only to find nodes that gossip has lost, so they may be infrequent and stale.
constexpr Duration nodeListInterval = std::chrono::seconds(20);
// Nodes that start together register within a second or two of each other.
constexpr Duration earlyNodeListInterval = std::chrono::milliseconds(700);
// While this node knows no other. All nodes may be in this state, after they were killed together,
// and the reads of hundreds must stay within the rate of the store.
constexpr Duration lonelyNodeListInterval = std::chrono::seconds(3);

} // namespace

Catalog::Catalog(Endpoint self, Options options, RandomSource &random)
    : m_self(std::move(self)), m_options(options), m_random(random), m_spread(m_self, random),
      m_evacuationCheck(options.evacuationTime), m_joinCandidates(m_self.peer, random),
      m_registration(m_self.instance, m_self.peer, random), m_proof(options.revocation, random),
      m_keySeed(random())
{ }

void Catalog::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    std::visit(
        Overloaded {
            [&](StoreReply &reply) { onReply(reply, now, outbox); },
            [&](PeerReceived<CatalogMessage> &received) { onMessage(received, now, outbox); },
            [&](EndpointsChanged &changed) {
                m_spread.update(*changed.table);
                m_joinCandidates.update(*changed.table);
                m_findings.onEndpoints(*changed.table, now);
            },
            [&](DeparturesChanged &changed) { m_registration.add(changed.departures, now); },
        },
        input);
    advance(now, outbox);
}

std::optional<TimePoint> Catalog::freshAsOf() const
{
    std::optional<TimePoint> byStore;
    if (m_configInformer.freshAsOf() && m_rolloutInformer.freshAsOf())
        byStore = std::min(m_configInformer.freshAsOf(), m_rolloutInformer.freshAsOf());
    if (m_options.readsEvacuations)
        byStore = std::min(byStore, m_evacuationInformer.freshAsOf()); // empty compares as less
    return std::max(byStore, m_peerFreshAsOf); // an empty optional compares as less
}

std::optional<Duration> Catalog::staleness(TimePoint now) const
{
    const auto asOf = freshAsOf();
    return asOf ? std::optional(now - *asOf) : std::nullopt;
}

WatchElection::Copy Catalog::ownCopy() const
{
    const std::size_t rank = m_spread.rank();
    const auto maxProofAge
        = m_proof.isStrict() ? std::optional(m_proof.takeoverAge(rank)) : std::nullopt;
    return { rank, freshAsOf(), maxProofAge, m_proof.asOf() };
}

bool Catalog::isWatcher(TimePoint now) const
{
    return m_election.isWatcher(ownCopy(), now);
}

// The time at which a node that does not watch lists the evacuation orders. Empty while it need
// not.
std::optional<TimePoint> Catalog::evacuationCheckTime() const
{
    const StoreInformer &informer = m_evacuationInformer;
    if (!m_options.readsEvacuations || m_election.isWatching() || informer.isPending()
        || informer.isScheduled())
        return std::nullopt;
    const TimePoint startedAt = m_election.startedAt().value_or(TimePoint {});
    const TimePoint asOf = std::max(freshAsOf(), informer.freshAsOf()).value_or(startedAt);
    return m_evacuationCheck.nextCheck(asOf, m_spread.rank());
}

void Catalog::checkEvacuations(TimePoint now)
{
    const auto time = evacuationCheckTime();
    if (!time || now < *time)
        return;
    m_evacuationCheck.onChecked(m_spread.rank(), now);
    m_evacuationInformer.resetFailures();
    m_evacuationInformer.callAt(now);
}

// A watch from the last resource version would return every version that peers have already sent,
// so a node that starts to watch after such changes lists first.
void Catalog::updateWatch(TimePoint now)
{
    if (!m_election.update(ownCopy(), now))
        return;
    for (StoreInformer *informer : watchingInformers())
        informer->startWatching(now);
}

void Catalog::onReply(StoreReply &reply, TimePoint now, Outbox<Output> &outbox)
{
    if (m_registration.isPending(reply.id))
        return onRegistrationReply(reply.result, now, outbox);
    for (StoreInformer *informer : informers()) {
        if (informer->isPending(reply.id))
            return onInformerReply(*informer, reply, now, outbox);
        if (informer->isOverdue(reply.id))
            return onLateReply(*informer, reply, now, outbox);
    }
}

void Catalog::onRegistrationReply(const StoreResult &result, TimePoint now, Outbox<Output> &outbox)
{
    NodeRegistration::Effect effect = m_registration.onReply(result, now);
    if (effect.hasFailed)
        ++m_failedCalls;
    for (auto &event : effect.events)
        std::visit([&](auto &departures) { outbox.emit(std::move(departures)); }, event);
}

void Catalog::onInformerReply(StoreInformer &informer, StoreReply &reply, TimePoint now,
                              Outbox<Output> &outbox)
{
    if (std::holds_alternative<StoreReplyBegun>(reply.result))
        return informer.onReplyBegun();
    const StoreInformer::Call call = informer.takePending();
    if (auto *entries = std::get_if<StoreEntries>(&reply.result))
        onEntries(informer, call, *entries, now, outbox);
    else
        onFailure(informer, reply.result, now);
}

// The copy may be as stale as the call is old.
void Catalog::onLateReply(StoreInformer &informer, StoreReply &reply, TimePoint now,
                          Outbox<Output> &outbox)
{
    if (std::holds_alternative<StoreReplyBegun>(reply.result))
        return;
    const StoreInformer::Call call = informer.takeOverdue(reply.id);
    auto *entries = std::get_if<StoreEntries>(&reply.result);
    if (entries == nullptr) {
        ++m_failedCalls;
        return;
    }
    // The pages before it were dropped when the call was overdue.
    const bool needsAllPages
        = informer.kind() == StoreKind::Rollouts || informer.kind() == StoreKind::Evacuations;
    if (needsAllPages && call.read == StoreInformer::Read::NextPage)
        return;
    informer.dropOtherCalls();
    const auto freshBefore = informer.freshAsOf();
    onEntries(informer, call, *entries, now, outbox);
    informer.limitFreshness(freshBefore, call.sentAt);
}

void Catalog::onEntries(StoreInformer &informer, const StoreInformer::Call &call,
                        StoreEntries &entries, TimePoint now, Outbox<Output> &outbox)
{
    for (const StoreEntry &entry : entries.entries)
        if (const auto *config = std::get_if<std::shared_ptr<const MeshConfig>>(&entry.value))
            m_findings.onConfiguration((*config)->version, entry.findings);
    ConfigIntake::Page page;
    if (informer.kind() == StoreKind::Configuration)
        page = m_configIntake.read(entries.entries);
    for (ConfigurationRefused &refused : page.refused)
        outbox.emit(std::move(refused));
    for (const StoreEntry &entry : entries.entries)
        if (const auto *node = std::get_if<NodeRecord>(&entry.value))
            m_joinCandidates.add(node->peer);
    const bool hasMore = informer.onPage(entries, now);
    const bool isNewer = page.newest && page.newest->version > version();
    const ConfigVersion newestVersion = page.newest ? page.newest->version : ConfigVersion();
    if (!hasMore && informer.kind() == StoreKind::Configuration && page.isEveryAccepted)
        recordProof(call, entries.resourceVersion, newestVersion, now);
    if (!hasMore && informer.kind() == StoreKind::Nodes)
        onNodesListed(informer, now, outbox);
    else if (!hasMore)
        onLastPage(informer, entries.resourceVersion, page.configurations, isNewer, now);
    const bool haveOrdersChanged = informer.kind() == StoreKind::Rollouts
        && applyEntries(m_orders, informer, call.read, entries, hasMore);
    const bool haveEvacuationsChanged = informer.kind() == StoreKind::Evacuations
        && applyEntries(m_evacuations, informer, call.read, entries, hasMore);
    if (informer.kind() == StoreKind::Evacuations
        && (call.read == StoreInformer::Read::Watch || !hasMore))
        publishEvacuations(haveEvacuationsChanged, outbox);
    if (!page.isEveryAccepted && informer.isScheduled() && m_proof.isStrict()) {
        // A watch from here on would prove nothing about what could not be read.
        informer.requireList();
        informer.callAt(now + StoreBackoff::delay(StoreBackoff::maxDoublings, m_random));
    }
    const bool hasConfigChanged = page.newest && apply(*page.newest, now, outbox);
    publishChanges(haveOrdersChanged, hasConfigChanged || haveEvacuationsChanged, now, outbox);
}

// A list is applied as a whole, as of its first page: what is not in it was taken back.
template <typename Order>
bool Catalog::applyEntries(OrderTable<Order> &orders, StoreInformer &informer,
                           StoreInformer::Read read, const StoreEntries &entries, bool hasMore)
{
    if (read == StoreInformer::Read::Watch)
        return orders.applyEvents(entries.entries, entries.resourceVersion);
    const auto list = informer.collect(read, entries, hasMore);
    return list && orders.applyList(list->entries, list->resourceVersion);
}

void Catalog::publishEvacuations(bool haveChanged, Outbox<Output> &outbox)
{
    m_areEvacuationsKnown = true;
    if (!haveChanged)
        return;
    auto evacuated = std::make_shared<const std::set<FailureDomain>>(m_evacuations.activeDomains());
    m_findings.onEvacuations(*evacuated);
    outbox.emit(EvacuationsChanged { std::move(evacuated) });
}

// The reply has everything that was acknowledged before the call was sent, and shows nothing about
// the time after: it may have been delayed, and a watch may have ended early.
void Catalog::recordProof(const StoreInformer::Call &call, ObjectVersion resourceVersion,
                          ConfigVersion newest, TimePoint now)
{
    const ConfigVersion needed = call.since ? std::max(newest, call.heldAtStart) : newest;
    const bool isOlderState
        = call.since ? resourceVersion < *call.since : newest < call.heldAtStart;
    if (!isOlderState)
        m_proof.record(call.provesFrom, needed, version(), now);
}

void Catalog::onLastPage(StoreInformer &informer, ObjectVersion resourceVersion,
                         std::size_t versions, bool isNewer, TimePoint now)
{
    informer.onLastPage(resourceVersion, versions, isNewer, now);
    if (!informer.isCatchingUp() && !isWatcher(now))
        informer.stop();
}

void Catalog::onNodesListed(StoreInformer &informer, TimePoint now, Outbox<Output> &outbox)
{
    const std::uint64_t others = m_joinCandidates.finishList(now);
    outbox.emit(NodesListed { static_cast<std::size_t>(others) + 1 });
    if (others > 0 && m_earlyNodeLists > 0)
        --m_earlyNodeLists;
    const Duration laterInterval
        = m_joinCandidates.knowsOthers() ? nodeListInterval : lonelyNodeListInterval;
    informer.callAt(now + (m_earlyNodeLists > 0 ? earlyNodeListInterval : laterInterval));
}

void Catalog::joinListedNodes(TimePoint now, Outbox<Output> &outbox)
{
    if (std::vector<NetAddress> peers = m_joinCandidates.takeDue(now); !peers.empty())
        outbox.emit(JoinPeers { std::move(peers) });
}

// A failed watch is not repeated: its reply would hold every version since then in full, and would
// grow with each of them beyond any limit on its size. A list returns only the newest.
void Catalog::onFailure(StoreInformer &informer, const StoreResult &result, TimePoint now)
{
    const bool wasWatch = informer.watchFrom().has_value();
    restartList(informer);
    const auto *refusal = std::get_if<StoreRefusal>(&result);
    const bool isHistoryGone
        = refusal != nullptr && refusal->reason == StoreRefusal::Reason::HistoryGone;
    if (isHistoryGone || (wasWatch && std::holds_alternative<StoreReplyTooLarge>(result)))
        return informer.callAt(now);
    ++m_failedCalls;
    scheduleRetry(informer, now);
    if (wasWatch && !isWatcher(now))
        informer.stop();
}

void Catalog::onOverdue(StoreInformer &informer, TimePoint now)
{
    informer.onOverdue(); // never of the nodes, so no list of them restarts
    scheduleRetry(informer, now);
}

void Catalog::restartList(StoreInformer &informer)
{
    informer.restartList();
    if (informer.kind() == StoreKind::Nodes)
        m_joinCandidates.restartList();
}

void Catalog::scheduleRetry(StoreInformer &informer, TimePoint now)
{
    const Duration delay = StoreBackoff::delay(informer.failures(), m_random);
    informer.retryAfter(delay * m_election.retryShare(m_spread.rank(), now), now);
}

bool Catalog::apply(const MeshConfig &config, TimePoint now, Outbox<Output> &outbox)
{
    outbox.emit(ConfigurationReceived { config.version, version(), std::nullopt,
                                        config.routes.size(), false, staleness(now) });
    if (m_config.apply(config) != VersionedConfig::Effect::Applied)
        return false;
    emitSnapshot(outbox);
    return true;
}

void Catalog::emitSnapshot(Outbox<Output> &outbox)
{
    m_isSnapshotHeld = m_options.readsEvacuations && !m_areEvacuationsKnown;
    if (m_isSnapshotHeld)
        return;
    outbox.emit(
        SnapshotChanged { snapshotOf(m_config.config(), m_options.retryBudget, m_keySeed) });
}

void Catalog::advance(TimePoint now, Outbox<Output> &outbox)
{
    m_election.start(now);
    updateWatch(now);
    checkEvacuations(now);
    for (StoreInformer *informer : informers()) {
        if (informer->isReplyOverdue(now))
            onOverdue(*informer, now);
        if (isDue(*informer, now))
            listOrWatch(*informer, now, outbox);
    }
    if (m_registration.isDue(now)) {
        const StoreCallId id(m_nextCallId++);
        outbox.emit(StoreCall { id, m_registration.start(id) });
    }
    joinListedNodes(now, outbox);
    releaseSnapshot(now, outbox);
    advanceSpread(now, outbox);
    advanceProof(now, outbox);
    if (auto findings = m_findings.takeChange(version(), now))
        outbox.emit(FindingsChanged { version(), *std::move(findings) });
}

void Catalog::releaseSnapshot(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_isSnapshotHeld || (!m_areEvacuationsKnown && now < snapshotReleaseTime()))
        return;
    m_areEvacuationsKnown = true;
    emitSnapshot(outbox);
}

std::vector<StoreInformer *> Catalog::watchingInformers()
{
    std::vector<StoreInformer *> result { &m_configInformer, &m_rolloutInformer };
    if (m_options.readsEvacuations)
        result.push_back(&m_evacuationInformer);
    return result;
}

std::vector<StoreInformer *> Catalog::informers()
{
    std::vector<StoreInformer *> result = watchingInformers();
    result.push_back(&m_nodeInformer);
    return result;
}

bool Catalog::isDue(const StoreInformer &informer, TimePoint now) const
{
    // The next list of nodes would replace the addresses that are still to be tried.
    if (informer.kind() == StoreKind::Nodes && m_joinCandidates.nextDeadline())
        return false;
    return informer.isDue(now);
}

void Catalog::listOrWatch(StoreInformer &informer, TimePoint now, Outbox<Output> &outbox)
{
    const bool isNodeList = informer.kind() == StoreKind::Nodes;
    // Nodes are listed only after this node's own registration, so that of two nodes that start
    // together at least one finds the other.
    if (isNodeList && !m_registration.isComplete())
        return informer.callAt(now + StoreBackoff::initialDelay);
    // By now other nodes may have supplied what the failed calls should have read.
    const bool isNeeded
        = isNodeList || informer.failures() == 0 || isWatcher(now) || !m_peerFreshAsOf;
    if (!isNeeded)
        return informer.stop();
    const StoreCallId id(m_nextCallId++);
    if (informer.watchFrom() && isWatcher(now)) {
        const Duration wait = watchWait(informer.kind());
        outbox.emit(StoreCall { id, informer.startWatch(id, wait, version(), now) });
    } else {
        const bool mayBeStale = isNodeList && m_spread.hasDomainPeers();
        outbox.emit(StoreCall { id, informer.startList(id, mayBeStale, version(), now) });
    }
}

// At random, so that watches that an event has ended together do not end together again.
Duration Catalog::watchWait(StoreKind kind)
{
    const bool renewsProof = m_proof.isStrict() && kind == StoreKind::Configuration;
    return scaled(renewsProof ? std::min(m_proof.watchWait(), maxWatchWait) : maxWatchWait,
                  minWatchWaitFraction + (1 - minWatchWaitFraction) * uniformFraction(m_random));
}

CatalogVersions Catalog::heldVersions() const
{
    return { version(), m_orders.version().value_or(ObjectVersion()), m_evacuations.version() };
}

std::optional<TimePoint> Catalog::nextDeadline() const
{
    if (!m_election.startedAt())
        return TimePoint {};
    TimePoint next = m_spread.nextDeadline();
    const auto include = [&next](std::optional<TimePoint> time) {
        if (time)
            next = std::min(next, *time);
    };
    if (!m_election.isWatching())
        include(m_election.takeoverTime(ownCopy()));
    if (m_isSnapshotHeld)
        include(snapshotReleaseTime());
    include(evacuationCheckTime());
    include(m_proof.nextAsk());
    include(m_findings.nextDeadline());
    include(m_configInformer.nextDeadline());
    include(m_rolloutInformer.nextDeadline());
    if (m_options.readsEvacuations)
        include(m_evacuationInformer.nextDeadline());
    const bool areNodesTried = !m_nodeInformer.isPending() && m_joinCandidates.nextDeadline();
    include(areNodesTried ? m_joinCandidates.nextDeadline() : m_nodeInformer.nextDeadline());
    include(m_registration.nextDeadline());
    return next;
}

} // namespace camphorreach
