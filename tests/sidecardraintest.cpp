// Tests of a planned stop of one of two real nodes.
#include "fakestore.h"
#include "sidecarprocess.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

// Two nodes, of which only the second has a backend server. The first one is stopped.
class SidecarDrainFixture
{
protected:
    SidecarDrainFixture()
        : server([](LoopbackServer &self, impl::ExchangeId id, impl::HttpRequest &&request) {
              const bool isSlow = request.target == "/bags/slow";
              self.respondLater(id, signedResponse(request),
                                isSlow ? serviceTime : milliseconds(1));
          })
    {
        const std::vector<NetAddress> addresses = freeAddresses(9);
        for (std::size_t i = 0; i < 2; ++i) {
            SidecarSettings &node = settings[i];
            node.instance = InstanceId("node-" + std::to_string(i + 1));
            node.domain = FailureDomain("arima");
            node.clientAddress = addresses[4 * i];
            node.peerAddress = addresses[4 * i + 1];
            node.readyAddress = addresses[4 * i + 2];
            node.announceAddress = addresses[4 * i + 3];
            node.backendServer
                = { i == 1 ? server.address() : addresses[8], ServiceName("orders") };
            node.platform = store.address();
            node.stopGrace = grace;
        }
        client.start();
    }
    ~SidecarDrainFixture() { client.stop(); }

    // Waits until the first node forwards requests to the server of the second.
    [[nodiscard]] bool waitUntilServing()
    {
        for (std::uint64_t i = 1; i < 500; ++i) {
            (void)callOnce(client, settings[1].announceAddress,
                           announcementOf("i-2", server.address(), i, "ready"));
            const auto response
                = callOnce(client, settings[0].clientAddress,
                           requestOf("warm-" + std::to_string(i), "POST", "/bags/1", "bags"));
            if (response.status == 200)
                return true;
            std::this_thread::sleep_for(milliseconds(20));
        }
        return false;
    }

    static constexpr Duration grace = milliseconds(4000);
    static constexpr Duration serviceTime = milliseconds(2000);
    impl::IoThread client;
    FakeStore store;
    LoopbackServer server;
    std::array<SidecarSettings, 2> settings;
};

// Guards against a request that is accepted and forwarded so late in a stop that its response would
// come after the end of the grace period: a run-once request runs, but its connection is closed
// without a response.
TEST_CASE_METHOD(SidecarDrainFixture, "Sidecar_requestFinishedLateInADrain_isRefusedNotCut")
{
    SidecarProcess stopped(settings[0]);
    SidecarProcess other(settings[1]);
    REQUIRE(waitUntilServing());
    boost::asio::io_context io;
    tcp::socket connection(io);
    connection.connect({ boost::asio::ip::make_address(settings[0].clientAddress.host),
                         settings[0].clientAddress.port });
    const std::string head = "POST /bags/slow HTTP/1.1\r\nHost: a.example\r\n"
                             "X-Camphorreach-Attempt-Id: late\r\nContent-Length: 8\r\n\r\nbags";
    boost::asio::write(connection, boost::asio::buffer(head));
    std::this_thread::sleep_for(milliseconds(100));
    stopped.send(SIGTERM);
    REQUIRE(stopped.waitForLog("event=stop-asked"));
    std::this_thread::sleep_for(milliseconds(3100));
    boost::asio::write(connection, boost::asio::buffer(std::string("bags")));
    std::string answer;
    boost::system::error_code readError;
    boost::asio::read(connection, boost::asio::dynamic_buffer(answer), readError);
    CHECK(answer.substr(0, 12) == "HTTP/1.1 503");
    CHECK(answer.find("\r\n\r\n") != std::string::npos);
    CHECK(stopped.exitCode() == 0);
}

} // namespace
} // namespace camphorreach
