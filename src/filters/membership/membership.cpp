// Failure detection by random probes, gossip and anti-entropy.
#include <camphorreach/membership.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace camphorreach {
namespace {

constexpr Duration probePeriod = std::chrono::seconds(1);
constexpr Duration directTimeout = std::chrono::milliseconds(500);
constexpr std::size_t indirectProbes = 3;
constexpr std::size_t maxRelays = 256;
constexpr Duration relayLifetime = std::chrono::seconds(2);

constexpr Duration gossipInterval = std::chrono::milliseconds(200);
constexpr std::size_t gossipFanOut = 3;
constexpr std::size_t leaveFanOut = 8;
// A third of a node's traffic budget of 9 KB/s; the rest is for probes, anti-entropy and
// configuration.
constexpr double gossipBytesPerSecond = 3000;
constexpr double gossipBurstBytes = 24'000;

constexpr Duration syncInterval = std::chrono::seconds(10);
constexpr Duration joinInterval = std::chrono::seconds(1);
// More changes than this in one exchange mean that the local table is far from complete.
constexpr std::size_t massChangeThreshold = 8;
// A joining node gets the whole table at once; when many nodes join at once, the rate is limited.
constexpr double syncMembersPerSecond = 40;
constexpr double syncBurstMembers = 1500;
// One exchange in this many goes to a seed, a join peer or a gone member, to heal partitions.
constexpr std::uint64_t exchangesPerHealing = 4;
constexpr unsigned maxSeedAttempts = 8;
constexpr std::size_t maxJoinPeers = 16;

// The rest of the 1,400 bytes of a datagram is for the envelope and the fixed fields.
constexpr std::size_t updateBudget = 1200;
constexpr std::size_t fixedDatagramBytes = 64;
// Changes are batched, so that a join of hundreds of members does not rebuild the endpoint table
// for every one of them.
constexpr Duration publishDelay = std::chrono::milliseconds(100);
// A timer that is this late means that this process was paused, not that other members failed.
constexpr Duration pauseThreshold = std::chrono::milliseconds(1500);

Duration jittered(Duration interval, RandomSource &random)
{
    const auto jitter = uniformBelow(random, static_cast<std::uint64_t>(interval.count()));
    return interval / 2 + Duration(static_cast<Duration::rep>(jitter));
}

} // namespace

Membership::Membership(Endpoint self, std::vector<NetAddress> seeds, RandomSource &random)
    : m_self(std::move(self)), m_seeds(std::move(seeds)), m_random(random),
      m_syncBudget(syncMembersPerSecond, syncBurstMembers),
      m_gossipBudget(gossipBytesPerSecond, gossipBurstBytes),
      m_isAccepting(m_self.state == EndpointState::Ready)
{ }

void Membership::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    std::visit(
        Overloaded {
            [&](PeerReceived<MembershipMessage> &received) { onMessage(received, now, outbox); },
            [&](DrainStarted &) {
                m_isDraining = true;
                updateState(now, outbox);
            },
            [&](NodeLeaving &) { leave(now, outbox); },
            [&](JoinPeers &join) { onJoinPeers(std::move(join), outbox); },
            [&](BackendReachable &reachable) {
                if (reachable.isReachable && !m_isBackendReachable)
                    m_isBackendLeaving = false;
                m_isBackendReachable = reachable.isReachable;
                updateState(now, outbox);
            },
            [&](SelfChanged &changed) { onSelfChanged(std::move(changed), now, outbox); },
            [&](BackendLeaving &leaving) {
                m_isBackendLeaving = leaving.isLeaving;
                updateState(now, outbox);
            },
        },
        input);
    schedulePublication(now);
}

// Pings every new peer, so that nodes that start together know each other after one round trip.
void Membership::onJoinPeers(JoinPeers &&join, Outbox<Output> &outbox)
{
    for (NetAddress &peer : join.peers) {
        const bool isLive = std::ranges::any_of(
            m_list.live(), [&](const auto *record) { return record->endpoint.peer == peer; });
        if (peer == m_self.peer || isLive)
            continue;
        send(peer, Ping { ++m_sequence, makeGossip() }, outbox);
        if (std::ranges::find(m_joinPeers, peer) == m_joinPeers.end())
            m_joinPeers.insert(m_joinPeers.begin(), std::move(peer));
    }
    m_joinPeers.resize(std::min(m_joinPeers.size(), maxJoinPeers));
}

