// Tests of placement by expected completion, from the reports of gates to the choice of a target.
#include <camphorreach/meshconfig.h>
#include <camphorreach/result.h>
#include <camphorreach/router.h>

#include <catch2/catch.hpp>

#include <map>
#include <memory>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An entry node with two gates of four slots in its failure domain.
class LeastCompletionFixture
{
protected:
    static constexpr std::uint16_t fast = 1;
    static constexpr std::uint16_t slow = 2;

    explicit LeastCompletionFixture(PlacementKind kind = PlacementKind::ExpectedCompletion)
        : router(FailureDomain("arima"), 1000, options(kind), random)
    {
        auto table = std::make_shared<EndpointTable>();
        for (std::uint16_t i = 1; i <= 2; ++i) {
            Endpoint endpoint;
            endpoint.instance = InstanceId("node-" + std::to_string(i));
            endpoint.peer = { "127.0.0.1", i };
            endpoint.domain = FailureDomain("arima");
            endpoint.service = ServiceName("ledger");
            endpoint.version = BackendVersion("v1");
            endpoint.slots = 4;
            table->services[endpoint.service].push_back(endpoint);
        }
        process(EndpointsChanged { table });
        MeshConfig config;
        config.version = ConfigVersion(1);
        HostRoute route;
        route.host = "a.example";
        route.policy.name = RouteName("ledger");
        route.policy.prefix = "/";
        route.policy.isIdempotent = true;
        route.weightedServices.push_back({ ServiceName("ledger"), 1 });
        config.routes.push_back(route);
        config.services.push_back({ ServiceName("ledger"), 4 });
        process(SnapshotChanged { snapshotOf(config, Share::none()) });
    }

    static MeshRouter::Options options(PlacementKind kind)
    {
        MeshRouter::Options result;
        result.queuesForCapacity = false;
        result.placement = kind;
        return result;
    }

    template <typename Input>
    void process(Input input)
    {
        Outbox<MeshRouter::Output> outbox;
        router.process(std::move(input), now, outbox);
        for (auto &output : outbox.take()) {
            if (auto *send = std::get_if<PeerSend>(&output))
                sends.push_back(std::move(*send));
        }
    }

    // The target to which one more request is sent.
    std::uint16_t submit()
    {
        ClientRequest request;
        request.id = RequestId(++lastId);
        request.budget = seconds(1);
        request.content = { "GET", "/", "", "", "a.example" };
        process(std::move(request));
        return sends.back().to.port;
    }

    // Answers the attempt at `index` of the sent ones.
    void answer(std::size_t index, const GateLoad &load)
    {
        const PeerSend send = sends[index];
        const auto &forward = std::get<ForwardRequest>(std::get<RequestMessage>(send.message));
        process(
            PeerReceived<ForwardResponse> { send.to, { forward.id, Answered {}, load, false } });
    }

    // Sends and answers requests until both targets have answered several, each with its load after
    // its own time.
    void exchange(const GateLoad &fastLoad, const GateLoad &slowLoad)
    {
        std::map<std::uint16_t, int> answers;
        for (int i = 0; i < 200 && (answers[fast] < 8 || answers[slow] < 8); ++i) {
            // Pairs, so that the second request finds the first one's target occupied.
            const std::size_t first = sends.size();
            submit();
            submit();
            now += milliseconds(20);
            for (std::size_t sent = first; sent < first + 2; ++sent) {
                const bool isFast = sends[sent].to.port == fast;
                ++answers[sends[sent].to.port];
                answer(sent, isFast ? fastLoad : slowLoad);
            }
        }
    }

    // The choices of the next `count` requests, which stay unanswered.
    std::map<std::uint16_t, int> choices(int count)
    {
        std::map<std::uint16_t, int> result;
        for (int i = 0; i < count; ++i)
            ++result[submit()];
        return result;
    }

    RandomSource random { 1 };
    MeshRouter router;
    TimePoint now { seconds(100) };
    std::vector<PeerSend> sends;
    std::uint64_t lastId = 0;
};

