// Tests of PeerEndpoint.
#include "nodefixture.h"

#include <camphorreach/impl/peerendpoint.h>
#include <camphorreach/metrics.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include <string>

namespace camphorreach {
namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

class PeerEndpointFixture
{
protected:
    // Fills the receive buffer of a node that listens on this port.
    static void sendDatagrams(std::uint16_t port, int count)
    {
        asio::io_context io;
        udp::socket socket(io, udp::v4());
        const udp::endpoint target(asio::ip::make_address("127.0.0.1"), port);
        const std::string payload = "not a message of the protocol";
        for (int i = 0; i < count; ++i)
            socket.send_to(asio::buffer(payload), target);
    }
};

// Guards against a stop() that never returns because a datagram has just been read. Seen on day
// trouble-2 of tida-mesh: a process was killed at the end of its grace period.
TEST_CASE_METHOD(PeerEndpointFixture, "PeerEndpoint_stoppedWithDatagramsInItsSocket_stops")
{
    for (const NetAddress &address : freeAddresses(10)) {
        MetricsRegistry metrics;
        impl::PeerEndpoint endpoint(
            address, [](impl::PeerEvent &&) { return true; }, metrics);
        sendDatagrams(address.port, 200);
        endpoint.start();
        endpoint.stop();
    }
    SUCCEED("all endpoints have stopped");
}

} // namespace
} // namespace camphorreach
