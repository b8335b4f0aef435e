// HTTP client connections on Boost.Beast.
#include <camphorreach/impl/httpclient.h>

#include <camphorreach/clock.h>
#include <camphorreach/impl/httpencoding.h>
#include <camphorreach/impl/sockets.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
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
// Capacity of the read buffer. It must hold a complete head, and limits what the parser does not:
// the size line of a chunk with its extensions.
constexpr std::size_t maxBufferBytes = 64 * 1024;
constexpr std::size_t maxBodyWriteBytes = 64 * 1024;
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

class HttpClient::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &io, NetAddress server, std::size_t maxConnections, Options options)
        : m_io(io), m_server(std::move(server)), m_maxConnections(maxConnections),
          m_options(std::move(options))
    { }

    struct Handlers
    {
        Completion done;
        HeadReceived headReceived {}; // may be empty
        BodyTaken bodyTaken {}; // may be empty
    };

    CallHandle send(HttpRequest request, Duration timeout, Handlers handlers);
    void feed(CallHandle call, std::string bytes);
    void cancel(CallHandle call);
    void warmUp(std::size_t count);
    void setServer(NetAddress server);
    void stop();

    [[nodiscard]] std::size_t connectionCount() const noexcept { return m_connectionCount; }

private:
    class Connection;

    struct Call
    {
        HttpRequest request;
        Handlers handlers;
        std::unique_ptr<asio::steady_timer> timer;
        std::shared_ptr<Connection> connection; // null while the call is queued
        bool isWriteStarted = false; // bytes of the request may have been sent
        std::deque<std::string> parts {}; // of a large body, not yet written

        [[nodiscard]] bool isFed() const
        {
            return request.large.size > ByteCount() && !request.large.data;
        }
    };

    void dispatch();
    void startTimer(CallHandle handle, Call &call, Duration timeout);
    void onHead(CallHandle handle);
    void finish(CallHandle handle, HttpResult result);
    void fail(CallHandle handle, HttpFailure::Kind kind, const std::string &text);
    void end(CallHandle handle, HttpFailure::Kind kind);

    asio::io_context &m_io;
    NetAddress m_server;
    const std::size_t m_maxConnections;
    const Options m_options;
    std::map<CallHandle, Call> m_calls;
    std::deque<CallHandle> m_queue; // calls that wait for a connection, in order
    std::vector<std::shared_ptr<Connection>> m_idle; // connected, not used by a call
    std::size_t m_connectionCount = 0; // at most m_maxConnections
    CallHandle m_nextCall = 1;
    bool m_isStopped = false;
};

class HttpClient::Impl::Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(const std::shared_ptr<Impl> &client)
        : m_client(client), m_server(client->m_server), m_stream(client->m_io)
    {
        ++client->m_connectionCount;
    }

    // Frees capacity, so a queued call may open another connection.
    ~Connection()
    {
        const auto client = m_client.lock();
        if (!client)
            return;
        --client->m_connectionCount;
        asio::post(client->m_io, [weak = m_client] {
            if (const auto alive = weak.lock())
                alive->dispatch();
        });
    }

    void connect(std::function<void(ErrorCodeType)> done)
    {
        const tcp::endpoint endpoint(asio::ip::make_address(m_server.host), m_server.port);
        m_stream.async_connect(
            endpoint, [self = shared_from_this(), done = std::move(done)](ErrorCodeType error) {
                if (!error) {
                    setTcpOptions(self->m_stream.socket());
                    self->m_isConnected = true;
                }
                done(error);
            });
    }

    void run(CallHandle handle)
    {
        m_handle = handle;
        if (m_isConnected) {
            write();
            return;
        }
        connect([self = shared_from_this(), handle](ErrorCodeType error) {
            if (self->m_handle != handle)
                return;
            if (error)
                self->fail(HttpFailure::Kind::NotSent, error);
            else
                self->write();
        });
    }

    // More bytes of the body of the call have been added.
    void onFed()
    {
        const auto client = m_client.lock();
        if (!client || !m_isConnected)
            return;
        if (!client->m_calls.at(m_handle).isWriteStarted)
            write();
        else if (m_isHeadWritten)
            writeBody();
    }

    // Detaches the call, so that completions still pending are ignored, and closes the socket.
    void abandon()
    {
        m_handle = 0;
        close();
    }

    void close()
    {
        ErrorCodeType ignored;
        m_stream.socket().close(ignored);
    }

    [[nodiscard]] const NetAddress &server() const noexcept { return m_server; }

    // Nothing may be readable on an idle connection: data or an end of stream makes it unusable.
    [[nodiscard]] bool isUsable()
    {
        if (SteadyClock().now() >= m_idleUntil)
            return false;
        ErrorCodeType error;
        m_stream.socket().non_blocking(true, error);
        char byte = 0;
        m_stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error == asio::error::would_block || error == asio::error::try_again;
    }

    // Closes an idle connection when the server sends data before the next call or closes it.
    void watchIdle()
    {
        m_stream.socket().async_wait(
            tcp::socket::wait_read,
            [weak = weak_from_this(), idlePeriod = ++m_idlePeriods](ErrorCodeType error) {
                const auto self = weak.lock();
                if (error || !self || self->m_handle != 0 || self->m_idlePeriods != idlePeriod)
                    return;
                self->close();
                if (const auto alive = self->m_client.lock())
                    std::erase(alive->m_idle, self);
            });
    }

