// Tests of a router that has just started and knows no backend server yet.
#include <camphorreach/meshconfig.h>
#include <camphorreach/router.h>

#include <catch2/catch.hpp>

#include <memory>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An entry node that gets its configuration at its start. Servers announce themselves every 1.5 s.
class StartedRouterFixture
{
protected:
    StartedRouterFixture()
    {
        MeshConfig config;
        config.version = ConfigVersion(3);
        HostRoute route;
        route.host = "a.example";
        route.policy.name = RouteName("bags");
        route.policy.prefix = "/bags/";
        route.policy.targetLatency = milliseconds(500);
        route.policy.deadline = seconds(5);
        route.weightedServices.push_back({ ServiceName("orders"), 1 });
        config.routes.push_back(route);
        config.services.push_back({ ServiceName("orders"), 10 });
        process(EndpointsChanged { std::make_shared<EndpointTable>() });
        submit();
        process(SnapshotChanged { snapshotOf(config, Share::none()) });
    }

    static MeshRouter::Options options()
    {
        MeshRouter::Options result;
        result.queuesForCapacity = false;
        result.heartbeat = milliseconds(1500);
        return result;
    }

    template <typename Input>
    void process(Input input)
    {
        Outbox<MeshRouter::Output> outbox;
        router.process(std::move(input), now, outbox);
        collect(outbox);
    }
    // Runs the router's timers at their own times.
    void pass(Duration time)
    {
        const TimePoint end = now + time;
        for (auto next = router.nextDeadline(); next && *next <= end;
             next = router.nextDeadline()) {
            now = std::max(now, *next);
            Outbox<MeshRouter::Output> outbox;
            router.advance(now, outbox);
            collect(outbox);
            const auto again = router.nextDeadline();
            REQUIRE((!again || *again > now)); // its thread would not wait
        }
        now = end;
    }
    void submit()
    {
        ClientRequest request;
        request.id = RequestId(++lastId);
        request.budget = seconds(3);
        request.content = { "POST", "/bags/1", "", "x", "a.example" };
        process(std::move(request));
    }
    void announceServer()
    {
        Endpoint endpoint;
        endpoint.instance = InstanceId("node-1");
        endpoint.peer = { "127.0.0.1", 1 };
        endpoint.domain = FailureDomain("arima");
        endpoint.service = ServiceName("orders");
        endpoint.version = BackendVersion("v1");
        endpoint.slots = 4;
        auto table = std::make_shared<EndpointTable>();
        table->services[endpoint.service].push_back(endpoint);
        process(EndpointsChanged { table });
    }
    [[nodiscard]] const NotRun *notRunOf(std::uint64_t id) const
    {
        for (const ClientResponse &answer : answers) {
            if (answer.id == RequestId(id))
                return std::get_if<NotRun>(&answer.outcome);
        }
        return nullptr;
    }

    RandomSource random { 1 };
    MeshRouter router { FailureDomain("arima"), 100, options(), random };
    TimePoint now { seconds(100) };
    std::vector<ClientResponse> answers;
    std::size_t sends = 0;
    std::uint64_t lastId = 0;

private:
    void collect(Outbox<MeshRouter::Output> &outbox)
    {
        for (auto &output : outbox.take()) {
            if (auto *answer = std::get_if<ClientResponse>(&output))
                answers.push_back(std::move(*answer));
            sends += std::holds_alternative<PeerSend>(output) ? 1 : 0;
        }
    }
};

// Guards against the refusal of all requests of the second after all processes were killed.
TEST_CASE_METHOD(StartedRouterFixture, "StartWait_serverAnnouncedInTime_waitingRequestIsSent")
{
    submit();
    CHECK(answers.size() == 1); // of the request before the configuration
    pass(milliseconds(300));
    announceServer();
    CHECK(sends == 1);
    CHECK(answers.size() == 1);
    CHECK(router.startWaits() == 1);
}

// Guards against requests that are kept although they can no longer be answered in time, and
// against clients that spend their retries before the servers are known.
TEST_CASE_METHOD(StartedRouterFixture, "StartWait_noServerInTime_isRefusedWithItsReturn")
{
    submit();
    pass(milliseconds(320));
    CHECK(answers.size() == 1);
    pass(milliseconds(10));
    REQUIRE(notRunOf(2) != nullptr);
    CHECK(notRunOf(2)->reason == NotRunReason::NoEndpoint);
    CHECK(notRunOf(2)->retryAfter >= milliseconds(400));
    CHECK(notRunOf(2)->retryAfter <= milliseconds(700)); // a quarter of the time left
}

// Guards against a wait in a calm system, where a service without servers stays without them.
TEST_CASE_METHOD(StartedRouterFixture, "StartWait_longAfterStart_isRefusedAtOnce")
{
    pass(milliseconds(2600));
    submit();
    REQUIRE(notRunOf(2) != nullptr);
    CHECK(notRunOf(2)->retryAfter <= milliseconds(100));
    CHECK(router.startWaits() == 0);
}

TEST_CASE_METHOD(StartedRouterFixture, "StartWait_clientLeaves_nothingIsSent")
{
    submit();
    process(ClientDisconnected { RequestId(2) });
    announceServer();
    pass(seconds(1));
    CHECK(sends == 0);
    CHECK(answers.size() == 1);
}

// Guards against clients that come back at once, and are refused again, before the configuration is
// read.
TEST_CASE_METHOD(StartedRouterFixture, "StartWait_noConfiguration_refusalNamesAReturn")
{
    REQUIRE(notRunOf(1) != nullptr);
    CHECK(notRunOf(1)->reason == NotRunReason::NoConfiguration);
    CHECK(notRunOf(1)->retryAfter >= milliseconds(200));
}

} // namespace
} // namespace camphorreach
