// Lists and watches the platform's store, with peers as the fallback.
#include <camphorreach/catalog.h>

#include <camphorreach/result.h>

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
// A slow store responds within 250 ms. Without the beginning of a reply for this long, it may have
// stopped responding.
constexpr Duration responseTime = std::chrono::milliseconds(400);
constexpr std::size_t maxOverdueCalls = 3;
// Number of nodes of a failure domain that watch the store; the others get changes from them. With
// three, a store that refuses a third of the machines rarely refuses all watchers of a region.
constexpr std::size_t watchersPerDomain = 3;
// A node receives two digests per second on average. Without any message for this time it assumes
// that it is cut off from the other nodes, and watches the store itself.
constexpr Duration peerTimeout = std::chrono::seconds(4);
// A node whose copy is staler than this also watches the store itself. A watch resets the staleness
// of a watcher at least every 3 s, and several rounds of digests pass that on to all nodes.
constexpr Duration maxStaleness = std::chrono::seconds(6);
// Nodes that take over from stale watchers start one after the other by rank, so that the changes
// that the first one reads save the others the calls.
constexpr Duration takeoverStagger = std::chrono::milliseconds(100);
// An order must spread within this time after a stale node has asked the store for it.
constexpr Duration evacuationMargin = std::chrono::milliseconds(500);
// Minimum time between two such questions of one node.
constexpr Duration evacuationCheckInterval = std::chrono::seconds(1);
// Node lists serve only to find nodes that gossip has lost, so they may be infrequent and stale.
constexpr Duration nodeListInterval = std::chrono::seconds(20);
// Nodes that start together register within a second or two of each other.
constexpr Duration earlyNodeListInterval = std::chrono::milliseconds(700);
// While this node knows no other. All nodes may be in this state, after they were killed together,
// and the reads of hundreds must stay within the rate of the store.
constexpr Duration lonelyNodeListInterval = std::chrono::seconds(3);
constexpr Duration initialBackoff = std::chrono::milliseconds(150);
constexpr Duration maxBackoff = std::chrono::milliseconds(1200);
constexpr std::uint32_t maxBackoffDoublings = 3;

} // namespace

Catalog::Catalog(Endpoint self, Options options, RandomSource &random)
    : m_self(std::move(self)), m_options(options), m_random(random), m_spread(m_self, random),
      m_joinCandidates(m_self.peer, random), m_proof(options.revocation, random),
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
            },
            [&](DeparturesChanged &changed) { onDepartures(changed, now); },
        },
        input);
    advance(now, outbox);
}

std::optional<TimePoint> Catalog::freshAsOf() const
{
    std::optional<TimePoint> byStore;
    if (m_configInformer.freshAsOf && m_rolloutInformer.freshAsOf)
        byStore = std::min(*m_configInformer.freshAsOf, *m_rolloutInformer.freshAsOf);
    if (m_options.readsEvacuations)
        byStore = std::min(byStore, m_evacuationInformer.freshAsOf); // empty compares as less
    return std::max(byStore, m_peerFreshAsOf); // an empty optional compares as less
}

std::optional<Duration> Catalog::staleness(TimePoint now) const
{
    const auto asOf = freshAsOf();
    return asOf ? std::optional(now - *asOf) : std::nullopt;
}

// The time at which a node starts to watch although its rank does not select it.
TimePoint Catalog::takeoverTime() const
{
    const auto asOf = freshAsOf();
    const TimePoint staleAt = asOf.value_or(m_startedAt.value_or(TimePoint {})) + maxStaleness
        + takeoverStagger * static_cast<Duration::rep>(m_spread.rank());
    const TimePoint next = std::min(m_lastPeerMessage + peerTimeout, staleAt);
    if (!m_proof.isStrict())
        return next;
    return std::min(next,
                    m_proof.asOf().value_or(m_startedAt.value_or(TimePoint {}))
                        + m_proof.takeoverAge(m_spread.rank()));
}

bool Catalog::isWatcher(TimePoint now) const
{
    return m_spread.rank() < watchersPerDomain || now >= takeoverTime();
}

