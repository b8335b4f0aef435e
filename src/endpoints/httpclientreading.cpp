// Reading of responses on a connection of an HTTP client.
#include "httpclientconnection.h"

#include <camphorreach/clock.h>

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <utility>

namespace camphorreach::impl {

namespace {

// A response that violates HTTP is not a lost connection: the server is still reachable.
HttpFailure::Kind failureKind(ErrorCodeType error, HttpFailure::Kind kindIfLost)
{
    if (error == http::error::body_limit)
        return HttpFailure::Kind::ResponseTooLarge;
    const bool isEndOfStream
        = error == http::error::end_of_stream || error == http::error::partial_message;
    const bool isHttpError
        = error.category() == make_error_code(http::error::bad_method).category();
    return isHttpError && !isEndOfStream ? HttpFailure::Kind::InvalidResponse : kindIfLost;
}

// Responses to other requests that are accepted on one connection. With more of them, responses can
// no longer be matched to requests.
constexpr unsigned maxUnmatchedResponses = 4;
// Interim responses (1xx) that are accepted before the final response.
constexpr unsigned maxInterimResponses = 8;
constexpr std::uint16_t switchingProtocols = 101;
constexpr std::uint16_t firstFinalStatus = 200;
// Idle connections are no longer reused this long before the server's own timeout.
constexpr Duration keepAliveMargin = std::chrono::milliseconds(700);

// Parses the Keep-Alive header: "timeout=5, max=100" gives five seconds.
std::optional<Duration> keepAliveTimeout(const HttpResponse &response)
{
    constexpr std::string_view key = "timeout=";
    const std::string_view text = response.header("Keep-Alive");
    const std::size_t at = text.find(key);
    unsigned seconds = 0;
    if (at == std::string_view::npos)
        return std::nullopt;
    const char *begin = text.data() + at + key.size();
    if (std::from_chars(begin, text.data() + text.size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

void HttpClient::Impl::Connection::read()
{
    m_parser.emplace();
    m_relay.reset();
    const auto client = m_client.lock();
    if (!client)
        return;
    const auto &large = client->m_options.largeResponses;
    m_parser->body_limit(large ? large->maxBytes : client->m_options.bodyBytes);
    m_parser->skip(m_request.method() == http::verb::head);
    http::async_read_header(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this(), handle = m_handle](ErrorCodeType error, std::size_t) {
            if (self->m_handle != handle)
                return;
            if (error)
                self->fail(failureKind(error, HttpFailure::Kind::ConnectionLost), error);
            else
                self->onHead();
        });
}

void HttpClient::Impl::Connection::onHead()
{
    if (const auto client = m_client.lock())
        client->onHead(m_handle);
    if (m_handle != 0) // the call may have been cancelled
        readBody();
}

void HttpClient::Impl::Connection::readBody()
{
    const auto client = m_client.lock();
    if (!client)
        return;
    const auto announced = m_parser->content_length();
    const std::size_t bodyBytes = client->m_options.bodyBytes;
    if (client->m_options.largeResponses && !m_parser->is_done()
        && (!announced || *announced > bodyBytes)) {
        if (!announced || beginLarge(*client))
            readPart();
        return;
    }
    http::async_read(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this(), handle = m_handle](ErrorCodeType error, std::size_t) {
            if (self->m_handle != handle)
                return;
            if (error)
                self->fail(failureKind(error, HttpFailure::Kind::PartialResponse), error);
            else
                self->complete();
        });
}

void HttpClient::Impl::Connection::readPart()
{
    m_isReadingPart = true;
    m_parser->eager(true); // all that is in the buffer, not one chunk at a time
    http::async_read_some(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this(), handle = m_handle](ErrorCodeType error, std::size_t) {
            self->m_isReadingPart = false;
            if (self->m_handle != handle)
                return;
            if (error)
                self->fail(failureKind(error, HttpFailure::Kind::PartialResponse), error);
            else
                self->onBodyBytes();
        });
}

void HttpClient::Impl::Connection::onBodyBytes()
{
    const auto client = m_client.lock();
    if (!client)
        return;
    std::string &body = m_parser->get().body();
    if (!m_relay && body.size() > client->m_options.bodyBytes && !beginLarge(*client))
        return;
    if (!m_relay && m_parser->is_done())
        return complete();
    if (!m_relay)
        return readPart();
    m_relay->append(std::exchange(body, {}));
    passParts();
}

bool HttpClient::Impl::Connection::beginLarge(Impl &client)
{
    const bool isAccepted = !m_parser->need_eof() || client.m_options.acceptsCloseDelimited;
    if (!isAccepted || matchResponse(client, head()) != ResponseMatch::Matched) {
        failInvalid();
        return false;
    }
    m_relay.emplace();
    client.m_options.largeResponses->begun(m_handle,
                                           ByteCount(m_parser->content_length().value_or(0)));
    return true;
}

void HttpClient::Impl::Connection::onGranted(ByteCount end)
{
    if (!m_relay)
        return;
    m_relay->grant(end);
    passParts();
}

void HttpClient::Impl::Connection::passParts()
{
    const auto client = m_client.lock();
    if (!client)
        return;
    while (auto part = m_relay->takePart())
        client->m_options.largeResponses->part(m_handle, part->offset, std::move(part->bytes));
    if (m_isReadingPart)
        return;
    if (!m_parser->is_done()) {
        if (m_relay->mayRead())
            readPart();
    } else if (m_relay->isTaken()) {
        complete();
    }
}

HttpResponse HttpClient::Impl::Connection::head() const
{
    const auto &message = m_parser->get();
    HttpResponse response;
    response.status = static_cast<std::uint16_t>(message.result_int());
    for (const auto &field : message)
        response.headers.push_back(
            { std::string(field.name_string()), std::string(field.value()) });
    return response;
}

void HttpClient::Impl::Connection::complete()
{
    const auto client = m_client.lock();
    if (!client)
        return;
    // A crash of the server inside a body that is delimited by the end of the connection looks
    // like the end of that body.
    const bool isCloseDelimited = m_parser->need_eof();
    if (isCloseDelimited && !client->m_options.acceptsCloseDelimited) {
        fail(HttpFailure::Kind::InvalidResponse, http::error::need_more);
        return;
    }
    HttpResponse response = head();
    auto message = m_parser->release();
    m_parser.reset();
    response.body = std::move(message.body());
    if (m_relay)
        response.large = { m_relay->size(), m_relay->digest(), {} };
    m_relay.reset();
    if (response.status < firstFinalStatus) {
        const bool isAllowed
            = response.status != switchingProtocols && ++m_interimResponses <= maxInterimResponses;
        return isAllowed ? read() : failInvalid();
    }
    const ResponseMatch match = matchResponse(*client, response);
    m_hasReceivedResponse = true;
    // The server would take the next request for the rest of the body.
    const bool isLast = isCloseDelimited || !message.keep_alive() || m_bodyWritten < m_bodySize;
    if (match == ResponseMatch::OtherRequest && !isLast
        && ++m_unmatchedResponses <= maxUnmatchedResponses)
        return read();
    if (match != ResponseMatch::Matched)
        return failInvalid();
    const CallHandle handle = std::exchange(m_handle, 0);
    const auto &preventsReuse = client->m_options.preventsReuse;
    if (!isLast && m_buffer.size() == 0 && m_server == client->m_server
        && !(preventsReuse && preventsReuse(response)))
        makeIdle(*client, response);
    else
        close();
    client->finish(handle, std::move(response));
}

void HttpClient::Impl::Connection::makeIdle(Impl &client, const HttpResponse &response)
{
    m_interimResponses = 0;
    const auto serverTimeout = keepAliveTimeout(response);
    m_idleUntil = SteadyClock().now()
        + std::min(client.m_options.idleTimeout,
                   serverTimeout ? *serverTimeout - keepAliveMargin : client.m_options.idleTimeout);
    client.m_idle.push_back(shared_from_this());
    watchIdle();
}

ResponseMatch HttpClient::Impl::Connection::matchResponse(const Impl &client,
                                                          const HttpResponse &response) const
{
    const auto &match = client.m_options.match;
    return match ? match(client.m_calls.at(m_handle).request, response, !m_hasReceivedResponse)
                 : ResponseMatch::Matched;
}

void HttpClient::Impl::Connection::failInvalid()
{
    fail(HttpFailure::Kind::InvalidResponse, http::error::unexpected_body);
}

void HttpClient::Impl::Connection::fail(HttpFailure::Kind kind, ErrorCodeType error)
{
    const CallHandle handle = std::exchange(m_handle, 0);
    close();
    if (const auto client = m_client.lock())
        client->fail(handle, kind, error.message());
}

} // namespace camphorreach::impl
