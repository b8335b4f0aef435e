// Tests of quotas in a router, from the key of a request to its refusal, with one node that is its
// own owner.
#include <camphorreach/meshconfig.h>
#include <camphorreach/result.h>
#include <camphorreach/router.h>

#include <catch2/catch.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Organisation "ice-depot" has 10 requests a second; "quarry" has no quota. Messages to the node
// itself arrive at once.
class RouterQuotaFixture
{
protected:
    RouterQuotaFixture() : router(FailureDomain("arima"), 2000, options(), random)
    {
        MeshConfig config;
        config.version = ConfigVersion(1);
        HostRoute route;
        route.host = "a.example";
        route.policy.name = RouteName("bags");
        route.policy.prefix = "/bags/";
        route.weightedServices.push_back({ ServiceName("orders"), 1 });
        config.routes.push_back(route);
        config.services.push_back({ ServiceName("orders"), 10 });
        config.organisations = { { OrganisationName("ice-depot"),
                                   { ApiKey("k1") },
                                   {},
                                   RequestQuota { RequestRate(10), RequestCount(10) } },
                                 { OrganisationName("quarry"), { ApiKey("k2") } } };
        auto table = std::make_shared<EndpointTable>();
        Endpoint endpoint;
        endpoint.instance = InstanceId("node-1");
        endpoint.peer = self;
        endpoint.domain = FailureDomain("arima");
        endpoint.service = ServiceName("orders");
        endpoint.version = BackendVersion("v1");
        endpoint.slots = 4;
        table->services[endpoint.service].push_back(endpoint);
        process(SnapshotChanged { snapshotOf(config, Share::none(), 77) });
        process(EndpointsChanged { table });
        advance(seconds(10)); // a fleet that has just started lends nothing at first
    }

    static MeshRouter::Options options()
    {
        MeshRouter::Options result;
        result.queuesForCapacity = false;
        result.quotas = QuotaOptions { self, { seconds(5), Share::fromFraction(0.1), 20 } };
        return result;
    }

    template <typename Input>
    void process(Input input)
    {
        Outbox<MeshRouter::Output> outbox;
        router.process(std::move(input), now, outbox);
        collect(outbox);
    }
    void advance(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += milliseconds(1)) {
            Outbox<MeshRouter::Output> outbox;
            router.advance(now, outbox);
            collect(outbox);
        }
    }
    void collect(Outbox<MeshRouter::Output> &outbox)
    {
        for (auto &output : outbox.take()) {
            if (auto *answer = std::get_if<ClientResponse>(&output))
                answers.emplace(answer->id.value(), std::move(answer->outcome));
            auto *send = std::get_if<PeerSend>(&output);
            if (send == nullptr)
                continue;
            if (auto *request = std::get_if<RequestMessage>(&send->message)) {
                if (const auto *forward = std::get_if<ForwardRequest>(request))
                    ++forwarded[forward->organisation];
            } else if (auto *quota = std::get_if<QuotaMessage>(&send->message)) {
                process(PeerReceived<QuotaMessage> { self, std::move(*quota) });
            }
        }
    }
    void submit(const std::string &key, int count)
    {
        for (int i = 0; i < count; ++i) {
            ClientRequest request;
            request.id = RequestId(++lastId);
            request.budget = seconds(4);
            request.content = { "POST", "/bags/1", "", "x", "a.example" };
            request.apiKey = ApiKey(key);
            process(std::move(request));
        }
    }

    static inline const NetAddress self { "127.0.0.1", 1 };
    RandomSource random { 1 };
    MeshRouter router;
    TimePoint now { seconds(100) };
    std::map<OrganisationName, int> forwarded;
    std::map<std::uint64_t, Outcome> answers;
    std::uint64_t lastId = 0;
};

// Guards against a quota that is decided for the key of a request but not applied to it, and
// against one organisation's quota that limits another.
TEST_CASE_METHOD(RouterQuotaFixture,
                 "RouterQuota_oneOrganisationSendsTooMuch_onlyItsExcessIsRefused")
{
    constexpr int sent = 400;
    constexpr int maxInWindow = 86; // (10 * 5 s + 10) * 1.1 + 20
    submit("k1", sent);
    submit("k2", sent);
    advance(milliseconds(3500));
    const int admitted = forwarded[OrganisationName("ice-depot")];
    CHECK(admitted > 0);
    CHECK(admitted <= maxInWindow);
    CHECK(forwarded[OrganisationName("quarry")] == sent);
    int refused = 0;
    for (const auto &[id, outcome] : answers) {
        const auto *notRun = std::get_if<NotRun>(&outcome);
        if (notRun == nullptr)
            continue; // forwarded; no gate answers here
        CHECK(notRun->reason == NotRunReason::OverQuota);
        CHECK(notRun->retryAfter > Duration::zero());
        ++refused;
    }
    CHECK(admitted + refused == sent);
}

} // namespace
} // namespace camphorreach
