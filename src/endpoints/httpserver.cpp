// HTTP server sessions on Boost.Beast.
#include <camphorreach/impl/httpserver.h>

#include <camphorreach/responseorder.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace camphorreach::impl {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCodeType = boost::system::error_code;

namespace {

constexpr std::size_t firstReadBytes = 4096;
constexpr std::size_t bodyReadBytes = 64 * 1024;
// Bytes of one connection that are held beyond a head. They limit what the parser does not, the
// size line of a chunk with its extensions, and what a client sends ahead.
constexpr std::size_t readAheadBytes = 64 * 1024;
// Requests under way and responses that wait for earlier ones, over all connections. Beyond this, a
// connection has one request under way.
constexpr std::uint64_t maxBytesUnderWay = 16 * 1024 * 1024;
// Time limit for a body, from the end of its header.
constexpr auto bodyTimeout = std::chrono::seconds(30);
constexpr auto writeTimeout = std::chrono::seconds(30);
// How long a connection is still read after its last response. Closing it with unread data would
// reset it, and the reset could reach the client before it reads the response.
constexpr auto lingerTimeout = std::chrono::seconds(1);

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &io, const NetAddress &address, std::size_t maxConnections,
         Handlers handlers)
        : m_acceptor(io), m_graceTimer(io), m_maxConnections(maxConnections),
          m_handlers(std::move(handlers))
    {
        const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    }

    void accept()
    {
        m_acceptor.async_accept(
            [self = shared_from_this()](ErrorCodeType error, tcp::socket socket) {
                if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
                    return;
                if (!error)
                    self->open(std::move(socket));
                if (self->m_sessionCount < self->m_maxConnections)
                    self->accept();
                else
                    self->m_isAcceptPaused = true;
            });
    }

    void setLimits(const HttpLimits &limits) { m_limits = limits; }
    void respond(ExchangeId exchange, HttpResponse response);
    void abort(ExchangeId exchange);
    void drain(Duration grace, std::function<void()> onClosed);
    void closeIdle();
    void stop();

    [[nodiscard]] std::size_t sessionCount() const noexcept { return m_sessionCount; }
    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    class Session;

    void open(tcp::socket socket);

    void reportIfClosed();

    tcp::acceptor m_acceptor;
    asio::steady_timer m_graceTimer;
    const std::size_t m_maxConnections;
    HttpLimits m_limits;
    Handlers m_handlers;
    std::map<ExchangeId, std::shared_ptr<Session>> m_pending; // requests without a response yet
    std::map<Session *, std::weak_ptr<Session>> m_sessions;
    std::size_t m_sessionCount = 0;
    std::uint64_t m_bytesUnderWay = 0; // sum over the sessions
    ExchangeId m_nextExchange = 1;
    bool m_isAcceptPaused = false;
    bool m_isDraining = false; // every connection is closed after its next response
    bool m_isClosing = false; // no more connections are accepted
    std::function<void()> m_onClosed; // empty once it has been called
};

// One connection. It is read all the time, so that its end is noticed whatever the client has sent
// ahead. Requests are reported as they arrive, and their responses are written in order. Only the
// response to the last request that was read closes the connection; what follows it is not read.
class HttpServer::Impl::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<Impl> server)
        : m_stream(std::move(socket)), m_server(std::move(server)), m_timer(m_stream.get_executor())
    { }

    ~Session()
    {
        updateBytesUnderWay();
        --m_server->m_sessionCount;
        m_server->m_sessions.erase(this);
        if (m_server->m_isAcceptPaused && !m_server->m_isClosing) {
            m_server->m_isAcceptPaused = false;
            m_server->accept();
        }
        m_server->reportIfClosed();
    }

    void start()
    {
        updateTimer();
        read();
    }

    void respond(ExchangeId exchange, HttpResponse response)
    {
        const ByteCount size(response.body.size());
        if (m_order.complete(exchange, std::move(response), size))
            writeNext();
    }

    // Closes the connection and reports the requests under way as abandoned by the client.
    void disconnect()
    {
        const auto self = shared_from_this();
        close();
        for (const ExchangeId exchange : m_order.takeUnanswered()) {
            if (m_server->m_pending.erase(exchange) > 0 && m_server->m_handlers.onDisconnected)
                m_server->m_handlers.onDisconnected(exchange);
        }
        updateBytesUnderWay();
    }

    void close()
    {
        ErrorCodeType ignored;
        m_timer.cancel();
        m_stream.socket().close(ignored);
    }

    // Cancels the pending read, which closes the connection. When bytes have already been read,
    // their completion handler is queued and still runs, so the request is answered.
    void cancelRead() { m_stream.cancel(); }

    [[nodiscard]] bool isIdle() const noexcept { return m_order.isEmpty() && !m_response; }
    [[nodiscard]] bool hasPartialRequest() const { return m_parser || m_buffer.size() > 0; }

