// Tests of when the record of a node is written, and how.
#include <camphorreach/noderegistration.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class NodeRegistrationFixture
{
protected:
    static DepartedRuns departures(const std::string &server)
    {
        DepartedRuns result;
        result.add(DepartedRun { InstanceId(server), BackendStartTime(1) });
        return result;
    }
    static StoreRefusal refusal(StoreRefusal::Reason reason) { return { reason, std::nullopt }; }

    NodeRegistration::Effect answer(const StoreResult &result)
    {
        CHECK(registration.isPending(id));
        return registration.onReply(result, now);
    }

    RandomSource random { 1 };
    NodeRegistration registration { InstanceId("a"), { "127.0.0.1", 1 }, random };
    StoreCallId id { 7 };
    TimePoint now { seconds(100) };
};

// Guards against a node that keeps replacing a record that was removed, and is never listed again.
TEST_CASE_METHOD(NodeRegistrationFixture, "NodeRegistration_recordRemoved_isCreatedAgain")
{
    (void)registration.start(id);
    CHECK_FALSE(answer(StoreWritten { ObjectVersion(3) }).hasFailed);
    CHECK(registration.isComplete());

    registration.add(departures("s"), now);
    const auto replace = registration.start(id);
    REQUIRE(std::holds_alternative<StoreReplace>(replace));
    CHECK(std::get<StoreReplace>(replace).expected == ObjectVersion(3));
    CHECK(answer(refusal(StoreRefusal::Reason::NotFound)).hasFailed);
    CHECK_FALSE(registration.isDue(now));
    CHECK(registration.isDue(now + seconds(2)));
    CHECK(std::holds_alternative<StoreRegister>(registration.start(id)));
}

// Guards against departures that are reported as stored although the pending call lacks them.
TEST_CASE_METHOD(NodeRegistrationFixture, "NodeRegistration_departureWhilePending_isWrittenNext")
{
    (void)registration.start(id);
    registration.add(departures("s"), now);
    CHECK_FALSE(registration.isDue(now));
    const auto effect = answer(StoreWritten { ObjectVersion(3) });
    REQUIRE(effect.events.size() == 2);
    CHECK(std::get<DeparturesRestored>(effect.events[0]).departures == departures("s"));
    CHECK(std::get<DeparturesStored>(effect.events[1]).departures == DepartedRuns {});
    CHECK(registration.isDue(now));

    (void)registration.start(id);
    const auto next = answer(StoreWritten { ObjectVersion(4) });
    REQUIRE(next.events.size() == 1);
    CHECK(std::get<DeparturesStored>(next.events[0]).departures == departures("s"));
    CHECK(registration.isComplete());
}

} // namespace
} // namespace camphorreach
