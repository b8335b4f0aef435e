// Tests of rollouts within seconds, on several nodes in virtual time.
#include <camphorreach/random.h>
#include <camphorreach/result.h>
#include <camphorreach/rollouts.h>

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Several nodes, a store that holds one order, and traffic for the service of that order.
class RolloutsFixture
{
protected:
    static constexpr Duration ramp = seconds(12);
    static constexpr int requestsPerStep = 10; // every 20 ms, over all nodes: 500 per second

    explicit RolloutsFixture(std::size_t count = 4) : nodeCount(count)
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
            dispatch(i, EndpointsChanged { table });
    }

    void publishOrder()
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (!isPartitioned(i))
                dispatch(i, OrdersChanged { { order } });
        }
    }

    [[nodiscard]] bool isPartitioned(std::size_t node) const
    {
        return partitioned && *partitioned == node;
    }

    template <typename Input>
    void dispatch(std::size_t node, Input input)
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
                if (!isPartitioned(from) && !isPartitioned(to))
                    dispatch(to,
                             PeerReceived<RolloutMessage> {
                                 {}, std::get<RolloutMessage>(std::move(send->message)) });
            } else if (auto *call = std::get_if<StoreCall>(&output)) {
                onCall(from, *call);
            }
        }
    }

    // The store rejects a write whose expected version is not the current one.
    void onCall(std::size_t from, const StoreCall &call)
    {
        const auto &write = std::get<StoreUpdateStatus>(call.operation);
        writers.insert(from);
        if (write.order.version != order.version) {
            dispatch(from, StoreReply { call.id, StoreRefusal { StoreRefusal::Reason::Conflict } });
            return;
        }
        order.state = write.state;
        order.version = next(order.version);
        if (order.state == RolloutState::Completed || order.state == RolloutState::RolledBack)
            endedAt = now;
        dispatch(from, StoreReply { call.id, StoreWritten { order.version } });
        publishOrder();
    }

    // Sends traffic for \a time. \a injectFault changes the samples of the candidate.
    template <typename Fault>
    void run(Duration time, Fault injectFault)
    {
        constexpr Duration step = milliseconds(20);
        for (const TimePoint end = now + time; now < end; now += step) {
            endAttempts();
            for (int i = 0; i < requestsPerStep; ++i)
                sendOne(injectFault);
            for (std::size_t i = 0; i < nodeCount; ++i) {
                Outbox<Rollouts::Output> outbox;
                nodes[i]->advance(now, outbox);
                deliver(i, outbox);
            }
        }
    }

    template <typename Fault>
    void sendOne(Fault injectFault)
    {
        const std::size_t node = sent++ % nodeCount;
        const auto share = nodes[node]->shareOf(order.service);
        const bool isNew = share && uniformFraction(random) < share->fraction();
        RequestSample sample;
        sample.service = order.service;
        sample.route = RouteName(sent % 3 == 0 ? "bags" : "stock");
        sample.version = BackendVersion(isNew ? "v2" : "v1");
        sample.latency = usualLatency;
        sample.isAnswered = true;
        sample.attempt = RequestId(sent);
        if (isNew) {
            ++sentToNew;
            injectFault(sample, random);
            badAnswers += sample.result == SampleResult::Success ? 0 : 1;
        }
        dispatch(
            node,
            AttemptStarted { sample.service, sample.route, sample.version, sample.attempt, now });
        underWay.emplace(now + sample.latency, std::pair(node, sample));
    }

    void endAttempts()
    {
        while (!underWay.empty() && underWay.begin()->first <= now) {
            const auto [node, sample] = underWay.begin()->second;
            underWay.erase(underWay.begin());
            if (abandoned.contains(sample.attempt))
                dispatch(node, AttemptAbandoned { sample.service, sample.attempt });
            else
                dispatch(node, sample);
        }
    }

    const std::size_t nodeCount;
    RandomSource random { 1 };
    Duration usualLatency = milliseconds(100); // of both versions, before a fault
    std::multimap<TimePoint, std::pair<std::size_t, RequestSample>> underWay; // by time of the end
    std::set<RequestId> abandoned; // attempts whose clients disconnect
    std::vector<Endpoint> endpoints;
    std::vector<std::unique_ptr<Rollouts>> nodes;
    RolloutOrder order;
    std::optional<std::size_t> partitioned; // a node that reaches neither its peers nor the store
    std::optional<TimePoint> endedAt;
    TimePoint now { seconds(100) };
    const TimePoint start = now;
    std::size_t sent = 0;
    std::size_t sentToNew = 0;
    std::size_t badAnswers = 0;
    std::set<std::size_t> writers; // nodes that called the store
};

// Each node sees so few requests that only the leaders, with the counts of all, can tell.
class LargeFleetRolloutsFixture : public RolloutsFixture
{
protected:
    LargeFleetRolloutsFixture() : RolloutsFixture(50) { }
};

constexpr auto neverFails = [](RequestSample &, RandomSource &) {};
constexpr auto failsHalf = [](RequestSample &sample, RandomSource &random) {
    if (uniformFraction(random) < 0.5)
        sample.result = SampleResult::Failure;
};

// Guards against a good version whose rollout is late or rolled back.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_goodVersion_isCompletedWithinItsRamp")
{
    run(ramp, neverFails);
    CHECK(order.state == RolloutState::Completed);
    REQUIRE(endedAt);
    CHECK(*endedAt - start < ramp);
}

// Guards against a late verdict that exposes more than a tenth of the requests to a bad version.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_versionFailsHalf_isRolledBackWithLittleExposure")
{
    run(ramp, failsHalf);
    CHECK(order.state == RolloutState::RolledBack);
    CHECK(sentToNew < sent / 10);
    CHECK(badAnswers < 50);
}

