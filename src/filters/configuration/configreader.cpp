// Lease and watch of a platform reader.
#include <camphorreach/configreader.h>

#include <algorithm>
#include <string>
#include <utility>

namespace camphorreach {
namespace {

constexpr Duration watchTimeout = std::chrono::seconds(25);
constexpr Duration initialBackoff = std::chrono::milliseconds(100);
// Ten readers that retry at this interval send the platform five reads a second in an outage.
constexpr Duration maxBackoff = std::chrono::seconds(2);
// By then a starting node has most likely joined and knows its rank among the contenders.
constexpr Duration startupDelay = std::chrono::seconds(4);

} // namespace

ConfigReader::ConfigReader(const ConfigPeers &peers, PlatformCallIds &callIds, RandomSource &random)
    : m_peers(peers), m_callIds(callIds), m_random(random), m_backoff(initialBackoff)
{ }

void ConfigReader::updateLease(TimePoint now)
{
    if (!m_contendFrom) {
        const auto jitter
            = uniformBelow(m_random, static_cast<std::uint64_t>(startupDelay.count()));
        m_contendFrom = now + startupDelay / 2 + Duration(static_cast<Duration::rep>(jitter));
    }
    if (m_lease && m_peers.isDraining())
        m_lease->release(now);
    else if (m_lease && m_lease->isReleased())
        m_lease.reset(); // ready again, as after a crash of the backend server: contend again
    if (m_lease || now < *m_contendFrom || m_peers.rank() >= contendersPerDomain
        || m_peers.isDraining())
        return;
    m_slot = static_cast<std::uint8_t>(m_peers.rank() % slotsPerDomain);
    const Endpoint &self = m_peers.self();
    const ObjectKey key("lease/reader/" + self.domain.value() + "/" + std::to_string(m_slot));
    const LeaseRecord record { self.instance, self.peer, self.incarnation, 0 };
    m_lease.emplace(key, record, Lease::Timing {}, m_callIds, m_random);
}

bool ConfigReader::mayContend(TimePoint now) const
{
    return m_peers.rank() < contendersPerDomain || m_lease->isHeld(now);
}

std::optional<ConfigHead> ConfigReader::onReply(const PlatformReply &reply, TimePoint now)
{
    if (m_lease && m_lease->process(reply, now)) {
        const auto &lastSeen = m_lease->lastSeen();
        const bool isNewHolder
            = lastSeen && !lastSeen->peer.host.empty() && lastSeen->peer != m_reportedHolder;
        if (isNewHolder && lastSeen->holder != m_peers.self().instance) {
            m_reportedHolder = lastSeen->peer;
            m_newReaders.push_back(m_reportedHolder);
        }
        return std::nullopt;
    }
    if (reply.id != m_watchCall || m_nextWatchAt)
        return std::nullopt;
    const auto *object = std::get_if<PlatformObject>(&reply.result);
    const auto *head = object != nullptr ? std::get_if<ConfigHead>(&object->value) : nullptr;
    if (head == nullptr) {
        const auto jitter = uniformBelow(m_random, static_cast<std::uint64_t>(m_backoff.count()));
        m_nextWatchAt = now + m_backoff / 2 + Duration(static_cast<Duration::rep>(jitter));
        m_backoff = std::min(m_backoff * 2, maxBackoff);
        return std::nullopt;
    }
    m_nextWatchAt = now;
    m_backoff = initialBackoff;
    m_headVersion = object->version;
    return *head;
}

std::optional<PlatformCall> ConfigReader::dueWatch(TimePoint now)
{
    if (!isReader(now) || !m_nextWatchAt || now < *m_nextWatchAt)
        return std::nullopt;
    m_nextWatchAt.reset();
    m_watchCall = m_callIds.allocate();
    return PlatformCall { m_watchCall,
                          PlatformWatch { configHeadKey(), m_headVersion, watchTimeout } };
}

std::optional<TimePoint> ConfigReader::nextDeadline(TimePoint now) const
{
    if (!m_contendFrom)
        return TimePoint {};
    if (!m_lease) {
        // A node of a higher rank is advanced again when the membership changes.
        const bool mayStart = m_peers.rank() < contendersPerDomain && !m_peers.isDraining();
        return mayStart ? m_contendFrom : std::nullopt;
    }
    std::optional<TimePoint> next = mayContend(now) ? m_lease->nextDeadline() : std::nullopt;
    if (isReader(now) && m_nextWatchAt)
        next = next ? std::min(*next, *m_nextWatchAt) : *m_nextWatchAt;
    return next;
}

std::vector<NetAddress> ConfigReader::takeNewReaders()
{
    return std::exchange(m_newReaders, {});
}

} // namespace camphorreach
