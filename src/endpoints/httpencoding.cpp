// Fields and framing of HTTP messages.
#include <camphorreach/impl/httpencoding.h>

#include <boost/beast/http.hpp>
#include <utility>

namespace camphorreach::impl {

namespace http = boost::beast::http;

namespace {

constexpr unsigned httpVersion = 11;

bool isWithoutBody(http::status status)
{
    return status == http::status::no_content || status == http::status::not_modified;
}

} // namespace

EncodedResponse encode(HttpResponse &&response, const ResponsePlace &place)
{
    EncodedResponse encoded(static_cast<http::status>(response.status), httpVersion);
    for (const HttpHeader &header : response.headers)
        encoded.insert(header.name, header.value);
    encoded.keep_alive(!place.isLast);
    const std::size_t size = response.body.size();
    if (isWithoutBody(encoded.result()))
        return encoded;
    if (!place.isToHead) {
        encoded.body() = std::move(response.body);
        encoded.prepare_payload();
    } else if (size > 0) {
        encoded.content_length(size); // that of the response to GET; unknown when it was forwarded
    }
    return encoded;
}

} // namespace camphorreach::impl
