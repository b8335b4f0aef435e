// Socket options that show within seconds that the other side has gone silent.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace camphorreach::impl {

/// Sends small messages at once, and ends a connection whose other side has not acknowledged
/// anything for about three seconds: no answer to keep-alive probes, or to data.
inline void setLiveness(boost::asio::ip::tcp::socket &socket)
{
    constexpr int idleSeconds = 1; // the shortest that the system allows
    constexpr int probeSeconds = 1;
    constexpr int probes = 2;
    constexpr int unacknowledgedMs = 3000; // two retransmissions on a lossy link fit in
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
