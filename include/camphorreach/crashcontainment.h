// Tells requests that crash backend servers from bad versions, and keeps them out.
#pragma once

#include <camphorreach/quarantinemessage.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphorreach {

/// Requests that were in flight at a crash, or at several as the limits say, become suspects. A
/// suspect that crashes the backend server while it runs alone is proved to be the cause and
/// quarantined; one that is answered is cleared.
class CrashContainment
{
public:
    struct Limits
    {
        Duration suspicion = std::chrono::minutes(5);
        Duration quarantine = std::chrono::minutes(10);
        /// Crashes within this time are judged together.
        Duration window = std::chrono::minutes(1);
        /// In how many crashes a request was in flight before it runs alone.
        std::uint32_t crashesToSuspect = 1;
        std::size_t suspects = 1024;
        std::size_t quarantined = 1024;
        /// More crashes in the window than this without a common request are the version's.
        std::size_t unexplainedCrashes = 6;
        /// More proved requests in the window than this are not plausible; the version is at fault.
        std::size_t causes = 8;
        bool isEnabled = true; ///< False gives the baseline of the benchmark.
    };

    enum class Standing : std::uint8_t { Normal, Suspect, Quarantined };

    /// What a crash showed.
    struct Verdict
    {
        /// Whether a request rather than the version is to blame.
        bool isExplained = false;
        std::vector<Digest> proved;
        /// News for other gates.
        std::vector<QuarantineEntry> entries;
    };

    explicit CrashContainment(Limits limits) : m_limits(limits) { }

    [[nodiscard]] Standing standingOf(Digest fingerprint, TimePoint now) const;

    /// The backend server has crashed with \a inFlight running; \a alone is the suspect that had
    /// it for itself, if one had.
    Verdict onCrash(const std::set<Digest> &inFlight, std::optional<Digest> alone, TimePoint now);
    /// The backend server has run the request and answered.
    void onSurvived(Digest fingerprint);
    /// Takes over what another gate knows. Returns the entries that were news.
    std::vector<QuarantineEntry> learn(const QuarantineNotice &notice, TimePoint now);
    /// Entries that are in force, proved ones first, at most maxQuarantineEntries.
    [[nodiscard]] std::vector<QuarantineEntry> entries(TimePoint now) const;

    /// True while crashes look like the version's own fault. Nothing is proved during that time.
    [[nodiscard]] bool isVersionSuspect(TimePoint now) const;
    void expire(TimePoint now);

    [[nodiscard]] std::size_t suspectCount() const noexcept;
    [[nodiscard]] std::size_t quarantinedCount() const noexcept { return m_quarantined.size(); }

private:
    struct Crash
    {
        TimePoint time {};
        std::set<Digest> inFlight;
    };
    struct Entry
    {
        TimePoint expires {};
        std::uint32_t crashes = 1; // with the request in flight, the most that one gate has seen
        std::uint32_t forgiven = 0; // of these, at most crashes; it has been answered since
    };
    using Table = std::map<Digest, Entry>; // by fingerprint

    static std::uint32_t crashesIn(const Table &table, Digest fingerprint, TimePoint now);
    static bool insert(Table &table, std::size_t limit, Digest fingerprint, Entry entry);
    [[nodiscard]] std::size_t crashesWith(Digest fingerprint, TimePoint now) const;
    [[nodiscard]] bool isExplained(const Crash &crash, TimePoint now) const;

    const Limits m_limits;
    // At most m_limits.suspects. Cleared ones stay until they expire: forgotten, they would be news
    // again when another gate passes them on, and gates would tell them to each other for ever.
    Table m_suspects;
    Table m_quarantined; // at most m_limits.quarantined
    std::deque<Crash> m_crashes; // at most maxCrashes
    std::deque<TimePoint> m_proofs; // times of local proofs; at most maxCrashes
};

} // namespace camphorreach
