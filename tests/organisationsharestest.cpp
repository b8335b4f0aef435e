// Tests of the shares of organisations: order and shedding of a queue with groups, and state.
#include <camphorreach/gatequeue.h>
#include <camphorreach/organisationshares.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;

// A fair queue with shares, to which tests add requests of organisations.
class OrganisationSharesFixture
{
protected:
    OrganisationSharesFixture() { shares.setActive(true); }

    struct Sender
    {
        std::string organisation;
        std::uint32_t weight = 1;
        std::string route = "status";
        std::uint32_t routeWeight = 1;
    };

    std::vector<std::uint64_t> add(const Sender &sender, Duration cost = milliseconds(100))
    {
        GateWork work;
        work.request.id = RequestId(++lastId);
        work.request.route = RouteName(sender.route);
        work.request.kindWeight = sender.weight;
        work.request.routeWeight = sender.routeWeight;
        work.request.organisation = OrganisationName(sender.organisation);
        work.deadline = TimePoint(milliseconds(lastId));
        work.cost = cost;
        work.group = shares.groupOf(work.request);
        work.tag = shares.assignTag(work.group, work.request, cost);
        std::vector<std::uint64_t> shed;
        for (const GateWork &dropped : queue.push(std::move(work)))
            shed.push_back(dropped.request.id.value());
        return shed;
    }

    ForwardRequest start()
    {
        GateWork work = queue.pop();
        shares.onStarted(work.group, work.request, work.tag, work.cost);
        return std::move(work.request);
    }

    // The organisations whose requests run next, in order.
    std::string order(std::size_t count)
    {
        std::string names;
        for (std::size_t i = 0; i < count; ++i)
            names += start().organisation.value();
        return names;
    }

    using Ids = std::vector<std::uint64_t>;

    OrganisationShares shares;
    GateQueue queue { { 8, 1024 * 1024, true }, shares };
    std::uint64_t lastId = 0;
};

// Guards against an organisation that holds back another one by having queued requests before it.
TEST_CASE_METHOD(OrganisationSharesFixture, "OrganisationShares_oneHasQueuedMany_theOtherGoesNext")
{
    for (int i = 0; i < 5; ++i)
        (void)add({ "a" });
    CHECK(order(2) == "aa");
    (void)add({ "b" });
    (void)add({ "b" });
    CHECK(order(5) == "bbaaa");
}

// Guards against an organisation that keeps all slots for itself after it has been idle.
TEST_CASE_METHOD(OrganisationSharesFixture, "OrganisationShares_oneWasIdle_catchesUpWithinLimit")
{
    for (int i = 0; i < 100; ++i) {
        (void)add({ "a" });
        (void)start();
    }
    (void)add({ "a" });
    std::string names;
    for (int i = 0; i < 30; ++i) {
        (void)add({ "b" });
        names += order(1);
        if (names.back() == 'a')
            (void)add({ "a" });
    }
    CHECK(names.starts_with("bbbbbbbbbb")); // a second of service time
    CHECK(std::ranges::count(names, 'a') >= 9);
}

// Guards against counting requests where their service times differ, and against equal shares in
// spite of weights.
TEST_CASE_METHOD(OrganisationSharesFixture, "OrganisationShares_allBacklogged_timeIsSharedByWeight")
{
    std::map<std::string, Duration> served;
    const std::map<std::string, std::pair<Sender, Duration>> senders {
        { "a", { { "a", 4 }, milliseconds(160) } },
        { "b", { { "b", 2 }, milliseconds(400) } },
        { "c", { { "c", 2 }, milliseconds(40) } },
    };
    for (const auto &[name, sender] : senders)
        (void)add(sender.first, sender.second);
    for (int i = 0; i < 2000; ++i) {
        const std::string name = start().organisation.value();
        served[name] += senders.at(name).second;
        (void)add(senders.at(name).first, senders.at(name).second);
    }
    const auto ratio = [&](const std::string &a, const std::string &b) {
        return static_cast<double>(served[a].count()) / static_cast<double>(served[b].count());
    };
    CHECK(ratio("a", "b") == Approx(2.0).epsilon(0.05));
    CHECK(ratio("b", "c") == Approx(1.0).epsilon(0.05));
}

// Guards against routes of one organisation that get equal shares because its weight hides theirs.
TEST_CASE_METHOD(OrganisationSharesFixture, "OrganisationShares_routesOfOne_shareItsTimeByWeight")
{
    const Sender status { "a", 3, "status", 4 };
    const Sender report { "a", 3, "report", 1 };
    (void)add(status);
    (void)add(report);
    (void)add({ "b", 3 });
    std::map<std::string, int> started;
    for (int i = 0; i < 1000; ++i) {
        const ForwardRequest request = start();
        const std::string name = request.organisation.value() + " " + request.route.value();
        ++started[name];
        (void)add(name == "a status" ? status : name == "a report" ? report : Sender { "b", 3 });
    }
    CHECK(started["b status"] == Approx(500).margin(5));
    CHECK(started["a status"] == Approx(400).margin(10));
    CHECK(started["a report"] == Approx(100).margin(10));
}

