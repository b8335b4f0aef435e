// Classification of outcomes into samples and attempt ends.
#include <camphorreach/attemptend.h>

#include <camphorreach/result.h>

namespace camphorreach {
namespace {

constexpr std::uint16_t firstFailureStatus = 500;

} // namespace

bool isFailure(const Answered &answered) noexcept
{
    return answered.status >= firstFailureStatus;
}

std::optional<SampleResult> sampleResultOf(const Outcome &outcome) noexcept
{
    if (const auto *answered = std::get_if<Answered>(&outcome))
        return isFailure(*answered) ? SampleResult::Failure : SampleResult::Success;
    if (const auto *unknown = std::get_if<OutcomeUnknown>(&outcome)) {
        if (unknown->reason == UnknownReason::KeyHolderLost
            || unknown->reason == UnknownReason::AnswerTooLarge)
            return std::nullopt;
        return unknown->reason == UnknownReason::DeadlinePassed ? SampleResult::Timeout
                                                                : SampleResult::Failure;
    }
    switch (std::get_if<NotRun>(&outcome)->reason) {
    case NotRunReason::Overloaded:
    case NotRunReason::BackendRefused:
        return SampleResult::Shed;
    case NotRunReason::DeadlinePassed:
        return SampleResult::Timeout;
    case NotRunReason::Unreachable:
        return SampleResult::Failure;
    default:
        return std::nullopt;
    }
}

AttemptEnd attemptEndOf(const Outcome &outcome) noexcept
{
    const std::optional<SampleResult> sample = sampleResultOf(outcome);
    if (!sample)
        return AttemptEnd::Inconclusive;
    switch (*sample) {
    case SampleResult::Success:
        return AttemptEnd::Success;
    case SampleResult::Failure:
        return AttemptEnd::Failure;
    case SampleResult::Shed:
        return AttemptEnd::Refused;
    case SampleResult::Timeout:
        // A request that never left the gate's queue indicates overload, not a hung server.
        return std::holds_alternative<NotRun>(outcome) ? AttemptEnd::Refused : AttemptEnd::TimedOut;
    }
    return AttemptEnd::Inconclusive;
}

bool isRetriable(const Outcome &outcome) noexcept
{
    const auto *unknown = std::get_if<OutcomeUnknown>(&outcome);
    return unknown == nullptr || unknown->reason != UnknownReason::AnswerTooLarge;
}

bool isNonRetriable(NotRunReason reason) noexcept
{
    return reason == NotRunReason::Malformed || reason == NotRunReason::Quarantined
        || reason == NotRunReason::KeyReused || reason == NotRunReason::NoRoute
        || reason == NotRunReason::DeadlinePassed || reason == NotRunReason::UnknownKey
        || reason == NotRunReason::OverQuota;
}

} // namespace camphorreach
