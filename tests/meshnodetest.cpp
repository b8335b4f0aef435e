// Whole path on the users' platform: real nodes on loopback, with stand-ins for store and servers.
#include "../platform/announcements.h"
#include "../platform/names.h"
#include "../platform/requests.h"
#include "../platform/store.h"

#include "storestandin.h"

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
    using Guests = platform::ClientDialect;
    using Backend = platform::ServerDialect;
    using Store = platform::StoreCodec;

    static impl::LocalMessage decodeLocal(const HttpRequest &request)
    {
        return platform::decodeAnnouncement(request);
    }
    static const char *readyPath() { return platform::readyPath; }
    static const char *announcementPrefix() { return platform::instancesPath; }
};

// Two nodes, each beside a server of "orders".
class MeshNodeFixture
{
protected:
    struct Side
    {
        std::unique_ptr<LoopbackServer> server;
        SidecarSettings settings;
        std::unique_ptr<impl::MeshNode<Platform>> node;
        std::atomic<int> runs { 0 };
    };

    MeshNodeFixture()
    {
        for (std::size_t i = 0; i < 2; ++i) {
            auto side = std::make_unique<Side>();
            Side *self = side.get();
            side->server = std::make_unique<LoopbackServer>(
                [self](LoopbackServer &server, impl::ExchangeId id, HttpRequest &&request) {
                    ++self->runs;
                    server.respond(id, signedAnswer(request));
                });
            configure(side->settings, i, side->server->address());
            sides.push_back(std::move(side));
        }
        for (auto &side : sides) {
            side->node = std::make_unique<impl::MeshNode<Platform>>(side->settings);
            side->node->start();
        }
        client.start();
    }
    ~MeshNodeFixture()
    {
        client.stop();
        for (auto &side : sides)
            side->node.reset();
    }

    void configure(SidecarSettings &settings, std::size_t number, const NetAddress &server) const
    {
        settings.instance = InstanceId("node-" + std::to_string(number));
        settings.domain = FailureDomain("arima");
        settings.guestAddress = addresses[4 * number];
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
        const SidecarSettings &settings = sides[number]->settings;
        return call(settings.announceAddress,
                    announcementOf("i-" + std::to_string(number), settings.backendServer.address,
                                   sequence, state));
    }

    HttpResponse ask(std::size_t number, const std::string &method, const std::string &target)
    {
        return call(sides[number]->settings.guestAddress,
                    requestOf("id-" + std::to_string(++attempts), method, target, "bags"));
    }

    // Asks until the answer has this status; the stand-ins give no sign when they have been found.
    HttpResponse askUntil(std::uint16_t status, std::size_t number, const std::string &target)
    {
        HttpResponse response;
        for (int i = 0; i < 500; ++i) {
            response = ask(number, "POST", target);
            if (response.status == status)
                break;
            std::this_thread::sleep_for(milliseconds(20));
        }
        return response;
    }

    const std::vector<NetAddress> addresses = freeAddresses(8); // four for each node
    StoreStandin store;
    std::vector<std::unique_ptr<Side>> sides;
    impl::IoThread client;
    int attempts = 0;
};

// Guards against a path that is broken between its processes, and against changed requests.
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_requestOnARoute_isAnsweredByTheServerUnchanged")
{
    REQUIRE(announce(0, 1, "ready").status == 200);
    const HttpResponse response = askUntil(200, 1, "/bags/7?size=2");
    CHECK(response.body == "POST /bags/7?size=2 i-0 bags");
    CHECK(response.header("X-Camphorreach-Response-Seal") == "seal");
    CHECK(call(sides[1]->settings.readyAddress, { "GET", "/camphorreach/readiness" }).status
          == 200);
    CHECK(ask(1, "POST", "/other/7").status == 404);
}

// Guards against work for a server that said it leaves, from any node.
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_serverDrains_otherServerGetsTheWork")
{
    REQUIRE(announce(0, 1, "ready").status == 200);
    REQUIRE(announce(1, 1, "ready").status == 200);
    (void)askUntil(200, 0, "/bags/1");
    (void)askUntil(200, 1, "/bags/1");
    REQUIRE(announce(0, 2, "draining").status == 200);
    const HttpResponse last = askUntil(200, 0, "/bags/2");
    CHECK(last.status == 200);
    // The other node's answer shows that the gate has closed; no request runs at the first server.
    for (int i = 0; i < 100 && ask(0, "POST", "/bags/3").body.find("i-0") != std::string::npos; ++i)
        std::this_thread::sleep_for(milliseconds(10));
    const int before = sides[0]->runs;
    for (int i = 0; i < 20; ++i)
        CHECK(ask(static_cast<std::size_t>(i % 2), "POST", "/bags/4").status == 200);
    CHECK(sides[0]->runs == before);
}

// Guards against a planned stop that cuts requests or leaves the node ready.
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_stopAsked_servesOnWhileItIsNoLongerReady")
{
    REQUIRE(announce(0, 1, "ready").status == 200);
    (void)askUntil(200, 1, "/bags/1");
    auto stopped = std::async(std::launch::async, [this] { sides[1]->node->drainAndStop(); });
    const NetAddress ready = sides[1]->settings.readyAddress;
    for (int i = 0; i < 100; ++i) {
        if (call(ready, { "GET", "/camphorreach/readiness" }).status == 503)
            break;
        std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(call(ready, { "GET", "/camphorreach/readiness" }).status == 503);
    CHECK(ask(1, "POST", "/bags/2").status == 200);
    stopped.get();
}

// Guards against a node without configuration that denies a route which exists.
TEST_CASE_METHOD(MeshNodeFixture, "MeshNode_noServerKnown_refusesAtOnceWithATimeToComeBack")
{
    const HttpResponse response = askUntil(503, 0, "/bags/1");
    CHECK(response.status == 503);
    CHECK_FALSE(response.header("Retry-After").empty());
}

} // namespace
} // namespace camphorreach