void Membership::onMessage(PeerReceived<MembershipMessage> &received, TimePoint now,
                           Outbox<Output> &outbox)
{
    if (m_isLeaving)
        return;
    const NetAddress &from = received.from;
    std::visit(Overloaded {
                   [&](Ping &ping) {
                       auto newer = applyUpdates(ping.gossip.updates, now);
                       send(from, Ack { ping.sequence, makeGossip(std::move(newer)) }, outbox);
                   },
                   [&](Ack &ack) { onAck(ack, now, outbox); },
                   [&](ProbeRequest &request) { onProbeRequest(from, request, now, outbox); },
                   [&](Gossip &gossip) {
                       auto newer = applyUpdates(gossip.updates, now);
                       if (!newer.empty())
                           send(from, Gossip { std::move(newer) }, outbox);
                   },
                   [&](SyncRequest &request) { onSyncRequest(from, request, now, outbox); },
                   [&](SyncMembers &members) { onSyncMembers(from, members, now, outbox); },
               },
               received.message);
}

void Membership::onAck(const Ack &ack, TimePoint now, Outbox<Output> &outbox)
{
    (void)applyUpdates(ack.gossip.updates, now);
    if (m_probe && m_probe->sequence == ack.sequence) {
        m_probe.reset();
        return;
    }
    const auto relay = m_relays.find(ack.sequence);
    if (relay == m_relays.end())
        return; // late or duplicate
    send(relay->second.requester, Ack { relay->second.sequence, ack.gossip }, outbox);
    m_relays.erase(relay);
}

void Membership::onProbeRequest(const NetAddress &from, const ProbeRequest &request, TimePoint now,
                                Outbox<Output> &outbox)
{
    std::erase_if(m_relays, [now](const auto &entry) { return entry.second.expiry <= now; });
    if (m_relays.size() >= maxRelays)
        return;
    m_relays[++m_sequence] = { from, request.sequence, now + relayLifetime };
    send(request.target, Ping { m_sequence, makeGossip() }, outbox);
}

void Membership::onSyncRequest(const NetAddress &from, const SyncRequest &request, TimePoint now,
                               Outbox<Output> &outbox)
{
    if (request.digests.size() != MemberList::bucketCount)
        return;
    (void)applyUpdates({ request.self }, now);
    std::set<std::uint8_t> buckets;
    const MemberList::Digests own = m_list.digestsWith(m_self);
    for (std::size_t bucket = 0; bucket < MemberList::bucketCount; ++bucket) {
        if (own[bucket] != request.digests[bucket])
            buckets.insert(static_cast<std::uint8_t>(bucket));
    }
    if (buckets.empty())
        return;
    auto updates = selectWithinBudget(buckets, now);
    std::erase_if(updates, [&](const MemberUpdate &update) {
        return update.endpoint.instance == request.self.endpoint.instance
            && update.endpoint.incarnation <= request.self.endpoint.incarnation
            && update.health == MemberHealth::Alive;
    });
    sendMembers(from, buckets, std::move(updates), true, outbox);
}

std::vector<MemberUpdate> Membership::selectWithinBudget(std::set<std::uint8_t> &buckets,
                                                         TimePoint now)
{
    std::map<std::uint8_t, std::vector<MemberUpdate>> members;
    for (MemberUpdate &update : m_list.membersOf(buckets)) {
        const std::size_t bucket = MemberList::bucketOf(update.endpoint.instance);
        members[static_cast<std::uint8_t>(bucket)].push_back(std::move(update));
    }
    std::vector<std::uint8_t> order(buckets.begin(), buckets.end());
    std::ranges::shuffle(order, m_random);
    buckets.clear();
    std::vector<MemberUpdate> updates;
    for (const std::uint8_t bucket : order) {
        auto &inBucket = members[bucket];
        if (!m_syncBudget.take(static_cast<double>(inBucket.size()), now))
            break;
        buckets.insert(bucket);
        std::ranges::move(inBucket, std::back_inserter(updates));
    }
    return updates;
}

void Membership::sendMembers(const NetAddress &to, const std::set<std::uint8_t> &buckets,
                             std::vector<MemberUpdate> updates, bool wantsReply,
                             Outbox<Output> &outbox)
{
    updates.insert(updates.begin(), selfUpdate());
    std::size_t bytes = buckets.size();
    for (const MemberUpdate &update : updates)
        bytes += encodedSizeBound(update);
    const Transport transport = bytes <= updateBudget ? Transport::Datagram : Transport::Stream;
    outbox.emit(
        PeerSend { to, transport,
                   MembershipMessage(SyncMembers {
                       { buckets.begin(), buckets.end() }, std::move(updates), wantsReply }) });
}

