// Fields and framing of HTTP messages.
#include <camphorreach/impl/httpencoding.h>

#include <algorithm>
#include <boost/beast/http.hpp>
#include <utility>

namespace camphorreach::impl {

namespace http = boost::beast::http;

namespace {

constexpr unsigned httpVersion = 11;
constexpr std::uint16_t firstFinalStatus = 200;
constexpr std::uint16_t lastStatus = 999;

bool isWithoutBody(http::status status)
{
    return status == http::status::no_content || status == http::status::not_modified;
}

// Returns false when a field is too large.
bool insertFields(http::fields &fields, const HeaderFields &headers)
{
    for (const HttpHeader &header : headers) {
        if (std::max(header.name.size(), header.value.size()) > maxFieldBytes)
            return false;
        fields.insert(header.name, header.value);
    }
    return true;
}

} // namespace

std::optional<EncodedRequest> encode(HttpRequest &request, std::string_view host)
{
    EncodedRequest encoded;
    encoded.version(httpVersion);
    encoded.method_string(request.method);
    if (encoded.method() == http::verb::trace
        && (!request.body.empty() || request.large.size > ByteCount()))
        return std::nullopt;
    encoded.target(request.target);
    if (request.header("Host").empty())
        encoded.set(http::field::host, host);
    if (!insertFields(encoded, request.headers))
        return std::nullopt;
    encoded.body() = std::move(request.body);
    encoded.prepare_payload();
    if (request.large.size > ByteCount())
        encoded.content_length(request.large.size.value());
    return encoded;
}

std::optional<EncodedResponse> encode(HttpResponse &&response, const ResponsePlace &place)
{
    if (response.status < firstFinalStatus || response.status > lastStatus)
        return std::nullopt;
    EncodedResponse encoded(static_cast<http::status>(response.status), httpVersion);
    if (!insertFields(encoded, response.headers))
        return std::nullopt;
    encoded.keep_alive(!place.isLast);
    const std::uint64_t size = response.body.size() + response.large.size.value();
    if (isWithoutBody(encoded.result()))
        return encoded;
    if (!place.isToHead) {
        encoded.body() = std::move(response.body);
        encoded.prepare_payload();
        if (response.large.size > ByteCount())
            encoded.content_length(size);
    } else if (size > 0) {
        encoded.content_length(size); // that of the response to GET; unknown when it was forwarded
    }
    return encoded;
}

} // namespace camphorreach::impl
