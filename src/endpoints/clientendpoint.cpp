// HTTP mapping of client requests and their outcomes.
#include <camphorreach/impl/clientendpoint.h>

#include <camphorreach/result.h>

#include <charconv>
#include <optional>
#include <utility>

namespace camphorreach::impl {
namespace {

constexpr const char *outcomeHeader = "X-Outcome";

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || code != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Parses an optional numeric header. Returns zero when it is absent, and nothing when it is
// malformed or above `maxValue`.
std::optional<std::uint64_t> numberHeader(const HttpRequest &request, std::string_view name,
                                          std::uint64_t maxValue)
{
    const std::string_view text = request.header(name);
    if (text.empty())
        return 0;
    const auto value = parseNumber(text);
    if (!value || *value > maxValue)
        return std::nullopt;
    return value;
}

// Splits the target "/SERVICE/PATH" into the service and "/PATH". Returns nothing when the target
// or a header is malformed.
std::optional<ClientRequest> toClientRequest(RequestId id, HttpRequest &&http)
{
    constexpr std::uint64_t maxDeadlineMs = 3'600'000;
    const std::size_t slash = http.target.find('/', 1);
    const auto deadline = numberHeader(http, "X-Deadline-Ms", maxDeadlineMs);
    const auto depth = numberHeader(http, "X-Call-Depth", 255);
    const auto attempt = numberHeader(http, "X-Attempt", 255);
    if (http.target.size() < 2 || http.target.front() != '/' || !deadline || !depth || !attempt)
        return std::nullopt;
    ClientRequest request;
    request.id = id;
    request.service = ServiceName(http.target.substr(1, slash - 1));
    request.budget = std::chrono::milliseconds(*deadline);
    request.depth = CallDepth(static_cast<std::uint8_t>(*depth));
    request.callerAttempt = Attempt(static_cast<std::uint8_t>(*attempt));
    request.key = IdempotencyKey(std::string(http.header("Idempotency-Key")));
    request.isFreshKey = http.header("X-Key-Fresh") == "1";
    request.content.method = http.method;
    request.content.target = slash == std::string::npos ? "/" : http.target.substr(slash);
    request.content.contentType = std::string(http.header("Content-Type"));
    request.content.body = std::move(http.body);
    request.content.large = std::move(http.large);
    return request;
}

HttpResponse toResponse(Outcome &&outcome)
{
    const char *name = nameOf(outcome);
    return std::visit(
        Overloaded {
            [&](Answered &answered) {
                return HttpResponse { answered.status,
                                      { { "Content-Type", answered.contentType },
                                        { outcomeHeader, name } },
                                      std::move(answered.body),
                                      std::move(answered.large) };
            },
            [&](NotRun &notRun) {
                const std::string reason = toText(notRun.reason);
                return HttpResponse {
                    503,
                    { { outcomeHeader, name }, { "X-Reason", reason }, { "Retry-After", "1" } },
                    "the request was not run: " + reason + "\n"
                };
            },
            [&](OutcomeUnknown &unknown) {
                const bool isTimeout = unknown.reason == UnknownReason::DeadlinePassed;
                const std::string reason = toText(unknown.reason);
                return HttpResponse { static_cast<std::uint16_t>(isTimeout ? 504 : 502),
                                      { { outcomeHeader, name }, { "X-Reason", reason } },
                                      "the outcome is unknown: " + reason + "\n" };
            },
        },
        outcome);
}

} // namespace

std::variant<ClientRequest, HttpResponse> ServicePathDialect::decode(RequestId id,
                                                                     HttpRequest &&http) const
{
    auto request = toClientRequest(id, std::move(http));
    if (request)
        return *std::move(request);
    HttpResponse response = toResponse(NotRun { NotRunReason::Malformed });
    response.status = 400;
    return response;
}

HttpResponse ServicePathDialect::encode(Outcome &&outcome, const ClientAttemptId &) const
{
    return toResponse(std::move(outcome));
}

} // namespace camphorreach::impl
