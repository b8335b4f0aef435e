// Suspicion, proof and quarantine of crash-causing requests.
#include <camphorreach/crashcontainment.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

constexpr std::size_t maxCrashes = 64;
// An entry this close to its expiry is not passed on, so that it does not circulate for ever.
constexpr Duration leastRemaining = std::chrono::seconds(1);

} // namespace

CrashContainment::Standing CrashContainment::standingOf(Digest fingerprint, TimePoint now) const
{
    if (!m_limits.isEnabled)
        return Standing::Normal;
    if (crashesIn(m_quarantined, fingerprint, now) > 0)
        return Standing::Quarantined;
    return crashesIn(m_suspects, fingerprint, now) >= m_limits.crashesToSuspect ? Standing::Suspect
                                                                                : Standing::Normal;
}

// Crashes with the request in flight since it was last answered.
std::uint32_t CrashContainment::crashesIn(const Table &table, Digest fingerprint, TimePoint now)
{
    const auto found = table.find(fingerprint);
    if (found == table.end() || found->second.expires <= now)
        return 0;
    return found->second.crashes - found->second.forgiven;
}

std::size_t CrashContainment::suspectCount() const noexcept
{
    return static_cast<std::size_t>(std::ranges::count_if(m_suspects, [](const auto &suspect) {
        return suspect.second.crashes > suspect.second.forgiven;
    }));
}

CrashContainment::Verdict CrashContainment::onCrash(const std::set<Digest> &inFlight,
                                                    std::optional<Digest> alone, TimePoint now)
{
    expire(now);
    if (!m_limits.isEnabled)
        return {};
    Verdict verdict;
    m_crashes.push_back({ now, inFlight });
    if (m_crashes.size() > maxCrashes)
        m_crashes.pop_front();
    const bool isVersion = isVersionSuspect(now);
    if (alone && !isVersion) {
        m_suspects.erase(*alone);
        (void)insert(m_quarantined, m_limits.quarantined, *alone, { now + m_limits.quarantine });
        m_proofs.push_back(now);
        if (m_proofs.size() > maxCrashes)
            m_proofs.pop_front();
        verdict.proved.push_back(*alone);
        verdict.entries.push_back({ *alone, m_limits.quarantine, true });
        verdict.isExplained = true;
        return verdict;
    }
    // A version that crashes on everything would make every request a suspect at every gate.
    if (isVersion) {
        m_suspects.clear();
        return verdict;
    }
    verdict.isExplained = isExplained(m_crashes.back(), now);
    for (const Digest fingerprint : inFlight) {
        if (standingOf(fingerprint, now) == Standing::Quarantined)
            continue;
        const auto known = m_suspects.find(fingerprint);
        const std::uint32_t crashes = known == m_suspects.end() ? 1 : known->second.crashes + 1;
        (void)insert(m_suspects, m_limits.suspects, fingerprint,
                     { now + m_limits.suspicion, crashes, 0 });
        verdict.entries.push_back({ fingerprint, m_limits.suspicion, false, crashes });
    }
    if (verdict.entries.size() > maxQuarantineEntries)
        verdict.entries.resize(maxQuarantineEntries);
    return verdict;
}

void CrashContainment::onSurvived(Digest fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end())
        found->second.forgiven = found->second.crashes;
}

std::vector<QuarantineEntry> CrashContainment::learn(const QuarantineNotice &notice, TimePoint now)
{
    expire(now);
    std::vector<QuarantineEntry> news;
    for (const QuarantineEntry &entry : notice.entries) {
        const bool isQuarantined = m_quarantined.contains(entry.fingerprint);
        const auto known = m_suspects.find(entry.fingerprint);
        const bool isNews = !isQuarantined
            && (entry.isProved || known == m_suspects.end()
                || known->second.crashes < entry.crashes);
        if (!isNews || entry.remaining < leastRemaining || news.size() >= maxQuarantineEntries)
            continue;
        const Duration limit = entry.isProved ? m_limits.quarantine : m_limits.suspicion;
        const TimePoint expires = now + std::min(entry.remaining, limit);
        Table &table = entry.isProved ? m_quarantined : m_suspects;
        const std::size_t size = entry.isProved ? m_limits.quarantined : m_limits.suspects;
        if (entry.isProved)
            m_suspects.erase(entry.fingerprint);
        if (insert(table, size, entry.fingerprint, { expires, entry.crashes, 0 }))
            news.push_back({ entry.fingerprint, expires - now, entry.isProved, entry.crashes });
    }
    return news;
}

std::vector<QuarantineEntry> CrashContainment::entries(TimePoint now) const
{
    std::vector<QuarantineEntry> result;
    for (const auto &[fingerprint, entry] : m_quarantined) {
        if (entry.expires - now >= leastRemaining && result.size() < maxQuarantineEntries)
            result.push_back({ fingerprint, entry.expires - now, true });
    }
    return result;
}

// Places one more entry; the one that expires first makes room.
bool CrashContainment::insert(Table &table, std::size_t limit, Digest fingerprint, Entry entry)
{
    if (limit == 0)
        return false;
    if (!table.contains(fingerprint) && table.size() >= limit) {
        const auto first = std::ranges::min_element(
            table, {}, [](const auto &candidate) { return candidate.second.expires; });
        table.erase(first);
    }
    Entry &stored = table[fingerprint];
    stored.expires = std::max(stored.expires, entry.expires);
    stored.crashes = std::max(stored.crashes, entry.crashes);
    return true;
}

std::size_t CrashContainment::crashesWith(Digest fingerprint, TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_crashes, [&](const Crash &crash) {
        return now - crash.time <= m_limits.window && crash.inFlight.contains(fingerprint);
    }));
}

// A crash is explained by a request that is proved, or that was also in flight at another crash.
bool CrashContainment::isExplained(const Crash &crash, TimePoint now) const
{
    return std::ranges::any_of(crash.inFlight, [&](Digest fingerprint) {
        return standingOf(fingerprint, now) == Standing::Quarantined
            || crashesWith(fingerprint, now) >= 2;
    });
}

bool CrashContainment::isVersionSuspect(TimePoint now) const
{
    const auto isRecent = [&](TimePoint time) { return now - time <= m_limits.window; };
    const auto proofs = static_cast<std::size_t>(std::ranges::count_if(m_proofs, isRecent));
    if (proofs > m_limits.causes)
        return true;
    const auto unexplained = std::ranges::count_if(m_crashes, [&](const Crash &crash) {
        return isRecent(crash.time) && !isExplained(crash, now);
    });
    return static_cast<std::size_t>(unexplained) > m_limits.unexplainedCrashes;
}

void CrashContainment::expire(TimePoint now)
{
    const auto isOver = [now](const auto &entry) { return entry.second.expires <= now; };
    std::erase_if(m_suspects, isOver);
    std::erase_if(m_quarantined, isOver);
    std::erase_if(m_crashes,
                  [&](const Crash &crash) { return now - crash.time > m_limits.window; });
    std::erase_if(m_proofs, [&](TimePoint time) { return now - time > m_limits.window; });
}

} // namespace camphorreach
