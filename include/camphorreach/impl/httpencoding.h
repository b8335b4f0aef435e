// Encoding of HTTP messages for the HTTP library. Only the sources of the HTTP client and server
// include it.
#pragma once

#include <camphorreach/impl/http.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace camphorreach::impl {

using EncodedResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// What the framing of a response depends on beside the response itself.
struct ResponsePlace
{
    bool isToHead = false; ///< It answers a HEAD request.
    bool isLast = false; ///< The connection is closed after it.
};

/// Encodes a final response. Those to HEAD and those with status 204 or 304 have no body, whatever
/// \a response holds (RFC 9112, section 6.3): the client would take it for the beginning of the
/// next response.
[[nodiscard]] EncodedResponse encode(HttpResponse &&response, const ResponsePlace &place);

} // namespace camphorreach::impl