private:
    void write()
    {
        const auto client = m_client.lock();
        if (!client)
            return;
        Call &call = client->m_calls.at(m_handle);
        if (call.isFed() && call.parts.empty())
            return; // onFed() starts the write
        if (call.isFed() && !isUsable()) {
            // The server has closed the connection while the body was awaited.
            return postFailure(HttpFailure::Kind::NotSent);
        }
        auto encoded = encode(call.request, toText(m_server));
        if (!encoded) {
            // Posted, because the caller of send() must get its handle first.
            asio::post(client->m_io, [self = shared_from_this(), handle = m_handle] {
                if (self->m_handle == handle)
                    self->refuse();
            });
            return;
        }
        call.isWriteStarted = true;
        m_isHeadWritten = false;
        m_bodyWritten = 0;
        m_bodySize = call.request.large.size.value();
        m_request = std::move(*encoded);
        http::async_write(
            m_stream, m_request,
            [self = shared_from_this(), handle = m_handle](ErrorCodeType error, std::size_t) {
                if (self->m_handle != handle)
                    return;
                if (error)
                    return self->fail(HttpFailure::Kind::ConnectionLost, error);
                self->m_isHeadWritten = true;
                self->read();
                if (self->m_bodySize > 0)
                    self->writeBody();
            });
    }

    // Writes the next part of a large body. The response is awaited meanwhile, because a server may
    // send it before it has read the body. For the same reason the end of writing is no failure: a
    // response may have arrived, and if not, reading ends as well.
    void writeBody()
    {
        const auto client = m_client.lock();
        if (!client || m_isWritingBody || m_bodyWritten == m_bodySize)
            return;
        Call &call = client->m_calls.at(m_handle);
        const std::shared_ptr<const LargeBody> body = call.request.large.data;
        std::string_view next;
        if (body) {
            next = body->at(m_bodyWritten, maxBodyWriteBytes);
        } else if (!call.parts.empty()) {
            m_part = std::move(call.parts.front());
            call.parts.pop_front();
            next = std::string_view(m_part).substr(0,
                                                   static_cast<std::size_t>(std::min<std::uint64_t>(
                                                       m_part.size(), m_bodySize - m_bodyWritten)));
        }
        if (next.empty())
            return;
        m_isWritingBody = true;
        asio::async_write(m_stream, asio::buffer(next),
                          [self = shared_from_this(), body, handle = m_handle](ErrorCodeType error,
                                                                               std::size_t size) {
                              self->m_isWritingBody = false;
                              if (!error && self->m_handle == handle)
                                  self->onBodyWritten(size);
                          });
    }

    void onBodyWritten(std::size_t size)
    {
        m_bodyWritten += size;
        const auto client = m_client.lock();
        if (!client)
            return;
        // The handler may end the call.
        const BodyTaken bodyTaken = client->m_calls.at(m_handle).handlers.bodyTaken;
        const CallHandle handle = m_handle;
        if (bodyTaken)
            bodyTaken(ByteCount(size));
        if (m_handle == handle)
            writeBody();
    }

    // Posted, because the caller of send() must get its handle first.
    void postFailure(HttpFailure::Kind kind)
    {
        const auto client = m_client.lock();
        if (!client)
            return;
        asio::post(client->m_io, [self = shared_from_this(), handle = m_handle, kind] {
            if (self->m_handle == handle)
                self->fail(kind, asio::error::connection_reset);
        });
    }

    // Ends a call that cannot be encoded. Nothing has been written, so the connection stays open.
    void refuse()
    {
        const CallHandle handle = std::exchange(m_handle, 0);
        const auto client = m_client.lock();
        if (!client)
            return;
        if (m_server == client->m_server) {
            client->m_idle.push_back(shared_from_this());
            watchIdle();
        }
        client->fail(handle, HttpFailure::Kind::InvalidRequest,
                     "HTTP/1.1 does not allow the request");
    }

    void read()
    {
        m_parser.emplace();
        const auto client = m_client.lock();
        if (!client)
            return;
        m_parser->body_limit(client->m_options.bodyBytes);
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

    void onHead()
    {
        if (const auto client = m_client.lock())
            client->onHead(m_handle);
        if (m_handle != 0) // the call may have been cancelled
            readBody();
    }

    void readBody()
    {
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

    void complete()
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
        auto message = m_parser->release();
        m_parser.reset();
        HttpResponse response;
        response.status = static_cast<std::uint16_t>(message.result_int());
        for (const auto &field : message)
            response.headers.push_back(
                { std::string(field.name_string()), std::string(field.value()) });
        response.body = std::move(message.body());
        if (response.status < firstFinalStatus) {
            const bool isAllowed = response.status != switchingProtocols
                && ++m_interimResponses <= maxInterimResponses;
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

    // Returns the connection to the pool of idle connections.
    void makeIdle(Impl &client, const HttpResponse &response)
    {
        m_interimResponses = 0;
        const auto serverTimeout = keepAliveTimeout(response);
        m_idleUntil = SteadyClock().now()
            + std::min(client.m_options.idleTimeout,
                       serverTimeout ? *serverTimeout - keepAliveMargin
                                     : client.m_options.idleTimeout);
        client.m_idle.push_back(shared_from_this());
        watchIdle();
    }

    [[nodiscard]] ResponseMatch matchResponse(const Impl &client,
                                              const HttpResponse &response) const
    {
        const auto &match = client.m_options.match;
        return match ? match(client.m_calls.at(m_handle).request, response, !m_hasReceivedResponse)
                     : ResponseMatch::Matched;
    }

    void failInvalid() { fail(HttpFailure::Kind::InvalidResponse, http::error::unexpected_body); }

    void fail(HttpFailure::Kind kind, ErrorCodeType error)
    {
        const CallHandle handle = std::exchange(m_handle, 0);
        close();
        if (const auto client = m_client.lock())
            client->fail(handle, kind, error.message());
    }

    std::weak_ptr<Impl> m_client;
    const NetAddress m_server; // that of the client when the connection was opened
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer { maxBufferBytes };
    EncodedRequest m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    CallHandle m_handle = 0; // zero while no call uses the connection
    unsigned m_unmatchedResponses = 0; // at most maxUnmatchedResponses
    unsigned m_interimResponses = 0; // of the current call; at most maxInterimResponses
    bool m_hasReceivedResponse = false; // a complete final response, matched or not; never reset
    std::uint64_t m_idlePeriods = 0; // how often the connection has become idle
    TimePoint m_idleUntil = TimePoint::max(); // not reused from then on
    bool m_isConnected = false;
    std::uint64_t m_bodySize = 0; // of the current call, if its body is large
    std::uint64_t m_bodyWritten = 0; // at most m_bodySize
    std::string m_part; // of the body, while it is being written
    bool m_isWritingBody = false;
    bool m_isHeadWritten = false; // of the current call
};

HttpClient::CallHandle HttpClient::Impl::send(HttpRequest request, Duration timeout,
                                              Handlers handlers)
{
    const CallHandle handle = m_nextCall++;
    Call call;
    call.request = std::move(request);
    call.handlers = std::move(handlers);
    call.timer = std::make_unique<asio::steady_timer>(m_io);
    startTimer(handle, call, timeout);
    m_calls.emplace(handle, std::move(call));
    m_queue.push_back(handle);
    dispatch();
    return handle;
}

void HttpClient::Impl::dispatch()
{
    while (!m_queue.empty()) {
        while (!m_idle.empty() && !m_idle.back()->isUsable()) {
            m_idle.back()->close();
            m_idle.pop_back();
        }
        std::shared_ptr<Connection> connection;
        if (!m_idle.empty()) {
            connection = std::move(m_idle.back());
            m_idle.pop_back();
        } else if (m_connectionCount < m_maxConnections) {
            connection = std::make_shared<Connection>(shared_from_this());
        } else {
            return;
        }
        const CallHandle handle = m_queue.front();
        m_queue.pop_front();
        m_calls.at(handle).connection = connection;
        connection->run(handle);
    }
}

void HttpClient::Impl::startTimer(CallHandle handle, Call &call, Duration timeout)
{
    call.timer->expires_after(timeout);
    call.timer->async_wait([weak = weak_from_this(), handle](ErrorCodeType error) {
        const auto self = weak.lock();
        if (!error && self)
            self->end(handle, HttpFailure::Kind::TimedOut);
    });
}

// Interim and unmatched responses do not extend the timeout again.
void HttpClient::Impl::onHead(CallHandle handle)
{
    const auto found = m_calls.find(handle);
    if (found == m_calls.end() || !found->second.handlers.headReceived)
        return;
    Call &call = found->second;
    const HeadReceived headReceived = std::exchange(call.handlers.headReceived, {});
    if (m_options.bodyTimeout)
        startTimer(handle, call, *m_options.bodyTimeout);
    headReceived();
}

void HttpClient::Impl::finish(CallHandle handle, HttpResult result)
{
    const auto found = m_calls.find(handle);
    if (found == m_calls.end())
        return;
    const Completion done = std::move(found->second.handlers.done);
    m_calls.erase(found);
    done(std::move(result));
    if (!m_isStopped)
        dispatch();
}

void HttpClient::Impl::fail(CallHandle handle, HttpFailure::Kind kind, const std::string &text)
{
    finish(handle, HttpFailure { kind, text });
}

void HttpClient::Impl::feed(CallHandle handle, std::string bytes)
{
    const auto found = m_calls.find(handle);
    if (found == m_calls.end())
        return;
    found->second.parts.push_back(std::move(bytes));
    if (const auto connection = found->second.connection)
        connection->onFed();
}

void HttpClient::Impl::cancel(CallHandle call)
{
    end(call, HttpFailure::Kind::Cancelled);
}

// A call that ends before anything is written is reported as NotSent, whatever the cause.
void HttpClient::Impl::end(CallHandle handle, HttpFailure::Kind kind)
{
    const auto found = m_calls.find(handle);
    if (found == m_calls.end())
        return;
    Call &call = found->second;
    if (call.connection)
        call.connection->abandon();
    else
        std::erase(m_queue, handle);
    fail(handle, call.isWriteStarted ? kind : HttpFailure::Kind::NotSent,
         "the call timed out or was cancelled");
}

void HttpClient::Impl::warmUp(std::size_t count)
{
    while (m_connectionCount < std::min(count, m_maxConnections)) {
        const auto connection = std::make_shared<Connection>(shared_from_this());
        connection->connect([weak = weak_from_this(), connection](ErrorCodeType error) {
            const auto self = weak.lock();
            if (error || !self || connection->server() != self->m_server)
                return;
            self->m_idle.push_back(connection);
            connection->watchIdle();
            self->dispatch();
        });
    }
}

void HttpClient::Impl::setServer(NetAddress server)
{
    if (server == m_server)
        return;
    m_server = std::move(server);
    for (const std::shared_ptr<Connection> &connection : std::exchange(m_idle, {}))
        connection->close();
}

void HttpClient::Impl::stop()
{
    m_isStopped = true;
    m_idle.clear();
    std::vector<CallHandle> handles;
    handles.reserve(m_calls.size());
    for (const auto &[handle, call] : m_calls)
        handles.push_back(handle);
    for (const CallHandle handle : handles)
        cancel(handle);
}

HttpClient::HttpClient(asio::io_context &io, NetAddress server, std::size_t maxConnections,
                       Options options)
    : m_impl(std::make_shared<Impl>(io, std::move(server), maxConnections, std::move(options)))
{ }

HttpClient::~HttpClient()
{
    m_impl->stop();
}

HttpClient::CallHandle HttpClient::send(HttpRequest request, Duration timeout, Completion done,
                                        HeadReceived headReceived)
{
    return m_impl->send(std::move(request), timeout, { std::move(done), std::move(headReceived) });
}

HttpClient::CallHandle HttpClient::sendLarge(HttpRequest request, Duration timeout, Completion done,
                                             BodyTaken bodyTaken)
{
    return m_impl->send(std::move(request), timeout, { std::move(done), {}, std::move(bodyTaken) });
}

void HttpClient::feed(CallHandle call, std::string bytes)
{
    m_impl->feed(call, std::move(bytes));
}

void HttpClient::cancel(CallHandle call)
{
    m_impl->cancel(call);
}

void HttpClient::warmUp(std::size_t count)
{
    m_impl->warmUp(count);
}

void HttpClient::setServer(NetAddress server)
{
    m_impl->setServer(std::move(server));
}

std::size_t HttpClient::connectionCount() const noexcept
{
    return m_impl->connectionCount();
}

} // namespace camphorreach::impl