// The time at which a node that does not watch lists the evacuation orders, because an order may
// have been given that its peers do not know either: they have lost all watchers, or the store
// refuses these. Empty while it need not.
std::optional<TimePoint> Catalog::evacuationCheckTime() const
{
    const Informer &informer = m_evacuationInformer;
    if (!m_options.readsEvacuations || m_isWatching || informer.pendingCall || informer.nextCall)
        return std::nullopt;
    const TimePoint asOf
        = std::max(freshAsOf(), informer.freshAsOf).value_or(m_startedAt.value_or(TimePoint {}));
    const Duration stagger = takeoverStagger * static_cast<Duration::rep>(m_spread.rank());
    return std::max(asOf + m_options.evacuationTime - evacuationMargin + stagger,
                    m_nextEvacuationCheck);
}

// While the store fails, nodes ask less often the higher their rank, as in scheduleRetry().
void Catalog::checkEvacuations(TimePoint now)
{
    const auto time = evacuationCheckTime();
    if (!time || now < *time)
        return;
    const auto share = static_cast<Duration::rep>(1 + m_spread.rank() / watchersPerDomain);
    m_nextEvacuationCheck = now + evacuationCheckInterval * share;
    m_evacuationInformer.failures = 0;
    m_evacuationInformer.nextCall = now;
}

// A watch from the last resource version would return every version that peers have already sent,
// so a node that starts to watch after such changes lists first.
void Catalog::updateWatch(TimePoint now)
{
    const bool watched = std::exchange(m_isWatching, isWatcher(now));
    if (watched || !m_isWatching)
        return;
    for (Informer *informer : watchingInformers()) {
        if (std::exchange(informer->isSuperseded, false))
            informer->resourceVersion.reset();
        informer->nextCall = std::min(informer->nextCall.value_or(now), now);
    }
}

void Catalog::onReply(StoreReply &reply, TimePoint now, Outbox<Output> &outbox)
{
    if (m_registrationCall == reply.id) {
        m_registrationCall.reset();
        onRegistrationReply(reply.result, now, outbox);
        return;
    }
    for (Informer *informer : informers()) {
        if (informer->pendingCall && informer->pendingCall->id == reply.id)
            return onInformerReply(*informer, reply, now, outbox);
        if (std::ranges::find(informer->overdueCalls, reply.id, &PendingCall::id)
            != informer->overdueCalls.end())
            return onLateReply(*informer, reply, now, outbox);
    }
}

void Catalog::onInformerReply(Informer &informer, StoreReply &reply, TimePoint now,
                              Outbox<Output> &outbox)
{
    if (std::holds_alternative<StoreReplyBegun>(reply.result)) {
        informer.pendingCall->overdueAt = TimePoint::max(); // the endpoint limits the rest
        return;
    }
    const PendingCall call = *std::exchange(informer.pendingCall, std::nullopt);
    if (auto *entries = std::get_if<StoreEntries>(&reply.result))
        onEntries(informer, call, *entries, now, outbox);
    else
        onFailure(informer, reply.result, now);
}

// Whichever call is answered first counts, and the replies to the others are ignored. The copy may
// be as stale as the call is old.
void Catalog::onLateReply(Informer &informer, StoreReply &reply, TimePoint now,
                          Outbox<Output> &outbox)
{
    if (std::holds_alternative<StoreReplyBegun>(reply.result))
        return;
    const auto found = std::ranges::find(informer.overdueCalls, reply.id, &PendingCall::id);
    const PendingCall call = *found;
    informer.overdueCalls.erase(found);
    auto *entries = std::get_if<StoreEntries>(&reply.result);
    if (entries == nullptr) {
        ++m_failedCalls;
        return;
    }
    // The pages before it were dropped when the call was overdue.
    const bool needsAllPages
        = informer.kind == StoreKind::Rollouts || informer.kind == StoreKind::Evacuations;
    if (needsAllPages && call.read == Read::NextPage)
        return;
    informer.pendingCall.reset();
    informer.overdueCalls.clear();
    const auto freshBefore = informer.freshAsOf;
    onEntries(informer, call, *entries, now, outbox);
    informer.freshAsOf = std::max(freshBefore, std::optional(call.sentAt));
}

