// Tests of fair queueing: shares of service time under overload, and of idle routes.
#include <camphorreach/fairshare.h>
#include <camphorreach/gatequeue.h>

#include <catch2/catch.hpp>

#include <map>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;

// A fair queue, to which tests add requests of two routes.
class FairShareFixture
{
protected:
    void add(const std::string &route, std::uint32_t weight, Duration cost)
    {
        GateWork work;
        work.request.id = RequestId(++lastId);
        work.request.route = RouteName(route);
        work.request.kindWeight = weight;
        work.tag = shares.assignTag(work.request.route, weight, cost);
        (void)queue.push(std::move(work));
    }
    std::string start()
    {
        const GateWork work = queue.pop();
        shares.onStarted(work.tag);
        return work.request.route.value();
    }

    FairShare shares;
    GateQueue queue { { 256, 1024 * 1024, true } };
    std::uint64_t lastId = 0;
};

// Guards against starving nested calls of running requests behind a route of higher weight at the
// same backend server.
TEST_CASE_METHOD(FairShareFixture, "FairShare_bothRoutesBacklogged_timeIsSharedByWeight")
{
    std::map<std::string, Duration> served;
    const std::map<std::string, Duration> costs { { "book", milliseconds(80) },
                                                  { "check", milliseconds(30) } };
    add("book", 4, costs.at("book"));
    add("check", 2, costs.at("check"));
    for (int i = 0; i < 1000; ++i) {
        const std::string route = start();
        served[route] += costs.at(route);
        add(route, route == "book" ? 4 : 2, costs.at(route));
    }
    const double ratio = static_cast<double>(served["book"].count())
        / static_cast<double>(served["check"].count());
    CHECK(ratio == Approx(2.0).epsilon(0.05));
}

// Guards against a route that gains credit while it is idle and then takes all slots.
TEST_CASE_METHOD(FairShareFixture, "FairShare_routeWasIdle_gainsNoCredit")
{
    for (int i = 0; i < 100; ++i) {
        add("book", 4, milliseconds(80));
        REQUIRE(start() == "book");
    }
    for (int i = 0; i < 10; ++i) {
        add("book", 4, milliseconds(80));
        add("check", 4, milliseconds(80));
    }
    int checks = 0;
    for (int i = 0; i < 10; ++i)
        checks += start() == "check" ? 1 : 0;
    CHECK(checks >= 4);
    CHECK(checks <= 6);
}

} // namespace
} // namespace camphorreach
