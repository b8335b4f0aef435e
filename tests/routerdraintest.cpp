// Tests of a router whose node stops.
#include "routerfixture.h"

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RouterDrainFixture : public RouterFixture
{
protected:
    RouterDrainFixture()
    {
        for (RoutePolicy &route : policy.routes)
            route.deadline = seconds(60);
        holdConfiguration();
        knowEndpoints({ endpoint(1) });
    }
    void drain()
    {
        give(DrainSchedule { clock.now() + milliseconds(2500), clock.now() + seconds(5) });
    }
};

// Guards against a request that is taken so late in a stop that its answer comes after the end.
TEST_CASE_METHOD(RouterDrainFixture, "RouterDrain_requestAfterTheLastOne_isRefusedAtOnce")
{
    drain();
    pass(milliseconds(2500));
    const RequestId id = ask("/bags/1");
    CHECK(isNotRun(id, NotRunReason::Draining));
    CHECK(sent.empty());
}

// Guards against a guest whose connection ends without an answer when the process does.
TEST_CASE_METHOD(RouterDrainFixture, "RouterDrain_requestRunsOnAtTheEnd_outcomeIsUnknownByThen")
{
    const RequestId before = ask("/bags/1", "", seconds(60));
    drain();
    const RequestId during = ask("/bags/2", "", seconds(60));
    REQUIRE(sent.size() == 2);
    pass(milliseconds(4999));
    CHECK(answers.empty());
    pass(milliseconds(1));
    CHECK(isUnknown(before, UnknownReason::DeadlinePassed));
    CHECK(isUnknown(during, UnknownReason::DeadlinePassed));
}

} // namespace
} // namespace camphorreach
