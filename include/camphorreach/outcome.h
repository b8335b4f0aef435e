// Outcomes of a request, as reported to the client.
#pragma once

#include <camphorreach/headerfield.h>
#include <camphorreach/largebody.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <string>
#include <variant>

namespace camphorreach {

/// The complete response of the backend server.
struct Answered
{
    std::uint16_t status = 200;
    std::string contentType;
    std::string body;
    HeaderFields headers {}; ///< Further header fields to be passed on.
    LargeBodyRef large {}; ///< The body if it is above maxBodyBytes; `body` is then empty.

    [[nodiscard]] ByteCount bodySize() const noexcept
    {
        return ByteCount(body.size() + large.size.value());
    }

    friend bool operator==(const Answered &, const Answered &) = default;
};

enum class NotRunReason : std::uint8_t {
    NoConfiguration,
    NoRoute,
    NoEndpoint,
    Overloaded,
    DeadlinePassed,
    Draining,
    Quarantined,
    Unreachable,
    Malformed,
    BackendRefused, ///< The backend server rejected the request without running it.
    KeyReused, ///< The idempotency key was used for a request with other content.
    EgressFull, ///< The long response would wait too long for the bandwidth of the machine.
    UnknownKey, ///< The request needs a key that belongs to an organisation.
    KeyUnproven, ///< This node's configuration is too old to decide whether the key is valid.
    OverQuota, ///< The organisation has used up its quota.
};

/// No backend server can have started the request.
struct NotRun
{
    NotRunReason reason = NotRunReason::Overloaded;
    /// Delay before the client may retry; zero leaves the value to the front end.
    Duration retryAfter {};

    friend bool operator==(const NotRun &, const NotRun &) = default;
};

enum class UnknownReason : std::uint8_t {
    ConnectionLost,
    DeadlinePassed,
    BackendServerLost,
    PartialAnswer,
    KeyHolderLost,
    BadAnswer, ///< The backend server's response cannot be passed on.
    StillRunning, ///< An earlier request with the same key is still running.
    /// The response is above maxLargeResponseBytes, or there was no memory for it in time. It would
    /// be the same at the next attempt.
    AnswerTooLarge,
};

/// The request may have run, completely or partly.
struct OutcomeUnknown
{
    UnknownReason reason = UnknownReason::ConnectionLost;

    friend bool operator==(const OutcomeUnknown &, const OutcomeUnknown &) = default;
};

using Outcome = std::variant<Answered, NotRun, OutcomeUnknown>;

/// Stable names for headers, logs and JSON, such as "no-route".
[[nodiscard]] const char *toText(NotRunReason reason) noexcept;
[[nodiscard]] const char *toText(UnknownReason reason) noexcept;
/// "answered", "not-run" or "unknown".
[[nodiscard]] const char *nameOf(const Outcome &outcome) noexcept;

} // namespace camphorreach