void Membership::onSyncMembers(const NetAddress &from, const SyncMembers &members, TimePoint now,
                               Outbox<Output> &outbox)
{
    std::map<InstanceId, Incarnation> incarnations;
    for (const MemberUpdate &update : members.updates)
        incarnations.emplace(update.endpoint.instance, update.endpoint.incarnation);
    // Anti-entropy itself spreads a large table to all nodes; gossip is for current changes.
    auto newer = applyUpdates(members.updates, now, members.updates.size() <= massChangeThreshold);
    std::size_t changes = 0;
    for (const auto &[instance, incarnation] : incarnations) {
        const auto *record = m_list.find(instance);
        changes += record != nullptr && record->since == now ? 1 : 0;
    }
    if (changes > massChangeThreshold)
        m_nextSync = std::min(m_nextSync, now + jittered(joinInterval, m_random));
    if (!members.wantsReply)
        return;
    std::set<std::uint8_t> buckets(members.buckets.begin(), members.buckets.end());
    for (MemberUpdate &update : m_list.membersOf(buckets)) {
        const auto found = incarnations.find(update.endpoint.instance);
        if (found == incarnations.end() || found->second < update.endpoint.incarnation)
            newer.push_back(std::move(update));
    }
    if (!newer.empty() && m_syncBudget.take(static_cast<double>(newer.size()), now))
        sendMembers(from, {}, std::move(newer), false, outbox);
}

std::vector<MemberUpdate> Membership::applyUpdates(const std::vector<MemberUpdate> &updates,
                                                   TimePoint now, bool shouldGossip)
{
    std::vector<MemberUpdate> newer;
    std::size_t bytes = 0;
    for (const MemberUpdate &update : updates) {
        if (update.endpoint.instance == m_self.instance) {
            refute(update);
            continue;
        }
        if (m_list.apply(update, now, shouldGossip) != MemberList::Effect::Outdated)
            continue;
        const MemberList::Record *record = m_list.find(update.endpoint.instance);
        MemberUpdate held { record->endpoint, record->health };
        bytes += encodedSizeBound(held);
        if (bytes <= updateBudget / 2)
            newer.push_back(std::move(held));
    }
    return newer;
}

// Overrides an update about this node that is not its own: from an earlier run of it, or a false
// suspicion.
void Membership::refute(const MemberUpdate &update)
{
    const bool isOwn = update.health == MemberHealth::Alive && update.endpoint == m_self;
    if (isOwn || update.endpoint.incarnation < m_self.incarnation || m_isLeaving)
        return;
    m_self.incarnation = next(update.endpoint.incarnation);
    m_selfTransmissions = 2 * static_cast<unsigned>(std::bit_width(memberCount()));
}

// A node whose backend server is down or leaving is announced as draining, so that it gets no new
// requests.
void Membership::updateState(TimePoint now, Outbox<Output> &outbox)
{
    const bool isReady
        = m_isBackendReachable && !m_isBackendLeaving && !m_isDraining && m_isAccepting;
    const EndpointState state = isReady ? EndpointState::Ready : EndpointState::Draining;
    if (m_isLeaving || m_self.state == state)
        return;
    m_self.state = state;
    announceSelf(now, outbox);
}

void Membership::onSelfChanged(SelfChanged &&changed, TimePoint now, Outbox<Output> &outbox)
{
    m_isAccepting = changed.isAccepting;
    const bool isDifferent = m_self.service != changed.service || m_self.version != changed.version
        || m_self.slots != changed.slots;
    if (!isDifferent)
        return updateState(now, outbox);
    m_self.service = std::move(changed.service);
    m_self.version = std::move(changed.version);
    m_self.slots = changed.slots;
    updateState(now, outbox);
    announceSelf(now, outbox);
}

// The new incarnation overrides the records of this node at other nodes.
void Membership::announceSelf(TimePoint now, Outbox<Output> &outbox)
{
    m_self.incarnation = next(m_self.incarnation);
    m_selfTransmissions = 2 * static_cast<unsigned>(std::bit_width(memberCount()));
    m_publishAt = now;
    publish(now, outbox);
    sendGossip(now, outbox);
}

