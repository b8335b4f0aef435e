// Storage of the parts of a request as the HTTP library reports them.
#include <camphorreach/impl/requestparser.h>

#include <camphorreach/impl/httpencoding.h>

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <string>
#include <utility>

namespace camphorreach::impl {

namespace http = boost::beast::http;

namespace {

// Memory for a header field beside its text.
constexpr std::size_t bytesBesideText = 128;
constexpr int firstVersionWithContinue = 11; // HTTP/1.1, the latest that the library parses

} // namespace

void RequestParser::on_request_impl(Verb, StringView method, StringView target, int version,
                                    Error &error)
{
    error = {};
    m_version = version;
    m_request.method.assign(method.data(), method.size());
    m_request.target.assign(target.data(), target.size());
}

void RequestParser::on_response_impl(int, StringView, int, Error &error)
{
    error = http::error::bad_method;
}

void RequestParser::on_field_impl(Field, StringView name, StringView value, Error &error)
{
    error = {};
    if (m_isHeaderComplete)
        return;
    if (std::max(name.size(), value.size()) > maxFieldBytes) {
        error = http::error::header_limit;
        return;
    }
    m_request.headers.push_back({ std::string(name), std::string(value) });
    m_fieldBytes += name.size() + value.size() + bytesBesideText;
}

void RequestParser::on_header_impl(Error &error)
{
    error = {};
    m_isHeaderComplete = true;
    m_expectsContinue = m_version == firstVersionWithContinue
        && equalsIgnoringCase(m_request.header("Expect"), "100-continue");
}

HttpRequest RequestParser::release()
{
    if (m_large)
        m_request.large = { m_large->size(), m_large->digest(), std::move(m_large) };
    return std::move(m_request);
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &error)
{
    error = {};
    if (m_request.method == "TRACE")
        error = http::error::unexpected_body;
    m_announcedBytes = length.value_or(0);
    if (m_announcedBytes > maxBodyBytes)
        m_large = std::make_shared<LargeBody>();
}

std::size_t RequestParser::on_body_impl(StringView body, Error &error)
{
    error = {};
    if (!m_large && body.size() > maxBodyBytes - m_request.body.size()) {
        m_large = std::make_shared<LargeBody>();
        m_large->append(std::exchange(m_request.body, {}));
    }
    if (m_large)
        m_large->append({ body.data(), body.size() });
    else
        m_request.body.append(body.data(), body.size());
    return body.size();
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, StringView body, Error &error)
{
    return on_body_impl(body, error);
}

} // namespace camphorreach::impl
