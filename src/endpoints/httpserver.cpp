// HTTP server sessions on Boost.Beast.
#include <camphorreach/impl/httpserver.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <utility>

namespace camphorreach::impl {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCodeType = boost::system::error_code;

namespace {

constexpr std::size_t firstReadBytes = 4096;
// Capacity of the read buffer beyond a head. It limits what the parser does not: the size line of a
// chunk with its extensions.
constexpr std::size_t readAheadBytes = 64 * 1024;
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
    ExchangeId m_nextExchange = 1;
    bool m_isAcceptPaused = false;
    bool m_isDraining = false; // every connection is closed after its next response
    bool m_isClosing = false; // no more connections are accepted
    std::function<void()> m_onClosed; // empty once it has been called
};

class HttpServer::Impl::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<Impl> server)
        : m_stream(std::move(socket)), m_server(std::move(server))
    { }

    ~Session()
    {
        --m_server->m_sessionCount;
        m_server->m_sessions.erase(this);
        if (m_server->m_isAcceptPaused && !m_server->m_isClosing) {
            m_server->m_isAcceptPaused = false;
            m_server->accept();
        }
        m_server->reportIfClosed();
    }

    // Waits for the first bytes until the idle timeout, then reads the request's header until the
    // header timeout.
    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(std::min<std::uint64_t>(m_server->m_limits.bodyBytes, maxBodyBytes));
        m_parser->header_limit(m_server->m_limits.headerBytes);
        m_buffer.max_size(m_server->m_limits.headerBytes + readAheadBytes);
        if (m_buffer.size() > 0)
            return readRequest();
        m_stream.expires_after(m_server->m_limits.idleTimeout);
        m_stream.async_read_some(
            m_buffer.prepare(firstReadBytes),
            [self = shared_from_this()](ErrorCodeType error, std::size_t size) {
                if (error)
                    return;
                self->m_buffer.commit(size);
                self->readRequest();
            });
    }

    void readRequest()
    {
        m_stream.expires_after(m_server->m_limits.headerTimeout);
        http::async_read_header(m_stream, m_buffer, *m_parser,
                                [self = shared_from_this()](ErrorCodeType error, std::size_t) {
                                    if (error)
                                        self->onRead(error);
                                    else
                                        self->readBody();
                                });
    }

    void readBody()
    {
        if (m_parser->is_done())
            return onRead({});
        m_stream.expires_after(bodyTimeout);
        http::async_read(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](ErrorCodeType error, std::size_t) { self->onRead(error); });
    }

    void respond(HttpResponse response)
    {
        m_exchange = 0;
        m_response.emplace(static_cast<http::status>(response.status), 11);
        for (HttpHeader &header : response.headers)
            m_response->insert(header.name, header.value);
        m_response->keep_alive(m_keepAlive && !m_server->m_isDraining);
        m_response->body() = std::move(response.body);
        m_response->prepare_payload();
        m_stream.expires_after(writeTimeout);
        http::async_write(m_stream, *m_response,
                          [self = shared_from_this()](ErrorCodeType error, std::size_t) {
                              self->onWritten(error);
                          });
    }

    void close()
    {
        ErrorCodeType ignored;
        m_stream.socket().close(ignored);
    }

    // Cancels the pending read, which closes the connection. When bytes have already been read,
    // their completion handler is queued and still runs, so the request is answered.
    void cancelRead() { m_stream.cancel(); }

    [[nodiscard]] bool isIdle() const noexcept { return m_exchange == 0 && !m_response; }
    [[nodiscard]] bool hasPartialRequest() const
    {
        return m_parser && (m_parser->is_header_done() || m_buffer.size() > 0);
    }

private:
    void onRead(ErrorCodeType error)
    {
        if (error == http::error::body_limit || error == http::error::header_limit) {
            m_keepAlive = false;
            const bool isBody = error == http::error::body_limit;
            respond({ static_cast<std::uint16_t>(isBody ? 413 : 431),
                      {},
                      "the request is larger than the limit\n" });
            return;
        }
        if (error == beast::error::timeout) {
            // The stream has closed its socket, so no response can be sent.
            return;
        }
        if (error) {
            if (error != http::error::end_of_stream && error != beast::error::timeout
                && error.category() == http::make_error_code(http::error::bad_method).category()) {
                m_keepAlive = false;
                respond({ 400, {}, "malformed HTTP: " + error.message() + "\n" });
            }
            return;
        }
        auto message = m_parser->release();
        m_keepAlive = message.keep_alive();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message)
            request.headers.push_back(
                { std::string(field.name_string()), std::string(field.value()) });
        request.body = std::move(message.body());
        m_parser.reset();
        m_exchange = m_server->m_nextExchange++;
        m_server->m_pending.emplace(m_exchange, shared_from_this());
        m_stream.expires_never();
        watchForDisconnect(m_exchange);
        m_server->m_handlers.onRequest(m_exchange, std::move(request));
    }

    // A socket that is readable but has no data has been closed by the client.
    void watchForDisconnect(ExchangeId exchange)
    {
        if (!m_server->m_handlers.onDisconnected || m_buffer.size() > 0)
            return;
        m_stream.socket().async_wait(
            tcp::socket::wait_read, [self = shared_from_this(), exchange](ErrorCodeType error) {
                if (error || self->m_exchange != exchange)
                    return;
                char byte = 0;
                ErrorCodeType peekError;
                self->m_stream.socket().receive(asio::buffer(&byte, 1),
                                                asio::socket_base::message_peek, peekError);
                if (peekError)
                    self->handleDisconnect(exchange);
            });
    }

    void handleDisconnect(ExchangeId exchange)
    {
        m_exchange = 0;
        close();
        const auto server = m_server;
        if (server->m_pending.erase(exchange) > 0)
            server->m_handlers.onDisconnected(exchange);
    }

    void onWritten(ErrorCodeType error)
    {
        const bool keepAlive = m_response->keep_alive();
        m_response.reset();
        if (error)
            return;
        // A response that was sent before the drain may have announced keep-alive, so the
        // connection stays open until the grace period ends.
        if (keepAlive && !m_server->m_isClosing) {
            read();
            return;
        }
        ErrorCodeType ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_stream.expires_after(lingerTimeout);
        linger();
    }

    // Discards further data from the client until it closes its side or the timeout passes.
    void linger()
    {
        m_stream.async_read_some(asio::buffer(m_discarded),
                                 [self = shared_from_this()](ErrorCodeType error, std::size_t) {
                                     if (!error)
                                         self->linger();
                                 });
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<Impl> m_server;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::optional<http::response<http::string_body>> m_response; // while it is being written
    std::array<char, 4096> m_discarded {};
    ExchangeId m_exchange = 0; // zero while no request is pending
    bool m_keepAlive = true;
};

void HttpServer::Impl::open(tcp::socket socket)
{
    ErrorCodeType ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ++m_sessionCount;
    const auto session = std::make_shared<Session>(std::move(socket), shared_from_this());
    m_sessions.emplace(session.get(), session);
    session->read();
}

void HttpServer::Impl::respond(ExchangeId exchange, HttpResponse response)
{
    const auto found = m_pending.find(exchange);
    if (found == m_pending.end())
        return;
    const auto session = found->second;
    m_pending.erase(found);
    session->respond(std::move(response));
}

void HttpServer::Impl::abort(ExchangeId exchange)
{
    const auto found = m_pending.find(exchange);
    if (found == m_pending.end())
        return;
    const auto session = found->second;
    m_pending.erase(found);
    session->close();
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