void Catalog::onRegistrationReply(const StoreResult &result, TimePoint now, Outbox<Output> &outbox)
{
    if (const auto *written = std::get_if<StoreWritten>(&result)) {
        m_hasRecord = true;
        m_recordVersion = written->version;
        publishRestored(outbox);
        outbox.emit(DeparturesStored { m_writtenDepartures });
        if (m_writtenDepartures != m_departures)
            m_nextRegistration = now;
        return;
    }
    const auto *refusal = std::get_if<StoreRefusal>(&result);
    if (refusal != nullptr && refusal->reason == StoreRefusal::Reason::Conflict)
        return onRecordConflict(*refusal, now, outbox);
    if (refusal != nullptr && refusal->reason == StoreRefusal::Reason::NotFound)
        m_hasRecord = false;
    ++m_failedCalls;
    m_nextRegistration = now + retryDelay(maxBackoffDoublings);
}

// An existing record is this node's own, left by an earlier process or written by a call without a
// reply. Its departures are kept; the next call replaces it.
void Catalog::onRecordConflict(const StoreRefusal &refusal, TimePoint now, Outbox<Output> &outbox)
{
    m_hasRecord = true;
    m_recordVersion.reset();
    if (refusal.current) {
        m_recordVersion = refusal.current->version;
        if (const auto *record = std::get_if<NodeRecord>(&refusal.current->value)) {
            m_departures.add(record->departures);
            outbox.emit(DeparturesStored { record->departures });
        }
    }
    publishRestored(outbox);
    m_nextRegistration = now;
}

void Catalog::publishRestored(Outbox<Output> &outbox)
{
    if (!std::exchange(m_areDeparturesRestored, true))
        outbox.emit(DeparturesRestored { m_departures });
}

void Catalog::onDepartures(const DeparturesChanged &changed, TimePoint now)
{
    if (m_departures.add(changed.departures) && !m_registrationCall)
        m_nextRegistration = std::min(m_nextRegistration.value_or(now), now);
}

void Catalog::writeRecord(Outbox<Output> &outbox)
{
    m_nextRegistration.reset();
    m_registrationCall = StoreCallId(m_nextCallId++);
    m_writtenDepartures = m_departures;
    const NodeRecord record { m_self.instance, m_self.peer, m_departures };
    if (m_hasRecord)
        emitCall(*m_registrationCall, StoreReplace { record, m_recordVersion }, outbox);
    else
        emitCall(*m_registrationCall, StoreRegister { record }, outbox);
}

void Catalog::onEntries(Informer &informer, const PendingCall &call, StoreEntries &entries,
                        TimePoint now, Outbox<Output> &outbox)
{
    informer.failures = 0;
    bool isEveryConfigAccepted = true; // and readable, up to the newest one
    ConfigVersion newestSeen;
    std::size_t configs = 0;
    std::shared_ptr<const MeshConfig> newest;
    for (StoreEntry &entry : entries.entries) {
        if (auto *config = std::get_if<std::shared_ptr<const MeshConfig>>(&entry.value)) {
            ++configs;
            m_configName = entry.name;
            if ((*config)->version <= newestSeen)
                continue;
            newestSeen = (*config)->version;
            isEveryConfigAccepted = isAccepted(**config, outbox);
            if (isEveryConfigAccepted)
                newest = std::move(*config);
        } else if (informer.kind == StoreKind::Configuration && isUnreadableConfiguration(entry)) {
            isEveryConfigAccepted = false;
        } else if (const auto *node = std::get_if<NodeRecord>(&entry.value)) {
            m_joinCandidates.add(node->peer);
        }
    }
    informer.nextCall = now;
    // An unreadable entry may have no name. A page without a name after the cursor ends the list,
    // or the same page would be read again.
    std::string lastName;
    for (const StoreEntry &entry : entries.entries)
        lastName = std::max(lastName, entry.name);
    const bool hasMore = entries.hasMore && lastName > informer.cursor;
    informer.cursor = hasMore ? lastName : std::string();
    const bool isNewer = newest && newest->version > version();
    const ConfigVersion newestVersion = newest ? newest->version : ConfigVersion();
    if (!hasMore && informer.kind == StoreKind::Configuration && isEveryConfigAccepted)
        recordProof(call, entries.resourceVersion, newestVersion, now);
    if (!hasMore && informer.kind == StoreKind::Nodes)
        onNodesListed(informer, now);
    else if (!hasMore)
        onLastPage(informer, entries.resourceVersion, configs, isNewer, now);
    const bool haveOrdersChanged = informer.kind == StoreKind::Rollouts
        && applyEntries(m_orders, m_listedOrders, call.read, entries, hasMore);
    const bool haveEvacuationsChanged = informer.kind == StoreKind::Evacuations
        && applyEntries(m_evacuations, m_listedEvacuations, call.read, entries, hasMore);
    if (informer.kind == StoreKind::Evacuations && (call.read == Read::Watch || !hasMore))
        publishEvacuations(haveEvacuationsChanged, outbox);
    if (!isEveryConfigAccepted && informer.nextCall && m_proof.isStrict()) {
        // A watch from here on would prove nothing about what could not be read.
        informer.resourceVersion.reset();
        informer.nextCall = now + retryDelay(maxBackoffDoublings);
    }
    const bool hasConfigChanged = newest && apply(*newest, now, outbox);
    publishChanges(haveOrdersChanged, hasConfigChanged || haveEvacuationsChanged, now, outbox);
}

