// Following the platform's store, with other nodes as a stand-in.
#include <camphorreach/catalog.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace camphorreach {
namespace {

// A store that falls silent without a reset leaves a watch hanging until its own end. A machine
// counts as in touch 3 s after the store is back, and a change must be in force 2 s later; the
// call's own timeout of 1.5 s is part of that.
constexpr Duration watchTime = std::chrono::seconds(3);
// Some nodes of each failure domain watch the store, and the others hear from them: so many that a
// refusal of a third of the machines hardly ever meets all watchers of a region.
constexpr std::size_t watchersPerDomain = 3;
// A node hears two adverts a second on average; without any for this time it is cut off from the
// other nodes and watches the store itself.
constexpr Duration peerSilence = std::chrono::seconds(4);
// So does one whose copy was last confirmed this long ago. A watch confirms it every 3 s, and the
// news of that takes some adverts to reach everybody.
constexpr Duration staleAfter = std::chrono::seconds(6);
// Those that take over for stale watchers begin one after the other, so that what the first one
// reads spares the others the calls.
constexpr Duration takeoverStep = std::chrono::milliseconds(100);
// Nodes are only listed to find those that gossip has lost, so it may be slow and stale.
constexpr Duration listInterval = std::chrono::seconds(20);
// Nodes that start together are entered within a second or two of each other.
constexpr Duration earlyListInterval = std::chrono::milliseconds(700);
constexpr std::size_t maxKnown = 64; // more give no better chance to join
constexpr Duration firstBackoff = std::chrono::milliseconds(150);
constexpr Duration longestBackoff = std::chrono::milliseconds(1200);
constexpr std::uint32_t maxDoublings = 3;

} // namespace

Catalog::Catalog(Endpoint self, Options options, RandomSource &random)
    : m_self(std::move(self)), m_options(options), m_random(random), m_spread(m_self, random)
{ }

void Catalog::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    std::visit(
        Overloaded {
            [&](StoreReply &reply) { onReply(reply, now, outbox); },
            [&](PeerReceived<CatalogMessage> &received) { onMessage(received, now, outbox); },
            [&](EndpointsChanged &changed) { m_spread.update(*changed.table); },
        },
        input);
    advance(now, outbox);
}

std::optional<TimePoint> Catalog::confirmedAt() const
{
    std::optional<TimePoint> byStore;
    if (m_configuration.confirmedAt && m_rollouts.confirmedAt)
        byStore = std::min(*m_configuration.confirmedAt, *m_rollouts.confirmedAt);
    return std::max(byStore, m_toldAt); // an empty one is the smaller
}

std::optional<Duration> Catalog::age(TimePoint now) const
{
    const auto at = confirmedAt();
    return at ? std::optional(now - *at) : std::nullopt;
}

// When a node that is not selected begins to watch.
TimePoint Catalog::watchesFrom() const
{
    const auto at = confirmedAt();
    const TimePoint isStale = at.value_or(m_startedAt.value_or(TimePoint {})) + staleAfter
        + takeoverStep * static_cast<Duration::rep>(m_spread.rank());
    return std::min(m_heardPeer + peerSilence, isStale);
}

bool Catalog::isWatcher(TimePoint now) const
{
    return m_spread.rank() < watchersPerDomain || now >= watchesFrom();
}

// Following on from where the store was read last would bring each version that other nodes have
// brought since, so a new watcher reads the newest first.
void Catalog::updateWatch(TimePoint now)
{
    const bool watched = std::exchange(m_isWatching, isWatcher(now));
    if (watched || !m_isWatching)
        return;
    for (Follower *follower : { &m_configuration, &m_rollouts }) {
        if (std::exchange(follower->isOvertaken, false))
            follower->at.reset();
        follower->nextCall = std::min(follower->nextCall.value_or(now), now);
    }
}

void Catalog::onReply(StoreReply &reply, TimePoint now, Outbox<Output> &outbox)
{
    if (m_registration == reply.id) {
        m_registration.reset();
        onRegistered(reply.result, now);
        return;
    }
    for (Follower *follower : { &m_configuration, &m_rollouts, &m_nodes }) {
        if (follower->call != reply.id)
            continue;
        follower->call.reset();
        onFollowed(*follower, reply.result, now, outbox);
        return;
    }
}

