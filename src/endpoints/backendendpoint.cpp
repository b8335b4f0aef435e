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
    if (!request.content.contentType.empty())
        http.headers.push_back({ "Content-Type", std::move(request.content.contentType) });
    http.headers.push_back({ "X-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, budget)) });
    http.headers.push_back({ "X-Call-Depth", std::to_string(request.depth.value() + 1) });
    http.headers.push_back({ "X-Attempt", std::to_string(request.attempt.value()) });
    if (!request.key.value().empty())
        http.headers.push_back({ "Idempotency-Key", request.key.value() });
    return http;
}

// A bare 503 is an answer: a backend server may send it after it has done a part of the work.
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
    case HttpFailure::Kind::PartialAnswer:
        return BackendFailure::PartialAnswer;
    case HttpFailure::Kind::BadAnswer:
        return BackendFailure::BadAnswer;
    case HttpFailure::Kind::TimedOut:
        return BackendFailure::TimedOut;
    case HttpFailure::Kind::Lost:
    case HttpFailure::Kind::Cancelled:
        break;
    }
    return BackendFailure::Lost;
}

HttpRequest OwnBackendDialect::encode(BackendCall &&call) const
{
    return toHttp(std::move(call.request));
}

std::variant<Answered, BackendFailure> OwnBackendDialect::decode(HttpResponse &&response) const
{
    if (isRefusal(response))
        return BackendFailure::Refused;
    return Answered { response.status, std::string(response.header("Content-Type")),
                      std::move(response.body) };
}

// Answers bear no id, so a refusal that is written once more looks like that of the next request.
HttpClient::Options OwnBackendDialect::clientOptions() const
{
    HttpClient::Options options;
    options.endsConnection = isRefusal;
    return options;
}

} // namespace camphorreach::impl
