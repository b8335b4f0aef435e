// Following the platform's store, with other nodes as a stand-in.
#include <camphorreach/catalog.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorreach {
namespace {

// A store that falls silent without a reset leaves a watch hanging until its own end. A machine
// counts as in touch 3 s after the store is back, and a change must be in force 2 s later; the
// call's own timeout of 1.5 s is part of that.
constexpr Duration watchTime = std::chrono::seconds(3);
// Some nodes of each failure domain watch the store, and the others hear from them: so many that a
// refusal of a third of the machines hardly ever meets all watchers of a region.
constexpr std::ptrdiff_t watchersPerDomain = 3;
// The others read the store this often, from stale copies, in case that no watcher reaches it.
constexpr Duration backupInterval = std::chrono::seconds(5);
// A node hears two adverts a second on average; without any for this time it is cut off from the
// other nodes and watches the store itself.
constexpr Duration peerSilence = std::chrono::seconds(4);
// Nodes of the failure domain that are told news at once; each of them tells as many.
constexpr std::size_t spreadFanOut = 3;
// Several nodes tell of the same news within milliseconds; one of them is asked for it.
constexpr Duration askInterval = std::chrono::milliseconds(150);
// Nodes are only listed to find those that gossip has lost, so it may be slow and stale.
constexpr Duration listInterval = std::chrono::seconds(20);
// Nodes that start together are entered within a second or two of each other.
constexpr Duration earlyListInterval = std::chrono::milliseconds(700);
constexpr std::size_t maxKnown = 64; // more give no better chance to join
constexpr Duration firstBackoff = std::chrono::milliseconds(150);
constexpr Duration longestBackoff = std::chrono::milliseconds(1200);
constexpr std::uint32_t maxDoublings = 3;
// A node that is cut off from the store hears of a change within about this time.
constexpr Duration advertInterval = std::chrono::milliseconds(500);
// An update that is on its way need not be sent again.
constexpr Duration updateInterval = std::chrono::milliseconds(800);
constexpr std::size_t maxUpdated = 256;
// One advert in so many goes to another failure domain.
constexpr std::uint64_t farOneIn = 3;

} // namespace

Catalog::Catalog(Endpoint self, Options options, RandomSource &random)
    : m_self(std::move(self)), m_options(options), m_random(random)
{ }

void Catalog::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    std::visit(
        Overloaded {
            [&](StoreReply &reply) { onReply(reply, now, outbox); },
            [&](PeerReceived<CatalogMessage> &received) { onMessage(received, now, outbox); },
            [&](EndpointsChanged &changed) { onEndpoints(*changed.table); },
        },
        input);
    advance(now, outbox);
}

void Catalog::onEndpoints(const EndpointTable &table)
{
    m_near.clear();
    m_far.clear();
    for (const auto &[service, endpoints] : table.services) {
        for (const Endpoint &endpoint : endpoints) {
            if (endpoint.peer != m_self.peer)
                (endpoint.domain == m_self.domain ? m_near : m_far).push_back(endpoint.peer);
        }
    }
    const auto before = std::ranges::count_if(
        m_near, [this](const NetAddress &peer) { return peer < m_self.peer; });
    m_isSelected = before < watchersPerDomain;
}

bool Catalog::isWatcher(TimePoint now) const
{
    return m_isSelected || now - m_heardPeer >= peerSilence;
}

// A node that begins to watch must not wait for its next reading of a stale copy.
void Catalog::updateWatch(TimePoint now)
{
    const bool watched = std::exchange(m_isWatching, isWatcher(now));
    if (watched || !m_isWatching)
        return;
    for (Follower *follower : { &m_configuration, &m_rollouts })
        follower->nextCall = std::min(follower->nextCall, now);
}

ConfigVersion Catalog::version() const noexcept
{
    return m_config ? m_config->version : ConfigVersion();
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
    bool isNews = false;
    for (StoreEntry &entry : entries.entries) {
        if (auto *config = std::get_if<std::shared_ptr<const MeshConfig>>(&entry.value)) {
            isNews = apply(std::move(*config), std::nullopt, outbox) || isNews;
        } else if (const auto *order = std::get_if<RolloutOrder>(&entry.value)) {
            haveOrdersChanged = apply(*order) || haveOrdersChanged;
        } else if (const auto *node = std::get_if<NodeRecord>(&entry.value)) {
            if (node->peer != m_self.peer && m_known.size() < maxKnown)
                m_known.push_back(node->peer);
        }
    }
    if (haveOrdersChanged)
        outbox.emit(OrdersChanged { orders() });
    if (isNews || haveOrdersChanged)
        spread(outbox);
    follower.nextCall = now;
    if (entries.hasMore && !entries.entries.empty()) {
        follower.after = entries.entries.back().name;
        return;
    }
    follower.after.clear();
    if (follower.kind != StoreKind::Nodes) {
        follower.at = entries.at;
        if (!isWatcher(now))
            follower.nextCall = now + backupInterval;
        return;
    }
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
}

