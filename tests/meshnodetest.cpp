// End-to-end tests on the users' platform: real nodes on loopback, with stand-ins for the store and
// the backend servers.
#include "../platform/announcements.h"
#include "../platform/config.h"
#include "../platform/names.h"
#include "../platform/requests.h"
#include "../platform/store.h"

#include "fakestore.h"

#include <camphorreach/impl/meshnode.h>
#include <camphorreach/result.h>

#include <catch2/catch.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <future>
#include <thread>

namespace camphorreach {
namespace {

using impl::HttpRequest;
using impl::HttpResponse;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A number in the query of a target, such as 5 for "pad" in "/bags/1?pad=5"; zero without it.
std::size_t numberIn(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::stoul(target.substr(at + name.size() + 1));
}

struct Platform
{
    using Clients = platform::ClientDialect;
    using Backend = platform::ServerDialect;
    using Store = platform::StoreCodec;

    static impl::BackendServerMessage decodeAnnouncement(const HttpRequest &request)
    {
        return platform::decodeAnnouncement(request);
    }
    static std::string encodeConfiguration(const MeshConfig &config)
    {
        return platform::encodeConfig(config);
    }
    static const char *readyPath() { return platform::readyPath; }
    static const char *announcementPrefix() { return platform::instancesPath; }
};

// Two nodes, each with a backend server of "orders".
class MeshNodeFixture
{
protected:
    struct Sidecar
    {
        std::unique_ptr<LoopbackServer> server;
        SidecarSettings settings;
        std::unique_ptr<impl::MeshNode<Platform>> node;
        std::atomic<int> runs { 0 };
    };

    MeshNodeFixture()
    {
        for (std::size_t i = 0; i < 2; ++i) {
            auto sidecar = std::make_unique<Sidecar>();
            Sidecar *self = sidecar.get();
            sidecar->server = std::make_unique<LoopbackServer>(
                [self](LoopbackServer &server, impl::ExchangeId id, HttpRequest &&request) {
                    ++self->runs;
                    HttpResponse response = signedResponse(request);
                    if (numberIn(request.target, "caller") != 0)
                        response.body = request.header("X-Camphorreach-Caller-Service");
                    response.body.append(numberIn(request.target, "pad"), 'x');
                    const std::size_t delay = numberIn(request.target, "delay");
                    if (delay == 0)
                        server.respond(id, std::move(response));
                    else
                        server.respondLater(id, std::move(response), milliseconds(delay));
                });
            configure(sidecar->settings, i, sidecar->server->address());
            sidecars.push_back(std::move(sidecar));
        }
        for (auto &sidecar : sidecars) {
            sidecar->node = std::make_unique<impl::MeshNode<Platform>>(sidecar->settings);
            sidecar->node->start();
        }
        client.start();
    }
    ~MeshNodeFixture()
    {
        client.stop();
        for (auto &sidecar : sidecars)
            sidecar->node.reset();
    }

    void configure(SidecarSettings &settings, std::size_t number, const NetAddress &server) const
    {
        settings.instance = InstanceId("node-" + std::to_string(number));
        settings.domain = FailureDomain("arima");
        settings.clientAddress = addresses[4 * number];
        settings.peerAddress = addresses[4 * number + 1];
        settings.readyAddress = addresses[4 * number + 2];
        settings.announceAddress = addresses[4 * number + 3];
        settings.backendServer = { server, ServiceName("orders") };
        settings.platform = store.address();
        settings.randomSeed = number + 1;
        settings.linkMbps = 200;
        settings.logLevel = LogLevel::Error;
    }

    HttpResponse call(const NetAddress &to, HttpRequest request)
    {
        return callOnce(client, to, std::move(request));
    }

    HttpResponse announce(std::size_t number, std::uint64_t sequence, const char *state)
    {
        const SidecarSettings &settings = sidecars[number]->settings;
        return call(settings.announceAddress,
                    announcementOf("i-" + std::to_string(number), settings.backendServer.address,
                                   sequence, state));
    }

    HttpResponse sendRequest(std::size_t number, const std::string &method,
                             const std::string &target)
    {
        return call(sidecars[number]->settings.clientAddress,
                    requestOf("id-" + std::to_string(++attempts), method, target, "bags"));
    }

    // Sends all requests at once on one connection, and reads until it is closed.
    [[nodiscard]] std::string sendAhead(std::size_t number,
                                        const std::vector<std::string> &targets) const
    {
        namespace asio = boost::asio;
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        const NetAddress &to = sidecars[number]->settings.clientAddress;
        socket.connect({ asio::ip::make_address(to.host), to.port });
        std::string bytes;
        for (const std::string &target : targets) {
            const bool isLast = &target == &targets.back();
            bytes += "GET " + target
                + " HTTP/1.1\r\nHost: a.example\r\nX-Camphorreach-Deadline-Ms: 30000\r\n"
                  "X-Camphorreach-Attempt-Id: "
                + target + (isLast ? "\r\nConnection: close" : "") + "\r\n\r\n";
        }
        asio::write(socket, asio::buffer(bytes));
        std::string responses;
        boost::system::error_code end;
        asio::read(socket, asio::dynamic_buffer(responses), end);
        return responses;
    }