// A list is applied as a whole, as of its first page: what is not in it was taken back.
template <typename Order>
bool Catalog::applyEntries(OrderTable<Order> &orders, std::optional<StoreEntries> &listed,
                           Read read, const StoreEntries &entries, bool hasMore)
{
    if (read == Read::Watch)
        return orders.applyEvents(entries.entries, entries.resourceVersion);
    if (read == Read::List || !listed)
        listed = StoreEntries { {}, entries.resourceVersion };
    listed->entries.insert(listed->entries.end(), entries.entries.begin(), entries.entries.end());
    if (hasMore)
        return false;
    const StoreEntries list = *std::exchange(listed, std::nullopt);
    return orders.applyList(list.entries, list.resourceVersion);
}

void Catalog::publishEvacuations(bool haveChanged, Outbox<Output> &outbox)
{
    m_areEvacuationsKnown = true;
    if (haveChanged)
        outbox.emit(EvacuationsChanged {
            std::make_shared<const std::set<FailureDomain>>(m_evacuations.activeDomains()) });
}

// The reply has everything that was acknowledged before the call was sent, and shows nothing about
// the time after: it may have been delayed, and a watch may have ended early.
void Catalog::recordProof(const PendingCall &call, ObjectVersion resourceVersion,
                          ConfigVersion newest, TimePoint now)
{
    const ConfigVersion needed = call.since ? std::max(newest, call.heldAtStart) : newest;
    const bool isOlderState
        = call.since ? resourceVersion < *call.since : newest < call.heldAtStart;
    if (!isOlderState)
        m_proof.record(call.provesFrom, needed, version(), now);
}

// Whether the entry may be the configuration, so that the copy may lack it.
bool Catalog::isUnreadableConfiguration(const StoreEntry &entry) const
{
    const bool isOther = !entry.name.empty() && !m_configName.empty() && entry.name != m_configName;
    return !entry.isRemoved && !isOther && std::holds_alternative<std::monostate>(entry.value);
}

bool Catalog::isAccepted(const MeshConfig &config, Outbox<Output> &outbox)
{
    Findings findings = findingsOf(config);
    if (findings.empty())
        return true;
    if (config.version > m_refusedVersion) {
        m_refusedVersion = config.version;
        outbox.emit(ConfigurationRefused { config.version, std::move(findings) });
    }
    return false;
}

// A watch returns every version in full. When a reply holds more than one, the node lists instead,
// which returns only the newest, until a list returns nothing newer. That way it is never behind by
// more than the transfer time of one version.
void Catalog::onLastPage(Informer &informer, ObjectVersion resourceVersion, std::size_t changes,
                         bool isNewer, TimePoint now)
{
    informer.freshAsOf = now;
    informer.isSuperseded = false;
    informer.isCatchingUp = changes > 1 || (informer.isCatchingUp && isNewer);
    informer.resourceVersion = resourceVersion;
    if (informer.isCatchingUp)
        informer.resourceVersion.reset();
    else if (!isWatcher(now))
        informer.nextCall.reset();
}