void Catalog::onFollowed(Follower &follower, StoreResult &result, TimePoint now,
                         Outbox<Output> &outbox)
{
    if (auto *entries = std::get_if<StoreEntries>(&result))
        onEntries(follower, *entries, now, outbox);
    else
        onFailure(follower, result, now);
}

// A record that exists already is this node's own, of an earlier run.
void Catalog::onRegistered(const StoreResult &result, TimePoint now)
{
    if (std::holds_alternative<StoreWritten>(result)) {
        m_isRegistered = true;
        return;
    }
    const auto *refusal = std::get_if<StoreRefusal>(&result);
    if (refusal != nullptr && refusal->reason == StoreRefusal::Reason::Conflict) {
        m_isRegistered = true; // replaced by the next call
        m_nextRegistration = now;
        return;
    }
    if (refusal != nullptr && refusal->reason == StoreRefusal::Reason::NotFound)
        m_isRegistered = false;
    ++m_failedCalls;
    m_nextRegistration = now + pauseAfter(maxDoublings);
}

void Catalog::onEntries(Follower &follower, StoreEntries &entries, TimePoint now,
                        Outbox<Output> &outbox)
{
    follower.failures = 0;
    bool haveOrdersChanged = false;
    std::size_t configs = 0;
    std::shared_ptr<const MeshConfig> newest;
    for (StoreEntry &entry : entries.entries) {
        if (auto *config = std::get_if<std::shared_ptr<const MeshConfig>>(&entry.value)) {
            ++configs;
            if (!newest || newest->version < (*config)->version)
                newest = std::move(*config);
        } else if (const auto *order = std::get_if<RolloutOrder>(&entry.value)) {
            haveOrdersChanged = take(*order) || haveOrdersChanged;
        } else if (const auto *node = std::get_if<NodeRecord>(&entry.value)) {
            if (node->peer != m_self.peer && m_known.size() < maxKnown)
                m_known.push_back(node->peer);
        }
    }
    follower.nextCall = now;
    // The name of an unreadable entry may be missing; a page that doesn't lead on ends the list.
    std::string last;
    for (const StoreEntry &entry : entries.entries)
        last = std::max(last, entry.name);
    const bool hasMore = entries.hasMore && last > follower.after;
    follower.after = hasMore ? last : std::string();
    const bool isNewer = newest && newest->version > version();
    if (!hasMore && follower.kind == StoreKind::Nodes)
        onNodes(follower, now, outbox);
    else if (!hasMore)
        onListEnd(follower, entries.at, configs, isNewer, now);
    const bool isNews = newest && take(*newest, now, outbox);
    tell(haveOrdersChanged, isNews, now, outbox);
}

// A watch brings each version whole. When more than one came while the last answer was on its way,
// only the newest is read until there is no news, so that a node is never behind by more than the
// time that one version takes.
void Catalog::onListEnd(Follower &follower, ObjectVersion at, std::size_t changes, bool isNews,
                        TimePoint now)
{
    follower.confirmedAt = now;
    follower.isOvertaken = false;
    follower.isBehind = changes > 1 || (follower.isBehind && isNews);
    follower.at = at;
    if (follower.isBehind)
        follower.at.reset();
    else if (!isWatcher(now))
        follower.nextCall.reset();
}

void Catalog::onNodes(Follower &follower, TimePoint now, Outbox<Output> &outbox)
{
    const bool isAlone = m_known.empty();
    if (!isAlone)
        outbox.emit(JoinPeers { std::exchange(m_known, {}) });
    if (!isAlone && m_earlyLists > 0)
        --m_earlyLists;
    follower.nextCall = now + (m_earlyLists > 0 ? earlyListInterval : listInterval);
}