    // Repeats a request until the response has this status, because nothing signals when the nodes
    // have connected to the stand-ins.
    HttpResponse requestUntil(std::uint16_t status, std::size_t number, const std::string &target)
    {
        HttpResponse response;
        for (int i = 0; i < 500; ++i) {
            response = sendRequest(number, "POST", target);
            if (response.status == status)
                break;
            std::this_thread::sleep_for(milliseconds(20));
        }
        return response;
    }

    const std::vector<NetAddress> addresses = freeAddresses(8); // four for each node
    FakeStore store;
    std::vector<std::unique_ptr<Sidecar>> sidecars;
    impl::IoThread client;
    int attempts = 0;
};

// Guards against a broken connection between the processes of the path, and against changed
// requests.
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_requestOnARoute_isAnsweredByTheServerUnchanged")
{
    REQUIRE(announce(0, 1, "ready").status == 200);
    const HttpResponse response = requestUntil(200, 1, "/bags/7?size=2");
    CHECK(response.body == "POST /bags/7?size=2 i-0 bags");
    CHECK(response.header("X-Camphorreach-Response-Seal") == "seal");
    CHECK(call(sidecars[1]->settings.readyAddress, { "GET", "/camphorreach/readiness" }).status
          == 200);
    CHECK(sendRequest(1, "POST", "/other/7").status == 404);
}

// Guards against a check that compares with something else than what the node has in force.
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_configurationAsked_isTheOneInForce")
{
    REQUIRE(announce(0, 1, "ready").status == 200);
    (void)requestUntil(200, 1, "/bags/1");
    const HttpResponse response
        = call(sidecars[1]->settings.readyAddress, { "GET", "/configuration" });
    REQUIRE(response.status == 200);
    const auto decoded = platform::decodeConfigText(response.body, "node");
    REQUIRE(isOk(decoded));
    const RouteTable table(valueOf(decoded).config.routes);
    CHECK(table.find("a.example", "/bags/1") != nullptr);
    CHECK(table.find("a.example", "/other/7") == nullptr);
}

// Guards against requests from any node to a server that has announced that it is draining.
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_serverDrains_otherServerGetsTheRequests")
{
    REQUIRE(announce(0, 1, "ready").status == 200);
    REQUIRE(announce(1, 1, "ready").status == 200);
    (void)requestUntil(200, 0, "/bags/1");
    (void)requestUntil(200, 1, "/bags/1");
    REQUIRE(announce(0, 2, "draining").status == 200);
    const HttpResponse last = requestUntil(200, 0, "/bags/2");
    CHECK(last.status == 200);
    // A response from the other server shows that the gate of the first has stopped admitting; from
    // then on no request runs at the first server.
    for (int i = 0;
         i < 100 && sendRequest(0, "POST", "/bags/3").body.find("i-0") != std::string::npos; ++i)
        std::this_thread::sleep_for(milliseconds(10));
    const int before = sidecars[0]->runs;
    for (int i = 0; i < 20; ++i)
        CHECK(sendRequest(static_cast<std::size_t>(i % 2), "POST", "/bags/4").status == 200);
    CHECK(sidecars[0]->runs == before);
}

// Guards against a node that is killed after it has acknowledged a departure, and then believes a
// heartbeat that was sent before (review/4).
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_killedAfterDeparture_lateHeartbeatIsNotBelieved")
{
    REQUIRE(announce(0, 1, "ready").status == 200);
    (void)requestUntil(200, 1, "/bags/1");
    REQUIRE(announce(0, 3, "draining").status == 200);
    sidecars[0]->node = nullptr;
    sidecars[0]->node = std::make_unique<impl::MeshNode<Platform>>(sidecars[0]->settings);
    sidecars[0]->node->start();
    REQUIRE(announce(0, 2, "ready").status == 200);
    const int before = sidecars[0]->runs;
    for (int i = 0; i < 100; ++i) {
        CHECK(sendRequest(static_cast<std::size_t>(i % 2), "POST", "/bags/2").status == 503);
        std::this_thread::sleep_for(milliseconds(20));
    }
    CHECK(sidecars[0]->runs == before);
}

// Guards against requests with the service of a server that has ended as their caller, until the
// next server has sent a heartbeat (review/3).
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_settingsNameOtherService_callerIsThatService")
{
    REQUIRE(announce(0, 1, "ready").status == 200);
    REQUIRE(announce(1, 1, "ready").status == 200);
    (void)requestUntil(200, 0, "/bags/1");
    CHECK(sendRequest(0, "POST", "/bags/1?caller=1").body == "orders");
    SidecarSettings settings = sidecars[0]->settings;
    settings.backendServer.service = ServiceName("trucks");
    sidecars[0]->node->reload(settings);
    HttpResponse response;
    for (int i = 0; i < 100 && response.body != "trucks"; ++i) {
        std::this_thread::sleep_for(milliseconds(20));
        response = sendRequest(0, "POST", "/bags/1?caller=1");
    }
    CHECK(response.body == "trucks");
    REQUIRE(announce(0, 2, "ready").status == 200); // late, of the server that has ended
    for (int i = 0; i < 20; ++i)
        CHECK(sendRequest(0, "POST", "/bags/2?caller=1").body == "trucks");
}

// Guards against calls to the former address of the backend server after the settings have named
// another one: the node admits requests that the new server announces, and all of them fail.
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_settingsNameOtherAddress_requestsReachThatAddress")
{
    REQUIRE(announce(0, 1, "ready").status == 200);
    (void)requestUntil(200, 1, "/bags/1");
    LoopbackServer moved([](LoopbackServer &server, impl::ExchangeId id, HttpRequest &&request) {
        HttpResponse response = signedResponse(request);
        response.body = "moved";
        server.respond(id, std::move(response));
    });
    SidecarSettings settings = sidecars[0]->settings;
    settings.backendServer.address = moved.address();
    sidecars[0]->node->reload(settings);
    sidecars[0]->server = nullptr;
    const HttpResponse announced
        = call(settings.announceAddress, announcementOf("i-moved", moved.address(), 9, "ready"));
    REQUIRE(announced.status == 200);
    HttpResponse response;
    for (int i = 0; i < 200 && response.body != "moved"; ++i) {
        std::this_thread::sleep_for(milliseconds(20));
        response = sendRequest(1, "POST", "/bags/2");
    }
    CHECK(response.body == "moved");
}

// Guards against a planned stop that interrupts requests or leaves the node ready.
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_stopRequested_keepsServingWhileNotReady")
{
    REQUIRE(announce(0, 1, "ready").status == 200);
    (void)requestUntil(200, 1, "/bags/1");
    auto stopped = std::async(std::launch::async, [this] { sidecars[1]->node->drainAndStop(); });
    const NetAddress ready = sidecars[1]->settings.readyAddress;
    for (int i = 0; i < 100; ++i) {
        if (call(ready, { "GET", "/camphorreach/readiness" }).status == 503)
            break;
        std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(call(ready, { "GET", "/camphorreach/readiness" }).status == 503);
    CHECK(sendRequest(1, "POST", "/bags/2").status == 200);
    stopped.get();
}

// Guards against responses that are mixed up, cut off or out of order when clients send ahead and
// long responses pass between nodes in pieces.
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_longAndShortRequestsSentAhead_answeredWholeAndInOrder")
{
    REQUIRE(announce(0, 1, "ready").status == 200);
    (void)requestUntil(200, 1, "/bags/1");
    const std::vector<std::string> targets { "/ledgers/0?delay=200", "/ledgers/1?pad=540000",
                                             "/ledgers/2", "/ledgers/3?pad=90000&delay=50",
                                             "/ledgers/4?pad=20000" };
    const std::string bytes = sendAhead(1, targets);
    std::size_t at = 0;
    for (const std::string &target : targets) {
        const std::size_t bodyAt = bytes.find("\r\n\r\n", at) + 4;
        const std::string head = bytes.substr(at, bodyAt - at);
        const std::string expected
            = "GET " + target + " i-0 " + std::string(numberIn(target, "pad"), 'x');
        INFO(head);
        REQUIRE(head.find("HTTP/1.1 200") == 0);
        CHECK(head.find("X-Camphorreach-Attempt-Id: " + target + "\r\n") != std::string::npos);
        CHECK(head.find("Content-Length: " + std::to_string(expected.size()) + "\r\n")
              != std::string::npos);
        CHECK((bytes.compare(bodyAt, expected.size(), expected) == 0));
        at = bodyAt + expected.size();
    }
    CHECK(at == bytes.size());
}

// Guards against a node without a configuration that responds that an existing route does not
// exist.
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_noServerKnown_rejectsAtOnceWithRetryAfter")
{
    const HttpResponse response = requestUntil(503, 0, "/bags/1");
    CHECK(response.status == 503);
    CHECK_FALSE(response.header("Retry-After").empty());
}

} // namespace
} // namespace camphorreach
