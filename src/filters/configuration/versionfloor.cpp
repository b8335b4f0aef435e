// Version floor of a restarted node, and the versions that other instances reported.
#include <camphorreach/versionfloor.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

// 1,400 nodes that restart together read the head at about 470/s; the platform allows 2,000/s.
constexpr Duration initialReadJitter = std::chrono::seconds(3);
constexpr Duration initialBackoff = std::chrono::seconds(1);
constexpr Duration maxBackoff = std::chrono::seconds(30);
constexpr Duration queryInterval = std::chrono::seconds(1);
constexpr std::size_t queryFanOut = 5;

Duration randomBelow(Duration bound, RandomSource &random)
{
    return Duration(static_cast<Duration::rep>(
        uniformBelow(random, static_cast<std::uint64_t>(bound.count()))));
}

} // namespace

void PeerVersions::record(const InstanceId &instance, ConfigVersion version, TimePoint now)
{
    if (version == ConfigVersion())
        return;
    if (!m_entries.contains(instance) && m_entries.size() >= maxInstances)
        evict(now);
    Entry &entry = m_entries[instance];
    entry.version = std::max(entry.version, version);
    entry.reportedAt = now;
}

void PeerVersions::evict(TimePoint now)
{
    std::erase_if(m_entries,
                  [now](const auto &entry) { return entry.second.reportedAt + retention <= now; });
    if (m_entries.size() < maxInstances)
        return;
    m_entries.erase(std::ranges::min_element(
        m_entries, {}, [](const auto &entry) { return entry.second.reportedAt; }));
}

ConfigVersion PeerVersions::highest(const InstanceId &instance, TimePoint now) const
{
    const auto found = m_entries.find(instance);
    const bool isKnown = found != m_entries.end() && now < found->second.reportedAt + retention;
    return isKnown ? found->second.version : ConfigVersion();
}

VersionFloor::VersionFloor(InstanceId self, PlatformCallIds &callIds, RandomSource &random)
    : m_self(std::move(self)), m_callIds(callIds), m_random(random), m_backoff(initialBackoff)
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
    m_isPlatformUnavailable = !m_hasPlatformAnswered;
    m_readAt = now + m_backoff / 2 + randomBelow(m_backoff, m_random);
    m_backoff = std::min(m_backoff * 2, maxBackoff);
    return head != nullptr ? std::optional(*head) : std::nullopt;
}

std::optional<PlatformCall> VersionFloor::dueRead(TimePoint now)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_readAt = now + randomBelow(initialReadJitter, m_random);
        m_queryAt = now;
    }
    if (m_isEstablished || m_hasPlatformAnswered || !m_readAt || now < *m_readAt)
        return std::nullopt;
    m_readAt.reset();
    m_call = m_callIds.allocate();
    return PlatformCall { m_call, PlatformRead { configHeadKey() } };
}

std::vector<NetAddress> VersionFloor::dueQueries(const ConfigPeers &peers, TimePoint now)
{
    if (m_isEstablished || now < m_queryAt)
        return {};
    m_queryAt = now + queryInterval / 2 + randomBelow(queryInterval, m_random);
    return peers.sample(queryFanOut, m_random);
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
    // If the table has fewer peers than requiredAnswers, all of them must answer.
    const std::size_t required = std::min(requiredAnswers, peers.all().size());
    const bool havePeersAnswered = required > 0 && m_answered.size() >= required;
    const bool isFloorKnown
        = m_hasPlatformAnswered || (m_isPlatformUnavailable && havePeersAnswered);
    m_isEstablished = isFloorKnown && held != ConfigVersion() && held >= m_floor;
    return m_isEstablished;
}

} // namespace camphorreach
