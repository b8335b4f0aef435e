// Distinguishes requests that crash backend servers from faulty versions, and quarantines them.
#pragma once

#include <camphorreach/quarantinemessage.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphorreach {

/// Requests that were in flight at Limits::crashesToSuspect crashes become suspects. A suspect that
/// crashes the backend server while no other request is in flight is confirmed as the cause and
/// quarantined; a suspect that is answered is cleared.
class CrashContainment
{
public:
    struct Limits
    {
        Duration suspectDuration = std::chrono::minutes(5);
        Duration quarantineDuration = std::chrono::minutes(10);
        /// Only crashes and confirmed causes within this time are counted.
        Duration window = std::chrono::minutes(1);
        /// Number of crashes with a request in flight that make it a suspect.
        std::uint32_t crashesToSuspect = 1;
        std::size_t maxSuspects = 1024;
        std::size_t maxQuarantined = 1024;
        /// With more crashes in the window that are not attributed to a request, the version is at
        /// fault.
        std::size_t maxUnattributed = 6;
        /// With more confirmed causes in the window, which is implausible, the version is at fault.
        std::size_t maxConfirmed = 8;
        bool isEnabled = true; ///< False disables containment, as the benchmark's baseline.
    };

    enum class Status : std::uint8_t { Normal, Suspect, Quarantined };

    /// The conclusions drawn from a crash.
    struct Analysis
    {
        /// Whether the crash is attributed to a request rather than to the version.
        bool isAttributed = false;
        std::vector<Digest> confirmed; ///< Confirmed causes, now quarantined.
        /// New or changed entries, to be sent to other gates.
        std::vector<QuarantineEntry> entries;
    };

    explicit CrashContainment(Limits limits) : m_limits(limits) { }

    [[nodiscard]] Status statusOf(Digest fingerprint, TimePoint now) const;

    /// The backend server has crashed with \a inFlight running. \a isolated is the suspect that ran
    /// with no other request in flight, if there was one.
    Analysis onCrash(const std::set<Digest> &inFlight, std::optional<Digest> isolated,
                     TimePoint now);
    /// The backend server has answered the request without a crash.
    void onAnswered(Digest fingerprint);
    /// Merges the entries of another gate and returns those that were new.
    std::vector<QuarantineEntry> merge(const QuarantineNotice &notice, TimePoint now);
    /// The quarantined entries to send to other gates, at most maxQuarantineEntries.
    [[nodiscard]] std::vector<QuarantineEntry> entries(TimePoint now) const;
    /// All quarantined and suspect entries, for a gate that has just started.
    [[nodiscard]] std::vector<QuarantineEntry> allEntries(TimePoint now) const;

    /// True while the recent crashes point to a faulty version. No cause is confirmed meanwhile.
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
        std::uint32_t crashes = 1; // with the request in flight; the highest count of any gate
        std::uint32_t clearedCrashes = 0; // of `crashes`, those before its last answer
    };
    using Table = std::map<Digest, Entry>; // by fingerprint

    static std::uint32_t crashesSinceAnswer(const Table &table, Digest fingerprint, TimePoint now);
    static bool insert(Table &table, std::size_t limit, Digest fingerprint, Entry entry);
    [[nodiscard]] std::size_t crashesWith(Digest fingerprint, TimePoint now) const;
    [[nodiscard]] bool isAttributed(const Crash &crash, TimePoint now) const;

    const Limits m_limits;
    // At most m_limits.maxSuspects. Cleared entries stay until they expire: if they were removed, a
    // notice from another gate would add them as new, and gates would relay them without end.
    Table m_suspects;
    Table m_quarantined; // at most m_limits.maxQuarantined
    std::deque<Crash> m_crashes; // at most maxCrashes
    std::deque<TimePoint> m_confirmations; // times of this gate's own; at most maxCrashes
};

} // namespace camphorreach
