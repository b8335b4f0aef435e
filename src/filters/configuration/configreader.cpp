// Lease and watch of a platform reader.
#include <camphorreach/configreader.h>

#include <algorithm>
#include <string>
#include <utility>

namespace camphorreach {
namespace {

constexpr Duration watchTime = std::chrono::seconds(25);
constexpr Duration shortestBackoff = std::chrono::milliseconds(100);
// Ten readers at this pace cost the platform five reads a second during an outage.
constexpr Duration longestBackoff = std::chrono::seconds(2);
// Until then a starting node has most likely joined and knows its place among the contenders.
constexpr Duration settleTime = std::chrono::seconds(4);

} // namespace

ConfigReader::ConfigReader(const ConfigPeers &peers, PlatformCallNumbers &numbers,
                           RandomSource &random)
    : m_peers(peers), m_numbers(numbers), m_random(random), m_backoff(shortestBackoff)
{ }

void ConfigReader::choose(TimePoint now)
{
    if (!m_contendFrom) {
        const auto jitter = uniformBelow(m_random, static_cast<std::uint64_t>(settleTime.count()));
        m_contendFrom = now + settleTime / 2 + Duration(static_cast<Duration::rep>(jitter));
    }
    if (m_lease && m_peers.isDraining())
        m_lease->release(now);
    else if (m_lease && m_lease->isReleased())
        m_lease.reset(); // ready again, as after a crash of the backend server: contend anew
    if (m_lease || now < *m_contendFrom || m_peers.rank() >= contenders || m_peers.isDraining())
        return;
    m_slot = static_cast<std::uint8_t>(m_peers.rank() % slots);
    const Endpoint &self = m_peers.self();
    const ObjectKey key("lease/reader/" + self.domain.value() + "/" + std::to_string(m_slot));
    const LeaseRecord record { self.instance, self.peer, self.incarnation, 0 };
    m_lease.emplace(key, record, Lease::Timing {}, m_numbers, m_random);
}

bool ConfigReader::mayContend(TimePoint now) const
{
    return m_peers.rank() < contenders || m_lease->isHeld(now);
}

std::optional<ConfigHead> ConfigReader::onReply(const PlatformReply &reply, TimePoint now)
{
    if (m_lease && m_lease->process(reply, now)) {
        const auto &seen = m_lease->seen();
        const bool isNews = seen && !seen->peer.host.empty() && seen->peer != m_named;
        if (isNews && seen->holder != m_peers.self().instance) {
            m_named = seen->peer;
            m_newlyNamed.push_back(m_named);
        }
        return std::nullopt;
    }
    if (reply.id != m_watch || m_watchAt)
        return std::nullopt;
    const auto *object = std::get_if<PlatformObject>(&reply.result);
    const auto *head = object != nullptr ? std::get_if<ConfigHead>(&object->value) : nullptr;
    if (head == nullptr) {
        const auto jitter = uniformBelow(m_random, static_cast<std::uint64_t>(m_backoff.count()));
        m_watchAt = now + m_backoff / 2 + Duration(static_cast<Duration::rep>(jitter));
        m_backoff = std::min(m_backoff * 2, longestBackoff);
        return std::nullopt;
    }
    m_watchAt = now;
    m_backoff = shortestBackoff;
    m_known = object->version;
    return *head;
}

std::optional<PlatformCall> ConfigReader::dueWatch(TimePoint now)
{
    if (!isReader(now) || !m_watchAt || now < *m_watchAt)
        return std::nullopt;
    m_watchAt.reset();
    m_watch = m_numbers.take();
    return PlatformCall { m_watch, PlatformWatch { configHeadKey(), m_known, watchTime } };
}

std::optional<TimePoint> ConfigReader::nextDeadline(TimePoint now) const
{
    if (!m_contendFrom)
        return TimePoint {};
    if (!m_lease) {
        // A node that comes later in the order is called again when the members change.
        const bool mayStart = m_peers.rank() < contenders && !m_peers.isDraining();
        return mayStart ? m_contendFrom : std::nullopt;
    }
    std::optional<TimePoint> next = mayContend(now) ? m_lease->nextDeadline() : std::nullopt;
    if (isReader(now) && m_watchAt)
        next = next ? std::min(*next, *m_watchAt) : *m_watchAt;
    return next;
}

std::vector<NetAddress> ConfigReader::takeNamedReaders()
{
    return std::exchange(m_newlyNamed, {});
}

} // namespace camphorreach