// Guards against charging an organisation for requests that never ran.
TEST_CASE_METHOD(OrganisationSharesFixture, "OrganisationShares_requestsExpire_costNothing")
{
    (void)add({ "b" });
    CHECK(order(1) == "b");
    for (int i = 0; i < 3; ++i)
        (void)add({ "a" });
    CHECK(queue.takeExpired(TimePoint(milliseconds(lastId))).size() == 3);
    (void)add({ "b" });
    (void)add({ "a" });
    CHECK(order(2) == "ab");
}

// Guards against turning away the newest request in place of one of the organisation that fills the
// queue.
TEST_CASE_METHOD(OrganisationSharesFixture, "OrganisationShares_queueFull_shedsOfTheLargestShare")
{
    (void)add({ "c" });
    (void)add({ "b" });
    for (int i = 0; i < 6; ++i)
        REQUIRE(add({ "a" }).empty());
    CHECK(add({ "b" }) == Ids { 8 });
    CHECK(add({ "d" }) == Ids { 7 });
    CHECK(add({ "a" }) == Ids { 11 });
    CHECK(queue.size() == 8);
}

// Guards against a position that does not count what other organisations have queued before.
TEST_CASE_METHOD(OrganisationSharesFixture,
                 "OrganisationShares_countBefore_matchesTheOrderOfStarts")
{
    for (const char *name : { "a", "a", "a", "b", "a", "b" })
        (void)add({ name });
    (void)add({ "" });
    GateWork probe;
    probe.request.organisation = OrganisationName("b");
    probe.group = shares.groupOf(probe.request);
    probe.tag = shares.nextTag(probe.group, RouteName("status"));
    probe.deadline = TimePoint(milliseconds(100));
    CHECK(queue.countBefore(probe) == 6); // the call, three of a and two of b
    CHECK(order(7) == "ababaa");
}

// Guards against calls that wait behind new requests, and against ones that starve them.
TEST_CASE_METHOD(OrganisationSharesFixture, "OrganisationShares_callsBacklogged_goFirstWithinLimit")
{
    (void)add({ "a" });
    (void)add({ "" });
    CHECK(start().organisation.value().empty());
    std::map<std::string, int> started;
    (void)add({ "" });
    for (int i = 0; i < 1000; ++i) {
        const std::string name = start().organisation.value();
        ++started[name];
        (void)add({ name });
    }
    CHECK(started[""] == Approx(800).margin(5));
    CHECK(started["a"] == Approx(200).margin(5));
}

// Guards against state for every organisation that has ever sent a request.
TEST_CASE_METHOD(OrganisationSharesFixture, "OrganisationShares_manyOrganisations_stateIsBounded")
{
    for (int i = 0; i < 5000; ++i) {
        (void)add({ "o-" + std::to_string(i) });
        (void)start();
    }
    CHECK(shares.groupCount() <= OrganisationShares::maxGroups);
}

// Guards against another order where the configuration has no organisations.
TEST_CASE_METHOD(OrganisationSharesFixture,
                 "OrganisationShares_noOrganisations_orderIsThatOfRoutes")
{
    shares.setActive(false);
    GateQueue reference { { 256, 1024 * 1024, true } };
    GateQueue grouped { { 256, 1024 * 1024, true }, shares };
    FairShare routes;
    for (std::uint64_t i = 0; i < 200; ++i) {
        GateWork work;
        work.request.id = RequestId(i);
        work.request.route = RouteName("route-" + std::to_string(i % 3));
        work.request.kindWeight = 1 + i % 4;
        work.request.depth = CallDepth(static_cast<std::uint8_t>(i % 2));
        work.target = TimePoint(milliseconds(i * 37 % 101));
        work.cost = milliseconds(20 + i % 3 * 50);
        work.group = shares.groupOf(work.request);
        work.tag = routes.assignTag(work.request.route, work.request.kindWeight, work.cost);
        (void)reference.push(work);
        work.tag = shares.assignTag(work.group, work.request, work.cost);
        CHECK(grouped.countBefore(work) == reference.countBefore(work) - 1);
        (void)grouped.push(std::move(work));
        if (i % 2 == 0)
            continue;
        const GateWork expected = reference.pop();
        routes.onStarted(expected.tag);
        const GateWork next = grouped.pop();
        shares.onStarted(next.group, next.request, next.tag, next.cost);
        CHECK(next.request.id == expected.request.id);
    }
}

} // namespace
} // namespace camphorreach
