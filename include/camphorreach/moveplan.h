// Planning of a move: the next step that the evidence, the deadline and the policy allow.
#pragma once

#include <camphorreach/moveevidence.h>
#include <camphorreach/moverecord.h>
#include <camphorreach/snapshot.h>

#include <optional>
#include <set>
#include <string>

namespace camphorreach {

/// Share of the candidate during the soak. The rest stays on the baseline for comparison.
inline constexpr double soakShare = 0.95;
/// Minimum time from the first share to the soak.
inline constexpr Duration minRamp = std::chrono::seconds(45);

/// Thresholds of logarithmic e-values, in nats.
struct MoveThresholds
{
    double regression = 0; ///< From this evidence against it on, the candidate is rolled back.
    double nonInferiority = 0; ///< From this evidence on, a margin of excess harm is excluded.
};

/// Derives the thresholds from the error rates and weights of a policy. A higher rollbackWeight
/// rolls back on less evidence and requires more evidence for a step; a higher onTimeWeight does
/// the reverse. The ratio of the weights is limited to a factor of 10.
[[nodiscard]] MoveThresholds thresholdsOf(const MovePolicy &policy) noexcept;

/// State of a move on which the controller bases its plan.
struct MoveView
{
    EvidenceSummary evidence;
    /// Domains that have reported within the last few seconds.
    std::set<FailureDomain> reportingDomains;
    /// Domains in which the service has backend servers, whether or not they have reported.
    std::set<FailureDomain> serviceDomains;
};

/// Upper bound of the candidate's excess failure rate: the smallest margin that the evidence
/// excludes together with all larger ones, from 0.05 to 1.
[[nodiscard]] double excessUpperBound(const MoveView &view, const MoveThresholds &thresholds);
/// Maximum share of the candidate at which the harm of a fault that the evidence does not exclude
/// stays within the budget.
[[nodiscard]] double maxSafeShare(const MoveRecord &record, const MovePolicy &policy,
                                  const MoveView &view);
/// A verdict on the candidate if the evidence against it reaches the threshold.
[[nodiscard]] std::optional<RecordedVerdict>
detectRegression(const MoveRecord &record, const MovePolicy &policy, const MoveView &view);
/// Explains the evidence against a version for operators, with the counts of every failure domain.
[[nodiscard]] std::string describeEvidence(const EvidenceSummary &evidence);
/// The record after the next step, or nothing if no step is due.
[[nodiscard]] std::optional<MoveRecord> planStep(const MoveRecord &record, const MovePolicy &policy,
                                                 const MoveView &view, WallTime now);
/// Earliest time at which the schedule allows the next increase of the share.
[[nodiscard]] WallTime plannedStepAt(const MoveRecord &record, const MovePolicy &policy);

} // namespace camphorreach
