// Connection attempts with exponential backoff, and detection of the end of a connection.
#include <camphorreach/impl/reachabilitymonitor.h>

#include <camphorreach/units.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <optional>
#include <utility>

namespace camphorreach::impl {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCodeType = boost::system::error_code;

namespace {

// A process that restarts on the same machine is reachable within a few hundred milliseconds.
constexpr Duration initialBackoff = std::chrono::milliseconds(20);
constexpr Duration maxBackoff = std::chrono::milliseconds(500);
constexpr Duration connectTimeout = std::chrono::seconds(1);
// Unsolicited data that is read from one connection. A server that sends more would keep the reader
// busy, so the connection is closed.
constexpr std::size_t maxUnsolicitedBytes = 4096;

} // namespace

class ReachabilityMonitor::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &io, NetAddress server, Listener listener)
        : m_server(std::move(server)), m_listener(std::move(listener)), m_socket(io), m_timer(io)
    { }

    void connect()
    {
        m_socket = tcp::socket(m_socket.get_executor());
        ++m_attempt;
        m_timer.expires_after(connectTimeout);
        m_timer.async_wait([weak = weak_from_this()](ErrorCodeType error) {
            const auto self = weak.lock();
            if (!error && self)
                self->close(); // fails the attempt
        });
        const tcp::endpoint endpoint(asio::ip::make_address(m_server.host), m_server.port);
        m_socket.async_connect(endpoint,
                               [weak = weak_from_this(), attempt = m_attempt](ErrorCodeType error) {
                                   const auto self = weak.lock();
                                   if (!self || self->isOutdated(attempt))
                                       return;
                                   self->m_timer.cancel();
                                   self->report(!error);
                                   if (error)
                                       self->scheduleConnect();
                                   else
                                       self->watch();
                               });
    }

    void setServer(NetAddress server)
    {
        if (server == m_server)
            return;
        m_server = std::move(server);
        m_backoff.reset();
        m_isReachable.reset();
        m_timer.cancel();
        close();
        connect();
    }

    void stop()
    {
        m_isStopped = true;
        m_timer.cancel();
        close();
    }

private:
    // Reads until the connection ends. Data from the server is discarded.
    void watch()
    {
        m_unsolicitedBytes = 0;
        read();
        // The backoff is reset only after the connection has lasted for a while: the monitor then
        // reconnects at once when it ends, but a server that closes every connection immediately
        // does not cause a busy loop.
        m_timer.expires_after(maxBackoff);
        m_timer.async_wait([weak = weak_from_this()](ErrorCodeType error) {
            const auto self = weak.lock();
            if (!error && self)
                self->m_backoff.reset();
        });
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buffer),
            [weak = weak_from_this(), attempt = m_attempt](ErrorCodeType error, std::size_t size) {
                const auto self = weak.lock();
                if (!self || self->isOutdated(attempt))
                    return;
                self->m_unsolicitedBytes += size;
                if (error || self->m_unsolicitedBytes > maxUnsolicitedBytes)
                    self->scheduleConnect();
                else
                    self->read();
            });
    }

    void scheduleConnect()
    {
        close();
        m_timer.cancel();
        const Duration delay = m_backoff.value_or(Duration::zero());
        m_backoff = std::clamp(2 * delay, initialBackoff, maxBackoff);
        m_timer.expires_after(delay);
        m_timer.async_wait([weak = weak_from_this()](ErrorCodeType error) {
            const auto self = weak.lock();
            if (!error && self && !self->m_isStopped)
                self->connect();
        });
    }

    // Whether a completion belongs to an earlier connection, for example to another server.
    [[nodiscard]] bool isOutdated(std::uint64_t attempt) const noexcept
    {
        return m_isStopped || attempt != m_attempt;
    }

    void report(bool isReachable)
    {
        if (m_isReachable == isReachable)
            return;
        m_isReachable = isReachable;
        m_listener(isReachable);
    }

    void close()
    {
        ErrorCodeType ignored;
        m_socket.close(ignored);
    }

    NetAddress m_server;
    const Listener m_listener;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<char, 64> m_buffer {};
    std::size_t m_unsolicitedBytes = 0; // on this connection; at most the limit and one read
    std::optional<Duration> m_backoff; // of the next attempt; empty after a connection that lasted
    std::optional<bool> m_isReachable; // as last reported; empty until the server was tried
    std::uint64_t m_attempt = 0; // counts the connections
    bool m_isStopped = false;
};

ReachabilityMonitor::ReachabilityMonitor(asio::io_context &io, NetAddress server, Listener listener)
    : m_impl(std::make_shared<Impl>(io, std::move(server), std::move(listener)))
{ }

void ReachabilityMonitor::setServer(NetAddress server)
{
    m_impl->setServer(std::move(server));
}

ReachabilityMonitor::~ReachabilityMonitor()
{
    m_impl->stop();
}

void ReachabilityMonitor::start()
{
    m_impl->connect();
}

} // namespace camphorreach::impl
