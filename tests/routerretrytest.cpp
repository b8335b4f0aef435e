// Tests of retries in a router that serves several organisations.
#include <camphorreach/meshconfig.h>
#include <camphorreach/result.h>
#include <camphorreach/router.h>

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A service with eight endpoints and repeatable requests, of which every attempt fails. Its retry
// budget earns a tenth of the requests.
class RouterRetryFixture
{
protected:
    RouterRetryFixture() : router(FailureDomain("arima"), 2000, options(), random)
    {
        MeshConfig config;
        config.version = ConfigVersion(1);
        HostRoute route;
        route.host = "a.example";
        route.policy.name = RouteName("hats");
        route.policy.prefix = "/hats/";
        route.policy.isIdempotent = true;
        route.policy.maxAttempts = 2;
        route.policy.deadline = seconds(1);
        route.weightedServices.push_back({ ServiceName("orders"), 1 });
        config.routes.push_back(route);
        config.services.push_back({ ServiceName("orders"), 10 });
        config.organisations = { { OrganisationName("ice-depot"), { ApiKey("k1") } },
                                 { OrganisationName("quarry"), { ApiKey("k2") } } };
        auto table = std::make_shared<EndpointTable>();
        for (std::uint16_t i = 1; i <= 8; ++i) {
            Endpoint endpoint;
            endpoint.instance = InstanceId("node-" + std::to_string(i));
            endpoint.peer = { "127.0.0.1", i };
            endpoint.domain = FailureDomain("arima");
            endpoint.service = ServiceName("orders");
            endpoint.version = BackendVersion("v1");
            endpoint.slots = 4;
            table->services[endpoint.service].push_back(endpoint);
        }
        process(SnapshotChanged { snapshotOf(config, Share::fromFraction(0.1), 77) });
        process(EndpointsChanged { table });
    }

    static MeshRouter::Options options()
    {
        MeshRouter::Options result;
        result.queuesForCapacity = false;
        return result;
    }

    template <typename Input>
    void process(Input input)
    {
        Outbox<MeshRouter::Output> outbox;
        router.process(std::move(input), now, outbox);
        for (auto &output : outbox.take()) {
            const auto *send = std::get_if<PeerSend>(&output);
            if (send == nullptr)
                continue;
            if (const auto *request = std::get_if<RequestMessage>(&send->message)) {
                if (const auto *forward = std::get_if<ForwardRequest>(request))
                    attempts.emplace_back(send->to, *forward);
            }
        }
    }

    // Sends a request, lets all its attempts fail, and returns their number.
    std::size_t attemptsOfARequest(const std::string &key)
    {
        attempts.clear();
        ClientRequest request;
        request.id = RequestId(++lastId);
        request.budget = seconds(1);
        request.content = { "GET", "/hats/1", "", "", "a.example" };
        request.apiKey = ApiKey(key);
        process(std::move(request));
        for (std::size_t i = 0; i < attempts.size(); ++i) {
            now += milliseconds(1);
            const auto [to, forward] = attempts[i];
            Answered failure;
            failure.status = 500;
            process(PeerReceived<ForwardResponse> { to, { forward.id, failure, {} } });
        }
        now += milliseconds(10);
        return attempts.size();
    }

    RandomSource random { 1 };
    MeshRouter router;
    TimePoint now { seconds(100) };
    std::vector<std::pair<NetAddress, ForwardRequest>> attempts;
    std::uint64_t lastId = 0;
};

// Guards against an organisation whose requests all fail and that takes every token of a service,
// so that a failure of another one's request is not retried.
TEST_CASE_METHOD(RouterRetryFixture, "RouterRetry_oneOrganisationFails_requestsOfOthersAreRetried")
{
    std::size_t retriesOfFailing = 0;
    for (int i = 0; i < 500; ++i) {
        if (i % 50 == 49)
            CHECK(attemptsOfARequest("k2") == 2);
        retriesOfFailing += attemptsOfARequest("k1") - 1;
    }
    CHECK(retriesOfFailing >= 25);
}

} // namespace
} // namespace camphorreach
