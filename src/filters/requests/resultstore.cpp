// Deduplication of run-once requests.
#include <camphorreach/resultstore.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace camphorreach {
namespace {

// Estimated memory of an entry in bytes, without its key and response: hash node, deque element,
// outcome.
constexpr std::size_t entryOverhead = 256;

} // namespace

void ResultStore::start(TimePoint now)
{
    if (std::exchange(m_isStarted, true))
        return;
    if (m_limits.mayFollowRestart)
        m_inDoubtUntil.fill(now + m_limits.retention);
}

ResultStore::Decision ResultStore::admit(GateWork &work, TimePoint now)
{
    expire(now);
    const IdempotencyKey &key = work.request.key;
    if (const auto finished = m_finished.find(key); finished != m_finished.end()) {
        if (finished->second.fingerprint != work.fingerprint)
            return Outcome(NotRun { NotRunReason::KeyReused });
        return finished->second.outcome;
    }
    const auto running = m_running.find(key);
    if (running == m_running.end()) {
        // Only the client knows that it has never sent a key before.
        if (now < inDoubtUntil(key) && !work.request.isFreshKey)
            return Outcome(OutcomeUnknown { UnknownReason::KeyHolderLost });
        m_running.emplace(key, Running { work.fingerprint, {} });
        return Admitted {};
    }
    if (running->second.fingerprint != work.fingerprint)
        return Outcome(NotRun { NotRunReason::KeyReused });
    if (running->second.waiters.size() >= m_limits.waiters)
        return Outcome(OutcomeUnknown { UnknownReason::StillRunning });
    running->second.waiters.push_back(std::move(work));
    return Joined {};
}

std::vector<GateWork> ResultStore::complete(const IdempotencyKey &key, const Outcome &outcome,
                                            TimePoint now)
{
    const auto found = m_running.find(key);
    if (found == m_running.end())
        return {};
    const Running running = std::move(found->second);
    m_running.erase(found);
    if (!std::holds_alternative<NotRun>(outcome)) {
        Finished entry { running.fingerprint, outcome, now + m_limits.retention };
        m_bytes += sizeOfEntry(key, entry);
        m_finished.emplace(key, std::move(entry));
        m_expiryOrder.push_back(key);
        evict();
    }
    return running.waiters;
}

void ResultStore::dropWaiters(LinkId link, std::optional<RequestId> id)
{
    for (auto &[key, running] : m_running) {
        std::erase_if(running.waiters, [&](const GateWork &work) {
            return work.link == link && (!id || work.request.id == *id);
        });
    }
}

// Evicts the oldest results. Their groups stay in doubt until these results would have expired.
void ResultStore::evict()
{
    while (m_finished.size() > m_limits.keys || m_bytes > m_limits.bytes) {
        TimePoint &groupInDoubtUntil = inDoubtUntil(m_expiryOrder.front());
        groupInDoubtUntil
            = std::max(groupInDoubtUntil, m_finished.at(m_expiryOrder.front()).expires);
        eraseOldest();
        ++m_evictions;
    }
}

void ResultStore::eraseOldest()
{
    const auto found = m_finished.find(m_expiryOrder.front());
    m_bytes -= sizeOfEntry(found->first, found->second);
    m_finished.erase(found);
    m_expiryOrder.pop_front();
}

void ResultStore::expire(TimePoint now)
{
    while (!m_expiryOrder.empty() && m_finished.at(m_expiryOrder.front()).expires <= now)
        eraseOldest();
}

std::optional<TimePoint> ResultStore::nextExpiry() const
{
    if (m_expiryOrder.empty())
        return std::nullopt;
    return m_finished.at(m_expiryOrder.front()).expires;
}

TimePoint &ResultStore::inDoubtUntil(const IdempotencyKey &key)
{
    const std::string &text = key.value();
    return m_inDoubtUntil.at(XXH3_64bits(text.data(), text.size()) % groupCount);
}

std::size_t ResultStore::sizeOfEntry(const IdempotencyKey &key, const Finished &entry) noexcept
{
    std::size_t size = entryOverhead + 2 * key.value().size();
    if (const auto *answered = std::get_if<Answered>(&entry.outcome))
        size += answered->body.size() + answered->contentType.size();
    return size;
}

} // namespace camphorreach
