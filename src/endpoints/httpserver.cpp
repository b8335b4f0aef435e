// HTTP server sessions on Boost.Beast.
#include <camphorreach/impl/httpserver.h>

#include <camphorreach/clientmemory.h>
#include <camphorreach/clock.h>
#include <camphorreach/impl/httpencoding.h>
#include <camphorreach/impl/requestparser.h>
#include <camphorreach/log.h>
#include <camphorreach/metrics.h>
#include <camphorreach/responseorder.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <string_view>
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
// Reads of one body before other connections have their turn.
constexpr int maxReadsInTurn = 4;
// Bytes of one connection that are held beyond a head. They limit what the parser does not, the
// size line of a chunk with its extensions, and what a client sends ahead.
constexpr std::size_t readAheadBytes = 64 * 1024;
// Requests under way and responses that wait for earlier ones, over all connections. Beyond this, a
// connection has one request under way.
constexpr std::uint64_t maxBytesUnderWay = 16 * 1024 * 1024;
// A body must bring so many bytes, or its end, in each such time. At 136 bytes a second, a body of
// 1 MiB takes two hours.
constexpr auto bodyTimeout = std::chrono::seconds(30);
constexpr std::size_t minBodyProgress = 4096;
constexpr auto writeTimeout = std::chrono::seconds(30);
// How long a connection is still read after its last response. Closing it with unread data would
// reset it, and the reset could reach the client before it reads the response.
constexpr auto lingerTimeout = std::chrono::seconds(1);
// Bytes that are read and discarded on a connection from which no more requests are read: enough
// for a body of the maximum size that was on its way.
constexpr std::size_t maxDiscardedBytes = 2 * maxBodyBytes;
// Memory of an open connection without a request: the session, its first buffer and its timers.
constexpr std::size_t connectionBytes = 8 * 1024;
// A request under way exists as the message of the client and as its copy for retries and links.
constexpr std::uint64_t copiesUnderWay = 2;
// How often connections that wait for memory or for a descriptor are looked at.
constexpr auto retryInterval = std::chrono::milliseconds(20);
constexpr auto acceptRetryInterval = std::chrono::milliseconds(100);
constexpr auto logInterval = std::chrono::seconds(10);

// A request that has been reported and has no response yet.
template <typename Session>
struct PendingExchange
{
    std::shared_ptr<Session> session;
    bool isHead = false;
};

// A response that waits for those to earlier requests.
struct WaitingResponse
{
    HttpResponse response;
    bool isToHead = false;
};

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &io, const NetAddress &address, const ClientMemory::Limits &memory,
         Handlers handlers, MetricsRegistry *metrics)
        : m_acceptor(io), m_graceTimer(io), m_acceptTimer(io), m_retryTimer(io),
          m_handlers(std::move(handlers)), m_memory(memory),
          m_counters(metrics != nullptr ? *metrics : m_ownMetrics)
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
                self->onAccepted(error);
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

    // The asynchronous accept goes on only while there is room for another connection. One more
    // than the limit is accepted, so that a new client takes the place of one that does nothing.
    void onAccepted(ErrorCodeType error)
    {
        const bool isFull = m_memory.connections() > m_memory.limits().connections;
        if (!error && !isFull)
            return accept();
        m_isAcceptPaused = true;
        closeExcess(error ? 1 : 0);
        m_acceptTimer.expires_after(acceptRetryInterval);
        m_acceptTimer.async_wait([weak = weak_from_this()](ErrorCodeType waitError) {
            const auto self = weak.lock();
            if (!waitError && self && self->m_isAcceptPaused && !self->m_isClosing) {
                self->m_isAcceptPaused = false;
                self->onAccepted({});
            }
        });
    }

    void closeExcess(std::size_t descriptors);
    // Asks for memory for a session, and closes those that must make room for it.
    [[nodiscard]] ClientMemory::Answer ask(const std::shared_ptr<Session> &session,
                                           std::uint64_t wanted);
    void retryWaiting();
    void countPeak();
    void logShortage();
    [[nodiscard]] std::shared_ptr<Session> find(ClientId id) const;

    struct Counters
    {
        explicit Counters(MetricsRegistry &metrics)
            : refused(metrics.counter("guest.refused_memory")),
              closed(metrics.counter("guest.closed_memory")),
              closedExcess(metrics.counter("guest.closed_connections")),
              tooLarge(metrics.counter("guest.refused_too_large")),
              slow(metrics.counter("guest.closed_slow")),
              peak(metrics.counter("guest.memory_peak_bytes"))
        { }

        Counter &refused; // requests for which there was no room in time
        Counter &closed; // connections that made room
        Counter &closedExcess;
        Counter &tooLarge; // headers and bodies over their limits
        Counter &slow; // requests that did not arrive in time
        Counter &peak; // of the memory that was held
    };

    tcp::acceptor m_acceptor;
    asio::steady_timer m_graceTimer;
    asio::steady_timer m_acceptTimer; // while m_isAcceptPaused
    asio::steady_timer m_retryTimer; // while m_waiting is not empty
    HttpLimits m_limits;
    Handlers m_handlers;
    std::map<ExchangeId, PendingExchange<Session>> m_pending;
    std::map<ClientId, std::weak_ptr<Session>> m_sessions;
    ClientMemory m_memory; // has an entry for each session
    std::vector<std::weak_ptr<Session>> m_waiting; // sessions that wait for memory
    std::array<char, bodyReadBytes> m_received {}; // of one read, until it has been parsed
    MetricsRegistry m_ownMetrics; // when the process does not collect them
    Counters m_counters;
    const Log m_log { "guests" };
    TimePoint m_nextLogAt {};
    std::uint64_t m_peak = 0; // of the memory that was held
    std::size_t m_sessionCount = 0;
    std::uint64_t m_bytesUnderWay = 0; // sum over the sessions
    ClientId m_nextClient { 1 };
    ExchangeId m_nextExchange = 1;
    bool m_isAcceptPaused = false;
    bool m_isDraining = false; // every connection is closed after its next response
    bool m_isClosing = false; // no more connections are accepted
    std::function<void()> m_onClosed; // empty once it has been called
};

