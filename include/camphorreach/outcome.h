// Outcomes of a request, as a guest is told them.
#pragma once

#include <camphorreach/headerfield.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <string>
#include <variant>

namespace camphorreach {

/// The backend server's whole answer.
struct Answered
{
    std::uint16_t status = 200;
    std::string contentType;
    std::string body;
    HeaderFields headers {}; ///< To be passed on beside the content type.

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
    BackendRefused, ///< The backend server itself turned the request away, unrun.
    KeyReused, ///< The idempotency key belongs to a request with another content.
};

/// No backend server can have started the request.
struct NotRun
{
    NotRunReason reason = NotRunReason::Overloaded;
    /// When the guest may come back; zero leaves that to the front end.
    Duration retryAfter {};

    friend bool operator==(const NotRun &, const NotRun &) = default;
};

enum class UnknownReason : std::uint8_t {
    ConnectionLost,
    DeadlinePassed,
    BackendServerLost,
    PartialAnswer,
    KeyHolderLost,
    BadAnswer, ///< The backend server's answer cannot be passed on.
    StillRunning, ///< An earlier request with the same key has not ended yet.
};

/// The request may have run, completely or in part.
struct OutcomeUnknown
{
    UnknownReason reason = UnknownReason::ConnectionLost;

    friend bool operator==(const OutcomeUnknown &, const OutcomeUnknown &) = default;
};

using Outcome = std::variant<Answered, NotRun, OutcomeUnknown>;

/// Fixed names for headers, logs and JSON, such as "no-route".
[[nodiscard]] const char *toText(NotRunReason reason) noexcept;
[[nodiscard]] const char *toText(UnknownReason reason) noexcept;
/// "answered", "not-run" or "unknown".
[[nodiscard]] const char *nameOf(const Outcome &outcome) noexcept;

} // namespace camphorreach
