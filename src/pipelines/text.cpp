// Text formats of core types.
#include <camphorreach/finding.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/outcome.h>
#include <camphorreach/result.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace camphorreach {

std::string toText(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        if (!finding.location.file.empty())
            text += finding.location.file + ":";
        if (finding.location.line != 0) {
            text += std::to_string(finding.location.line) + ":"
                + std::to_string(finding.location.column) + ":";
        }
        if (!text.empty() && text.back() == ':')
            text += " ";
        if (!finding.key.empty())
            text += finding.key + ": ";
        text += finding.text + "\n";
    }
    return text;
}

const char *toText(ErrorCode code) noexcept
{
    switch (code) {
    case ErrorCode::InvalidInput:
        return "invalid-input";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::TooLarge:
        return "too-large";
    case ErrorCode::Malformed:
        return "malformed";
    case ErrorCode::UnknownOutcome:
        return "unknown-outcome";
    }
    return "invalid";
}

const char *toText(NotRunReason reason) noexcept
{
    switch (reason) {
    case NotRunReason::NoConfiguration:
        return "no-configuration";
    case NotRunReason::NoRoute:
        return "no-route";
    case NotRunReason::NoEndpoint:
        return "no-endpoint";
    case NotRunReason::Overloaded:
        return "overloaded";
    case NotRunReason::DeadlinePassed:
        return "deadline-passed";
    case NotRunReason::Draining:
        return "draining";
    case NotRunReason::Quarantined:
        return "quarantined";
    case NotRunReason::Unreachable:
        return "unreachable";
    case NotRunReason::Malformed:
        return "malformed";
    case NotRunReason::BackendRefused:
        return "backend-refused";
    case NotRunReason::EgressFull:
        return "egress-full";
    case NotRunReason::UnknownKey:
        return "unknown-key";
    case NotRunReason::KeyUnproven:
        return "key-unproven";
    case NotRunReason::OverQuota:
        return "over-quota";
    case NotRunReason::KeyReused:
        return "idempotency-key-reused";
    }
    return "invalid";
}

const char *toText(UnknownReason reason) noexcept
{
    switch (reason) {
    case UnknownReason::ConnectionLost:
        return "connection-lost";
    case UnknownReason::DeadlinePassed:
        return "deadline-passed";
    case UnknownReason::BackendServerLost:
        return "backend-server-lost";
    case UnknownReason::PartialAnswer:
        return "partial-answer";
    case UnknownReason::KeyHolderLost:
        return "key-holder-lost";
    case UnknownReason::BadAnswer:
        return "bad-answer";
    case UnknownReason::StillRunning:
        return "still-running";
    case UnknownReason::AnswerTooLarge:
        return "answer-too-large";
    }
    return "invalid";
}

const char *nameOf(const Outcome &outcome) noexcept
{
    if (std::holds_alternative<Answered>(outcome))
        return "answered";
    return std::holds_alternative<NotRun>(outcome) ? "not-run" : "unknown";
}

std::string toText(const NetAddress &address)
{
    const bool isV6 = address.host.find(':') != std::string::npos;
    const std::string host = isV6 ? "[" + address.host + "]" : address.host;
    return host + ":" + std::to_string(address.port);
}

Result<NetAddress> parseNetAddress(std::string_view text)
{
    const auto fail = [text](const char *reason) {
        return Error { ErrorCode::InvalidInput, "\"" + std::string(text) + "\" " + reason };
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail("has no port");
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(host), error);
    if (error)
        return fail("does not start with an IP address");
    NetAddress result { address.to_string(), 0 };
    const auto [end, code] = std::from_chars(port.data(), port.data() + port.size(), result.port);
    if (code != std::errc() || end != port.data() + port.size())
        return fail("has no port between 0 and 65535");
    return result;
}

} // namespace camphorreach