// One connection. It is read all the time, except for a short wait for memory, so that its end is
// noticed whatever the client has sent ahead. Requests are reported as they arrive, and their
// responses are written in order. Only the response to the last request that was read closes the
// connection; what follows it is not read.
class HttpServer::Impl::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<Impl> server, ClientId id)
        : m_stream(std::move(socket)), m_server(std::move(server)), m_id(id),
          m_timer(m_stream.get_executor())
    { }

    ~Session()
    {
        updateBytesUnderWay();
        --m_server->m_sessionCount;
        m_server->m_sessions.erase(m_id);
        m_server->m_memory.close(m_id);
        if (m_server->m_isAcceptPaused && !m_server->m_isClosing) {
            m_server->m_isAcceptPaused = false;
            m_server->m_acceptTimer.cancel();
            m_server->onAccepted({});
        }
        m_server->reportIfClosed();
    }

    [[nodiscard]] ClientId id() const noexcept { return m_id; }

    void start()
    {
        reportMemory(0);
        updateTimer();
        read();
    }

    // Continues after a wait for memory.
    void retry()
    {
        if (!std::exchange(m_isAwaitingRoom, false))
            return;
        parse();
        if (m_unread > 0)
            takeUnread();
        else
            read();
    }

    // Refuses the request of which a part has arrived, and releases the memory.
    void refuseForRoom()
    {
        refuse({ 503,
                 { { "Retry-After", "1" } },
                 "not run: clients hold the memory that the process may use for them\n" });
    }

    void respond(ExchangeId exchange, WaitingResponse waiting)
    {
        const ByteCount size(waiting.response.body.size());
        if (m_order.complete(exchange, std::move(waiting), size))
            writeNext();
        reportMemory(0);
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
        reportMemory(0);
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
    [[nodiscard]] bool hasPartialRequest() const
    {
        return m_parser || m_buffer.size() > 0 || m_unread > 0;
    }

private:
    // What the connection waits for. Each phase has its own time limit, but Busy has none.
    enum class Phase : std::uint8_t { None, Idle, Header, Body, Busy, Linger };

    void read()
    {
        if (m_isReading || m_isAwaitingRoom || readRoom() == 0)
            return;
        m_isReading = true;
        m_stream.expires_never();
        m_stream.async_read_some(
            asio::buffer(m_first.data(), std::min(m_first.size(), readRoom())),
            [self = shared_from_this()](ErrorCodeType error, std::size_t size) {
                self->m_isReading = false;
                if (error)
                    return self->onReadEnd();
                self->m_unread = size;
                self->takeUnread();
            });
    }

    // Bytes that may be read without exceeding the limits of the connection.
    [[nodiscard]] std::size_t readRoom() const
    {
        if (m_isReadEnded)
            return maxDiscardedBytes - std::min(maxDiscardedBytes, m_discarded);
        return maxBufferedBytes() - std::min(maxBufferedBytes(), m_buffer.size());
    }

    // Parses what has been read into m_first, once there is memory for it.
    void takeUnread()
    {
        const bool mayFollow = m_unread == m_first.size();
        if (m_isReadEnded) {
            m_discarded += std::exchange(m_unread, 0);
            if (m_isLingering && readRoom() == 0)
                return close();
            return read();
        }
        switch (ask(heldAfter(m_unread))) {
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

    // Reads more of a large body, into the buffer that all sessions share.
    void readBody()
    {
        for (int i = 0; i < maxReadsInTurn; ++i) {
            const bool isBody = m_parser && m_parser->is_header_done() && !m_parser->is_done();
            ErrorCodeType error;
            const std::size_t available = m_stream.socket().available(error);
            const std::size_t size
                = std::min({ available, readRoom(), m_server->m_received.size() });
            if (error || !isBody || m_isReadEnded || m_isAwaitingRoom || size <= m_first.size())
                return;
            if (!m_server->m_memory.hasRoom(m_id, ByteCount(heldAfter(size))))
                return; // the next small read asks for it
            const std::size_t read = m_stream.socket().read_some(
                asio::buffer(m_server->m_received.data(), size), error);
            if (error)
                return;
            feed(m_server->m_received.data(), read);
        }
    }

    void feed(const char *data, std::size_t size)
    {
        asio::buffer_copy(m_buffer.prepare(size), asio::buffer(data, size));
        m_buffer.commit(size);
        m_receivedInWindow += size;
        parse();
        reportMemory(size);
    }

    // Asks for memory, and arranges the repetition when the session must wait.
    [[nodiscard]] ClientMemory::Answer ask(std::uint64_t wanted)
    {
        const ClientMemory::Answer answer = m_server->ask(shared_from_this(), wanted);
        m_isAwaitingRoom = answer == ClientMemory::Answer::Wait;
        return answer;
    }

    // Memory of this connection as allocated, without the response that is being sent.
    [[nodiscard]] std::uint64_t held() const
    {
        return connectionBytes + m_buffer.capacity() + copiesUnderWay * m_order.bytes().value()
            + (m_parser ? parsedBytes() : 0);
    }

    // The most that the connection may hold once `size` more bytes have been parsed. Buffers and
    // strings at least double when they grow.
    [[nodiscard]] std::uint64_t heldAfter(std::size_t size) const
    {
        std::uint64_t after = held();
        const std::size_t buffered = 2 * m_buffer.size() + size;
        after += buffered - std::min(buffered, m_buffer.capacity());
        if (!m_parser || !m_parser->is_header_done())
            return after;
        const std::string &body = m_parser->request().body;
        const std::size_t next = body.size() + size;
        if (next > body.capacity())
            after += std::max(next, 2 * body.capacity()) - body.capacity();
        return after;
    }

    void reportMemory(std::size_t received)
    {
        ClientMemory::Activity activity = ClientMemory::Activity::Idle;
        if (!isIdle())
            activity = ClientMemory::Activity::Running;
        else if (m_isReadEnded)
            activity = ClientMemory::Activity::Closing;
        else if (hasPartialRequest())
            activity = ClientMemory::Activity::Receiving;
        const ByteCount sending(m_response ? m_response->body().capacity() : 0);
        m_server->m_memory.update(m_id, ByteCount(held()), sending, activity, ByteCount(received),
                                  SteadyClock().now());
        m_server->countPeak();
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
        while (isComplete() || mayParse()) {
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

    [[nodiscard]] bool isComplete() const { return m_parser && m_parser->is_done(); }

    // Memory of what the parser has stored, as allocated.
    [[nodiscard]] std::uint64_t parsedBytes() const
    {
        return m_parser->request().body.capacity() + m_parser->fieldBytes();
    }

    // Reports the complete request, once there is memory for it under way. Returns false when it
    // waits.
    [[nodiscard]] bool admit()
    {
        switch (ask(held() - parsedBytes() + copiesUnderWay * requestBytes())) {
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

    // Size of the complete request.
    [[nodiscard]] std::uint64_t requestBytes() const
    {
        return m_parser->request().body.size() + m_parser->fieldBytes();
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

    // Whether the client waits for "100 Continue" before it sends the body (RFC 9110, section
    // 10.1.1). Responses to earlier requests go first.
    [[nodiscard]] bool isContinueDue() const
    {
        return m_parser && m_parser->expectsContinue() && !m_parser->is_done()
            && m_parser->request().body.empty() && m_buffer.size() == 0 && isIdle()
            && !m_hasWrittenContinue;
    }

    void beginRequest()
    {
        m_parser.emplace();
        m_hasWrittenContinue = false;
        m_parser->eager(true);
        m_parser->body_limit(std::min<std::uint64_t>(m_server->m_limits.bodyBytes, maxBodyBytes));
        m_parser->header_limit(m_server->m_limits.headerBytes);
    }

    void onRequest()
    {
        const ByteCount size(requestBytes());
        const bool isHead = m_parser->isHead();
        const bool isLast = !m_parser->keep_alive();
        HttpRequest request = m_parser->release();
        m_parser.reset();
        m_phase = Phase::None; // the next request has its own time limits
        if (isLast)
            endReading();
        const ExchangeId exchange = m_server->m_nextExchange++;
        m_order.admit(exchange, size);
        updateBytesUnderWay();
        m_server->m_pending.emplace(exchange,
                                    PendingExchange<Session> { shared_from_this(), isHead });
        m_server->m_handlers.onRequest(exchange, std::move(request));
    }

    // Answers a request that cannot be read.
    void refuse(ErrorCodeType error)
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

    // Answers the request that is being read, after the responses to those before it, and ends
    // reading.
    void refuse(HttpResponse response)
    {
        const bool isToHead = m_parser && m_parser->isHead();
        endReading();
        const ExchangeId exchange = m_server->m_nextExchange++;
        m_order.admit(exchange, ByteCount());
        respond(exchange, { std::move(response), isToHead });
    }

    // No further request is read, and the response to the last one closes the connection.
    void endReading()
    {
        m_isReadEnded = true;
        m_isAwaitingRoom = false;
        m_parser.reset();
        m_unread = 0;
        m_buffer.clear();
        m_buffer.shrink_to_fit();
    }

    void writeContinue()
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

    void writeNext()
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
        const ResponsePlace place { .isToHead = next->isToHead, .isLast = isLast };
        m_response = encode(std::move(next->response), place);
        if (!m_response)
            m_response = encode({ 502, {}, "HTTP/1.1 does not allow the response\n" }, place);
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
        reportMemory(0);
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
        reportMemory(0);
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
        m_receivedInWindow = 0;
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
        if (phase == Phase::Body && (m_isAwaitingRoom || m_receivedInWindow >= minBodyProgress)) {
            m_phase = Phase::None;
            return updateTimer();
        }
        if (phase == Phase::Header || phase == Phase::Body)
            m_server->m_counters.slow.add();
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
    std::array<char, firstReadBytes> m_first {}; // of the pending read
    std::size_t m_unread = 0; // bytes of m_first that have been read and not parsed
    std::shared_ptr<Impl> m_server;
    const ClientId m_id;
    asio::steady_timer m_timer; // of the phase
    Phase m_phase = Phase::None; // the one for which the timer was started
    std::optional<RequestParser> m_parser; // while a request is being read
    std::size_t m_receivedInWindow = 0; // since the timer was started
    std::size_t m_discarded = 0; // bytes read after m_isReadEnded
    bool m_isAwaitingRoom = false; // no memory for m_unread or for the complete request
    std::optional<EncodedResponse> m_response; // while it is being written
    bool m_isWritingContinue = false; // then no response is written
    bool m_hasWrittenContinue = false; // for the request that is being read
    ResponseOrder<ExchangeId, WaitingResponse> m_order;
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
    const ClientId id = m_nextClient;
    m_nextClient = next(id);
    m_memory.open(id, SteadyClock().now());
    const auto session = std::make_shared<Session>(std::move(socket), shared_from_this(), id);
    m_sessions.emplace(id, session);
    session->start();
}

std::shared_ptr<HttpServer::Impl::Session> HttpServer::Impl::find(ClientId id) const
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? nullptr : found->second.lock();
}

// Closes connections that are beyond the limit, and as many more as `descriptors`.
void HttpServer::Impl::closeExcess(std::size_t descriptors)
{
    const TimePoint now = SteadyClock().now();
    std::vector<ClientId> excess = m_memory.excessConnections(now);
    if (excess.empty() && descriptors > 0)
        excess = m_memory.leastActive(descriptors, now);
    for (const ClientId id : excess) {
        const auto session = find(id);
        if (!session)
            continue;
        m_counters.closedExcess.add();
        session->cancelRead();
    }
    if (!excess.empty())
        logShortage();
}

ClientMemory::Answer HttpServer::Impl::ask(const std::shared_ptr<Session> &session,
                                           std::uint64_t wanted)
{
    const ClientMemory::Decision decision
        = m_memory.ask(session->id(), ByteCount(wanted), SteadyClock().now());
    for (const ClientId id : decision.closed) {
        if (const auto closed = find(id)) {
            m_counters.closed.add();
            closed->refuseForRoom();
        }
    }
    if (decision.answer == ClientMemory::Answer::Refuse)
        m_counters.refused.add();
    if (decision.answer == ClientMemory::Answer::Wait) {
        if (m_waiting.empty()) {
            m_retryTimer.expires_after(retryInterval);
            m_retryTimer.async_wait([weak = weak_from_this()](ErrorCodeType error) {
                const auto self = weak.lock();
                if (!error && self)
                    self->retryWaiting();
            });
        }
        m_waiting.push_back(session);
    }
    if (decision.answer != ClientMemory::Answer::Read || !decision.closed.empty())
        logShortage();
    return decision.answer;
}

void HttpServer::Impl::countPeak()
{
    const std::uint64_t held = m_memory.held().value();
    if (held <= m_peak)
        return;
    m_counters.peak.add(held - m_peak);
    m_peak = held;
}

void HttpServer::Impl::retryWaiting()
{
    for (const std::weak_ptr<Session> &weak : std::exchange(m_waiting, {})) {
        if (const auto session = weak.lock())
            session->retry();
    }
}

void HttpServer::Impl::logShortage()
{
    const TimePoint now = SteadyClock().now();
    if (now < m_nextLogAt)
        return;
    m_nextLogAt = now + logInterval;
    m_log.warning("event=clients-over-memory held=" + std::to_string(m_memory.held().value())
                  + " sending=" + std::to_string(m_memory.sending().value())
                  + " limit=" + std::to_string(m_memory.limits().total.value())
                  + " connections=" + std::to_string(m_memory.connections())
                  + " waiting=" + std::to_string(m_memory.waiting())
                  + " refused=" + std::to_string(m_counters.refused.value())
                  + " closed=" + std::to_string(m_counters.closed.value())
                  + " closed-connections=" + std::to_string(m_counters.closedExcess.value()));
}

void HttpServer::Impl::respond(ExchangeId exchange, HttpResponse response)
{
    const auto found = m_pending.find(exchange);
    if (found == m_pending.end())
        return;
    const auto [session, isHead] = std::move(found->second);
    m_pending.erase(found);
    session->respond(exchange, { std::move(response), isHead });
}

void HttpServer::Impl::abort(ExchangeId exchange)
{
    const auto found = m_pending.find(exchange);
    if (found == m_pending.end())
        return;
    const auto session = std::move(found->second.session);
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
    m_acceptTimer.cancel();
    m_retryTimer.cancel();
    closeIdle();
    m_pending.clear();
    for (const auto &[key, weak] : m_sessions) {
        if (const auto session = weak.lock())
            session->close();
    }
}

HttpServer::HttpServer(asio::io_context &io, const NetAddress &address,
                       const ClientMemory::Limits &memory, Handlers handlers,
                       MetricsRegistry *metrics)
    : m_impl(std::make_shared<Impl>(io, address, memory, std::move(handlers), metrics))
{
    m_impl->accept();
}

HttpServer::HttpServer(asio::io_context &io, const NetAddress &address, std::size_t maxConnections,
                       Handlers handlers)
    : HttpServer(io, address, ClientMemory::Limits { .connections = maxConnections },
                 std::move(handlers))
{ }

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
