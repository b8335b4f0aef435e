// Results: a value or a typed error, as a std::variant.
#pragma once

#include <camphorreach/finding.h>

#include <string>
#include <utility>
#include <variant>

namespace camphorreach {

enum class ErrorCode {
    InvalidInput,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    TooLarge,
    Malformed,
    UnknownOutcome,
};

/// The name of the code in logs and JSON, such as "not-found".
[[nodiscard]] const char *toText(ErrorCode code) noexcept;

struct Error
{
    ErrorCode code = ErrorCode::InvalidInput;
    std::string text;
    Findings findings {}; ///< Non-empty when an input failed validation.
};

template <typename T>
using Result = std::variant<T, Error>;

template <typename T>
[[nodiscard]] bool isOk(const Result<T> &result) noexcept
{
    return std::holds_alternative<T>(result);
}

/// The value of a successful result. The caller must have checked isOk().
template <typename T>
[[nodiscard]] const T &valueOf(const Result<T> &result)
{
    return std::get<T>(result);
}

template <typename T>
[[nodiscard]] T &&valueOf(Result<T> &&result)
{
    return std::get<T>(std::move(result));
}

template <typename T>
[[nodiscard]] const Error &errorOf(const Result<T> &result)
{
    return std::get<Error>(result);
}

/// Combines lambdas into a visitor for std::visit.
template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace camphorreach
