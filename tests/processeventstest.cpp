// Tests of signals in every phase of a real process.
#include "fakestore.h"
#include "sidecarprocess.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <thread>

namespace camphorreach {
namespace {

using impl::HttpRequest;
using impl::HttpResponse;
using std::chrono::milliseconds;

// One node as a process, with a backend server that responds slowly to "/bags/slow".
class SidecarProcessFixture
{
protected:
    SidecarProcessFixture()
        : server([this](LoopbackServer &self, impl::ExchangeId id, HttpRequest &&request) {
              const bool isSlow = request.target == "/bags/slow";
              if (isSlow)
                  slowRuns.set_value();
              self.respondLater(id, signedResponse(request),
                                isSlow ? serviceTime : milliseconds(1));
          })
    {
        const std::vector<NetAddress> addresses = freeAddresses(4);
        settings.instance = InstanceId("node-1");
        settings.domain = FailureDomain("arima");
        settings.clientAddress = addresses[0];
        settings.peerAddress = addresses[1];
        settings.readyAddress = addresses[2];
        settings.announceAddress = addresses[3];
        settings.backendServer = { server.address(), ServiceName("orders") };
        settings.platform = store.address();
        client.start();
    }
    ~SidecarProcessFixture() { client.stop(); }

    HttpResponse sendRequest(const std::string &target)
    {
        return callOnce(client, settings.clientAddress,
                        requestOf("id-" + std::to_string(++attempts), "POST", target, "bags"));
    }

    // The node rejects requests until it has read the store and received an announcement.
    [[nodiscard]] bool waitUntilServing()
    {
        for (std::uint64_t i = 1; i < 500; ++i) {
            (void)callOnce(client, settings.announceAddress,
                           announcementOf("i-1", settings.backendServer.address, i, "ready"));
            if (sendRequest("/bags/1").status == 200)
                return true;
            std::this_thread::sleep_for(milliseconds(20));
        }
        return false;
    }

    // Sends a slow request and returns once the server runs it.
    std::future<HttpResponse> startSlowRequest()
    {
        auto response
            = std::async(std::launch::async, [this] { return sendRequest("/bags/slow"); });
        slowRuns.get_future().wait();
        return response;
    }

    static constexpr Duration serviceTime = milliseconds(600);

    std::promise<void> slowRuns;
    FakeStore store;
    LoopbackServer server;
    SidecarSettings settings;
    impl::IoThread client;
    std::atomic<int> attempts { 0 };
};

// Guards against a drain that a second signal aborts with requests in flight.
TEST_CASE_METHOD(SidecarProcessFixture, "Sidecar_secondSignalInADrain_answersWhatIsInFlight")
{
    const int second = GENERATE(SIGHUP, SIGTERM, SIGINT);
    SidecarProcess process(settings);
    REQUIRE(waitUntilServing());
    auto response = startSlowRequest();
    process.send(SIGTERM);
    REQUIRE(process.waitForLog("event=stop-asked"));
    process.send(second);
    CHECK(response.get().status == 200);
    CHECK(process.exitCode() == 0);
}

// Guards against a settings change that disturbs a drain.
TEST_CASE_METHOD(SidecarProcessFixture, "Sidecar_settingsChangeInADrain_answersWhatIsInFlight")
{
    SidecarProcess process(settings);
    REQUIRE(waitUntilServing());
    auto response = startSlowRequest();
    process.send(SIGTERM);
    REQUIRE(process.waitForLog("event=stop-asked"));
    process.touchSettings();
    CHECK(response.get().status == 200);
    CHECK(process.waitForLog("cause=file ignored=stopping"));
    CHECK(process.exitCode() == 0);
}

// Guards against a process that accepts connections before it can handle signals.
TEST_CASE_METHOD(SidecarProcessFixture, "Sidecar_signalsWhileItStarts_reloadsAndThenStops")
{
    SidecarProcess process(settings);
    REQUIRE(process.waitForLog("event=started"));
    process.send(SIGHUP);
    REQUIRE(process.waitForLog("event=settings-reloaded"));
    process.send(SIGTERM);
    process.send(SIGHUP);
    REQUIRE(process.waitForLog("event=stopped"));
    CHECK(process.exitCode() == 0);
}

} // namespace
} // namespace camphorreach
