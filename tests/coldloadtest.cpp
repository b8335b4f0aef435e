// Replay of a service's load through routers and gates while a third of its servers is cold.
#include "../src/bench/meshmodel.h"

#include <camphorreach/meshconfig.h>
#include <camphorreach/result.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorreach {
namespace {

using bench::EventLoop;
using bench::Runner;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t nodeCount = 18; // each with an entry and a server, in three failure domains
constexpr std::uint32_t slots = 6;
constexpr Duration meanServiceTime = milliseconds(180);
constexpr double capacity = nodeCount * slots / 0.180; // requests per second
constexpr WarmUpRate coldRate { 8700 };
constexpr Duration networkLatency = std::chrono::microseconds(500);

class ColdLoadFixture
{
protected:
    struct Node
    {
        std::unique_ptr<RandomSource> random;
        std::unique_ptr<Runner<MeshRouter>> router;
        std::unique_ptr<Runner<Gate>> gate;
        std::vector<TimePoint> starts;
        TimePoint coldSince = TimePoint::max();
    };

    ColdLoadFixture()
    {
        auto table = std::make_shared<EndpointTable>();
        for (std::size_t i = 0; i < nodeCount; ++i) {
            Endpoint endpoint;
            endpoint.instance = InstanceId("node-" + std::to_string(i));
            endpoint.peer = { "127.0.0.1", static_cast<std::uint16_t>(i + 1) };
            endpoint.domain = domainOf(i);
            endpoint.region = "tt-north";
            endpoint.service = ServiceName("orders");
            endpoint.version = BackendVersion("v1");
            endpoint.slots = slots;
            table->services[endpoint.service].push_back(endpoint);
            nodes.push_back(makeNode(i, endpoint));
        }
        const auto snapshot = snapshotOf(config(), Share::none());
        for (std::size_t i = 0; i < nodeCount; ++i) {
            nodes[i].router->process(SnapshotChanged { snapshot });
            nodes[i].router->process(EndpointsChanged { table });
            nodes[i].gate->process(SnapshotChanged { snapshot });
            announce(i, Duration::zero());
        }
    }

    static FailureDomain domainOf(std::size_t node)
    {
        constexpr std::array names { "arima", "chaguanas", "port-spain" };
        return FailureDomain(names[node % names.size()]);
    }

    static MeshConfig config()
    {
        MeshConfig result;
        result.version = ConfigVersion(1);
        HostRoute route;
        route.host = "a.example";
        route.policy.name = RouteName("bags");
        route.policy.prefix = "/";
        route.policy.deadline = seconds(2);
        route.policy.targetLatency = milliseconds(600);
        route.policy.maxAttempts = 2;
        route.weightedServices.push_back({ ServiceName("orders"), 1 });
        result.routes.push_back(route);
        result.services.push_back({ ServiceName("orders"), 570 });
        result.services.back().warmUp = WarmUpPolicy { seconds(3), coldRate };
        return result;
    }

    Node makeNode(std::size_t index, const Endpoint &endpoint)
    {
        Node node;
        node.random = std::make_unique<RandomSource>(index + 1);
        MeshRouter::Options options;
        options.queuesForCapacity = false;
        options.retries = { 1.0, 1.0 };
        node.router = std::make_unique<Runner<MeshRouter>>(
            loop, [this, index](MeshRouter::Output &&output) { onRouterOutput(index, output); },
            endpoint.domain, 4096, options, *node.random);
        Gate::Limits limits;
        limits.needsAnnouncement = true;
        limits.rejectsEarly = true;
        limits.queue.isFair = true;
        node.gate = std::make_unique<Runner<Gate>>(
            loop, [this, index](Gate::Output &&output) { onGateOutput(index, output); }, limits,
            endpoint.service, endpoint.peer, *node.random);
        return node;
    }

    void announce(std::size_t node, Duration left)
    {
        nodes[node].gate->process(BackendAnnounced { InstanceId("i-" + std::to_string(node)),
                                                     ServiceName("orders"), BackendVersion("v1"),
                                                     slots, true, left });
    }

    void onRouterOutput(std::size_t index, MeshRouter::Output &output)
    {
        if (auto *response = std::get_if<ClientResponse>(&output)) {
            const bool isAnswered = std::holds_alternative<Answered>(response->outcome);
            served += isAnswered ? 1 : 0;
            if (!isAnswered)
                refusals.push_back(loop.now() - arrivals.at(response->id));
            return;
        }
        auto *send = std::get_if<PeerSend>(&output);
        if (send == nullptr)
            return;
        loop.after(networkLatency,
                   [this, index, gate = send->to.port - 1U,
                    message = std::get<RequestMessage>(send->message)] {
                       if (const auto *forward = std::get_if<ForwardRequest>(&message))
                           nodes[gate].gate->process(ForwardReceived { LinkId(index), *forward });
                       else if (const auto *cancel = std::get_if<ForwardCancel>(&message))
                           nodes[gate].gate->process(CancelReceived { LinkId(index), cancel->id });
                   });
    }

