// Tests of the gate: which organisation's request is turned away when there is no room for all.
#include "gatefixture.h"

#include <algorithm>
#include <memory>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;

// A gate with two slots, in which requests take 100 ms.
class GateSheddingFixture : public GateFixture
{
protected:
    static Gate::Limits fairLimits()
    {
        Gate::Limits limits = defaultLimits();
        limits.queue = { 100, 1024 * 1024, true };
        limits.needsAnnouncement = true;
        limits.rejectsEarly = true;
        return limits;
    }

    GateSheddingFixture() : GateFixture(fairLimits())
    {
        process(BackendAnnounced {
            InstanceId("i-1"), ServiceName("orders"), BackendVersion("v1"), 2, true, {} });
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->organisations.push_back({ OrganisationName("large"), {} });
        snapshot->organisations.push_back({ OrganisationName("small"), {} });
        process(SnapshotChanged { snapshot });
        for (std::uint64_t id = 1; id <= 10; ++id) {
            send(of("large", id));
            pass(milliseconds(100));
            answer(id);
        }
    }

    static ForwardRequest of(const std::string &organisation, std::uint64_t id,
                             Duration target = milliseconds(500))
    {
        ForwardRequest result = request(id);
        result.service = ServiceName("orders");
        result.version = BackendVersion("v1");
        result.organisation = OrganisationName(organisation);
        result.targetBudget = target;
        return result;
    }

    // Sends requests of the large organisation until one is refused. Returns the id of the last one
    // that was not.
    std::uint64_t fill(Duration target = milliseconds(500))
    {
        std::uint64_t id = 101;
        for (; id < 200; ++id) {
            send(of("large", id, target));
            if (outcomeOf(id) != "none")
                break;
        }
        return id - 1;
    }

    // Ids of requests of the large organisation that were refused, of those up to `last`.
    [[nodiscard]] Ids refusedUpTo(std::uint64_t last) const
    {
        Ids ids;
        for (std::uint64_t id = 101; id <= last; ++id) {
            if (outcomeOf(id) == "not-run overloaded")
                ids.push_back(id);
        }
        return ids;
    }
};

// Guards against a request that keeps its place although it can no longer be served in time, and is
// refused only after a long wait.
TEST_CASE_METHOD(GateSheddingFixture, "GateShedding_smallOneGoesBefore_largeOneIsRefusedAtOnce")
{
    const std::uint64_t last = fill();
    REQUIRE(last >= 108);
    const auto queued = gate.load().queued;
    send(of("small", 201));
    CHECK(outcomeOf(201) == "none");
    CHECK(refusedUpTo(last).size() == 1);
    CHECK(gate.load().queued == queued);
    pass(milliseconds(100));
    answer(11);
    CHECK(dispatchedIds().back() == 201);
    for (const std::uint64_t id : refusedUpTo(last))
        CHECK(std::ranges::count(dispatchedIds(), id) == 0);
}

// Guards against turning away the organisation that is within its share because the other one has
// taken the places of late requests.
TEST_CASE_METHOD(GateSheddingFixture, "GateShedding_latePlacesTaken_smallOneGetsPlaceOfLargeOne")
{
    const std::uint64_t last = fill();
    send(of("small", 201, milliseconds(120)));
    CHECK(outcomeOf(201) == "none");
    CHECK(refusedUpTo(last).size() == 1);
}

// Guards against a refusal that says "not run" for a request that runs.
TEST_CASE_METHOD(GateSheddingFixture, "GateShedding_manySmallOnes_runningRequestsGoOn")
{
    const std::uint64_t last = fill();
    for (std::uint64_t id = 201; id <= 240; ++id)
        send(of("small", id));
    for (const std::uint64_t id : dispatchedIds())
        CHECK((id <= 10 || outcomeOf(id) == "none"));
    CHECK(refusedUpTo(last).size() >= 3);
}

// Guards against an organisation that is turned away for ever once another one has gone before it.
TEST_CASE_METHOD(GateSheddingFixture, "GateShedding_bothKeepSending_eachIsServedItsShare")
{
    (void)fill();
    for (std::uint64_t id = 201; id <= 240; ++id)
        send(of("small", id));
    for (std::uint64_t step = 0; step < 90; ++step) {
        send(of("large", 300 + step));
        send(of("small", 400 + step));
        pass(milliseconds(50));
        answer(11 + step);
    }
    const auto ofLarge = std::count_if(calls.end() - 40, calls.end(), [](const BackendCall &call) {
        return call.request.organisation == OrganisationName("large");
    });
    CHECK(ofLarge >= 18);
    CHECK(ofLarge <= 22);
}

} // namespace
} // namespace camphorreach
