// Classification of an attempt's outcome, for its target and for the version that ran there.
#pragma once

#include <camphorreach/outcome.h>
#include <camphorreach/requestsample.h>

#include <cstdint>
#include <optional>

namespace camphorreach {

/// How an attempt at a target ended.
enum class AttemptEnd : std::uint8_t {
    Success,
    /// HTTP status 500 or above, an unreachable node, or an unknown outcome, such as after a lost
    /// connection or a lost backend server.
    Failure,
    Refused, ///< By the gate or the backend server, or the deadline passed in the gate's queue.
    TimedOut,
    Inconclusive, ///< No evidence about the target, such as a cancellation or a draining gate.
};

/// True for HTTP status 500 and above.
[[nodiscard]] bool isFailure(const Answered &answered) noexcept;

/// The sample that \a outcome gives about the version. Empty when the version is not the cause,
/// such as for a draining node or an invalid request.
[[nodiscard]] std::optional<SampleResult> sampleResultOf(const Outcome &outcome) noexcept;

/// The evidence that \a outcome gives about the target.
[[nodiscard]] AttemptEnd attemptEndOf(const Outcome &outcome) noexcept;

/// False for an outcome that is not a refusal and would be the same at the next attempt.
[[nodiscard]] bool isRetriable(const Outcome &outcome) noexcept;

/// True when a retry would be refused for the same \a reason.
[[nodiscard]] bool isNonRetriable(NotRunReason reason) noexcept;

} // namespace camphorreach
