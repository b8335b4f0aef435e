// Steps of a move, scheduled backwards from its deadline.
#include <camphorreach/moveplan.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace camphorreach {
namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;
// From an adverse event until no node sends requests to the version: reports are sent every second,
// take one hop to the aggregator, and the verdict spreads by gossip.
constexpr double reactionSeconds = 4.0;
// Requests that a fault may affect before it is stopped, at any request rate.
constexpr double minHarmBudget = 5.0;
// Fraction of the move's requests that a fault may affect before it is stopped. Section 4 allows
// 0.5 %.
constexpr double harmBudgetFraction = 0.0005;
constexpr double maxStepFactor = 3.0; // ratio of two successive shares
constexpr double minShare = 0.005;
// Enough to detect a version that fails every request within half a minute.
constexpr double initialRequestsPerSecond = 0.6;
constexpr double maxInitialShare = 0.1;
constexpr double minMargin = nonInferiorityMargins.back();
// Fraction of the requests that count as harmed when the latency is doubled.
constexpr double slowHarmFraction = 0.25;
// Time for a share to reach the nodes and for its evidence to arrive.
constexpr std::int64_t minDwellMs = 5'000;
// Before the first share, which depends on the request rate.
constexpr std::int64_t rateMeasurementMs = 3'000;
// For the spread of the last step and a change of the controller.
constexpr std::int64_t deadlineMarginMs = 10'000;
// Fraction of the ramp after which the schedule reaches the soak. The rest is a reserve for steps
// that wait for evidence.
constexpr double scheduledFraction = 0.85;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

double initialShare(double rate)
{
    return std::clamp(initialRequestsPerSecond / std::max(rate, 1e-6), minShare, maxInitialShare);
}

std::int64_t soakStartMs(const MoveRecord &record, const MovePolicy &policy)
{
    return record.deadline.value() - milliseconds(policy.soak) - deadlineMarginMs;
}

MoveRecord beginStep(const MoveRecord &record, WallTime now)
{
    MoveRecord step = record;
    step.steppedAt = now;
    return step;
}

std::string percent(double share)
{
    const auto tenths = static_cast<std::int64_t>(std::lround(share * 1000));
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " %";
}

bool isInScope(const MoveRecord &record, const FailureDomain &domain)
{
    return record.scopeDomain == FailureDomain() || record.scopeDomain == domain;
}

// Sets the share of all domains except those in scope that are not reporting. These keep their
// current share.
void setShare(MoveRecord &step, const MoveRecord &before, const MoveView &view, double share)
{
    for (const FailureDomain &domain : view.serviceDomains) {
        if (isInScope(step, domain) && !view.reportingDomains.contains(domain))
            step.domainShares[domain] = shareIn(before, domain);
        else
            step.domainShares.erase(domain);
    }
    step.share = Share::fromFraction(share);
}

bool areAllDomainsReporting(const MoveRecord &record, const MoveView &view)
{
    return std::ranges::all_of(view.serviceDomains, [&](const FailureDomain &domain) {
        return !isInScope(record, domain) || view.reportingDomains.contains(domain);
    });
}

std::optional<MoveRecord> planRamp(const MoveRecord &record, const MovePolicy &policy,
                                   const MoveView &view, WallTime now)
{
    if (now < plannedStepAt(record, policy) || view.reportingDomains.empty())
        return std::nullopt;
    const double current = record.share.fraction();
    const double allowed = maxSafeShare(record, policy, view);
    const double scheduled = record.state == MoveState::Requested
        ? initialShare(view.evidence.requestsPerSecond)
        : std::min(soakShare, current * maxStepFactor);
    const double target = record.state == MoveState::Requested
        ? std::min(scheduled, std::max(allowed, minShare))
        : std::min(scheduled, allowed);
    constexpr double minGrowth = 1.2; // a smaller increase does not justify a write
    if (target < current * minGrowth && target < soakShare)
        return std::nullopt;
    if (target <= current && !(current >= soakShare && record.state == MoveState::Ramping))
        return std::nullopt;
    if (target >= soakShare && !areAllDomainsReporting(record, view))
        return std::nullopt;
    MoveRecord step = beginStep(record, now);
    setShare(step, record, view, target);
    step.state = target >= soakShare ? MoveState::Soaking : MoveState::Ramping;
    step.explanation = "The evidence of " + std::to_string(view.reportingDomains.size())
        + " failure domain(s) vouches for a share of " + percent(std::min(allowed, 1.0))
        + "; the share is " + percent(target) + ".";
    return step;
}

std::optional<MoveRecord> planSoak(const MoveRecord &record, const MovePolicy &policy,
                                   const MoveView &view, WallTime now)
{
    if (now.value() < record.steppedAt.value() + milliseconds(policy.soak)
        || !areAllDomainsReporting(record, view) || maxSafeShare(record, policy, view) < soakShare)
        return std::nullopt;
    MoveRecord step = beginStep(record, now);
    step.state = MoveState::Done;
    step.share = Share::all();
    step.domainShares.clear();
    step.explanation = "The version has soaked without evidence against it.";
    return step;
}

} // namespace

