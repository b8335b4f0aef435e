// Tests of route selection by host and path.
#include <camphorreach/routetable.h>

#include <catch2/catch.hpp>

#include <map>

namespace camphorreach {
namespace {

class RouteTableFixture
{
protected:
    static HostRoute route(const std::string &name, const std::string &host,
                           const std::string &prefix)
    {
        HostRoute result;
        result.host = host;
        result.policy.name = RouteName(name);
        result.policy.prefix = prefix;
        result.weightedServices.push_back({ ServiceName("orders"), 1 });
        return result;
    }

    [[nodiscard]] std::string find(const std::string &host, const std::string &path) const
    {
        const HostRoute *found = table.find(host, path);
        return found == nullptr ? "" : found->policy.name.value();
    }

    RouteTable table { { route("stock", "a.example", "/stock/"),
                         route("bags", "a.example", "/stock/bags/"),
                         route("all", "b.example", "/") } };
};

// Guards against a shorter prefix taking precedence over a longer one.
TEST_CASE_METHOD(RouteTableFixture, "RouteTable_severalPrefixesMatch_longestIsSelected")
{
    CHECK(find("a.example", "/stock/7") == "stock");
    CHECK(find("a.example", "/stock/bags/7") == "bags");
    CHECK(find("a.example", "/stock/bags/") == "bags");
    CHECK(find("b.example", "/anything") == "all");
}

// Guards against prefixes that match within a path segment, and against routes of other hosts.
TEST_CASE_METHOD(RouteTableFixture, "RouteTable_noPrefixOfTheHostMatches_findsNothing")
{
    CHECK(find("a.example", "/stock").empty());
    CHECK(find("a.example", "/stocks/7").empty());
    CHECK(find("a.example", "/").empty());
    CHECK(find("c.example", "/stock/7").empty());
    CHECK(find("a.example", "/other?x=/stock/").empty());
}

// Guards against hosts that clients write with a port or in capitals.
TEST_CASE_METHOD(RouteTableFixture, "RouteTable_hostWithPortOrCapitals_isTheSameHost")
{
    CHECK(find("A.Example:8080", "/stock/7?size=2") == "stock");
}

// Guards against services of a split that receive more or less traffic than their weight.
TEST_CASE_METHOD(RouteTableFixture, "RouteTable_splitRoute_servicesGetTheirWeights")
{
    HostRoute split = route("split", "a.example", "/x/");
    split.weightedServices = { { ServiceName("orders"), 90 }, { ServiceName("trucks"), 10 } };
    std::map<ServiceName, int> counts;
    constexpr int draws = 1000;
    for (int i = 0; i < draws; ++i)
        ++counts[chooseService(split, (i + 0.5) / draws).service];
    CHECK(counts[ServiceName("orders")] == 900);
    CHECK(counts[ServiceName("trucks")] == 100);
}

} // namespace
} // namespace camphorreach