private:
    // What the connection waits for. Each phase has its own time limit, but Busy has none.
    enum class Phase : std::uint8_t { None, Idle, Header, Body, Busy, Linger };

    using ParserType = http::request_parser<http::string_body>;

    void read()
    {
        const std::size_t room = maxBufferedBytes() - std::min(maxBufferedBytes(), m_buffer.size());
        if (m_isReading || room == 0)
            return;
        m_isReading = true;
        const bool isBody = m_parser && m_parser->is_header_done();
        m_received.resize(std::min(room, isBody ? bodyReadBytes : firstReadBytes));
        if (!isBody)
            m_received.shrink_to_fit();
        m_stream.expires_never();
        m_stream.async_read_some(
            asio::buffer(m_received),
            [self = shared_from_this()](ErrorCodeType error, std::size_t size) {
                self->m_isReading = false;
                if (error)
                    self->onReadEnd();
                else
                    self->onRead(size);
            });
    }

    void onRead(std::size_t size)
    {
        if (!m_isReadEnded) {
            asio::buffer_copy(m_buffer.prepare(size), asio::buffer(m_received, size));
            m_buffer.commit(size);
            parse();
        }
        read();
    }

    void onReadEnd()
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

    // Reports the complete requests in the buffer, as many as may be under way.
    void parse()
    {
        while (mayParse()) {
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
            else if (m_parser->is_done())
                onRequest();
        }
        if (m_buffer.size() == 0 && m_buffer.capacity() > firstReadBytes)
            m_buffer.shrink_to_fit();
        updateTimer();
    }

    [[nodiscard]] bool mayParse() const
    {
        if (m_isReadEnded || m_buffer.size() == 0)
            return false;
        if (m_order.isEmpty())
            return true;
        return m_order.mayAdmit() && !m_server->m_isDraining
            && m_server->m_bytesUnderWay < maxBytesUnderWay;
    }

    void beginRequest()
    {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->body_limit(std::min<std::uint64_t>(m_server->m_limits.bodyBytes, maxBodyBytes));
        m_parser->header_limit(m_server->m_limits.headerBytes);
    }

    void onRequest()
    {
        auto message = m_parser->release();
        m_parser.reset();
        m_phase = Phase::None; // the next request has its own time limits
        if (!message.keep_alive())
            endReading();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message)
            request.headers.push_back(
                { std::string(field.name_string()), std::string(field.value()) });
        request.body = std::move(message.body());
        const ExchangeId exchange = m_server->m_nextExchange++;
        m_order.admit(exchange, ByteCount(request.body.size()));
        updateBytesUnderWay();
        m_server->m_pending.emplace(exchange, shared_from_this());
        m_server->m_handlers.onRequest(exchange, std::move(request));
    }

    // Answers a request that cannot be read, after the responses to those before it.
    void refuse(ErrorCodeType error)
    {
        const bool isHeader = error == http::error::header_limit;
        HttpResponse response { 400, {}, "malformed HTTP: " + error.message() + "\n" };
        if (isHeader || error == http::error::body_limit)
            response = { static_cast<std::uint16_t>(isHeader ? 431 : 413),
                         {},
                         "the request is larger than the limit\n" };
        endReading();
        const ExchangeId exchange = m_server->m_nextExchange++;
        m_order.admit(exchange, ByteCount());
        respond(exchange, std::move(response));
    }

    // No further request is read, and the response to the last one closes the connection.
    void endReading()
    {
        m_isReadEnded = true;
        m_parser.reset();
        m_buffer.clear();
    }

    void writeNext()
    {
        if (m_response)
            return;
        std::optional<HttpResponse> next = m_order.takeNext();
        updateBytesUnderWay();
        if (!next)
            return;
        const bool isLast = m_order.isEmpty() && (m_isReadEnded || m_server->m_isDraining);
        if (isLast)
            endReading();
        m_response.emplace(static_cast<http::status>(next->status), 11);
        for (HttpHeader &header : next->headers)
            m_response->insert(header.name, header.value);
        m_response->keep_alive(!isLast);
        m_response->body() = std::move(next->body);
        m_response->prepare_payload();
        m_stream.expires_after(writeTimeout);
        http::async_write(m_stream, *m_response,
                          [self = shared_from_this()](ErrorCodeType error, std::size_t) {
                              self->onWritten(error);
                          });
    }

    void onWritten(ErrorCodeType error)
    {
        m_response.reset();
        if (error || m_hasClientClosed)
            return disconnect();
        writeNext();
        parse();
        // A response that was sent before the drain may have announced keep-alive, so the
        // connection stays open until the grace period ends.
        const bool isClosing = m_server->m_isClosing && !hasPartialRequest();
        if (isIdle() && (m_isReadEnded || isClosing))
            return linger();
        read();
    }

    // Discards further data from the client until it closes its side or the timeout passes.
    void linger()
    {
        ErrorCodeType ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        endReading();
        m_isLingering = true;
        updateTimer();
        read();
    }

    [[nodiscard]] Phase currentPhase() const
    {
        if (m_isLingering)
            return Phase::Linger;
        if (m_parser)
            return m_parser->is_header_done() ? Phase::Body : Phase::Header;
        return isIdle() ? Phase::Idle : Phase::Busy;
    }

    [[nodiscard]] Duration timeLimit(Phase phase) const
    {
        switch (phase) {
        case Phase::Idle:
            return m_server->m_limits.idleTimeout;
        case Phase::Header:
            return m_server->m_limits.headerTimeout;
        case Phase::Body:
            return bodyTimeout;
        case Phase::Linger:
            return lingerTimeout;
        case Phase::None:
        case Phase::Busy:
            break;
        }
        return Duration::max();
    }

    // Restarts the timer when the connection has entered another phase.
    void updateTimer()
    {
        const Phase phase = currentPhase();
        if (phase == std::exchange(m_phase, phase))
            return;
        if (phase == Phase::Busy) {
            m_timer.cancel();
            return;
        }
        m_timer.expires_after(timeLimit(phase));
        m_timer.async_wait([weak = weak_from_this(), phase](ErrorCodeType error) {
            const auto self = weak.lock();
            if (!error && self && self->m_phase == phase)
                self->onTimeout(phase);
        });
    }

    void onTimeout(Phase phase)
    {
        ErrorCodeType error;
        if (phase == Phase::Idle && m_stream.socket().available(error) > 0 && !error)
            return; // a request has arrived and is about to be read
        if (isIdle() || phase == Phase::Linger)
            close();
        else
            endReading();
    }

    void updateBytesUnderWay()
    {
        const std::uint64_t bytes = m_order.bytes().value();
        m_server->m_bytesUnderWay += bytes - std::exchange(m_countedBytes, bytes);
    }

    [[nodiscard]] std::size_t maxBufferedBytes() const
    {
        return m_server->m_limits.headerBytes + readAheadBytes;
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer; // at most maxBufferedBytes()
    std::vector<char> m_received; // of the pending read
    std::shared_ptr<Impl> m_server;
    asio::steady_timer m_timer; // of the phase
    Phase m_phase = Phase::None; // the one for which the timer was started
    std::optional<ParserType> m_parser; // while a request is being read
    std::optional<http::response<http::string_body>> m_response; // while it is being written
    ResponseOrder<ExchangeId, HttpResponse> m_order;
    std::uint64_t m_countedBytes = 0; // part of the server's m_bytesUnderWay
    bool m_isReading = false;
    bool m_isReadEnded = false; // what arrives now is discarded; never reset
    bool m_hasClientClosed = false; // during the write of the last response
    bool m_isLingering = false;
};

