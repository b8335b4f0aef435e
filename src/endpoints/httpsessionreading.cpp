// Reading of requests on a connection: what it may hold of them, and which are refused.
#include "httpsession.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace camphorreach::impl {

namespace http = boost::beast::http;

namespace {

// Reads of one body before other connections have their turn.
constexpr int maxReadsInTurn = 4;
// Bytes of one connection that are held beyond a head. They limit what the parser does not, the
// size line of a chunk with its extensions, and what a client sends ahead.
constexpr std::size_t readAheadBytes = 64 * 1024;
// Requests under way and responses that wait for earlier ones, over all connections. Beyond this, a
// connection has one request under way.
constexpr std::uint64_t maxBytesUnderWay = 16 * 1024 * 1024;
// Bytes that are read and discarded on a connection from which no more requests are read: enough
// for a body of the maximum size that was on its way.
constexpr std::size_t maxDiscardedBytes = 2 * maxBodyBytes;

} // namespace

void HttpServer::Impl::Session::read()
{
    if (m_isReading || m_isAwaitingRoom)
        return;
    if (m_unread > 0) // a wait for memory has ended
        return takeUnread();
    if (readRoom() == 0)
        return;
    m_isReading = true;
    m_stream.expires_never();
    m_stream.async_read_some(asio::buffer(m_first.data(), std::min(m_first.size(), readRoom())),
                             [self = shared_from_this()](ErrorCodeType error, std::size_t size) {
                                 self->m_isReading = false;
                                 if (error)
                                     return self->onReadEnd();
                                 self->m_unread = size;
                                 self->takeUnread();
                             });
}

std::size_t HttpServer::Impl::Session::readRoom() const
{
    if (m_isReadEnded)
        return maxDiscardedBytes - std::min(maxDiscardedBytes, m_discarded);
    return maxBufferedBytes() - std::min(maxBufferedBytes(), m_buffer.size());
}

std::size_t HttpServer::Impl::Session::maxBufferedBytes() const
{
    return m_server->m_limits.headerBytes + readAheadBytes;
}

void HttpServer::Impl::Session::takeUnread()
{
    const bool mayFollow = m_unread == m_first.size();
    if (m_isReadEnded) {
        m_discarded += std::exchange(m_unread, 0);
        if (m_isLingering && readRoom() == 0)
            return close();
        return read();
    }
    switch (ask(heldAfter(m_unread), largeAfter(m_unread))) {
    case ClientMemory::Answer::Wait:
        return;
    case ClientMemory::Answer::Refuse:
        refuseForRoom();
        break;
    case ClientMemory::Answer::Read:
        feed(m_first.data(), std::exchange(m_unread, 0));
        if (mayFollow)
            readBody();
        break;
    }
    read();
}

void HttpServer::Impl::Session::readBody()
{
    for (int i = 0; i < maxReadsInTurn; ++i) {
        const bool isBody = m_parser && m_parser->is_header_done() && !m_parser->is_done();
        ErrorCodeType error;
        const std::size_t available = m_stream.socket().available(error);
        const std::size_t size = std::min({ available, readRoom(), m_server->m_received.size() });
        if (error || !isBody || m_isReadEnded || m_isAwaitingRoom || size <= m_first.size())
            return;
        if (!m_server->m_memory.hasRoom(m_id, ByteCount(heldAfter(size)),
                                        ByteCount(largeAfter(size))))
            return; // the next small read asks for it
        const std::size_t read
            = m_stream.socket().read_some(asio::buffer(m_server->m_received.data(), size), error);
        if (error)
            return;
        feed(m_server->m_received.data(), read);
    }
}

void HttpServer::Impl::Session::feed(const char *data, std::size_t size)
{
    asio::buffer_copy(m_buffer.prepare(size), asio::buffer(data, size));
    m_buffer.commit(size);
    m_receivedInWindow += size;
    parse();
    reportMemory(size);
}

void HttpServer::Impl::Session::onReadEnd()
{
    if (m_order.isEmpty() && m_response && !m_isLingering) {
        m_isReadEnded = true; // the last response is being written
        m_hasClientClosed = true;
    } else if (m_order.isEmpty()) {
        close();
    } else {
        disconnect();
    }
}

