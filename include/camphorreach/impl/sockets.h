// TCP options that detect an unresponsive peer within seconds.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace camphorreach::impl {

/// Disables Nagle's algorithm, and closes the connection when the peer has not acknowledged
/// keep-alive probes or data for about three seconds.
inline void setTcpOptions(boost::asio::ip::tcp::socket &socket)
{
    constexpr int idleSeconds = 1; // minimum that the system allows
    constexpr int probeSeconds = 1;
    constexpr int probes = 2;
    constexpr int unacknowledgedMs = 3000; // allows for two retransmissions on a lossy link
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const auto set = [&socket](int option, int value) {
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof(value));
    };
    set(TCP_KEEPIDLE, idleSeconds);
    set(TCP_KEEPINTVL, probeSeconds);
    set(TCP_KEEPCNT, probes);
    set(TCP_USER_TIMEOUT, unacknowledgedMs);
}

} // namespace camphorreach::impl
