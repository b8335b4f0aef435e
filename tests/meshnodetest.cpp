// Whole path on the users' platform: real nodes on loopback, with stand-ins for store and servers.
#include "../platform/announcements.h"
#include "../platform/names.h"
#include "../platform/requests.h"
#include "../platform/store.h"

#include "nodefixture.h"

#include <camphorreach/impl/meshnode.h>
#include <camphorreach/result.h>

#include <boost/json.hpp>
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

// Two nodes, each beside a server of "orders". The store holds one configuration; its watches wait.
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
        store = std::make_unique<LoopbackServer>(
            [this](LoopbackServer &server, impl::ExchangeId id, HttpRequest &&request) {
                if (auto response = onStore(request))
                    server.respond(id, *std::move(response));
            });
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
        settings.platform = store->address();
        settings.randomSeed = number + 1;
        settings.logLevel = LogLevel::Error;
    }

    static HttpResponse signedAnswer(const HttpRequest &request)
    {
        const std::string id(request.header("X-Camphorreach-Attempt-Id"));
        return {
            200,
            { { "X-Camphorreach-Attempt-Id", id }, { "X-Camphorreach-Response-Seal", "seal" } },
            request.method + " " + request.target + " "
                + std::string(request.header("X-Camphorreach-Target-Instance")) + " " + request.body
        };
    }

    // Runs on the store's thread only.
    std::optional<HttpResponse> onStore(const HttpRequest &request)
    {
        if (request.target.find("watch=") != std::string::npos)
            return std::nullopt; // nothing changes in these tests
        if (request.method == "POST") {
            const auto body = boost::json::parse(request.body).as_object();
            nodes.push_back(
                R"({"metadata":{"name":)" + boost::json::serialize(body.at("metadata").at("name"))
                + R"(,"revision":3},"spec":)" + boost::json::serialize(body.at("spec")) + "}");
            return HttpResponse { 201, {}, nodes.back() };
        }
        std::string items;
        if (request.target.find("/config") != std::string::npos) {
            items = configItem;
        } else if (request.target.find("nodes") != std::string::npos) {
            for (const std::string &node : nodes)
                items += (items.empty() ? "" : ",") + node;
        }
        return HttpResponse { 200,
                              {},
                              R"({"items":[)" + items + R"(],"has_more":false,"at_rev":5})" };
    }

    HttpResponse call(const NetAddress &to, HttpRequest request)
    {
        std::promise<impl::HttpResult> done;
        boost::asio::post(client.io(), [&] {
            auto connection = std::make_shared<impl::HttpClient>(client.io(), to, 1);
            connection->send(std::move(request), seconds(5),
                             [&done, connection](impl::HttpResult &&result) {
                                 done.set_value(std::move(result));
                             });
        });
        auto result = done.get_future().get();
        auto *response = std::get_if<HttpResponse>(&result);
        return response != nullptr ? std::move(*response) : HttpResponse { 0, {}, "" };
    }

    HttpResponse announce(std::size_t number, std::uint64_t sequence, const char *state)
    {
        const SidecarSettings &settings = sides[number]->settings;
        return call(settings.announceAddress,
                    { "PUT",
                      "/camphorreach/instances/i-" + std::to_string(number),
                      {},
                      R"({"address":")" + toText(settings.backendServer.address)
                          + R"(","born":1,"server_info":{"service":"orders","version":"v1",)"
                          + R"("zone":"arima","slots":4},"status":{"state":")" + state
                          + R"(","sequence":)" + std::to_string(sequence)
                          + R"(,"warmup_left_ms":0}})" });
    }

    HttpResponse ask(std::size_t number, const std::string &method, const std::string &target)
    {
        return call(sides[number]->settings.guestAddress,
                    { method,
                      target,
                      { { "Host", "a.example" },
                        { "X-Camphorreach-Attempt-Id", "id-" + std::to_string(++attempts) },
                        { "X-Camphorreach-Deadline-Ms", "2000" } },
                      "bags" });
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

    static constexpr const char *configItem = R"({"metadata":{"name":"main","revision":4},
        "spec":{"version":7,"routes":{"columns":["name","host","path_prefix","route_kind",
        "timeout_ms","target_latency_ms","priority","service","max_attempts","traffic_split"],
        "rows":[["r-1","a.example","/bags/","non_idempotent",1000,500,1,"orders",2,null]]},
        "services":{"columns":["name","health_path","max_connections","protocol","tls"],
        "rows":[["orders","/health",110,"h1",false]]},
        "limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}},"status":null})";

    const std::vector<NetAddress> addresses = freeAddresses(8); // four for each node
    std::vector<std::string> nodes; // records in the store
    std::unique_ptr<LoopbackServer> store;
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
