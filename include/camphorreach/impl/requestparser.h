// Parser of HTTP requests that counts the memory of what it has stored.
#pragma once

#include <camphorreach/impl/http.h>

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace camphorreach::impl {

/// Parses one request. Memory grows with the body that arrives instead of being allocated for the
/// size that the client announces. A body above maxBodyBytes is stored in blocks, which are never
/// copied. A request that HTTP/1.1 does not allow to be forwarded is
/// malformed: TRACE with a body (RFC 9110, section 9.3.8), or a field above the maximum size.
/// Trailer fields are discarded, as RFC 9110, section 6.5.1 has it for recipients that do not know
/// their meaning: no limit for headers covers them, and as header fields they could replace those.
class RequestParser : public boost::beast::http::basic_parser<true>
{
public:
    /// The part of the request that has been parsed.
    [[nodiscard]] const HttpRequest &request() const noexcept { return m_request; }
    /// The large body that is being received; null when the body is not known to be large.
    [[nodiscard]] const LargeBody *largeBody() const noexcept { return m_large.get(); }
    /// The announced size of the body; zero when it is chunked.
    [[nodiscard]] std::uint64_t announcedBytes() const noexcept { return m_announcedBytes; }
    /// Memory of the header fields.
    [[nodiscard]] std::size_t fieldBytes() const noexcept { return m_fieldBytes; }
    [[nodiscard]] bool isHead() const noexcept { return m_request.method == "HEAD"; }
    /// Whether the header is complete, and the client waits for "100 Continue" before the body.
    [[nodiscard]] bool expectsContinue() const noexcept { return m_expectsContinue; }
    /// The complete request. The parser must not be used afterwards.
    [[nodiscard]] HttpRequest release();

private:
    using Error = boost::system::error_code;
    using StringView = boost::beast::string_view;
    using Verb = boost::beast::http::verb;
    using Field = boost::beast::http::field;

    void on_request_impl(Verb verb, StringView method, StringView target, int version,
                         Error &error) override;
    void on_response_impl(int status, StringView reason, int version, Error &error) override;
    void on_field_impl(Field field, StringView name, StringView value, Error &error) override;
    void on_header_impl(Error &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &error) override;
    std::size_t on_body_impl(StringView body, Error &error) override;
    void on_chunk_header_impl(std::uint64_t, StringView, Error &error) override { error = {}; }
    std::size_t on_chunk_body_impl(std::uint64_t remaining, StringView body, Error &error) override;
    void on_finish_impl(Error &error) override { error = {}; }

    HttpRequest m_request; // its body is empty once m_large is set
    std::shared_ptr<LargeBody> m_large;
    std::uint64_t m_announcedBytes = 0;
    std::size_t m_fieldBytes = 0; // sum over the header fields
    int m_version = 0; // 11 for HTTP/1.1
    bool m_expectsContinue = false;
    bool m_isHeaderComplete = false; // fields that follow are trailer fields
};

} // namespace camphorreach::impl