// The new incarnation tells this record from those of nodes that have found this one unreachable.
void Membership::leave(TimePoint, Outbox<Output> &outbox)
{
    m_isLeaving = true;
    m_self.state = EndpointState::Stopped;
    m_self.incarnation = next(m_self.incarnation);
    for (std::size_t i = 0; i < leaveFanOut && i < m_list.live().size(); ++i) {
        const auto *target = m_list.randomLive(m_random);
        send(target->endpoint.peer, Gossip { { selfUpdate() } }, outbox);
    }
}

MemberUpdate Membership::selfUpdate() const
{
    return { m_self, m_isLeaving ? MemberHealth::Gone : MemberHealth::Alive };
}

Gossip Membership::makeGossip(std::vector<MemberUpdate> priorityUpdates)
{
    Gossip result { { selfUpdate() } };
    std::size_t bytes = encodedSizeBound(result.updates.front());
    for (MemberUpdate &update : priorityUpdates) {
        bytes += encodedSizeBound(update);
        result.updates.push_back(std::move(update));
    }
    if (bytes < updateBudget)
        m_list.takeUpdates(updateBudget - bytes, result.updates);
    return result;
}

void Membership::send(const NetAddress &to, MembershipMessage message, Outbox<Output> &outbox) const
{
    outbox.emit(PeerSend { to, Transport::Datagram, std::move(message) });
}

void Membership::advance(TimePoint now, Outbox<Output> &outbox)
{
    if (m_isLeaving)
        return;
    if (!m_nextProbe) {
        // Jitter, so that nodes that start together do not probe and join at the same times.
        m_nextProbe = now + jittered(probePeriod, m_random);
        m_nextGossip = now + jittered(gossipInterval, m_random);
        m_nextSync = now
            + Duration(static_cast<Duration::rep>(
                uniformBelow(m_random, static_cast<std::uint64_t>(joinInterval.count()))));
        m_selfTransmissions = 1;
        m_publishAt = now;
    }
    compensateForPause(now);
    if (m_probe && !m_probe->isIndirect && now >= m_probe->indirectAt)
        sendIndirectProbes(outbox);
    if (now >= *m_nextProbe)
        runProbe(now, outbox);
    m_list.expire(now);
    if (now >= m_nextGossip)
        sendGossip(now, outbox);
    if (now >= m_nextSync)
        sync(now, outbox);
    schedulePublication(now);
    publish(now, outbox);
}

void Membership::compensateForPause(TimePoint now)
{
    const Duration late = now - *m_nextProbe;
    if (late < pauseThreshold)
        return;
    m_probe.reset();
    m_list.extendSuspicions(late);
}

void Membership::runProbe(TimePoint now, Outbox<Output> &outbox)
{
    m_nextProbe = now + probePeriod;
    if (m_probe)
        m_list.declare(m_probe->target, MemberHealth::Suspect, now);
    m_probe.reset();
    while (!m_list.live().empty()) {
        if (m_probeOrder.empty()) {
            for (const auto *record : m_list.live())
                m_probeOrder.push_back(record->endpoint.instance);
            std::ranges::shuffle(m_probeOrder, m_random);
        }
        const InstanceId target = std::move(m_probeOrder.back());
        m_probeOrder.pop_back();
        const auto *record = m_list.find(target);
        if (record == nullptr || record->health == MemberHealth::Gone)
            continue;
        m_probe = Probe { target, record->endpoint.peer, ++m_sequence, now + directTimeout };
        // Sends a suspect the suspicion, so that it can refute it.
        std::vector<MemberUpdate> priorityUpdates;
        if (record->health == MemberHealth::Suspect)
            priorityUpdates.push_back({ record->endpoint, record->health });
        send(m_probe->address, Ping { m_sequence, makeGossip(std::move(priorityUpdates)) }, outbox);
        return;
    }
}

void Membership::sendIndirectProbes(Outbox<Output> &outbox)
{
    m_probe->isIndirect = true;
    for (std::size_t i = 0; i < indirectProbes; ++i) {
        const auto *relay = m_list.randomLive(m_random);
        if (relay != nullptr && relay->endpoint.instance != m_probe->target)
            send(relay->endpoint.peer, ProbeRequest { m_probe->sequence, m_probe->address },
                 outbox);
    }
}