void Catalog::onNodesListed(Informer &informer, TimePoint now)
{
    const bool hasNodes = m_joinCandidates.finishList(now);
    if (hasNodes && m_earlyNodeLists > 0)
        --m_earlyNodeLists;
    const Duration laterInterval
        = m_joinCandidates.knowsOthers() ? nodeListInterval : lonelyNodeListInterval;
    informer.nextCall = now + (m_earlyNodeLists > 0 ? earlyNodeListInterval : laterInterval);
}

void Catalog::joinListedNodes(TimePoint now, Outbox<Output> &outbox)
{
    if (std::vector<NetAddress> peers = m_joinCandidates.takeDue(now); !peers.empty())
        outbox.emit(JoinPeers { std::move(peers) });
}

// A failed watch is not repeated: its reply would hold every version since then in full, and would
// grow with each of them beyond any limit on its size. A list returns only the newest.
void Catalog::onFailure(Informer &informer, const StoreResult &result, TimePoint now)
{
    const bool wasWatch = informer.resourceVersion.has_value();
    restartList(informer);
    const auto *refusal = std::get_if<StoreRefusal>(&result);
    const bool isHistoryGone
        = refusal != nullptr && refusal->reason == StoreRefusal::Reason::HistoryGone;
    if (isHistoryGone || (wasWatch && std::holds_alternative<StoreReplyTooLarge>(result))) {
        informer.nextCall = now;
        return;
    }
    ++m_failedCalls;
    scheduleRetry(informer, now);
    if (wasWatch && !isWatcher(now))
        informer.nextCall.reset();
}

// The call is not given up, because a store that is only slow still replies to it. Another call
// shows when a store that does not respond to anything is back.
void Catalog::onOverdue(Informer &informer, TimePoint now)
{
    informer.overdueCalls.push_back(*informer.pendingCall);
    informer.pendingCall.reset();
    restartList(informer);
    scheduleRetry(informer, now);
}

void Catalog::restartList(Informer &informer)
{
    informer.resourceVersion.reset();
    informer.cursor.clear();
    if (informer.kind == StoreKind::Nodes)
        m_joinCandidates.restartList();
    else if (informer.kind == StoreKind::Rollouts)
        m_listedOrders.reset();
    else if (informer.kind == StoreKind::Evacuations)
        m_listedEvacuations.reset();
}

// While the store fails, the nodes that have taken over from the watchers of their failure domain
// call it less often the higher their rank, so that the calls do not grow with the number of nodes.
void Catalog::scheduleRetry(Informer &informer, TimePoint now)
{
    const bool hearsPeers = now < m_lastPeerMessage + peerTimeout;
    const auto share = hearsPeers ? 1 + m_spread.rank() / watchersPerDomain : 1;
    informer.nextCall = now + retryDelay(informer.failures) * static_cast<Duration::rep>(share);
    informer.failures = std::min(informer.failures + 1, maxBackoffDoublings);
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
    if (!m_startedAt)
        m_startedAt = now;
    updateWatch(now);
    checkEvacuations(now);
    for (Informer *informer : informers()) {
        if (informer->pendingCall && now >= informer->pendingCall->overdueAt)
            onOverdue(*informer, now);
        if (isDue(*informer, now))
            listOrWatch(*informer, now, outbox);
    }
    if (!m_registrationCall && m_nextRegistration && now >= *m_nextRegistration)
        writeRecord(outbox);
    joinListedNodes(now, outbox);
    releaseSnapshot(now, outbox);
    advanceSpread(now, outbox);
    advanceProof(now, outbox);
}

void Catalog::releaseSnapshot(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_isSnapshotHeld || (!m_areEvacuationsKnown && now < snapshotReleaseTime()))
        return;
    m_areEvacuationsKnown = true;
    emitSnapshot(outbox);
}

std::vector<Catalog::Informer *> Catalog::watchingInformers()
{
    std::vector<Informer *> result { &m_configInformer, &m_rolloutInformer };
    if (m_options.readsEvacuations)
        result.push_back(&m_evacuationInformer);
    return result;
}

std::vector<Catalog::Informer *> Catalog::informers()
{
    std::vector<Informer *> result = watchingInformers();
    result.push_back(&m_nodeInformer);
    return result;
}

bool Catalog::isDue(const Informer &informer, TimePoint now) const
{
    // The next list of nodes would replace the addresses that are still to be tried.
    if (informer.kind == StoreKind::Nodes && m_joinCandidates.nextDeadline())
        return false;
    return !informer.pendingCall && informer.overdueCalls.size() < maxOverdueCalls
        && informer.nextCall && now >= *informer.nextCall;
}