void HttpServer::Impl::open(tcp::socket socket)
{
    ErrorCodeType ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ++m_sessionCount;
    const auto session = std::make_shared<Session>(std::move(socket), shared_from_this());
    m_sessions.emplace(session.get(), session);
    session->start();
}

void HttpServer::Impl::respond(ExchangeId exchange, HttpResponse response)
{
    const auto found = m_pending.find(exchange);
    if (found == m_pending.end())
        return;
    const auto session = found->second;
    m_pending.erase(found);
    session->respond(exchange, std::move(response));
}

void HttpServer::Impl::abort(ExchangeId exchange)
{
    const auto found = m_pending.find(exchange);
    if (found == m_pending.end())
        return;
    const auto session = found->second;
    m_pending.erase(found);
    session->disconnect();
}

void HttpServer::Impl::drain(Duration grace, std::function<void()> onClosed)
{
    m_isDraining = true;
    m_onClosed = std::move(onClosed);
    m_graceTimer.expires_after(grace);
    m_graceTimer.async_wait([weak = weak_from_this()](ErrorCodeType error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->closeIdle();
        self->reportIfClosed();
    });
}

void HttpServer::Impl::reportIfClosed()
{
    if (m_isClosing && m_sessionCount == 0 && m_onClosed)
        std::exchange(m_onClosed, {})();
}

void HttpServer::Impl::closeIdle()
{
    m_isDraining = true;
    m_isClosing = true;
    ErrorCodeType ignored;
    m_acceptor.close(ignored);
    for (const auto &[key, weak] : m_sessions) {
        const auto session = weak.lock();
        if (session && session->isIdle() && !session->hasPartialRequest())
            session->cancelRead();
    }
}

void HttpServer::Impl::stop()
{
    m_onClosed = {};
    m_graceTimer.cancel();
    closeIdle();
    m_pending.clear();
    for (const auto &[key, weak] : m_sessions) {
        if (const auto session = weak.lock())
            session->close();
    }
}

HttpServer::HttpServer(asio::io_context &io, const NetAddress &address, std::size_t maxConnections,
                       Handlers handlers)
    : m_impl(std::make_shared<Impl>(io, address, maxConnections, std::move(handlers)))
{
    m_impl->accept();
}

HttpServer::~HttpServer()
{
    m_impl->stop();
}

void HttpServer::respond(ExchangeId exchange, HttpResponse response)
{
    m_impl->respond(exchange, std::move(response));
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_impl->setLimits(limits);
}

void HttpServer::abort(ExchangeId exchange)
{
    m_impl->abort(exchange);
}

void HttpServer::drain(Duration grace, std::function<void()> onClosed)
{
    m_impl->drain(grace, std::move(onClosed));
}

std::size_t HttpServer::connectionCount() const noexcept
{
    return m_impl->sessionCount();
}

std::uint16_t HttpServer::port() const
{
    return m_impl->port();
}

} // namespace camphorreach::impl
