// Encoding of HTTP messages for the HTTP library. Only the sources of the HTTP client and server
// include it.
#pragma once

#include <camphorreach/impl/http.h>

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace camphorreach::impl {

/// Body of a response that is read. Unlike the library's string body, it does not reserve memory
/// for an announced length above maxBodyBytes, because large bodies are passed on in parts.
struct ReceivedBody
{
    using value_type = std::string;

    // NOLINTBEGIN(readability-identifier-naming): the names are the library's
    class reader
    {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &body) : m_body(body)
        { }

        void init(const boost::optional<std::uint64_t> &length, boost::system::error_code &error)
        {
            m_body.reserve(static_cast<std::size_t>(
                std::min<std::uint64_t>(length.value_or(0), maxBodyBytes)));
            error = {};
        }

        template <typename ConstBufferSequence>
        std::size_t put(const ConstBufferSequence &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t size = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            return size;
        }

        static void finish(boost::system::error_code &error) { error = {}; }

    private:
        value_type &m_body;
    };
    // NOLINTEND(readability-identifier-naming)
};

using EncodedRequest = boost::beast::http::request<boost::beast::http::string_body>;
using EncodedResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// The largest name or value of a header field that the library holds.
constexpr std::size_t maxFieldBytes = 65533;

/// What the framing of a response depends on beside the response itself.
struct ResponsePlace
{
    bool isToHead = false; ///< It answers a HEAD request.
    bool isLast = false; ///< The connection is closed after it.
};

/// Encodes a request, with \a host as its Host field when it has none. A large body is announced,
/// and its bytes are left to the caller. Returns nothing, and leaves
/// \a request as it is, when HTTP/1.1 does not allow it or the library cannot hold it: TRACE with a
/// body (RFC 9110, section 9.3.8), or a field above maxFieldBytes.
[[nodiscard]] std::optional<EncodedRequest> encode(HttpRequest &request, std::string_view host);

/// Encodes a final response. A large body is announced, and its bytes are left to the caller, who
/// must send none when the message announces none. Those to HEAD and those with status 204 or 304
/// have no body, whatever \a response holds (RFC 9112, section 6.3): the client would take it for
/// the beginning of the next response. Returns nothing when the status is not that of a final
/// response, or a field is above maxFieldBytes.
[[nodiscard]] std::optional<EncodedResponse> encode(HttpResponse &&response,
                                                    const ResponsePlace &place);

} // namespace camphorreach::impl
