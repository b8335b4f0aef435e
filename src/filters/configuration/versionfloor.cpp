// Floor of a restarted node, and what is remembered for others.
#include <camphorreach/versionfloor.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

// 1,400 nodes that restart together read the head at about 470/s; the platform allows 2,000/s.
constexpr Duration readSpread = std::chrono::seconds(3);
constexpr Duration shortestBackoff = std::chrono::seconds(1);
constexpr Duration longestBackoff = std::chrono::seconds(30);
constexpr Duration queryInterval = std::chrono::seconds(1);
constexpr std::size_t peersAsked = 5;

Duration below(Duration bound, RandomSource &random)
{
    return Duration(static_cast<Duration::rep>(
        uniformBelow(random, static_cast<std::uint64_t>(bound.count()))));
}

} // namespace

void VersionMemory::remember(const InstanceId &instance, ConfigVersion version, TimePoint now)
{
    if (version == ConfigVersion())
        return;
    if (!m_entries.contains(instance) && m_entries.size() >= maxInstances)
        makeRoom(now);
    Entry &entry = m_entries[instance];
    entry.version = std::max(entry.version, version);
    entry.heardAt = now;
}

void VersionMemory::makeRoom(TimePoint now)
{
    std::erase_if(m_entries,
                  [now](const auto &entry) { return entry.second.heardAt + retention <= now; });
    if (m_entries.size() < maxInstances)
        return;
    m_entries.erase(std::ranges::min_element(
        m_entries, {}, [](const auto &entry) { return entry.second.heardAt; }));
}

ConfigVersion VersionMemory::recall(const InstanceId &instance, TimePoint now) const
{
    const auto found = m_entries.find(instance);
    const bool isKnown = found != m_entries.end() && now < found->second.heardAt + retention;
    return isKnown ? found->second.version : ConfigVersion();
}

VersionFloor::VersionFloor(InstanceId self, PlatformCallNumbers &numbers, RandomSource &random)
    : m_self(std::move(self)), m_numbers(numbers), m_random(random), m_backoff(shortestBackoff)
{ }

void VersionFloor::onPeerAnswer(const NetAddress &from, const FloorAnswer &answer)
{
    m_floor = std::max(m_floor, answer.floor);
    if (answer.isEstablished)
        m_answered.insert(from);
}

std::optional<ConfigHead> VersionFloor::onReply(const PlatformReply &reply, TimePoint now)
{
    if (reply.id != m_call || m_readAt)
        return std::nullopt;
    const auto *object = std::get_if<PlatformObject>(&reply.result);
    const auto *head = object != nullptr ? std::get_if<ConfigHead>(&object->value) : nullptr;
    const auto *refusal = std::get_if<PlatformRefusal>(&reply.result);
    const bool isAbsent
        = refusal != nullptr && refusal->reason == PlatformRefusal::Reason::NotFound;
    m_hasPlatformAnswered = m_hasPlatformAnswered || head != nullptr || isAbsent;
    m_isPlatformSilent = !m_hasPlatformAnswered;
    m_readAt = now + m_backoff / 2 + below(m_backoff, m_random);
    m_backoff = std::min(m_backoff * 2, longestBackoff);
    return head != nullptr ? std::optional(*head) : std::nullopt;
}

std::optional<PlatformCall> VersionFloor::dueRead(TimePoint now)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_readAt = now + below(readSpread, m_random);
        m_queryAt = now;
    }
    if (m_isEstablished || m_hasPlatformAnswered || !m_readAt || now < *m_readAt)
        return std::nullopt;
    m_readAt.reset();
    m_call = m_numbers.take();
    return PlatformCall { m_call, PlatformRead { configHeadKey() } };
}

std::vector<NetAddress> VersionFloor::dueQueries(const ConfigPeers &peers, TimePoint now)
{
    if (m_isEstablished || now < m_queryAt)
        return {};
    m_queryAt = now + queryInterval / 2 + below(queryInterval, m_random);
    return peers.sample(peersAsked, m_random);
}

std::optional<TimePoint> VersionFloor::nextDeadline() const
{
    if (!m_hasStarted)
        return TimePoint {};
    if (m_isEstablished)
        return std::nullopt;
    const bool mayRead = m_readAt && !m_hasPlatformAnswered;
    return mayRead ? std::min(m_queryAt, *m_readAt) : m_queryAt;
}

bool VersionFloor::establish(ConfigVersion held, const ConfigPeers &peers)
{
    if (m_isEstablished)
        return true;
    // With fewer peers than that in the table, all of them must answer.
    const std::size_t needed = std::min(neededAnswers, peers.all().size());
    const bool havePeersAnswered = needed > 0 && m_answered.size() >= needed;
    const bool isFloorKnown = m_hasPlatformAnswered || (m_isPlatformSilent && havePeersAnswered);
    m_isEstablished = isFloorKnown && held != ConfigVersion() && held >= m_floor;
    return m_isEstablished;
}

} // namespace camphorreach
