// Tests of roll-outs within seconds, over several nodes under virtual time.
#include <camphorreach/random.h>
#include <camphorreach/result.h>
#include <camphorreach/rollouts.h>

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <set>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Nodes with their own counts, a store that holds one order, and traffic for its service.
class RolloutsFixture
{
protected:
    static constexpr std::size_t nodeCount = 4;
    static constexpr Duration ramp = seconds(12);
    static constexpr int requestsPerTick = 10; // every 20 ms, over all nodes: 500 a second

    RolloutsFixture()
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            Endpoint endpoint;
            endpoint.instance = InstanceId("node-" + std::to_string(i));
            endpoint.peer = { "127.0.0.1", static_cast<std::uint16_t>(i + 1) };
            endpoint.service = ServiceName("orders");
            endpoints.push_back(endpoint);
            nodes.push_back(std::make_unique<Rollouts>(endpoint, RolloutPolicy {}));
        }
        publishEndpoints();
        order.service = ServiceName("orders");
        order.target = BackendVersion("v2");
        order.ramp = ramp;
        order.version = ObjectVersion(10);
        publishOrder();
    }

    void publishEndpoints()
    {
        auto table = std::make_shared<EndpointTable>();
        table->services[ServiceName("orders")] = endpoints;
        for (std::size_t i = 0; i < nodeCount; ++i)
            give(i, EndpointsChanged { table });
    }

    void publishOrder()
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (!isCutOff(i))
                give(i, OrdersChanged { { order } });
        }
    }

    [[nodiscard]] bool isCutOff(std::size_t node) const { return cutOff && *cutOff == node; }

    template <typename Input>
    void give(std::size_t node, Input input)
    {
        Outbox<Rollouts::Output> outbox;
        nodes[node]->process(std::move(input), now, outbox);
        deliver(node, outbox);
    }

    void deliver(std::size_t from, Outbox<Rollouts::Output> &outbox)
    {
        for (auto &output : outbox.take()) {
            if (auto *send = std::get_if<PeerSend>(&output)) {
                const std::size_t to = send->to.port - 1U;
                if (!isCutOff(from) && !isCutOff(to))
                    give(to,
                         PeerReceived<RolloutMessage> {
                             {}, std::get<RolloutMessage>(std::move(send->message)) });
            } else if (auto *call = std::get_if<StoreCall>(&output)) {
                onCall(from, *call);
            }
        }
    }

    // The store applies a write only to the version that it names.
    void onCall(std::size_t from, const StoreCall &call)
    {
        const auto &judge = std::get<StoreJudge>(call.operation);
        writers.insert(from);
        if (judge.order.version != order.version) {
            give(from, StoreReply { call.id, StoreRefusal { StoreRefusal::Reason::Conflict } });
            return;
        }
        order.state = judge.state;
        order.version = next(order.version);
        if (order.state == RolloutState::Completed || order.state == RolloutState::RolledBack)
            endedAt = now;
        give(from, StoreReply { call.id, StoreWritten { order.version } });
        publishOrder();
    }

    // Sends traffic for \a time. \a isBad tells which requests of the new version fail.
    template <typename IsBad>
    void run(Duration time, IsBad isBad)
    {
        constexpr Duration step = milliseconds(20);
        for (const TimePoint end = now + time; now < end; now += step) {
            for (int i = 0; i < requestsPerTick; ++i)
                sendOne(isBad);
            for (std::size_t i = 0; i < nodeCount; ++i) {
                Outbox<Rollouts::Output> outbox;
                nodes[i]->advance(now, outbox);
                deliver(i, outbox);
            }
        }
    }

    template <typename IsBad>
    void sendOne(IsBad isBad)
    {
        const std::size_t node = sent++ % nodeCount;
        const auto share = nodes[node]->shareOf(order.service);
        const bool isNew = share && uniformFraction(random) < share->fraction();
        RequestSample sample;
        sample.service = order.service;
        sample.route = RouteName(sent % 3 == 0 ? "bags" : "stock");
        sample.version = BackendVersion(isNew ? "v2" : "v1");
        sample.latency = milliseconds(100);
        sample.isAnswered = true;
        if (isNew) {
            ++sentToNew;
            isBad(sample, random);
            badAnswers += sample.result == SampleResult::Success ? 0 : 1;
        }
        give(node, sample);
    }

    RandomSource random { 1 };
    std::vector<Endpoint> endpoints;
    std::vector<std::unique_ptr<Rollouts>> nodes;
    RolloutOrder order;
    std::optional<std::size_t> cutOff; // a node without peers and store
    std::optional<TimePoint> endedAt;
    TimePoint now { seconds(100) };
    const TimePoint start = now;
    std::size_t sent = 0;
    std::size_t sentToNew = 0;
    std::size_t badAnswers = 0;
    std::set<std::size_t> writers; // nodes that called the store
};