void Membership::sendGossip(TimePoint now, Outbox<Output> &outbox)
{
    m_nextGossip = now + gossipInterval;
    for (std::size_t i = 0; i < gossipFanOut; ++i) {
        const auto *target = m_list.randomLive(m_random);
        if (target == nullptr || (m_selfTransmissions == 0 && !m_list.hasUpdates()))
            return;
        if (m_gossipBudget.available(now) < maxDatagramBytes)
            return;
        m_selfTransmissions -= m_selfTransmissions > 0 ? 1 : 0;
        Gossip gossip = makeGossip();
        std::size_t bytes = fixedDatagramBytes;
        for (const MemberUpdate &update : gossip.updates)
            bytes += encodedSizeBound(update);
        (void)m_gossipBudget.take(static_cast<double>(bytes), now);
        send(target->endpoint.peer, std::move(gossip), outbox);
    }
}

void Membership::sync(TimePoint now, Outbox<Output> &outbox)
{
    const std::optional<NetAddress> seed = unjoinedSeed();
    const bool isJoining = m_list.live().empty() || seed;
    m_nextSync = now + jittered(isJoining ? joinInterval : syncInterval, m_random);
    const MemberList::Digests digests = m_list.digestsWith(m_self);
    if (const auto target = seed ? seed : syncTarget())
        send(*target, SyncRequest { selfUpdate(), { digests.begin(), digests.end() } }, outbox);
}

// Returns a seed that is not a live member, for the first exchanges after the start. If nodes
// stopped contacting seeds as soon as they know some members, groups of nodes that started together
// would stay partitioned until a later healing exchange, which took more than 30 s in a run of six
// nodes.
std::optional<NetAddress> Membership::unjoinedSeed()
{
    if (m_seedAttempts >= maxSeedAttempts)
        return std::nullopt;
    std::vector<NetAddress> unjoined = m_seeds;
    std::erase(unjoined, m_self.peer);
    for (const auto *record : m_list.live())
        std::erase(unjoined, record->endpoint.peer);
    if (unjoined.empty())
        return std::nullopt;
    ++m_seedAttempts;
    return unjoined[uniformBelow(m_random, unjoined.size())];
}

std::optional<NetAddress> Membership::syncTarget()
{
    const auto *member = m_list.randomLive(m_random);
    if (member != nullptr && uniformBelow(m_random, exchangesPerHealing) != 0)
        return member->endpoint.peer;
    const auto *gone = m_list.randomGone(m_random);
    if (gone != nullptr && uniformBelow(m_random, 2) == 0)
        return gone->endpoint.peer;
    const auto target = joinTarget();
    return target || member == nullptr ? target : std::optional(member->endpoint.peer);
}

std::optional<NetAddress> Membership::joinTarget()
{
    std::vector<NetAddress> targets = m_seeds;
    targets.insert(targets.end(), m_joinPeers.begin(), m_joinPeers.end());
    std::erase(targets, m_self.peer);
    if (targets.empty())
        return std::nullopt;
    return targets[uniformBelow(m_random, targets.size())];
}

void Membership::schedulePublication(TimePoint now)
{
    if (m_list.hasChanged() && !m_publishAt)
        m_publishAt = now + publishDelay;
}

void Membership::publish(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_publishAt || now < *m_publishAt)
        return;
    m_publishAt.reset();
    (void)m_list.takeChanged();
    auto table = std::make_shared<EndpointTable>();
    for (Endpoint &endpoint : members())
        table->services[endpoint.service].push_back(std::move(endpoint));
    for (auto &[service, endpoints] : table->services)
        std::ranges::sort(endpoints, {}, &Endpoint::instance);
    table->stopped = m_list.stopped();
    outbox.emit(EndpointsChanged { std::move(table) });
}

std::optional<TimePoint> Membership::nextDeadline() const
{
    if (m_isLeaving)
        return std::nullopt;
    if (!m_nextProbe)
        return TimePoint {};
    TimePoint next = std::min(*m_nextProbe, m_nextSync);
    if (m_selfTransmissions > 0 || m_list.hasUpdates())
        next = std::min(next, m_nextGossip);
    if (m_probe && !m_probe->isIndirect)
        next = std::min(next, m_probe->indirectAt);
    if (m_publishAt)
        next = std::min(next, *m_publishAt);
    if (const auto expiry = m_list.nextExpiry())
        next = std::min(next, *expiry);
    return next;
}

std::vector<Endpoint> Membership::members() const
{
    std::vector<Endpoint> result { m_self };
    for (const auto *record : m_list.live())
        result.push_back(record->endpoint);
    return result;
}

} // namespace camphorreach