void HttpServer::Impl::Session::parse()
{
    while (isComplete() || isLargeUnadmitted() || mayParse()) {
        if (isLargeUnadmitted()) {
            if (!admitLarge())
                break;
            continue;
        }
        if (isComplete()) {
            if (!admit())
                break;
            continue;
        }
        if (!m_parser)
            beginRequest();
        ErrorCodeType error;
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        if (error == http::error::need_more) {
            if (m_buffer.size() >= maxBufferedBytes())
                refuse(error);
            break;
        }
        if (error)
            refuse(error);
    }
    if (isContinueDue())
        writeContinue();
    if (m_buffer.capacity() > firstReadBytes + 2 * m_buffer.size())
        m_buffer.shrink_to_fit();
    updateTimer();
}

std::uint64_t HttpServer::Impl::Session::parsedBytes() const
{
    return m_parser->request().body.capacity() + m_parser->fieldBytes();
}

bool HttpServer::Impl::Session::mayParse() const
{
    if (m_isReadEnded || m_buffer.size() == 0)
        return false;
    if (m_order.isEmpty())
        return true;
    return m_order.mayAdmit() && !m_server->m_isDraining
        && m_server->m_bytesUnderWay < maxBytesUnderWay;
}

void HttpServer::Impl::Session::beginRequest()
{
    m_parser.emplace();
    m_hasWrittenContinue = false;
    m_isLargeAdmitted = false;
    m_parser->eager(true);
    m_parser->body_limit(m_server->m_limits.bodyBytes);
    m_parser->header_limit(m_server->m_limits.headerBytes);
}

bool HttpServer::Impl::Session::admit()
{
    switch (ask(held() - parsedBytes() + copiesUnderWay * requestBytes(), largeAfter(0))) {
    case ClientMemory::Answer::Wait:
        return false;
    case ClientMemory::Answer::Refuse:
        refuseForRoom();
        break;
    case ClientMemory::Answer::Read:
        onRequest();
        break;
    }
    return true;
}

std::uint64_t HttpServer::Impl::Session::requestBytes() const
{
    return m_parser->request().body.size() + m_parser->fieldBytes();
}

void HttpServer::Impl::Session::onRequest()
{
    const ByteCount size(requestBytes());
    const bool isHead = m_parser->isHead();
    const bool isLast = !m_parser->keep_alive();
    HttpRequest request = m_parser->release();
    if (const auto body = request.large.data)
        request.large.data = hold(body, m_server->m_largeBodies->take(body->allocated()));
    m_parser.reset();
    m_phase = Phase::None; // the next request has its own time limits
    if (isLast)
        endReading();
    const ExchangeId exchange = m_server->m_nextExchange++;
    m_order.admit(exchange, size);
    updateBytesUnderWay();
    m_server->m_pending.emplace(exchange, PendingExchange { shared_from_this(), isHead });
    m_server->m_handlers.onRequest(exchange, std::move(request));
}

void HttpServer::Impl::Session::refuse(ErrorCodeType error)
{
    const bool isHeader = error == http::error::header_limit;
    HttpResponse response { 400, {}, "malformed HTTP: " + error.message() + "\n" };
    if (isHeader || error == http::error::body_limit) {
        m_server->m_counters.tooLarge.add();
        response = { static_cast<std::uint16_t>(isHeader ? 431 : 413),
                     {},
                     "the request is larger than the limit\n" };
    }
    refuse(std::move(response));
}

void HttpServer::Impl::Session::refuse(HttpResponse response)
{
    const bool isToHead = m_parser && m_parser->isHead();
    endReading();
    const ExchangeId exchange = m_server->m_nextExchange++;
    m_order.admit(exchange, ByteCount());
    respond(exchange, { std::move(response), isToHead });
}

void HttpServer::Impl::Session::refuseForRoom()
{
    refuse({ 503,
             { { "Retry-After", "1" } },
             "not run: clients hold the memory that the process may use for them\n" });
}

void HttpServer::Impl::Session::endReading()
{
    m_isReadEnded = true;
    m_isAwaitingRoom = false;
    m_parser.reset();
    m_unread = 0;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
}

} // namespace camphorreach::impl
