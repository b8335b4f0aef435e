// State of an HTTP server that its connections share.
#pragma once

#include <camphorreach/clientmemory.h>
#include <camphorreach/impl/httpserver.h>
#include <camphorreach/log.h>
#include <camphorreach/metrics.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <vector>

namespace camphorreach::impl {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCodeType = boost::system::error_code;

// The connections of a server, the requests without a response, and the decisions that concern more
// than one connection: accepting, memory and the drain.
class HttpServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &io, const NetAddress &address, const ClientMemory::Limits &memory,
         Handlers handlers, MetricsRegistry *metrics,
         std::shared_ptr<LargeBodyAllowance> largeBodies);

    void accept();
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

    // Size of the buffer for large bodies, which all connections share.
    static constexpr std::size_t bodyReadBytes = 64 * 1024;

    void open(tcp::socket socket);
    void reportIfClosed();

    // The asynchronous accept goes on only while there is room for another connection. One more
    // than the limit is accepted, so that a new client takes the place of one that does nothing.
    [[nodiscard]] ErrorCodeType acceptPending();
    void onAccepted(ErrorCodeType error);

    void closeExcess(std::size_t descriptors);
    void observeUnsent();
    // Asks for memory for a session, and closes those that must make room for it.
    [[nodiscard]] ClientMemory::Answer ask(const std::shared_ptr<Session> &session,
                                           std::uint64_t wanted, std::uint64_t large);
    // Tells the allowance what connections hold of large bodies, and \a wanted beside it.
    void announceLarge(std::uint64_t wanted);
    void retryWaiting();
    void countPeak();
    void logShortage();
    [[nodiscard]] std::shared_ptr<Session> find(ClientId id) const;

    // A request that has been reported and has no response yet.
    struct PendingExchange
    {
        std::shared_ptr<Session> session;
        bool isHead = false;
    };

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
    std::map<ExchangeId, PendingExchange> m_pending;
    std::map<ClientId, std::weak_ptr<Session>> m_sessions;
    ClientMemory m_memory; // has an entry for each session
    std::vector<ClientId> m_waiting; // sessions that wait for memory, each once
    const std::shared_ptr<LargeBodyAllowance> m_largeBodies; // has shares for complete bodies
    std::array<char, bodyReadBytes> m_received {}; // of one read, until it has been parsed
    MetricsRegistry m_ownMetrics; // when the process does not collect them
    Counters m_counters;
    const Log m_log { "guests" };
    TimePoint m_nextLogAt {};
    TimePoint m_nextObservationAt {};
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

} // namespace camphorreach::impl
