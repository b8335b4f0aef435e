// Evidence for and against the candidate of one move, from the counts of a node, a failure domain
// or all failure domains.
#pragma once

#include <camphorreach/evidencetest.h>
#include <camphorreach/ids.h>
#include <camphorreach/request.h>
#include <camphorreach/units.h>

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorreach {

enum class AdverseKind : std::uint8_t { Failure, Shed, Timeout, Slow };
inline constexpr std::size_t adverseKinds = 4;
/// Instances are assigned to this many groups by a hash of their names, so that reports stay small.
inline constexpr std::size_t instanceGroups = 8;
/// The group of an instance. It is the same on every node.
[[nodiscard]] std::uint8_t groupOf(const InstanceId &instance) noexcept;
[[nodiscard]] const char *toText(AdverseKind kind) noexcept;

/// Requests of one kind on one route to one failure domain. The versions are compared within a
/// stratum.
struct Stratum
{
    FailureDomain domain;
    RouteName route;
    KindName kind;

    friend auto operator<=>(const Stratum &, const Stratum &) = default;
};

/// Counts of one group of instances of one version in one stratum.
struct GroupCounts
{
    std::uint32_t requests = 0;
    std::array<std::uint32_t, adverseKinds> adverse {};

    GroupCounts &operator+=(const GroupCounts &other) noexcept;
    friend bool operator==(const GroupCounts &, const GroupCounts &) = default;
};

enum class VersionRole : std::uint8_t { Baseline, Candidate };

/// Counts of a report, and the stratum, version and group of instances that they belong to.
struct EvidenceEntry
{
    Stratum stratum;
    VersionRole role = VersionRole::Baseline;
    std::uint8_t group = 0; ///< Less than instanceGroups.
    GroupCounts counts;

    friend bool operator==(const EvidenceEntry &, const EvidenceEntry &) = default;
};

/// Margins of the non-inferiority tests of failures, in descending order. Each is a difference of
/// failure rates.
inline constexpr std::array nonInferiorityMargins { 1.0, 0.5, 0.2, 0.1, 0.05 };

/// Requests and adverse events in one failure domain since the start of the move.
struct DomainCounts
{
    std::uint64_t baselineRequests = 0;
    std::uint64_t baselineAdverse = 0;
    std::uint64_t candidateRequests = 0;
    std::uint64_t candidateAdverse = 0;

    friend bool operator==(const DomainCounts &, const DomainCounts &) = default;
};

/// Results of the tests, for the controller and for operators. E-values are natural logarithms.
struct EvidenceSummary
{
    double logBad = 0; ///< E-value for a regression of the candidate.
    std::array<double, nonInferiorityMargins.size()>
        logNoExcess {}; ///< E-values for "fewer extra failures than the margin", by margin.
    double logNotSlow = 0; ///< E-value for "latency is not doubled".
    double requestsPerSecond = 0; ///< Of both versions.
    std::map<FailureDomain, DomainCounts> domains;
    FailureDomain worstDomain; ///< Of the strongest evidence; empty if that is from several.
    std::string reason; ///< Strongest evidence against the candidate, as text for operators.

    friend bool operator==(const EvidenceSummary &, const EvidenceSummary &) = default;
};

/// Runs the sequential tests of one move on windows of counts.
///
/// The evidence against the candidate is the minimum over leaving out any one group of its
/// instances, so that one bad instance does not cause a rollback. For each of these, it is averaged
/// over leaving out no or one group of baseline instances, so that a bad baseline instance does not
/// hide a bad candidate.
template <SequentialTest Test>
class MoveEvidence
{
public:
    /// \a horizon: expected length of the move. Regressions that start at any time within it are
    /// tested for.
    explicit MoveEvidence(Duration horizon);

    /// Sets the number of candidate instances in each group. Until a group has received enough
    /// requests to warm up that many instances, its shed requests, timeouts and slow answers do not
    /// count. Its failures count from the start, so that a version that fails at once is detected
    /// early.
    void setInstances(const std::array<std::uint32_t, instanceGroups> &instances) noexcept
    {
        m_instances = instances;
    }
    void add(const EvidenceEntry &entry);
    /// Closes and tests the windows that hold enough requests or are old enough. In a window with
    /// few requests, the fraction that the candidate received can be too large by chance for a
    /// comparison. \a elapsed is the time since the last call.
    void advance(Duration elapsed);
    [[nodiscard]] EvidenceSummary summary() const;

private:
    using CountTable = std::array<std::array<GroupCounts, instanceGroups>, 2>; // by role and group

    // Tests of one kind of adverse event in a set of strata.
    struct Comparison
    {
        // By the candidate group that is left out, then by the baseline group that is left out. The
        // last index of each leaves out no group.
        std::vector<Test> tests;
        std::vector<ReferenceTest> references; // by the candidate group that is left out
    };
    struct StratumState
    {
        CountTable window; // since the last comparison
        double windowSeconds = 0;
        // Decayed counts by group; the last entry of each counts requests.
        std::array<std::array<double, adverseKinds + 1>, instanceGroups> baselineHistory {};
    };
    using Comparisons = std::array<Comparison, adverseKinds>;
    using Rates = std::array<double, adverseKinds>;

    [[nodiscard]] Comparisons makeComparisons() const;
    template <typename Key>
    Comparisons &comparisonsOf(std::map<Key, Comparisons> &map, const Key &key) const;
    void compare(Comparison &comparison, const CountTable &window, std::size_t kind,
                 double referenceRate);
    void testNonInferiority(const CountTable &window, const Rates &rates);
    void closeWindow(const Stratum &stratum, StratumState &state);
    void updateHistory(StratumState &state);
    [[nodiscard]] Rates baselineRates(const StratumState &state) const;
    [[nodiscard]] double logEvidence(const Comparison &comparison) const;

    double m_horizonWindows;
    Comparisons m_all; // all strata together
    std::map<RouteName, Comparisons> m_routes; // each over all failure domains
    std::map<FailureDomain, Comparisons> m_domains; // each over all routes
    std::map<Stratum, StratumState> m_strata; // at most maxStrata, and one for all others
    std::set<std::uint8_t> m_candidateGroups; // groups whose candidate instances received requests
    // By margin, then by the candidate group that is left out. The last index leaves out no group.
    std::vector<std::vector<NonInferiorityTest>> m_failureTests;
    std::vector<NonInferiorityTest> m_latencyTests;
    double m_rate = 0; // requests per second, smoothed
    std::map<FailureDomain, DomainCounts> m_counts;
    std::array<std::uint32_t, instanceGroups> m_instances {}; // of the candidate
    std::array<std::uint32_t, instanceGroups> m_groupRequests {}; // of the candidate
    // Decayed counts of the baseline over the last seconds, in all strata. The last entry counts
    // requests.
    std::array<double, adverseKinds + 1> m_recentBaseline {};
    std::array<double, adverseKinds + 1> m_pendingBaseline {}; // since the last advance()
    double m_pendingRequests = 0; // of both versions, since the last advance()
};

extern template class MoveEvidence<OddsRatioTest>;

} // namespace camphorreach
