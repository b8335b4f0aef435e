// Connection attempts with backoff, and a connection that is watched for its end.
#include <camphorreach/impl/reachabilitymonitor.h>

#include <camphorreach/units.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

namespace camphorreach::impl {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCodeType = boost::system::error_code;

namespace {

// A process that is restarted on the same machine is back within a few hundred milliseconds.
constexpr Duration firstDelay = std::chrono::milliseconds(20);
constexpr Duration longestDelay = std::chrono::milliseconds(500);
constexpr Duration connectTimeout = std::chrono::seconds(1);
// A server that sends more of its own accord would keep the reader busy.
constexpr std::size_t maxUnaskedBytes = 4096;

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
        m_timer.expires_after(connectTimeout);
        m_timer.async_wait([weak = weak_from_this()](ErrorCodeType error) {
            const auto self = weak.lock();
            if (!error && self)
                self->close(); // ends the attempt with an error
        });
        const tcp::endpoint endpoint(asio::ip::make_address(m_server.host), m_server.port);
        m_socket.async_connect(endpoint, [weak = weak_from_this()](ErrorCodeType error) {
            const auto self = weak.lock();
            if (!self || self->m_isStopped)
                return;
            self->m_timer.cancel();
            self->report(!error);
            if (error)
                self->connectLater();
            else
                self->watch();
        });
    }

    void stop()
    {
        m_isStopped = true;
        m_timer.cancel();
        close();
    }

private:
    // Data that the server sends of its own accord means nothing here.
    void watch()
    {
        m_unaskedBytes = 0;
        read();
        // A server that keeps its connections open may be probed at once when one ends; one that
        // closes each connection immediately must not cause a busy loop.
        m_timer.expires_after(longestDelay);
        m_timer.async_wait([weak = weak_from_this()](ErrorCodeType error) {
            const auto self = weak.lock();
            if (!error && self)
                self->m_delay.reset();
        });
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer),
                                 [weak = weak_from_this()](ErrorCodeType error, std::size_t size) {
                                     const auto self = weak.lock();
                                     if (!self || self->m_isStopped)
                                         return;
                                     self->m_unaskedBytes += size;
                                     if (error || self->m_unaskedBytes > maxUnaskedBytes)
                                         self->connectLater();
                                     else
                                         self->read();
                                 });
    }

    void connectLater()
    {
        close();
        m_timer.cancel();
        const Duration delay = m_delay.value_or(Duration::zero());
        m_delay = std::clamp(2 * delay, firstDelay, longestDelay);
        m_timer.expires_after(delay);
        m_timer.async_wait([weak = weak_from_this()](ErrorCodeType error) {
            const auto self = weak.lock();
            if (!error && self && !self->m_isStopped)
                self->connect();
        });
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

    const NetAddress m_server;
    const Listener m_listener;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<char, 64> m_buffer {};
    std::size_t m_unaskedBytes = 0; // on this connection; little more than maxUnaskedBytes
    std::optional<Duration> m_delay; // before the next attempt; empty after a lasting connection
    std::optional<bool> m_isReachable; // as last reported
    bool m_isStopped = false;
};

ReachabilityMonitor::ReachabilityMonitor(asio::io_context &io, NetAddress server, Listener listener)
    : m_impl(std::make_shared<Impl>(io, std::move(server), std::move(listener)))
{ }

ReachabilityMonitor::~ReachabilityMonitor()
{
    m_impl->stop();
}

void ReachabilityMonitor::start()
{
    m_impl->connect();
}

} // namespace camphorreach::impl
