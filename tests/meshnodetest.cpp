// End-to-end tests on the users' platform: real nodes on loopback, with stand-ins for the store and
// the backend servers.
#include "../platform/announcements.h"
#include "../platform/names.h"
#include "../platform/requests.h"
#include "../platform/store.h"

#include "fakestore.h"

#include <camphorreach/impl/meshnode.h>
#include <camphorreach/result.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

namespace camphorreach {
namespace {

using impl::HttpRequest;
using impl::HttpResponse;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Platform
{
    using Clients = platform::ClientDialect;
    using Backend = platform::ServerDialect;
    using Store = platform::StoreCodec;

    static impl::BackendServerMessage decodeAnnouncement(const HttpRequest &request)
    {
        return platform::decodeAnnouncement(request);
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
                    server.respond(id, signedResponse(request));
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
