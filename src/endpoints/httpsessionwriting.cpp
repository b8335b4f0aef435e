// Writing of responses on a connection, in the order of their requests.
#include "httpsession.h"

#include <camphorreach/clock.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <string_view>
#include <utility>

namespace camphorreach::impl {

namespace http = boost::beast::http;

namespace {

constexpr auto writeTimeout = std::chrono::seconds(30);
constexpr std::size_t largeWriteBytes = 64 * 1024;
// A client that takes no piece of a large body in this time gives way to others that wait for its
// memory, as one does that sends its large body no faster (ClientMemory::Limits::stallTime).
constexpr auto largeWatchInterval = std::chrono::milliseconds(500);

} // namespace

void HttpServer::Impl::Session::respond(ExchangeId exchange, WaitingResponse waiting)
{
    const ByteCount size(waiting.response.body.size());
    if (m_order.complete(exchange, std::move(waiting), size))
        writeNext();
    reportMemory(0);
}

bool HttpServer::Impl::Session::isContinueDue() const
{
    return m_parser && !isLargeUnadmitted() && m_parser->expectsContinue() && !m_parser->is_done()
        && m_parser->request().body.empty() && m_buffer.size() == 0 && isIdle()
        && !m_hasWrittenContinue;
}

void HttpServer::Impl::Session::writeContinue()
{
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    m_hasWrittenContinue = true;
    m_isWritingContinue = true;
    m_stream.expires_after(writeTimeout);
    asio::async_write(m_stream, asio::buffer(text),
                      [self = shared_from_this()](ErrorCodeType error, std::size_t) {
                          self->m_isWritingContinue = false;
                          if (error)
                              return self->disconnect();
                          self->writeNext();
                      });
}

void HttpServer::Impl::Session::writeNext()
{
    if (m_response || m_isWritingContinue)
        return;
    std::optional<WaitingResponse> next = m_order.takeNext();
    updateBytesUnderWay();
    if (!next)
        return;
    const bool isLast = m_order.isEmpty() && (m_isReadEnded || m_server->m_isDraining);
    if (isLast)
        endReading();
    const std::shared_ptr<const LargeBody> large = std::move(next->response.large.data);
    const ResponsePlace place { .isToHead = next->isToHead, .isLast = isLast };
    m_response = encode(std::move(next->response), place);
    if (m_response && !place.isToHead && m_response->has_content_length())
        m_large = large;
    if (!m_response)
        m_response = encode({ 502, {}, "HTTP/1.1 does not allow the response\n" }, place);
    m_stream.expires_after(writeTimeout);
    http::async_write(m_stream, *m_response,
                      [self = shared_from_this()](ErrorCodeType error, std::size_t) {
                          if (error || !self->m_large)
                              return self->onWritten(error);
                          self->m_largeWritten = 0;
                          self->m_largeWatched = 0;
                          self->m_largeMovedAt = SteadyClock().now();
                          self->watchLarge();
                          self->writeLarge();
                      });
}

void HttpServer::Impl::Session::writeLarge()
{
    const std::string_view piece = m_large->at(m_largeWritten, largeWriteBytes);
    if (piece.empty())
        return onWritten({});
    m_stream.expires_never();
    asio::async_write(m_stream, asio::buffer(piece),
                      [self = shared_from_this()](ErrorCodeType error, std::size_t size) {
                          self->m_largeWritten += size;
                          if (error)
                              self->onWritten(error);
                          else
                              self->writeLarge();
                      });
}

void HttpServer::Impl::Session::watchLarge()
{
    m_writeTimer.expires_after(largeWatchInterval);
    m_writeTimer.async_wait([weak = weak_from_this()](ErrorCodeType error) {
        const auto self = weak.lock();
        if (error || !self || !self->m_large)
            return;
        const TimePoint now = SteadyClock().now();
        if (std::exchange(self->m_largeWatched, self->m_largeWritten) != self->m_largeWritten)
            self->m_largeMovedAt = now;
        const Duration stalled = now - self->m_largeMovedAt;
        if (stalled >= writeTimeout
            || (stalled > Duration::zero() && self->m_server->m_largeBodies->isAwaited())) {
            self->m_server->m_counters.slow.add();
            return self->disconnect();
        }
        self->watchLarge();
    });
}

void HttpServer::Impl::Session::onWritten(ErrorCodeType error)
{
    m_response.reset();
    m_server->m_memory.onSent(m_id, SteadyClock().now());
    m_large.reset();
    m_writeTimer.cancel();
    if (error || m_hasClientClosed)
        return disconnect();
    writeNext();
    parse();
    reportMemory(0);
    // A response that was sent before the drain may have announced keep-alive, so the
    // connection stays open until the grace period ends.
    const bool isClosing = m_server->m_isClosing && !hasPartialRequest();
    if (isIdle() && (m_isReadEnded || isClosing))
        return linger();
    read();
}

void HttpServer::Impl::Session::linger()
{
    ErrorCodeType ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    endReading();
    m_isLingering = true;
    reportMemory(0);
    updateTimer();
    read();
}

} // namespace camphorreach::impl