// Guards against a slow server that is chosen because its slots are free, while a fast one would
// end the request sooner with the slots that it has left.
TEST_CASE_METHOD(LeastCompletionFixture,
                 "LeastCompletion_slowServerHasFreeSlots_fastServerIsChosen")
{
    exchange({ 1, 0, 4, {}, milliseconds(20) }, { 0, 0, 4, {}, milliseconds(44) });
    // The latest reports: two of four slots taken at the fast one, none at the slow one.
    const std::size_t first = sends.size();
    while (submit() != fast) { }
    answer(sends.size() - 1, { 2, 0, 4, {}, milliseconds(20) });
    for (std::size_t i = first; i + 1 < sends.size(); ++i)
        answer(i, { 0, 0, 4, {}, milliseconds(44) });
    CHECK(choices(1)[fast] == 1);
}

// Guards against a server that is chosen because it has few requests, of which one is heavy.
TEST_CASE_METHOD(LeastCompletionFixture, "LeastCompletion_oneOldHeavyRequest_avoidsItsServer")
{
    const Duration run = milliseconds(20);
    exchange({ 4, 0, 4, milliseconds(5), run }, { 4, 0, 4, milliseconds(5), run });
    const auto report = [&](std::uint16_t port, const GateLoad &load) {
        std::size_t index = 0;
        do {
            submit();
            index = sends.size() - 1;
        } while (sends[index].to.port != port);
        answer(index, load);
    };
    report(fast, { 4, 0, 4, milliseconds(90), run }); // old heavy requests in all slots
    report(slow, { 4, 2, 4, milliseconds(15), run }); // more requests, and they end soon
    CHECK(choices(2)[slow] == 2);
}

// Guards against all nodes choosing the same server by reports that are equal or old.
TEST_CASE_METHOD(LeastCompletionFixture, "LeastCompletion_reportsNearlyEqual_choiceIsSpread")
{
    const GateLoad busy { 4, 1, 4, milliseconds(10), milliseconds(20) };
    const GateLoad slightlyBusier { 4, 1, 4, milliseconds(11), milliseconds(20) };
    std::map<std::uint16_t, int> chosen;
    exchange(busy, slightlyBusier);
    for (int i = 0; i < 200; ++i) {
        ++chosen[submit()];
        answer(sends.size() - 1, sends.back().to.port == fast ? busy : slightlyBusier);
    }
    CHECK(chosen[fast] > 60);
    CHECK(chosen[slow] > 60);
}

// Guards against a report that keeps a server empty although it no longer holds.
TEST_CASE_METHOD(LeastCompletionFixture, "LeastCompletion_reportIsOld_givesWayToTheMean")
{
    const Duration run = milliseconds(20);
    const GateLoad usual { 2, 0, 4, {}, run };
    exchange(usual, usual);
    const Endpoint endpoint;
    const Target *target = router.placement().findTarget({ "127.0.0.1", fast });
    REQUIRE(target != nullptr);
    Target reported = *target;
    reported.onLoad({ 4, 8, 4, milliseconds(200), run }, now);
    const auto startAfter = [&](Duration age) {
        Candidate candidate;
        candidate.slots = 4;
        reported.expect(candidate, { run, run }, now + age);
        return candidate.startUs;
    };
    CHECK(startAfter({}) > 190'000);
    CHECK(startAfter(milliseconds(100)) < 100'000);
    CHECK(startAfter(seconds(1)) < 40'000);
}

// Guards against a node without reports, such as after its restart, that sends everything to one
// server, or nothing to a server that it has not heard of.
TEST_CASE_METHOD(LeastCompletionFixture, "LeastCompletion_noReports_spreadsAsLeastOccupied")
{
    std::map<std::uint16_t, int> chosen = choices(40);
    CHECK(chosen[fast] == 20);
    CHECK(chosen[slow] == 20);
}

class LeastOccupiedFixture : public LeastCompletionFixture
{
protected:
    LeastOccupiedFixture() : LeastCompletionFixture(PlacementKind::LeastOccupied) { }
};

// Guards against a change for deployments that did not ask for it: reports of cost have no effect.
TEST_CASE_METHOD(LeastOccupiedFixture, "SelectedPolicy_notExpectedCompletion_ignoresExpectedTimes")
{
    exchange({ 1, 0, 4, seconds(1), milliseconds(200) }, { 1, 0, 4, {}, milliseconds(1) });
    std::map<std::uint16_t, int> chosen = choices(40);
    CHECK(chosen[fast] > 15);
    CHECK(chosen[slow] > 15);
}

} // namespace
} // namespace camphorreach
