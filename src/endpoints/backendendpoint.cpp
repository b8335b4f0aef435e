// HTTP mapping of calls to the backend server.
#include <camphorreach/impl/backendendpoint.h>

#include <string>
#include <utility>

namespace camphorreach::impl {
namespace {

constexpr std::uint16_t serviceUnavailable = 503;

HttpRequest toHttp(ForwardRequest &&request)
{
    using std::chrono::milliseconds;
    const auto budget = std::chrono::duration_cast<milliseconds>(request.budget).count();
    HttpRequest http;
    http.method = std::move(request.content.method);
    http.target = std::move(request.content.target);
    http.body = std::move(request.content.body);
    http.large = std::move(request.content.large);
    if (!request.content.contentType.empty())
        http.headers.push_back({ "Content-Type", std::move(request.content.contentType) });
    http.headers.push_back({ "X-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, budget)) });
    http.headers.push_back({ "X-Call-Depth", std::to_string(request.depth.value() + 1) });
    http.headers.push_back({ "X-Attempt", std::to_string(request.attempt.value()) });
    if (!request.key.value().empty())
        http.headers.push_back({ "Idempotency-Key", request.key.value() });
    return http;
}

// A 503 without X-Not-Run is an ordinary response: the backend server may send it after it has
// partially processed the request.
bool isRefusal(const HttpResponse &response)
{
    return response.status == serviceUnavailable && response.header("X-Not-Run") == "1";
}

} // namespace

BackendFailure toFailure(HttpFailure::Kind kind)
{
    switch (kind) {
    case HttpFailure::Kind::NotSent:
        return BackendFailure::NotSent;
    case HttpFailure::Kind::InvalidRequest:
        return BackendFailure::InvalidRequest;
    case HttpFailure::Kind::PartialResponse:
        return BackendFailure::PartialResponse;
    case HttpFailure::Kind::InvalidResponse:
        return BackendFailure::InvalidResponse;
    case HttpFailure::Kind::ResponseTooLarge:
        return BackendFailure::ResponseTooLarge;
    case HttpFailure::Kind::TimedOut:
        return BackendFailure::TimedOut;
    case HttpFailure::Kind::ConnectionLost:
    case HttpFailure::Kind::Cancelled:
        break;
    }
    return BackendFailure::ConnectionLost;
}

HttpRequest NativeBackendDialect::encode(BackendCall &&call) const
{
    return toHttp(std::move(call.request));
}

std::variant<Answered, BackendFailure> NativeBackendDialect::decode(HttpResponse &&response) const
{
    if (isRefusal(response))
        return BackendFailure::Refused;
    return Answered { response.status,
                      std::string(response.header("Content-Type")),
                      std::move(response.body),
                      {},
                      std::move(response.large) };
}

// Responses carry no id, so a duplicate of a refusal would be taken for the response to the next
// request. The connection is therefore closed after a refusal.
HttpClient::Options NativeBackendDialect::clientOptions() const
{
    HttpClient::Options options;
    options.preventsReuse = isRefusal;
    return options;
}

} // namespace camphorreach::impl