    void onGateOutput(std::size_t index, Gate::Output &output)
    {
        if (auto *reply = std::get_if<ForwardReply>(&output)) {
            loop.after(networkLatency, [this, index, reply = *reply] {
                const NetAddress from { "127.0.0.1", static_cast<std::uint16_t>(index + 1) };
                nodes[reply.link.value()].router->process(
                    PeerReceived<ForwardResponse> { from, reply.answer });
            });
        } else if (const auto *call = std::get_if<BackendCall>(&output)) {
            nodes[index].starts.push_back(loop.now());
            const double factor = 0.5 + uniformFraction(random);
            loop.after(scaled(meanServiceTime, factor), [this, index, id = call->id] {
                nodes[index].gate->process(BackendResult { id, Answered {} });
            });
        }
    }

    // Poisson arrivals, at an entry chosen at random.
    void generate(double rate, TimePoint end)
    {
        if (loop.now() >= end)
            return;
        ClientRequest request;
        request.id = RequestId(arrivals.size() + 1);
        request.budget = seconds(2);
        request.content = { "POST", "/bags/1", "", std::to_string(arrivals.size()), "a.example" };
        arrivals.emplace(request.id, loop.now());
        nodes[uniformBelow(random, nodeCount)].router->process(std::move(request));
        const double gap = -std::log(1.0 - uniformFraction(random)) / rate;
        loop.after(scaled(seconds(1), gap), [this, rate, end] { generate(rate, end); });
    }
    void load(double rate, Duration time)
    {
        const TimePoint end = loop.now() + time;
        generate(rate, end);
        loop.runUntil(end);
    }

    // A third of the servers, of every failure domain.
    void turnCold(Duration left)
    {
        for (std::size_t i = 0; i < nodeCount / 3; ++i) {
            nodes[i].coldSince = loop.now();
            announce(i, left);
        }
    }
    // Of any sliding second that ends with a start while its server is cold.
    [[nodiscard]] std::size_t maxColdStartsPerSecond(Duration coldTime) const
    {
        std::size_t result = 0;
        for (const Node &node : nodes) {
            for (const TimePoint start : node.starts) {
                if (start <= node.coldSince || start - node.coldSince >= coldTime)
                    continue;
                result = std::max(result, startsWithin(node, start - seconds(1), start));
            }
        }
        return result;
    }
    [[nodiscard]] static std::size_t startsWithin(const Node &node, TimePoint after,
                                                  TimePoint until)
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            node.starts, [=](TimePoint start) { return start > after && start <= until; }));
    }

    EventLoop loop;
    RandomSource random { 77 };
    std::vector<Node> nodes;
    std::map<RequestId, TimePoint> arrivals;
    std::size_t served = 0;
    std::vector<Duration> refusals; // time taken by each
};

// Guards against routers and gates that together send a cold server more than it tolerates, that
// leave it without requests, or that let the requests wait which it cannot take.
TEST_CASE_METHOD(ColdLoadFixture, "ColdLoad_thirdOfTheServersCold_rateHoldsAndLoadGoesElsewhere")
{
    const double ofCapacity = GENERATE(0.6, 1.0, 1.3);
    load(ofCapacity * capacity, seconds(3));
    turnCold(seconds(5));
    const std::size_t sentBefore = arrivals.size();
    const std::size_t servedBefore = served;
    load(ofCapacity * capacity, seconds(5));
    CHECK(maxColdStartsPerSecond(seconds(5)) <= coldRate.value() / 1000);
    const TimePoint coldAt = nodes.front().coldSince;
    for (std::size_t i = 0; i < nodeCount / 3; ++i) {
        // From the second one on, a cold server gets at least half of what it tolerates.
        const std::size_t starts = startsWithin(nodes[i], coldAt + seconds(1), coldAt + seconds(5));
        CHECK(starts * 2 >= 4 * coldRate.value() / 1000);
    }
    const double capacityLeft = capacity * 2 / 3 + nodeCount / 3.0 * coldRate.value() / 1000;
    const double expected = std::min(ofCapacity * capacity, capacityLeft);
    const auto servedWhileCold = static_cast<double>(served - servedBefore);
    INFO("sent " << arrivals.size() - sentBefore << " served " << servedWhileCold << " of "
                 << expected * 5);
    CHECK(servedWhileCold >= 0.9 * expected * 5);
    // Below the capacity that is left, nothing waits in vain. Above it, the gates of warm servers
    // let some late requests wait, as they do without cold servers.
    const auto lateRefusals
        = std::ranges::count_if(refusals, [](Duration time) { return time > milliseconds(100); });
    INFO("refused " << refusals.size() << " late " << lateRefusals);
    CHECK((ofCapacity >= 1 || static_cast<std::size_t>(lateRefusals) * 10 <= refusals.size()));
}

} // namespace
} // namespace camphorreach
