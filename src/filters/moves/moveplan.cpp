// Steps of a move, planned back from its deadline.
#include <camphorreach/moveplan.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace camphorreach {
namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;
// From an adverse event to the moment at which no node sends to the version any more: reports each
// second, one hop to the pooling node, and the epidemic spread of the verdict.
constexpr double reactionSeconds = 4.0;
// Guests who may meet a fault before it is stopped, whatever the traffic.
constexpr double guestsAtRisk = 5.0;
// Part of the move's requests that may meet a fault before it is stopped; section 4 allows 0.5 %.
constexpr double partAtRisk = 0.0005;
constexpr double largestFactor = 3.0; // between two shares
constexpr double smallestShare = 0.005;
// Enough to see within half a minute a version that fails every request.
constexpr double firstRequestsPerSecond = 0.6;
constexpr double largestFirstShare = 0.1;
constexpr double smallestExcess = vouchedExcesses.back();
// Part of a doubled latency's guests who count as harmed.
constexpr double slowHarm = 0.25;
constexpr std::int64_t shortestDwellMs = 5'000; // the share spreads and the evidence arrives
constexpr std::int64_t rateSampleMs = 3'000; // before the first share, which depends on the rate
constexpr std::int64_t marginMs = 10'000; // for the spread of the last step and a takeover
// Part of the ramp after which the schedule has reached the soak; the rest is for lacking evidence.
constexpr double plannedPart = 0.85;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

double firstShare(double rate)
{
    return std::clamp(firstRequestsPerSecond / std::max(rate, 1e-6), smallestShare,
                      largestFirstShare);
}

std::int64_t soakStartMs(const MoveRecord &record, const MovePolicy &policy)
{
    return record.deadline.value() - milliseconds(policy.soak) - marginMs;
}

MoveRecord stepped(const MoveRecord &record, WallTime now)
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

// Domains that must follow and have not been heard of keep the share that they have.
void setShare(MoveRecord &step, const MoveRecord &before, const MoveView &view, double share)
{
    for (const FailureDomain &domain : view.expected) {
        if (isInScope(step, domain) && !view.heard.contains(domain))
            step.domainShares[domain] = shareIn(before, domain);
        else
            step.domainShares.erase(domain);
    }
    step.share = Share::fromFraction(share);
}

bool isEveryDomainHeard(const MoveRecord &record, const MoveView &view)
{
    return std::ranges::all_of(view.expected, [&](const FailureDomain &domain) {
        return !isInScope(record, domain) || view.heard.contains(domain);
    });
}

std::optional<MoveRecord> planRamp(const MoveRecord &record, const MovePolicy &policy,
                                   const MoveView &view, WallTime now)
{
    if (now < plannedStepAt(record, policy) || view.heard.empty())
        return std::nullopt;
    const double current = record.share.fraction();
    const double allowed = vouchedShare(record, policy, view);
    const double wanted = record.state == MoveState::Requested
        ? firstShare(view.evidence.requestsPerSecond)
        : std::min(soakShare, current * largestFactor);
    const double target = record.state == MoveState::Requested
        ? std::min(wanted, std::max(allowed, smallestShare))
        : std::min(wanted, allowed);
    constexpr double smallestGrowth = 1.2; // a write for less is not worth its cost
    if (target < current * smallestGrowth && target < soakShare)
        return std::nullopt;
    if (target <= current && !(current >= soakShare && record.state == MoveState::Ramping))
        return std::nullopt;
    if (target >= soakShare && !isEveryDomainHeard(record, view))
        return std::nullopt;
    MoveRecord step = stepped(record, now);
    setShare(step, record, view, target);
    step.state = target >= soakShare ? MoveState::Soaking : MoveState::Ramping;
    step.explanation = "The evidence of " + std::to_string(view.heard.size())
        + " failure domain(s) vouches for a share of " + percent(std::min(allowed, 1.0))
        + "; the share is " + percent(target) + ".";
    return step;
}