void Catalog::listOrWatch(Informer &informer, TimePoint now, Outbox<Output> &outbox)
{
    // Nodes are listed only after this node's own registration, so that of two nodes that start
    // together at least one finds the other.
    if (informer.kind == StoreKind::Nodes && (m_registrationCall || m_nextRegistration)) {
        informer.nextCall = now + initialBackoff;
        return;
    }
    // By now other nodes may have supplied what the failed calls should have read.
    const bool isNeeded = informer.kind == StoreKind::Nodes || informer.failures == 0
        || isWatcher(now) || !m_peerFreshAsOf;
    if (!isNeeded) {
        informer.nextCall.reset();
        return;
    }
    const StoreCallId id(m_nextCallId++);
    const bool isFirstPage = informer.cursor.empty();
    if (isFirstPage)
        informer.listStartedAt = now;
    if (informer.kind == StoreKind::Nodes) {
        // Lists of nodes are not urgent, and may be long.
        informer.pendingCall = { id, Read::List, now, TimePoint::max(), now };
        emitCall(id, StoreList { informer.kind, informer.cursor, m_spread.hasDomainPeers() },
                 outbox);
    } else if (informer.resourceVersion && isWatcher(now)) {
        const Duration wait = watchWait(informer.kind);
        informer.pendingCall = { id,
                                 Read::Watch,
                                 now,
                                 now + wait + responseTime,
                                 now,
                                 version(),
                                 informer.resourceVersion };
        emitCall(id, StoreWatch { informer.kind, *informer.resourceVersion, wait }, outbox);
    } else {
        informer.pendingCall = { id,
                                 isFirstPage ? Read::List : Read::NextPage,
                                 now,
                                 now + responseTime,
                                 informer.listStartedAt,
                                 version() };
        emitCall(id, StoreList { informer.kind, informer.cursor, false }, outbox);
    }
}

// At random, so that watches that an event has ended together do not end together again.
Duration Catalog::watchWait(StoreKind kind)
{
    const bool renewsProof = m_proof.isStrict() && kind == StoreKind::Configuration;
    return scaled(renewsProof ? std::min(m_proof.watchWait(), maxWatchWait) : maxWatchWait,
                  minWatchWaitFraction + (1 - minWatchWaitFraction) * uniformFraction(m_random));
}

void Catalog::emitCall(StoreCallId id, StoreOperation operation, Outbox<Output> &outbox)
{
    outbox.emit(StoreCall { id, std::move(operation) });
}

CatalogVersions Catalog::heldVersions() const
{
    return { version(), m_orders.version().value_or(ObjectVersion()), m_evacuations.version() };
}

Duration Catalog::retryDelay(std::uint32_t failures)
{
    return backoff(initialBackoff, maxBackoff, failures, m_random);
}

std::optional<TimePoint> Catalog::nextDeadline() const
{
    if (!m_startedAt)
        return TimePoint {};
    TimePoint next = m_spread.nextDeadline();
    if (!m_isWatching)
        next = std::min(next, takeoverTime());
    if (m_isSnapshotHeld)
        next = std::min(next, snapshotReleaseTime());
    if (const auto check = evacuationCheckTime())
        next = std::min(next, *check);
    if (const auto ask = m_proof.nextAsk())
        next = std::min(next, *ask);
    for (const Informer *informer :
         { &m_configInformer, &m_rolloutInformer, &m_nodeInformer, &m_evacuationInformer }) {
        if (informer->kind == StoreKind::Evacuations && !m_options.readsEvacuations)
            continue;
        if (informer->pendingCall)
            next = std::min(next, informer->pendingCall->overdueAt);
        else if (informer->kind == StoreKind::Nodes && m_joinCandidates.nextDeadline())
            next = std::min(next, *m_joinCandidates.nextDeadline());
        else if (informer->nextCall && informer->overdueCalls.size() < maxOverdueCalls)
            next = std::min(next, *informer->nextCall);
    }
    if (!m_registrationCall && m_nextRegistration)
        next = std::min(next, *m_nextRegistration);
    return next;
}

} // namespace camphorreach
