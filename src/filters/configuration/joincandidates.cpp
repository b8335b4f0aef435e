// Selection and pace of the addresses that a starting node tries.
#include <camphorreach/joincandidates.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

// While no other node is known, and otherwise. In the longer one a node that has answered sends its
// table of members, so that most addresses need not be tried any more.
constexpr Duration lonelyInterval = std::chrono::milliseconds(250);
constexpr Duration usualInterval = std::chrono::seconds(1);

} // namespace

JoinCandidates::JoinCandidates(NetAddress self, RandomSource &random)
    : m_self(std::move(self)), m_random(random)
{ }

void JoinCandidates::update(const EndpointTable &table)
{
    m_known.clear();
    for (const auto &[service, endpoints] : table.services) {
        for (const Endpoint &endpoint : endpoints) {
            if (endpoint.peer != m_self)
                m_known.insert(endpoint.peer);
        }
    }
}

void JoinCandidates::add(const NetAddress &peer)
{
    if (peer == m_self)
        return;
    ++m_listedCount;
    if (m_listed.size() < maxListed) {
        m_listed.push_back(peer);
        return;
    }
    const std::uint64_t place = uniformBelow(m_random, m_listedCount);
    if (place < maxListed)
        m_listed[place] = peer;
}

void JoinCandidates::restartList()
{
    m_listed.clear();
    m_listedCount = 0;
}

std::uint64_t JoinCandidates::finishList(TimePoint now)
{
    const std::uint64_t count = std::exchange(m_listedCount, 0);
    m_remaining = std::exchange(m_listed, {});
    m_nextBatch = now;
    std::ranges::shuffle(m_remaining, m_random);
    if (m_hasTriedAll && knowsOthers())
        m_remaining.resize(std::min(m_remaining.size(), batchSize));
    return count;
}

std::vector<NetAddress> JoinCandidates::takeDue(TimePoint now)
{
    std::vector<NetAddress> batch;
    if (m_remaining.empty() || now < m_nextBatch)
        return batch;
    while (!m_remaining.empty() && batch.size() < batchSize) {
        if (!m_known.contains(m_remaining.back()))
            batch.push_back(std::move(m_remaining.back()));
        m_remaining.pop_back();
    }
    m_nextBatch = now + (knowsOthers() || m_hasTriedAll ? usualInterval : lonelyInterval);
    m_hasTriedAll = m_hasTriedAll || m_remaining.empty();
    return batch;
}

std::optional<TimePoint> JoinCandidates::nextDeadline() const
{
    return m_remaining.empty() ? std::nullopt : std::optional(m_nextBatch);
}

} // namespace camphorreach