std::optional<MoveRecord> planSoak(const MoveRecord &record, const MovePolicy &policy,
                                   const MoveView &view, WallTime now)
{
    if (now.value() < record.steppedAt.value() + milliseconds(policy.soak)
        || !isEveryDomainHeard(record, view) || vouchedShare(record, policy, view) < soakShare)
        return std::nullopt;
    MoveRecord step = stepped(record, now);
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
    const double falseAlarm = std::clamp(policy.falseAlarmRate * ratio, 1e-9, 0.5);
    const double miss = std::clamp(policy.missRate / ratio, 1e-9, 0.5);
    return { -std::log(falseAlarm), -std::log(miss) };
}

double possibleExcess(const MoveView &view, const MoveThresholds &thresholds)
{
    double excess = 1.0;
    for (std::size_t i = 0; i < vouchedExcesses.size(); ++i) {
        if (view.evidence.logNoExcess[i] < thresholds.vouch)
            break;
        excess = vouchedExcesses[i];
    }
    return excess;
}

double vouchedShare(const MoveRecord &record, const MovePolicy &policy, const MoveView &view)
{
    const MoveThresholds thresholds = thresholdsOf(policy);
    const double rate = view.evidence.requestsPerSecond;
    const double length = static_cast<double>(record.deadline.value() - record.requestedAt.value())
        / millisecondsPerSecond;
    const double budget = std::max(guestsAtRisk, partAtRisk * rate * length);
    const double slow = view.evidence.logNotSlow >= thresholds.vouch ? smallestExcess : slowHarm;
    const double excess = std::max(possibleExcess(view, thresholds), slow);
    if (excess <= smallestExcess)
        return 1.0;
    return std::min(1.0, budget / std::max(1e-9, rate * reactionSeconds * excess));
}

std::optional<RecordedVerdict> judge(const MoveRecord &record, const MovePolicy &policy,
                                     const MoveView &view)
{
    if (view.evidence.logBad < thresholdsOf(policy).condemn)
        return std::nullopt;
    return RecordedVerdict { record.to, record.operation, view.evidence.worstDomain,
                             view.evidence.reason };
}

std::string accountOf(const EvidenceSummary &evidence)
{
    std::string text = "The new version has " + evidence.reason;
    for (const auto &[domain, counts] : evidence.domains) {
        text += "; " + domain.value() + ": " + std::to_string(counts.newAdverse) + " of "
            + std::to_string(counts.newRequests) + " requests, old version "
            + std::to_string(counts.oldAdverse) + " of " + std::to_string(counts.oldRequests);
    }
    return (text + ".").substr(0, maxExplanationBytes);
}

WallTime plannedStepAt(const MoveRecord &record, const MovePolicy &policy)
{
    if (record.state == MoveState::Requested)
        return WallTime(record.requestedAt.value() + rateSampleMs);
    const std::int64_t stepped = record.steppedAt.value();
    const double current = std::max(record.share.fraction(), smallestShare);
    const double steps
        = std::max(1.0, std::ceil(std::log(soakShare / current) / std::log(largestFactor) - 1e-9));
    const auto planned = static_cast<std::int64_t>(
        static_cast<double>(soakStartMs(record, policy) - record.requestedAt.value())
        * plannedPart);
    const std::int64_t left = record.requestedAt.value() + planned - stepped;
    const auto dwell = static_cast<std::int64_t>(static_cast<double>(left) / steps);
    return WallTime(stepped + std::max(shortestDwellMs, dwell));
}

std::optional<MoveRecord> planStep(const MoveRecord &record, const MovePolicy &policy,
                                   const MoveView &view, WallTime now)
{
    if (!isUnderWay(record.state))
        return std::nullopt;
    if (const auto verdict = judge(record, policy, view)) {
        MoveRecord step = stepped(record, now);
        step.state = MoveState::RolledBack;
        step.share = Share::none();
        step.domainShares.clear();
        step.verdicts.push_back(*verdict);
        if (step.verdicts.size() > maxRecordedVerdicts)
            step.verdicts.erase(step.verdicts.begin());
        step.explanation = accountOf(view.evidence);
        return step;
    }
    if (now > record.deadline && !view.heard.empty()
        && vouchedShare(record, policy, view) < soakShare) {
        MoveRecord step = stepped(record, now);
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
