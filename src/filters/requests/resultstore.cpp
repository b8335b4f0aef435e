// Decisions about resends of run-once requests.
#include <camphorreach/resultstore.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace camphorreach {
namespace {

// Bytes of one entry beside its key and answer: hash node, list node, outcome.
constexpr std::size_t entryOverhead = 256;

} // namespace

void ResultStore::start(TimePoint now)
{
    if (std::exchange(m_isStarted, true))
        return;
    if (m_limits.mayReplaceEarlierRun)
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
        // Only the guest can tell that it has never sent a key before.
        if (now < doubtOf(key) && !work.request.isFreshKey)
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

std::vector<GateWork> ResultStore::settle(const IdempotencyKey &key, const Outcome &outcome,
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
        m_order.push_back(key);
        shrink();
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

// Forgets the oldest results first. Their groups stay in doubt for the rest of their time.
void ResultStore::shrink()
{
    while (m_finished.size() > m_limits.keys || m_bytes > m_limits.bytes) {
        TimePoint &doubt = doubtOf(m_order.front());
        doubt = std::max(doubt, m_finished.at(m_order.front()).expires);
        eraseOldest();
        ++m_evictions;
    }
}

void ResultStore::eraseOldest()
{
    const auto found = m_finished.find(m_order.front());
    m_bytes -= sizeOfEntry(found->first, found->second);
    m_finished.erase(found);
    m_order.pop_front();
}

void ResultStore::expire(TimePoint now)
{
    while (!m_order.empty() && m_finished.at(m_order.front()).expires <= now)
        eraseOldest();
}

std::optional<TimePoint> ResultStore::nextExpiry() const
{
    if (m_order.empty())
        return std::nullopt;
    return m_finished.at(m_order.front()).expires;
}

TimePoint &ResultStore::doubtOf(const IdempotencyKey &key)
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
