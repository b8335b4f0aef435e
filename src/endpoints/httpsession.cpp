// Life of a connection: its memory, its phases and their time limits, and its end.
#include "httpsession.h"

#include <camphorreach/clock.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>

namespace camphorreach::impl {

namespace {

// A body must bring so many bytes, or its end, in each such time. At 136 bytes a second, a body of
// 1 MiB takes two hours.
constexpr auto bodyTimeout = std::chrono::seconds(30);
constexpr std::size_t minBodyProgress = 4096;
// How long a connection is still read after its last response. Closing it with unread data would
// reset it, and the reset could reach the client before it reads the response.
constexpr auto lingerTimeout = std::chrono::seconds(1);
// Memory of an open connection without a request: the session, its first buffer and its timers.
constexpr std::size_t connectionBytes = 8 * 1024;

} // namespace

HttpServer::Impl::Session::Session(tcp::socket socket, std::shared_ptr<Impl> server, ClientId id)
    : m_stream(std::move(socket)), m_server(std::move(server)), m_id(id),
      m_timer(m_stream.get_executor()), m_writeTimer(m_stream.get_executor())
{ }

HttpServer::Impl::Session::~Session()
{
    updateBytesUnderWay();
    --m_server->m_sessionCount;
    m_server->m_sessions.erase(m_id);
    m_server->m_memory.close(m_id);
    m_server->announceLarge(0);
    if (m_server->m_isAcceptPaused && !m_server->m_isClosing) {
        m_server->m_isAcceptPaused = false;
        m_server->m_acceptTimer.cancel();
        m_server->onAccepted({});
    }
    m_server->reportIfClosed();
}

void HttpServer::Impl::Session::start()
{
    reportMemory(0);
    updateTimer();
    read();
}

void HttpServer::Impl::Session::retry()
{
    if (!std::exchange(m_isAwaitingRoom, false))
        return;
    parse();
    read();
}

void HttpServer::Impl::Session::disconnect()
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

void HttpServer::Impl::Session::reset()
{
    ErrorCodeType ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    disconnect();
}

void HttpServer::Impl::Session::close()
{
    ErrorCodeType ignored;
    m_timer.cancel();
    m_writeTimer.cancel();
    m_stream.socket().close(ignored);
}

bool HttpServer::Impl::Session::hasPartialRequest() const
{
    return m_parser || m_buffer.size() > 0 || m_unread > 0;
}

ClientMemory::Answer HttpServer::Impl::Session::ask(std::uint64_t wanted, std::uint64_t large)
{
    const ClientMemory::Answer answer = m_server->ask(shared_from_this(), wanted, large);
    m_isAwaitingRoom = answer == ClientMemory::Answer::Wait;
    return answer;
}

std::uint64_t HttpServer::Impl::Session::held() const
{
    return connectionBytes + m_buffer.capacity() + copiesUnderWay * m_order.bytes().value()
        + (m_parser ? parsedBytes() : 0);
}

std::uint64_t HttpServer::Impl::Session::heldAfter(std::size_t size) const
{
    std::uint64_t after = held();
    const std::size_t buffered = 2 * m_buffer.size() + size;
    after += buffered - std::min(buffered, m_buffer.capacity());
    if (!m_parser || !m_parser->is_header_done())
        return after;
    const std::string &body = m_parser->request().body;
    const std::size_t next = body.size() + size;
    if (m_parser->largeBody() == nullptr && next > body.capacity())
        after += std::max(next, 2 * body.capacity()) - body.capacity();
    return after;
}

std::uint64_t HttpServer::Impl::Session::largeAfter(std::size_t size) const
{
    if (!m_parser)
        return 0;
    const LargeBody *body = m_parser->largeBody();
    if (body == nullptr) {
        const std::size_t next = m_parser->request().body.size() + size;
        return m_parser->is_header_done() && next > maxBodyBytes ? next : 0;
    }
    const std::uint64_t announced = m_isLargeAdmitted ? m_parser->announcedBytes() : 0;
    return std::max(announced, body->allocatedWith(size).value());
}

bool HttpServer::Impl::Session::isLargeUnadmitted() const
{
    return m_parser && m_parser->is_header_done() && !m_isLargeAdmitted
        && m_parser->announcedBytes() > maxBodyBytes;
}

bool HttpServer::Impl::Session::admitLarge()
{
    switch (ask(held(), m_parser->announcedBytes())) {
    case ClientMemory::Answer::Wait:
        return false;
    case ClientMemory::Answer::Refuse:
        refuseForRoom();
        break;
    case ClientMemory::Answer::Read:
        m_isLargeAdmitted = true;
        reportMemory(0);
        break;
    }
    return true;
}

void HttpServer::Impl::Session::reportMemory(std::size_t received)
{
    ClientMemory::Activity activity = ClientMemory::Activity::Idle;
    if (m_order.hasUnanswered())
        activity = ClientMemory::Activity::Running;
    else if (!isIdle())
        activity = ClientMemory::Activity::Sending;
    else if (m_isReadEnded)
        activity = ClientMemory::Activity::Closing;
    else if (hasPartialRequest())
        activity = ClientMemory::Activity::Receiving;
    const ByteCount sending(m_response ? m_response->body().capacity() : 0);
    m_server->m_memory.update(m_id, ByteCount(held()), sending, activity, ByteCount(received),
                              SteadyClock().now(), ByteCount(largeAfter(0)));
    m_server->announceLarge(0);
    m_server->countPeak();
}

void HttpServer::Impl::Session::observeUnsent()
{
    int unsent = 0;
    if (m_response && ::ioctl(m_stream.socket().native_handle(), SIOCOUTQ, &unsent) == 0)
        m_server->m_memory.observeUnsent(m_id, ByteCount(static_cast<std::uint64_t>(unsent)),
                                         SteadyClock().now());
}

HttpServer::Impl::Session::Phase HttpServer::Impl::Session::currentPhase() const
{
    if (m_isLingering)
        return Phase::Linger;
    if (m_parser)
        return m_parser->is_header_done() ? Phase::Body : Phase::Header;
    return isIdle() ? Phase::Idle : Phase::Busy;
}

Duration HttpServer::Impl::Session::timeLimit(Phase phase) const
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

void HttpServer::Impl::Session::updateTimer()
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

void HttpServer::Impl::Session::onTimeout(Phase phase)
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

void HttpServer::Impl::Session::updateBytesUnderWay()
{
    const std::uint64_t bytes = m_order.bytes().value();
    m_server->m_bytesUnderWay += bytes - std::exchange(m_countedBytes, bytes);
}

} // namespace camphorreach::impl
