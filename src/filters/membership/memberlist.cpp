// Rules for applying, queueing and expiring updates about members.
#include <camphorreach/memberlist.h>

#include <algorithm>
#include <bit>
#include <iterator>
#include <xxhash.h>

namespace camphorreach {
namespace {

// A refutation spreads in about two seconds, so a live member has time to refute more than once.
constexpr Duration suspicionTimeout = std::chrono::seconds(5);
// Long enough to reconnect to the other side after a network partition of several minutes.
constexpr Duration goneRetention = std::chrono::minutes(15);
// An update is transmitted this many times the binary logarithm of the member count.
constexpr unsigned transmissionFactor = 2;
// When hundreds of members change at once, gossip carries the newest updates and anti-entropy the
// rest. Without this bound, a mass restart of 1,400 nodes kept gossip busy for many minutes.
constexpr std::size_t maxQueued = 64;
// Fixed-size fields, and a four-byte length for each of the six strings.
constexpr std::size_t fixedUpdateBytes = 6 * 4 + 2 + 8 + 4 + 1 + 1;

std::uint32_t digestOf(const Endpoint &endpoint)
{
    const std::string &name = endpoint.instance.value();
    const std::uint64_t seed = endpoint.incarnation.value();
    return static_cast<std::uint32_t>(XXH3_64bits_withSeed(name.data(), name.size(), seed));
}

} // namespace

std::size_t encodedSizeBound(const MemberUpdate &update) noexcept
{
    const Endpoint &endpoint = update.endpoint;
    return fixedUpdateBytes + endpoint.instance.value().size() + endpoint.peer.host.size()
        + endpoint.domain.value().size() + endpoint.region.size() + endpoint.service.value().size()
        + endpoint.version.value().size();
}

MemberList::Effect MemberList::apply(const MemberUpdate &update, TimePoint now, bool shouldGossip)
{
    const auto found = m_records.find(update.endpoint.instance);
    if (found == m_records.end()) {
        if (m_records.size() >= maxRecords)
            return Effect::Refused;
        Record &record = m_records[update.endpoint.instance];
        record.health = MemberHealth::Gone;
        record.since = now;
        m_gone.emplace(now, update.endpoint.instance);
        store(record, update, now, shouldGossip);
        return Effect::Applied;
    }
    Record &record = found->second;
    const auto received = std::pair(update.endpoint.incarnation, update.health);
    const auto held = std::pair(record.endpoint.incarnation, record.health);
    if (received == held)
        return Effect::Known;
    if (received < held)
        return Effect::Outdated;
    store(record, update, now, shouldGossip);
    return Effect::Applied;
}

void MemberList::declare(const InstanceId &instance, MemberHealth health, TimePoint now)
{
    const auto found = m_records.find(instance);
    if (found == m_records.end() || found->second.health >= health)
        return;
    setHealth(found->second, health, now);
    enqueue(found->second);
}

void MemberList::store(Record &record, const MemberUpdate &update, TimePoint now, bool shouldGossip)
{
    const bool wasLive = record.health != MemberHealth::Gone;
    if (wasLive) {
        toggleDigest(record);
        m_byAddress.erase(record.endpoint.peer);
    }
    if (!(record.endpoint == update.endpoint))
        m_hasChanged = true;
    record.endpoint = update.endpoint;
    if (wasLive) {
        toggleDigest(record);
        m_byAddress[record.endpoint.peer] = record.endpoint.instance;
    }
    setHealth(record, update.health, now);
    if (shouldGossip)
        enqueue(record);
    if (record.health != MemberHealth::Gone)
        resolveAddressConflict(record, now);
}

void MemberList::setHealth(Record &record, MemberHealth health, TimePoint now)
{
    const InstanceId &instance = record.endpoint.instance;
    if (record.health == MemberHealth::Suspect)
        m_suspects.erase({ record.since, instance });
    const bool wasGone = record.health == MemberHealth::Gone;
    const bool isGone = health == MemberHealth::Gone;
    if (wasGone)
        m_gone.erase({ record.since, instance });
    if (wasGone && !isGone) {
        record.liveIndex = m_live.size();
        m_live.push_back(&record);
    } else if (!wasGone && isGone) {
        toggleDigest(record);
        m_byAddress.erase(record.endpoint.peer);
        m_live[record.liveIndex] = m_live.back();
        m_records.at(m_live.back()->endpoint.instance).liveIndex = record.liveIndex;
        m_live.pop_back();
    }
    if (wasGone && !isGone)
        toggleDigest(record);
    m_hasChanged = m_hasChanged || wasGone != isGone;
    record.health = health;
    record.since = now;
    if (health == MemberHealth::Suspect)
        m_suspects.emplace(now, instance);
    if (isGone)
        m_gone.emplace(now, instance);
}

// When an instance is replaced by one with another name at the same address, the one with the lower
// incarnation is gone.
void MemberList::resolveAddressConflict(const Record &record, TimePoint now)
{
    const auto [found, isNew]
        = m_byAddress.try_emplace(record.endpoint.peer, record.endpoint.instance);
    if (isNew || found->second == record.endpoint.instance)
        return;
    const InstanceId other = found->second;
    const bool isOtherNewer
        = m_records.at(other).endpoint.incarnation > record.endpoint.incarnation;
    const InstanceId older = isOtherNewer ? record.endpoint.instance : other;
    const InstanceId newer = isOtherNewer ? other : record.endpoint.instance;
    declare(older, MemberHealth::Gone, now);
    m_byAddress[record.endpoint.peer] = newer;
}

const MemberList::Record *MemberList::find(const InstanceId &instance) const
{
    const auto found = m_records.find(instance);
    return found == m_records.end() ? nullptr : &found->second;
}

const MemberList::Record *MemberList::randomLive(RandomSource &random) const
{
    return m_live.empty() ? nullptr : m_live[uniformBelow(random, m_live.size())];
}

std::vector<NetAddress> MemberList::stopped() const
{
    std::vector<NetAddress> result;
    for (const auto &[since, instance] : m_gone) {
        const Endpoint &endpoint = m_records.at(instance).endpoint;
        if (endpoint.state == EndpointState::Stopped && !m_byAddress.contains(endpoint.peer))
            result.push_back(endpoint.peer);
    }
    return result;
}

const MemberList::Record *MemberList::randomGone(RandomSource &random) const
{
    if (m_gone.empty())
        return nullptr;
    const auto steps = static_cast<std::ptrdiff_t>(uniformBelow(random, m_gone.size()));
    return find(std::next(m_gone.begin(), steps)->second);
}

unsigned MemberList::maxTransmissions() const noexcept
{
    return transmissionFactor * static_cast<unsigned>(std::bit_width(m_live.size() + 1));
}

void MemberList::enqueue(Record &record)
{
    dequeue(record);
    record.transmissions = 0;
    m_queue.emplace(0, record.endpoint.instance);
    if (m_queue.size() > maxQueued)
        dequeue(m_records.at(std::prev(m_queue.end())->second));
}

void MemberList::dequeue(Record &record)
{
    if (record.transmissions)
        m_queue.erase({ *record.transmissions, record.endpoint.instance });
    record.transmissions.reset();
}

void MemberList::takeUpdates(std::size_t budget, std::vector<MemberUpdate> &updates)
{
    std::vector<Record *> taken;
    for (const auto &[transmissions, instance] : m_queue) {
        Record &record = m_records.at(instance);
        MemberUpdate update { record.endpoint, record.health };
        const std::size_t size = encodedSizeBound(update);
        if (size > budget)
            break;
        budget -= size;
        updates.push_back(std::move(update));
        taken.push_back(&record);
    }
    for (Record *record : taken) {
        const unsigned transmissions = *record->transmissions + 1;
        dequeue(*record);
        if (transmissions >= maxTransmissions())
            continue;
        record->transmissions = transmissions;
        m_queue.emplace(transmissions, record->endpoint.instance);
    }
}

std::size_t MemberList::bucketOf(const InstanceId &instance) noexcept
{
    return XXH3_64bits(instance.value().data(), instance.value().size()) % bucketCount;
}

void MemberList::toggleDigest(const Record &record)
{
    m_digests[bucketOf(record.endpoint.instance)] ^= digestOf(record.endpoint);
}

MemberList::Digests MemberList::digestsWith(const Endpoint &self) const
{
    Digests digests = m_digests;
    digests[bucketOf(self.instance)] ^= digestOf(self);
    return digests;
}

std::vector<MemberUpdate> MemberList::membersOf(const std::set<std::uint8_t> &buckets) const
{
    std::vector<MemberUpdate> result;
    for (const Record *record : m_live) {
        if (buckets.contains(static_cast<std::uint8_t>(bucketOf(record->endpoint.instance))))
            result.push_back({ record->endpoint, record->health });
    }
    return result;
}

void MemberList::expire(TimePoint now)
{
    while (!m_suspects.empty() && m_suspects.begin()->first + suspicionTimeout <= now) {
        const InstanceId instance = m_suspects.begin()->second;
        declare(instance, MemberHealth::Gone, now);
    }
    while (!m_gone.empty() && m_gone.begin()->first + goneRetention <= now) {
        const auto found = m_records.find(m_gone.begin()->second);
        m_gone.erase(m_gone.begin());
        dequeue(found->second);
        m_records.erase(found);
    }
}

std::optional<TimePoint> MemberList::nextExpiry() const
{
    std::optional<TimePoint> next;
    if (!m_suspects.empty())
        next = m_suspects.begin()->first + suspicionTimeout;
    if (!m_gone.empty()) {
        const TimePoint end = m_gone.begin()->first + goneRetention;
        next = next ? std::min(*next, end) : end;
    }
    return next;
}

void MemberList::extendSuspicions(Duration pause)
{
    std::set<std::pair<TimePoint, InstanceId>> extended;
    for (const auto &[since, instance] : m_suspects) {
        m_records.at(instance).since = since + pause;
        extended.emplace(since + pause, instance);
    }
    m_suspects = std::move(extended);
}

} // namespace camphorreach