// Guards against a version that becomes bad during the rollout.
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

// Guards against a missed regression on a single route.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_versionFailsOneRoute_isRolledBack")
{
    const auto oneRoute = [](RequestSample &sample, RandomSource &source) {
        if (sample.route == RouteName("bags"))
            failsHalf(sample, source);
    };
    run(ramp, oneRoute);
    CHECK(order.state == RolloutState::RolledBack);
}

// Guards against a missed regression of a version that is several times slower but never fails.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_versionIsSlow_isRolledBack")
{
    const auto slow
        = [](RequestSample &sample, RandomSource &) { sample.latency = milliseconds(800); };
    run(ramp, slow);
    CHECK(order.state == RolloutState::RolledBack);
}

// Guards against slow attempts that are missing from the counts until they end: the share then
// grows on the fast ones alone.
TEST_CASE_METHOD(LargeFleetRolloutsFixture,
                 "Rollouts_halfIsSlowUntilItsTimeout_isStoppedWithinExposure")
{
    usualLatency = milliseconds(800);
    const auto slow = [](RequestSample &sample, RandomSource &source) {
        if (uniformFraction(source) >= 0.54)
            return;
        sample.latency = seconds(4);
        sample.result = SampleResult::Timeout;
        sample.isAnswered = false;
    };
    run(ramp, slow);
    CHECK(order.state == RolloutState::RolledBack);
    CHECK(sentToNew < sent / 10);
}

// Guards against a good version that is too late, or taken for a slow one, because its service
// needs seconds for a response.
TEST_CASE_METHOD(LargeFleetRolloutsFixture,
                 "Rollouts_goodVersionOfSlowService_isCompletedWithinItsRamp")
{
    usualLatency = milliseconds(800);
    const auto tail = [](RequestSample &sample, RandomSource &source) {
        if (uniformFraction(source) < 0.05)
            sample.latency = seconds(4);
    };
    run(ramp, tail);
    CHECK(order.state == RolloutState::Completed);
}

// Guards against clients that disconnect early, whose attempts would count as slow.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_clientsDisconnect_attemptsAreNotCounted")
{
    const auto gone = [this](RequestSample &sample, RandomSource &source) {
        if (uniformFraction(source) < 0.6)
            abandoned.insert(sample.attempt);
    };
    run(ramp, gone);
    CHECK(order.state == RolloutState::Completed);
}

// Guards against a verdict that depends on a single leader.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_firstLeaderPartitioned_secondDecides")
{
    run(seconds(1), neverFails);
    partitioned = 0;
    run(ramp - seconds(1), failsHalf);
    CHECK(order.state == RolloutState::RolledBack);
    CHECK(sentToNew < sent / 10);
}

// Guards against a verdict that waits for leaders that are stopping.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_leadersAreStopping_othersDecide")
{
    endpoints[0].state = endpoints[1].state = EndpointState::Draining;
    publishEndpoints();
    run(ramp, failsHalf);
    CHECK(order.state == RolloutState::RolledBack);
    CHECK(writers == std::set<std::size_t> { 2 });
}

// Guards against a share that increases at a node that receives no directives.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_nodePartitioned_keepsTheTrialShare")
{
    partitioned = 3;
    run(ramp / 2, neverFails);
    CHECK(nodes[3]->shareOf(order.service) == RolloutPolicy {}.trialShare);
    CHECK(*nodes[2]->shareOf(order.service) > RolloutPolicy {}.trialShare);
}

// Guards against a node that has just started, considers itself a leader because it knows no other
// member, and raises its share on its own few responses.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_nodeKnowsNoOtherMember_keepsTheTrialShare")
{
    partitioned = 3;
    auto table = std::make_shared<EndpointTable>();
    table->services[ServiceName("orders")] = { endpoints[3] };
    dispatch(3, EndpointsChanged { table });
    run(ramp * 3 / 4, neverFails);
    CHECK(nodes[3]->shareOf(order.service) == RolloutPolicy {}.trialShare);
}

// Guards against a rollout that goes on, or a ban that stays, after its order was removed.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_orderTakenBack_shareAndBanEnd")
{
    const auto takeBack = [this] {
        order.state = RolloutState::TakenBack;
        order.version = next(order.version);
        publishOrder();
    };
    SECTION("under way")
    {
        run(ramp / 2, neverFails);
        REQUIRE(nodes[3]->shareOf(order.service));
        takeBack();
        CHECK_FALSE(nodes[3]->shareOf(order.service));
        const auto before = writers;
        run(ramp, neverFails);
        CHECK(order.state == RolloutState::TakenBack);
        CHECK(writers == before);
    }
    SECTION("rolled back")
    {
        run(ramp, failsHalf);
        REQUIRE(nodes[3]->isBanned(order.service));
        takeBack();
        CHECK_FALSE(nodes[3]->isBanned(order.service));
    }
}

// Guards against a verdict that is lost when the process restarts.
TEST_CASE_METHOD(RolloutsFixture, "Rollouts_nodeRestartsAfterVerdict_bansVersionFromStore")
{
    run(ramp, failsHalf);
    REQUIRE(order.state == RolloutState::RolledBack);
    Endpoint endpoint;
    endpoint.instance = InstanceId("node-2");
    nodes[2] = std::make_unique<Rollouts>(endpoint, RolloutPolicy {});
    dispatch(2, OrdersChanged { { order } });
    CHECK(nodes[2]->isBanned(order.service));
}

} // namespace
} // namespace camphorreach
