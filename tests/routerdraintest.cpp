// Tests of a router whose node drains.
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
        applyConfiguration();
        setEndpoints({ endpoint(1) });
    }
    void drain()
    {
        deliver(DrainSchedule { clock.now() + milliseconds(2500), clock.now() + seconds(5) });
    }
};

// Guards against accepting a request so late in a drain that the process ends before its answer.
TEST_CASE_METHOD(RouterDrainFixture, "RouterDrain_requestAfterCutoff_isRefusedAtOnce")
{
    drain();
    runFor(milliseconds(2500));
    const RequestId id = submit("/bags/1");
    CHECK(isNotRun(id, NotRunReason::Draining));
    CHECK(sent.empty());
}

// Guards against a process that ends and closes client connections without an answer.
TEST_CASE_METHOD(RouterDrainFixture, "RouterDrain_requestStillRunningAtEnd_isUnknown")
{
    const RequestId before = submit("/bags/1", "", seconds(60));
    drain();
    const RequestId during = submit("/bags/2", "", seconds(60));
    REQUIRE(sent.size() == 2);
    runFor(milliseconds(4999));
    CHECK(answers.empty());
    runFor(milliseconds(1));
    CHECK(isUnknown(before, UnknownReason::DeadlinePassed));
    CHECK(isUnknown(during, UnknownReason::DeadlinePassed));
}

} // namespace
} // namespace camphorreach