MoveThresholds thresholdsOf(const MovePolicy &policy) noexcept
{
    const double ratio
        = std::clamp(policy.rollbackWeight / std::max(policy.onTimeWeight, 1e-6), 0.1, 10.0);
    const double falsePositiveRate = std::clamp(policy.falseAlarmRate * ratio, 1e-9, 0.5);
    const double falseNegativeRate = std::clamp(policy.missRate / ratio, 1e-9, 0.5);
    return { -std::log(falsePositiveRate), -std::log(falseNegativeRate) };
}

double excessUpperBound(const MoveView &view, const MoveThresholds &thresholds)
{
    double excess = 1.0;
    for (std::size_t i = 0; i < nonInferiorityMargins.size(); ++i) {
        if (view.evidence.logNoExcess[i] < thresholds.nonInferiority)
            break;
        excess = nonInferiorityMargins[i];
    }
    return excess;
}

double maxSafeShare(const MoveRecord &record, const MovePolicy &policy, const MoveView &view)
{
    const MoveThresholds thresholds = thresholdsOf(policy);
    const double rate = view.evidence.requestsPerSecond;
    const double length = static_cast<double>(record.deadline.value() - record.requestedAt.value())
        / millisecondsPerSecond;
    const double budget = std::max(minHarmBudget, harmBudgetFraction * rate * length);
    const double slow
        = view.evidence.logNotSlow >= thresholds.nonInferiority ? minMargin : slowHarmFraction;
    const double excess = std::max(excessUpperBound(view, thresholds), slow);
    if (excess <= minMargin)
        return 1.0;
    return std::min(1.0, budget / std::max(1e-9, rate * reactionSeconds * excess));
}

std::optional<RecordedVerdict> detectRegression(const MoveRecord &record, const MovePolicy &policy,
                                                const MoveView &view)
{
    if (view.evidence.logBad < thresholdsOf(policy).regression)
        return std::nullopt;
    return RecordedVerdict { record.to, record.operation, view.evidence.worstDomain,
                             view.evidence.reason };
}

std::string describeEvidence(const EvidenceSummary &evidence)
{
    std::string text = "The new version has " + evidence.reason;
    for (const auto &[domain, counts] : evidence.domains) {
        text += "; " + domain.value() + ": " + std::to_string(counts.candidateAdverse) + " of "
            + std::to_string(counts.candidateRequests) + " requests, old version "
            + std::to_string(counts.baselineAdverse) + " of "
            + std::to_string(counts.baselineRequests);
    }
    return (text + ".").substr(0, maxExplanationBytes);
}

WallTime plannedStepAt(const MoveRecord &record, const MovePolicy &policy)
{
    if (record.state == MoveState::Requested)
        return WallTime(record.requestedAt.value() + rateMeasurementMs);
    const std::int64_t steppedAtMs = record.steppedAt.value();
    const double current = std::max(record.share.fraction(), minShare);
    const double steps
        = std::max(1.0, std::ceil(std::log(soakShare / current) / std::log(maxStepFactor) - 1e-9));
    const auto scheduledMs = static_cast<std::int64_t>(
        static_cast<double>(soakStartMs(record, policy) - record.requestedAt.value())
        * scheduledFraction);
    const std::int64_t remainingMs = record.requestedAt.value() + scheduledMs - steppedAtMs;
    const auto dwellMs = static_cast<std::int64_t>(static_cast<double>(remainingMs) / steps);
    return WallTime(steppedAtMs + std::max(minDwellMs, dwellMs));
}

std::optional<MoveRecord> planStep(const MoveRecord &record, const MovePolicy &policy,
                                   const MoveView &view, WallTime now)
{
    if (!isUnderWay(record.state))
        return std::nullopt;
    if (const auto verdict = detectRegression(record, policy, view)) {
        MoveRecord step = beginStep(record, now);
        step.state = MoveState::RolledBack;
        step.share = Share::none();
        step.domainShares.clear();
        step.verdicts.push_back(*verdict);
        if (step.verdicts.size() > maxRecordedVerdicts)
            step.verdicts.erase(step.verdicts.begin());
        step.explanation = describeEvidence(view.evidence);
        return step;
    }
    if (now > record.deadline && !view.reportingDomains.empty()
        && maxSafeShare(record, policy, view) < soakShare) {
        MoveRecord step = beginStep(record, now);
        step.state = MoveState::RolledBack;
        step.share = Share::none();
        step.domainShares.clear();
        step.explanation = "The deadline has passed and the evidence does not vouch for the "
                           "version; it is not judged bad.";
        return step;
    }
    if (record.state == MoveState::Soaking)
        return planSoak(record, policy, view, now);
    return planRamp(record, policy, view, now);
}

} // namespace camphorreach
