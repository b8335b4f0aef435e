// Connections of an HTTP server: accepting, memory, drain.
#include "httpserverimpl.h"
#include "httpsession.h"

#include <camphorreach/clock.h>

#include <algorithm>
#include <utility>

namespace camphorreach::impl {

namespace {

// How often connections that wait for memory or for a descriptor are looked at.
constexpr auto retryInterval = std::chrono::milliseconds(20);
constexpr auto acceptRetryInterval = std::chrono::milliseconds(100);
// How often the connections are asked what their clients have not acknowledged, while there are too
// many.
constexpr auto observationInterval = std::chrono::milliseconds(20);
constexpr auto logInterval = std::chrono::seconds(10);
// From this number of open connections on, their data can keep the thread busy for long between two
// accepts.
constexpr std::size_t crowdedConnections = 256;
constexpr int acceptsInTurn = 64;

} // namespace

HttpServer::Impl::Impl(asio::io_context &io, const NetAddress &address,
                       const ClientMemory::Limits &memory, Handlers handlers,
                       MetricsRegistry *metrics, std::shared_ptr<LargeBodyAllowance> largeBodies)
    : m_acceptor(io), m_graceTimer(io), m_acceptTimer(io), m_retryTimer(io),
      m_handlers(std::move(handlers)), m_memory(memory),
      m_largeBodies(largeBodies ? std::move(largeBodies)
                                : std::make_shared<LargeBodyAllowance>(memory.large)),
      m_counters(metrics != nullptr ? *metrics : m_ownMetrics)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    m_acceptor.non_blocking(true); // for acceptPending()
}

void HttpServer::Impl::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](ErrorCodeType error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
            return;
        if (!error) {
            self->open(std::move(socket));
            error = self->acceptPending();
        }
        self->onAccepted(error);
    });
}

// One accept in each turn of the thread would let a new client wait for one turn of all other
// connections for each client before it.
ErrorCodeType HttpServer::Impl::acceptPending()
{
    for (int i = 0; i < acceptsInTurn && m_sessionCount >= crowdedConnections; ++i) {
        if (m_memory.connections() > m_memory.limits().connections)
            break;
        ErrorCodeType error;
        tcp::socket socket = m_acceptor.accept(error);
        if (error)
            return error == asio::error::would_block ? ErrorCodeType() : error;
        open(std::move(socket));
    }
    return {};
}

void HttpServer::Impl::onAccepted(ErrorCodeType error)
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

void HttpServer::Impl::open(tcp::socket socket)
{
    ErrorCodeType ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    if (const ByteCount size = m_memory.limits().sendBuffer; size > ByteCount()) {
        const asio::socket_base::send_buffer_size option(static_cast<int>(size.value()));
        socket.set_option(option, ignored);
    }
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
    observeUnsent();
    const TimePoint now = SteadyClock().now();
    std::vector<ClientId> excess = m_memory.excessConnections(now);
    if (excess.empty() && descriptors > 0)
        excess = m_memory.leastActive(descriptors, now);
    for (const ClientId id : excess) {
        const auto session = find(id);
        if (!session)
            continue;
        m_counters.closedExcess.add();
        if (session->isIdle())
            session->cancelRead();
        else
            session->reset();
    }
    if (!excess.empty())
        logShortage();
}

void HttpServer::Impl::observeUnsent()
{
    const TimePoint now = SteadyClock().now();
    if (now < m_nextObservationAt)
        return;
    m_nextObservationAt = now + observationInterval;
    for (const auto &[id, weak] : m_sessions) {
        if (const auto session = weak.lock())
            session->observeUnsent();
    }
}

ClientMemory::Answer HttpServer::Impl::ask(const std::shared_ptr<Session> &session,
                                           std::uint64_t wanted, std::uint64_t large)
{
    announceLarge(large);
    m_memory.setLargeUnderWay(m_largeBodies->held());
    const ClientMemory::Decision decision
        = m_memory.ask(session->id(), ByteCount(wanted), SteadyClock().now(), ByteCount(large));
    if (decision.answer != ClientMemory::Answer::Read)
        announceLarge(0);
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
        if (std::ranges::find(m_waiting, session->id()) == m_waiting.end())
            m_waiting.push_back(session->id());
    }
    if (decision.answer != ClientMemory::Answer::Read || !decision.closed.empty())
        logShortage();
    return decision.answer;
}

void HttpServer::Impl::announceLarge(std::uint64_t wanted)
{
    m_largeBodies->setReceiving(ByteCount(m_memory.receivingLarge().value() + wanted));
}

void HttpServer::Impl::countPeak()
{
    const std::uint64_t held = m_memory.held().value() + m_memory.large().value();
    if (held <= m_peak)
        return;
    m_counters.peak.add(held - m_peak);
    m_peak = held;
}

void HttpServer::Impl::retryWaiting()
{
    for (const ClientId id : std::exchange(m_waiting, {})) {
        if (const auto session = find(id))
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
                  + " large=" + std::to_string(m_memory.large().value())
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
                       MetricsRegistry *metrics, std::shared_ptr<LargeBodyAllowance> largeBodies)
    : m_impl(std::make_shared<Impl>(io, address, memory, std::move(handlers), metrics,
                                    std::move(largeBodies)))
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