constexpr auto good = [](RequestSample &, RandomSource &) {};
constexpr auto failsHalf = [](RequestSample &sample, RandomSource &random) {
    if (uniformFraction(random) < 0.5)
        sample.result = SampleResult::Failure;
};

// Guards against a good version that is late or rolled back.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_goodVersion_isCompletedWithinItsRamp")
{
    run(ramp, good);
    CHECK(order.state == RolloutState::Completed);
    REQUIRE(endedAt);
    CHECK(*endedAt - start < ramp);
}

// Guards against exposure above a tenth of the service's requests, and a verdict that is late.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_versionFailsHalf_isRolledBackWithLittleExposure")
{
    run(ramp, failsHalf);
    CHECK(order.state == RolloutState::RolledBack);
    CHECK(sentToNew < sent / 10);
    CHECK(badAnswers < 50);
}

// Guards against a version that turns bad only once it has much traffic.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_versionTurnsBadLate_isStoppedWithinExposure")
{
    const auto late = [this](RequestSample &sample, RandomSource &source) {
        if (now - start > seconds(3))
            failsHalf(sample, source);
    };
    run(ramp, late);
    CHECK(order.state == RolloutState::RolledBack);
    CHECK(sentToNew < sent / 10);
}

// Guards against a version that is bad on one route only.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_versionFailsOneRoute_isRolledBack")
{
    const auto oneRoute = [](RequestSample &sample, RandomSource &source) {
        if (sample.route == RouteName("bags"))
            failsHalf(sample, source);
    };
    run(ramp, oneRoute);
    CHECK(order.state == RolloutState::RolledBack);
}

// Guards against a version that is several times slower and never fails.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_versionIsSlow_isRolledBack")
{
    const auto slow
        = [](RequestSample &sample, RandomSource &) { sample.latency = milliseconds(800); };
    run(ramp, slow);
    CHECK(order.state == RolloutState::RolledBack);
}

// Guards against a verdict that only stands while one node leads.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_firstLeaderCutOff_secondDecides")
{
    run(seconds(1), good);
    cutOff = 0;
    run(ramp - seconds(1), failsHalf);
    CHECK(order.state == RolloutState::RolledBack);
    CHECK(sentToNew < sent / 10);
}

// Guards against a verdict that waits for leading nodes which are stopping.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_leadersAreStopping_othersDecide")
{
    endpoints[0].state = endpoints[1].state = EndpointState::Draining;
    publishEndpoints();
    run(ramp, failsHalf);
    CHECK(order.state == RolloutState::RolledBack);
    CHECK(writers == std::set<std::size_t> { 2 });
}

// Guards against a share that grows at a node which hears nothing.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_nodeCutOff_keepsTheTrialShare")
{
    cutOff = 3;
    run(ramp / 2, good);
    CHECK(nodes[3]->shareOf(order.service) == RolloutPolicy {}.trial);
    CHECK(*nodes[2]->shareOf(order.service) > RolloutPolicy {}.trial);
}

// Guards against a verdict that is forgotten with the process that took it.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_nodeRestartsAfterVerdict_isToldByTheStore")
{
    run(ramp, failsHalf);
    REQUIRE(order.state == RolloutState::RolledBack);
    Endpoint endpoint;
    endpoint.instance = InstanceId("node-2");
    nodes[2] = std::make_unique<Rollouts>(endpoint, RolloutPolicy {});
    give(2, OrdersChanged { { order } });
    CHECK(nodes[2]->isBanned(order.service));
}

} // namespace
} // namespace camphorreach
