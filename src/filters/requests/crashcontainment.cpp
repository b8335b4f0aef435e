// Suspicion, confirmation and quarantine of requests that crash backend servers.
#include <camphorreach/crashcontainment.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

constexpr std::size_t maxCrashes = 64;
// Entries with less time left are neither merged nor sent, so that they do not circulate for ever.
constexpr Duration minRemaining = std::chrono::seconds(1);

} // namespace

CrashContainment::Status CrashContainment::statusOf(Digest fingerprint, TimePoint now) const
{
    if (!m_limits.isEnabled)
        return Status::Normal;
    if (crashesSinceAnswer(m_quarantined, fingerprint, now) > 0)
        return Status::Quarantined;
    return crashesSinceAnswer(m_suspects, fingerprint, now) >= m_limits.crashesToSuspect
        ? Status::Suspect
        : Status::Normal;
}

// Number of crashes with the request in flight since it was last answered.
std::uint32_t CrashContainment::crashesSinceAnswer(const Table &table, Digest fingerprint,
                                                   TimePoint now)
{
    const auto found = table.find(fingerprint);
    if (found == table.end() || found->second.expires <= now)
        return 0;
    return found->second.crashes - found->second.clearedCrashes;
}

std::size_t CrashContainment::suspectCount() const noexcept
{
    return static_cast<std::size_t>(std::ranges::count_if(m_suspects, [](const auto &suspect) {
        return suspect.second.crashes > suspect.second.clearedCrashes;
    }));
}

CrashContainment::Analysis CrashContainment::onCrash(const std::set<Digest> &inFlight,
                                                     std::optional<Digest> isolated, TimePoint now)
{
    expire(now);
    if (!m_limits.isEnabled)
        return {};
    Analysis analysis;
    m_crashes.push_back({ now, inFlight });
    if (m_crashes.size() > maxCrashes)
        m_crashes.pop_front();
    const bool isVersionFault = isVersionSuspect(now);
    if (isolated && !isVersionFault) {
        m_suspects.erase(*isolated);
        (void)insert(m_quarantined, m_limits.maxQuarantined, *isolated,
                     { now + m_limits.quarantineDuration });
        m_confirmations.push_back(now);
        if (m_confirmations.size() > maxCrashes)
            m_confirmations.pop_front();
        analysis.confirmed.push_back(*isolated);
        analysis.entries.push_back({ *isolated, m_limits.quarantineDuration, true });
        analysis.isAttributed = true;
        return analysis;
    }
    // A version that crashes on every request would make all requests suspects at all gates.
    if (isVersionFault) {
        m_suspects.clear();
        return analysis;
    }
    analysis.isAttributed = isAttributed(m_crashes.back(), now);
    for (const Digest fingerprint : inFlight) {
        if (statusOf(fingerprint, now) == Status::Quarantined)
            continue;
        const auto known = m_suspects.find(fingerprint);
        const std::uint32_t crashes = known == m_suspects.end() ? 1 : known->second.crashes + 1;
        (void)insert(m_suspects, m_limits.maxSuspects, fingerprint,
                     { now + m_limits.suspectDuration, crashes, 0 });
        analysis.entries.push_back({ fingerprint, m_limits.suspectDuration, false, crashes });
    }
    if (analysis.entries.size() > maxQuarantineEntries)
        analysis.entries.resize(maxQuarantineEntries);
    return analysis;
}

void CrashContainment::onAnswered(Digest fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end())
        found->second.clearedCrashes = found->second.crashes;
}

std::vector<QuarantineEntry> CrashContainment::merge(const QuarantineNotice &notice, TimePoint now)
{
    expire(now);
    std::vector<QuarantineEntry> newEntries;
    for (const QuarantineEntry &entry : notice.entries) {
        const bool isQuarantined = m_quarantined.contains(entry.fingerprint);
        const auto known = m_suspects.find(entry.fingerprint);
        const bool isNew = !isQuarantined
            && (entry.isConfirmed || known == m_suspects.end()
                || known->second.crashes < entry.crashes);
        if (!isNew || entry.remaining < minRemaining || newEntries.size() >= maxQuarantineEntries)
            continue;
        const Duration limit
            = entry.isConfirmed ? m_limits.quarantineDuration : m_limits.suspectDuration;
        const TimePoint expires = now + std::min(entry.remaining, limit);
        Table &table = entry.isConfirmed ? m_quarantined : m_suspects;
        const std::size_t size = entry.isConfirmed ? m_limits.maxQuarantined : m_limits.maxSuspects;
        if (entry.isConfirmed)
            m_suspects.erase(entry.fingerprint);
        if (insert(table, size, entry.fingerprint, { expires, entry.crashes, 0 }))
            newEntries.push_back(
                { entry.fingerprint, expires - now, entry.isConfirmed, entry.crashes });
    }
    return newEntries;
}

std::vector<QuarantineEntry> CrashContainment::entries(TimePoint now) const
{
    std::vector<QuarantineEntry> result;
    for (const auto &[fingerprint, entry] : m_quarantined) {
        if (entry.expires - now >= minRemaining && result.size() < maxQuarantineEntries)
            result.push_back({ fingerprint, entry.expires - now, true });
    }
    return result;
}

std::vector<QuarantineEntry> CrashContainment::allEntries(TimePoint now) const
{
    std::vector<QuarantineEntry> result;
    const auto append = [&](const Table &table, bool areConfirmed) {
        for (const auto &[fingerprint, entry] : table) {
            const std::uint32_t crashes = entry.crashes - entry.clearedCrashes;
            if (crashes > 0 && entry.expires - now >= minRemaining)
                result.push_back({ fingerprint, entry.expires - now, areConfirmed, crashes });
        }
    };
    append(m_quarantined, true);
    append(m_suspects, false);
    return result;
}

// Adds or updates an entry. A full table evicts the entry with the earliest expiry.
bool CrashContainment::insert(Table &table, std::size_t limit, Digest fingerprint, Entry entry)
{
    if (limit == 0)
        return false;
    if (!table.contains(fingerprint) && table.size() >= limit) {
        const auto earliest = std::ranges::min_element(
            table, {}, [](const auto &candidate) { return candidate.second.expires; });
        table.erase(earliest);
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

// A crash is attributed to a request that is quarantined or was in flight at another crash too.
bool CrashContainment::isAttributed(const Crash &crash, TimePoint now) const
{
    return std::ranges::any_of(crash.inFlight, [&](Digest fingerprint) {
        return statusOf(fingerprint, now) == Status::Quarantined
            || crashesWith(fingerprint, now) >= 2;
    });
}

bool CrashContainment::isVersionSuspect(TimePoint now) const
{
    const auto isRecent = [&](TimePoint time) { return now - time <= m_limits.window; };
    const auto confirmations
        = static_cast<std::size_t>(std::ranges::count_if(m_confirmations, isRecent));
    if (confirmations > m_limits.maxConfirmed)
        return true;
    const auto unattributed = std::ranges::count_if(m_crashes, [&](const Crash &crash) {
        return isRecent(crash.time) && !isAttributed(crash, now);
    });
    return static_cast<std::size_t>(unattributed) > m_limits.maxUnattributed;
}

void CrashContainment::expire(TimePoint now)
{
    const auto isExpired = [now](const auto &entry) { return entry.second.expires <= now; };
    std::erase_if(m_suspects, isExpired);
    std::erase_if(m_quarantined, isExpired);
    std::erase_if(m_crashes,
                  [&](const Crash &crash) { return now - crash.time > m_limits.window; });
    std::erase_if(m_confirmations, [&](TimePoint time) { return now - time > m_limits.window; });
}

} // namespace camphorreach