void Catalog::onMessage(PeerReceived<CatalogMessage> &received, TimePoint now,
                        Outbox<Output> &outbox)
{
    m_heardPeer = now;
    std::visit(
        Overloaded {
            [&](const CatalogAdvert &advert) { onAdvert(received.from, advert, now, outbox); },
            [&](CatalogUpdate &update) {
                bool haveOrdersChanged = false;
                for (const RolloutOrder &order : update.orders)
                    haveOrdersChanged = apply(order) || haveOrdersChanged;
                const bool isNews
                    = apply(std::make_shared<const MeshConfig>(std::move(update.config)),
                            received.from, outbox);
                if (haveOrdersChanged)
                    outbox.emit(OrdersChanged { orders() });
                if (isNews || haveOrdersChanged)
                    spread(outbox);
            },
        },
        received.message);
}

void Catalog::onAdvert(const NetAddress &from, const CatalogAdvert &theirs, TimePoint now,
                       Outbox<Output> &outbox)
{
    const CatalogAdvert own = advert(true);
    const bool hasMore = theirs.config < own.config || theirs.orders < own.orders;
    if (hasMore && m_config) {
        TimePoint &updated = m_updated[from];
        if (updated == TimePoint {} || now - updated >= updateInterval) {
            updated = now;
            outbox.emit(PeerSend { from, Transport::Stream,
                                   CatalogMessage(CatalogUpdate { *m_config, orders() }) });
        }
        if (m_updated.size() > maxUpdated)
            m_updated.clear();
    }
    const bool hasLess = own.config < theirs.config || own.orders < theirs.orders;
    if (!hasLess || theirs.isAnswer || (m_asked && now - *m_asked < askInterval))
        return;
    m_asked = now;
    outbox.emit(PeerSend { from, Transport::Datagram, CatalogMessage(own) });
}

bool Catalog::apply(std::shared_ptr<const MeshConfig> config, std::optional<NetAddress> from,
                    Outbox<Output> &outbox)
{
    outbox.emit(
        ConfigurationHeard { config->version, version(), std::move(from), config->routes.size() });
    if (config->version <= version())
        return false;
    m_config = std::move(config);
    outbox.emit(SnapshotChanged { snapshotOf(*m_config, m_options.retryBudget) });
    return true;
}

bool Catalog::apply(const RolloutOrder &order)
{
    const auto found = m_orders.find(order.service);
    if (found != m_orders.end() && order.version <= found->second.version)
        return false;
    m_orders.insert_or_assign(order.service, order);
    return true;
}

void Catalog::advance(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_nextAdvert)
        m_nextAdvert = now + advertInterval;
    updateWatch(now);
    for (Follower *follower : { &m_configuration, &m_rollouts, &m_nodes }) {
        if (!follower->call && now >= follower->nextCall)
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
    if (now >= *m_nextAdvert)
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
    if (follower.at && isWatcher(now))
        call(*follower.call, StoreFollow { follower.kind, *follower.at, watchTime }, outbox);
    else
        call(*follower.call,
             StoreList { follower.kind, follower.after,
                         follower.at || (follower.kind == StoreKind::Nodes && !m_near.empty()) },
             outbox);
}

// Tells some nodes of the failure domain at once that there is news.
void Catalog::spread(Outbox<Output> &outbox)
{
    std::vector<NetAddress> targets;
    std::ranges::sample(m_near, std::back_inserter(targets), spreadFanOut, m_random);
    for (const NetAddress &target : targets)
        outbox.emit(PeerSend { target, Transport::Datagram, CatalogMessage(advert(false)) });
}

void Catalog::call(StoreCallId id, StoreOperation operation, Outbox<Output> &outbox)
{
    outbox.emit(StoreCall { id, std::move(operation) });
}

void Catalog::advertise(TimePoint now, Outbox<Output> &outbox)
{
    m_nextAdvert = now + advertInterval;
    const bool goesFar = m_near.empty() || uniformBelow(m_random, farOneIn) == 0;
    const std::vector<NetAddress> &peers = goesFar ? m_far : m_near;
    if (peers.empty())
        return;
    outbox.emit(PeerSend { peers[uniformBelow(m_random, peers.size())], Transport::Datagram,
                           CatalogMessage(advert(false)) });
}

CatalogAdvert Catalog::advert(bool isAnswer) const
{
    return { version(), newestOrder(), isAnswer };
}

std::vector<RolloutOrder> Catalog::orders() const
{
    std::vector<RolloutOrder> result;
    for (const auto &[service, order] : m_orders)
        result.push_back(order);
    return result;
}

ObjectVersion Catalog::newestOrder() const
{
    ObjectVersion newest;
    for (const auto &[service, order] : m_orders)
        newest = std::max(newest, order.version);
    return newest;
}

Duration Catalog::pauseAfter(std::uint32_t failures)
{
    return backoff(firstBackoff, longestBackoff, failures, m_random);
}

std::optional<TimePoint> Catalog::nextDeadline() const
{
    if (!m_nextAdvert)
        return TimePoint {};
    TimePoint next = *m_nextAdvert;
    if (!m_isWatching)
        next = std::min(next, m_heardPeer + peerSilence);
    for (const Follower *follower : { &m_configuration, &m_rollouts, &m_nodes }) {
        if (!follower->call)
            next = std::min(next, follower->nextCall);
    }
    if (!m_registration && m_nextRegistration)
        next = std::min(next, *m_nextRegistration);
    return next;
}

} // namespace camphorreach