void Catalog::onFailure(Follower &follower, const StoreResult &result, TimePoint now)
{
    const auto *refusal = std::get_if<StoreRefusal>(&result);
    follower.after.clear();
    m_known.clear();
    if (refusal != nullptr && refusal->reason == StoreRefusal::Reason::HistoryGone) {
        follower.at.reset();
        follower.nextCall = now;
        return;
    }
    ++m_failedCalls;
    follower.nextCall = now + pauseAfter(follower.failures);
    follower.failures = std::min(follower.failures + 1, maxDoublings);
    if (follower.at && follower.kind != StoreKind::Nodes && !isWatcher(now))
        follower.nextCall.reset();
}

bool Catalog::take(const MeshConfig &config, TimePoint now, Outbox<Output> &outbox)
{
    outbox.emit(ConfigurationHeard { config.version, version(), std::nullopt, config.routes.size(),
                                     false, age(now) });
    if (m_config.take(config) != VersionedConfig::Effect::Applied)
        return false;
    putInForce(outbox);
    return true;
}

void Catalog::putInForce(Outbox<Output> &outbox)
{
    outbox.emit(SnapshotChanged { snapshotOf(m_config.config(), m_options.retryBudget) });
}

bool Catalog::take(const RolloutOrder &order)
{
    const auto found = m_orders.find(order.service);
    if (found != m_orders.end() && order.version <= found->second.version)
        return false;
    m_orders.insert_or_assign(order.service, order);
    return true;
}

void Catalog::advance(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_startedAt)
        m_startedAt = now;
    updateWatch(now);
    for (Follower *follower : { &m_configuration, &m_rollouts, &m_nodes }) {
        if (!follower->call && follower->nextCall && now >= *follower->nextCall)
            follow(*follower, now, outbox);
    }
    if (!m_registration && m_nextRegistration && now >= *m_nextRegistration) {
        m_nextRegistration.reset();
        m_registration = StoreCallId(m_nextCall++);
        const NodeRecord record { m_self.instance, m_self.peer };
        if (m_isRegistered)
            call(*m_registration, StoreRefresh { record }, outbox);
        else
            call(*m_registration, StoreRegister { record }, outbox);
    }
    advertise(now, outbox);
}

void Catalog::follow(Follower &follower, TimePoint now, Outbox<Output> &outbox)
{
    // The list of nodes begins once this node has been entered, so that of two nodes that start
    // together at least one finds the other.
    if (follower.kind == StoreKind::Nodes && (m_registration || m_nextRegistration)) {
        follower.nextCall = now + firstBackoff;
        return;
    }
    follower.call = StoreCallId(m_nextCall++);
    const bool mayBeStale = follower.kind == StoreKind::Nodes && m_spread.hasNearPeers();
    if (follower.at && isWatcher(now))
        call(*follower.call, StoreFollow { follower.kind, *follower.at, watchTime }, outbox);
    else
        call(*follower.call, StoreList { follower.kind, follower.after, mayBeStale }, outbox);
}

void Catalog::call(StoreCallId id, StoreOperation operation, Outbox<Output> &outbox)
{
    outbox.emit(StoreCall { id, std::move(operation) });
}

CatalogExtent Catalog::extent() const
{
    CatalogExtent result { version(), {} };
    for (const auto &[service, order] : m_orders)
        result.orders = std::max(result.orders, order.version);
    return result;
}

std::vector<RolloutOrder> Catalog::ordersSince(ObjectVersion version) const
{
    std::vector<RolloutOrder> result;
    for (const auto &[service, order] : m_orders) {
        if (order.version > version)
            result.push_back(order);
    }
    return result;
}

Duration Catalog::pauseAfter(std::uint32_t failures)
{
    return backoff(firstBackoff, longestBackoff, failures, m_random);
}

std::optional<TimePoint> Catalog::nextDeadline() const
{
    if (!m_startedAt)
        return TimePoint {};
    TimePoint next = m_spread.nextDeadline();
    if (!m_isWatching)
        next = std::min(next, watchesFrom());
    for (const Follower *follower : { &m_configuration, &m_rollouts, &m_nodes }) {
        if (!follower->call && follower->nextCall)
            next = std::min(next, *follower->nextCall);
    }
    if (!m_registration && m_nextRegistration)
        next = std::min(next, *m_nextRegistration);
    return next;
}

} // namespace camphorreach
