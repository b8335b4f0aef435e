// Tests of the check of a configuration before it is sent.
#include "../platform/config.h"

#include <camphorreach/configcheck.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string textOf(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings)
        text += finding.key + ": " + finding.text + "\n";
    return text;
}

std::string textOf(const std::vector<ConfigChange> &changes)
{
    std::string text;
    for (const ConfigChange &change : changes)
        text += change.key + " [" + change.before + "] [" + change.after + "]\n";
    return text;
}

// A configuration without findings.
class MeshCheckFixture
{
protected:
    MeshCheckFixture()
    {
        config.version = ConfigVersion(7);
        config.routes = { route("r-1", "/bags/"), route("r-2", "/") };
        config.services = { { ServiceName("orders"), 10 } };
        config.organisations = { { OrganisationName("ice-depot"), { ApiKey("secret-1") } } };
    }

    static HostRoute route(const std::string &name, const std::string &prefix)
    {
        HostRoute result;
        result.host = "a.example";
        result.policy.name = RouteName(name);
        result.policy.prefix = prefix;
        result.policy.isIdempotent = true;
        result.policy.deadline = seconds(1);
        result.policy.targetLatency = milliseconds(500);
        result.policy.maxAttempts = 2;
        result.weightedServices = { { ServiceName("orders"), 1 } };
        return result;
    }
    [[nodiscard]] std::string errors() const { return textOf(checkConfig(config).errors); }
    [[nodiscard]] std::string warnings() const { return textOf(checkConfig(config).warnings); }

    MeshConfig config;
};

class TreeCheckFixture
{
protected:
    static SettingsTree parse(const std::string &text)
    {
        auto tree = parseTree(text, "tree.toml");
        REQUIRE(isOk(tree));
        return valueOf(std::move(tree));
    }
    // A service with one version and a route with these lines.
    static std::string service(const std::string &routeLines)
    {
        return "[service.orders.version.v1]\nweight = 100\n[service.orders.route.bags]\n"
            + routeLines;
    }
    static std::string errors(const std::string &text)
    {
        return textOf(checkConfig(parse(text)).errors);
    }
    static std::string warnings(const std::string &text)
    {
        return textOf(checkConfig(parse(text)).warnings);
    }
};

// Guards against findings that teach operators to overlook findings.
TEST_CASE_METHOD(MeshCheckFixture, "ConfigCheck_soundConfiguration_nothingIsFound")
{
    CHECK(errors().empty());
    CHECK(warnings().empty());
}

// Guards against a route that replaces another one unnoticed. The table is asked as well, so that
// the finding cannot differ from what nodes do.
TEST_CASE_METHOD(MeshCheckFixture, "ConfigCheck_sameHostAndPrefix_earlierRouteNeverMatches")
{
    config.routes.push_back(route("r-3", "/bags/"));
    config.routes.back().host = "A.example:80";
    CHECK(errors() == "routes.r-1: can never match: route 'r-3' has the same host and prefix\n");
    const RouteTable table(config.routes);
    CHECK(table.find("a.example", "/bags/1")->policy.name == RouteName("r-3"));
}

// Guards against a route of which the operator does not see that no path selects it.
TEST_CASE_METHOD(MeshCheckFixture, "ConfigCheck_prefixThatNoPathHas_isFoundAsTheTableDecides")
{
    const std::string prefix = GENERATE(as<std::string> {}, "bags/", "/bags", "", "/ba gs/",
                                        "/bags/?x=1/", "/bags#/", "/bags/x/");
    config.routes.front().policy.prefix = prefix;
    // The path of which the prefix is the beginning, as a client can send it.
    const std::string path = prefix + "1";
    const bool isPath = path.starts_with('/') && path.find_first_of(" #") == std::string::npos;
    const RouteTable table(config.routes);
    const HostRoute *found = isPath ? table.find("a.example", path) : nullptr;
    const bool isSelected = found != nullptr && found->policy.name == RouteName("r-1");
    CHECK(isSelected == (errors().find("routes.r-1: can never match") == std::string::npos));
    CHECK(isSelected == (prefix == "/bags/x/"));
}

// Guards against a service whose requests all fail because its name is misspelt.
TEST_CASE_METHOD(MeshCheckFixture, "ConfigCheck_services_referencesAreChecked")
{
    config.routes.front().weightedServices
        = { { ServiceName("order"), 0 }, { ServiceName("orders"), 0 } };
    config.services.push_back({ ServiceName("trucks"), 0 });
    config.services.push_back({ ServiceName("orders"), 5 });
    CHECK(errors()
          == "services.trucks: no connection to a backend server is allowed\n"
             "services.orders: the name is used twice; the first entry applies\n"
             "routes.r-1: there is no service 'order'\n"
             "routes.r-1: the weights of its services add up to 0\n");
    CHECK(warnings().find("services.trucks: no route leads to it\n") == 0);
    CHECK(warnings().find("routes.r-1: service 'order' has weight 0 and gets no request\n")
          != std::string::npos);
}

// Guards against times and attempts of a route of which one cannot be kept.
TEST_CASE_METHOD(MeshCheckFixture, "ConfigCheck_contradictingTimesOfARoute_areFound")
{
    RoutePolicy &policy = config.routes.front().policy;
    policy.targetLatency = milliseconds(1001);
    CHECK(errors()
          == "routes.r-1: the target latency of 1001 ms lies beyond the deadline of 1000 ms\n");
    policy.targetLatency = milliseconds(501);
    CHECK(errors().empty());
    CHECK(warnings()
          == "routes.r-1: 2 attempts that take the target latency of 501 ms do not fit into the "
             "deadline of 1000 ms\n");
    policy.isIdempotent = false; // is not sent again after it may have run
    CHECK(warnings().empty());
    policy.isIdempotent = true;
    policy.targetLatency = {};
    policy.maxAttempts = 1001;
    CHECK(errors()
          == "routes.r-1: 1001 attempts do not fit into the deadline of 1000 ms: each takes at "
             "least 1 ms\n");
    policy.maxAttempts = 0;
    CHECK(errors() == "routes.r-1: no attempt is allowed\n");
    policy.deadline = {};
    CHECK(errors() == "routes.r-1: the deadline is 0, so no request can be answered\n");
}

// Guards against organisations whose keys or quotas do not do what they say; and against a secret
// in a finding.
TEST_CASE_METHOD(MeshCheckFixture, "ConfigCheck_organisations_uselessKeysAndQuotasAreFound")
{
    config.organisations.front().quota = { RequestRate(5), RequestCount(0.5) };
    config.organisations.push_back({ OrganisationName("no-keys"), {} });
    CHECK(warnings()
          == "organisations.ice-depot: the burst of 0.5 is less than one request, so two requests "
             "at once exceed the quota\n"
             "organisations.no-keys: has no key, so no request belongs to it\n");
    config.organisations.front().quota->burst = RequestCount(-1);
    config.organisations.back().keys = { ApiKey("secret-1") };
    for (HostRoute &route : config.routes)
        route.policy.isKeyExempt = true;
    CHECK(errors().find("organisations.ice-depot: the rate or the burst is negative")
          != std::string::npos);
    CHECK(warnings() == "organisations: every route is exempt, so no key is ever asked for\n");
    CHECK((errors() + warnings()).find("secret") == std::string::npos);
    config.routes.front().policy.isKeyExempt = false;
    CHECK(warnings().empty());
}

// Guards against limits under which no request can be read, or that do not apply.
TEST_CASE_METHOD(MeshCheckFixture, "ConfigCheck_limits_contradictionsAreFound")
{
    config.limits.bodyBytes = 100;
    CHECK(warnings()
          == "limits.body-bytes: a body may have 100 bytes, less than the header with 16384\n");
    config.limits.bodyBytes = 64 * 1024 * 1024;
    CHECK(warnings().empty());
    config.limits = { 0, 1000, {}, {} };
    CHECK(errors()
          == "limits.header-bytes: is 0, so no request can be read\n"
             "limits.header-timeout: is 0, so no request can be read\n");
    CHECK(warnings()
          == "limits.idle-timeout: is 0, so no connection is kept for a second request\n");
}

// Guards against a change that the comparison leaves out, and against a key in its output.
TEST_CASE_METHOD(MeshCheckFixture, "ConfigChanges_everyPartOfAMeshConfiguration_isCompared")
{
    CHECK(changesBetween(config, config).empty());
    MeshConfig candidate = config;
    candidate.routes.front().policy.deadline = milliseconds(1500);
    candidate.routes.front().weightedServices
        = { { ServiceName("orders"), 9 }, { ServiceName("trucks"), 1 } };
    candidate.routes.pop_back();
    candidate.services.push_back({ ServiceName("trucks"), 4 });
    candidate.services.front().warmUp = WarmUpPolicy { seconds(3), WarmUpRate(8700), "/health" };
    candidate.organisations.front().keys = { ApiKey("secret-2") };
    candidate.organisations.front().quota = { RequestRate(5), RequestCount(2.5) };
    candidate.limits.idleTimeout = milliseconds(1500);
    const std::string text = textOf(changesBetween(config, candidate));
    CHECK(text
          == "routes.a.example/ [attempts 2; deadline 1000 ms; idempotent true; key-exempt false; "
             "kind-weight 1; name r-2; services orders 1; target-latency 500 ms] []\n"
             "routes.a.example/bags/.deadline [1000 ms] [1500 ms]\n"
             "routes.a.example/bags/.services [orders 1] [orders 9, trucks 1]\n"
             "services.orders.health-path [] [/health]\n"
             "services.orders.warm-up [] [3000 ms]\n"
             "services.orders.warm-up-rate [] [8.7/s]\n"
             "services.trucks [] [connections 4]\n"
             "organisations.ice-depot.burst [] [2.5]\n"
             "organisations.ice-depot.rate [] [5/s]\n"
             "organisations.ice-depot.withdrawn-keys [1] []\n"
             "organisations.ice-depot.new-keys [] [1]\n"
             "limits.idle-timeout [75000 ms] [1500 ms]\n");
}

// Guards against a version that is sent and that no node takes, because a newer one is in force.
TEST_CASE_METHOD(MeshCheckFixture, "ConfigCheck_versionNotAboveTheOneInForce_isAnError")
{
    MeshConfig candidate = config;
    CHECK(checkSuccession(config, candidate).empty()); // the same file once more
    candidate.limits.idleTimeout = seconds(1);
    CHECK(textOf(checkSuccession(config, candidate))
          == "version: version 7 is not above version 7, which is in force, so nodes ignore it\n");
    candidate.version = ConfigVersion(8);
    CHECK(checkSuccession(config, candidate).empty());
    candidate.version = ConfigVersion(6);
    CHECK_FALSE(checkSuccession(config, candidate).empty());
}

// Guards against a file that is rejected without a hint at the place, and against values that nodes
// replace silently.
TEST_CASE("ConfigCheck_textOfAMeshConfiguration_isReadWithItsFindings")
{
    const std::string text = R"({"version":7,"routes":{"columns":["name","host","path_prefix",
        "route_kind","timeout_ms","service","max_attempts"],
        "rows":[["r-1","a.example","/","idempotent",1000,"orders",2]]},
        "services":{"columns":["name","warmup_per_s"],"rows":[["orders",-1]]},
        "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}})";
    const auto decoded = platform::decodeConfigText(text, "next.json");
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).config.version == ConfigVersion(7));
    CHECK(textOf(valueOf(decoded).findings)
          == "services.orders: warmup_per_s is not a positive number\n");
    CHECK(isOk(platform::decodeConfigText(R"({"metadata":{},"spec":)" + text + "}", "o.json")));

    std::string broken = text;
    broken.replace(broken.find("1000,"), 5, "null,");
    const auto failed = platform::decodeConfigText(broken, "next.json");
    REQUIRE_FALSE(isOk(failed));
    CHECK(toText(errorOf(failed).findings)
          == "next.json: routes, row 1: the column 'timeout_ms' is missing\n");
    for (const char *other : { "", "{", "[]", "{\"spec\":5}", "{}" })
        CHECK_FALSE(isOk(platform::decodeConfigText(other, "next.json")));
}

// Guards against a comparison with a node that shows differences where there are none, and against
// a node that hands out keys.
TEST_CASE_METHOD(MeshCheckFixture, "ConfigCheck_configurationOfANode_isReadBackWithoutKeys")
{
    config.routes.front().policy.kindWeight = 4;
    config.routes.front().policy.isKeyExempt = true;
    config.routes.back().policy.isIdempotent = false;
    config.routes.back().policy.targetLatency = {};
    config.services.front().warmUp = WarmUpPolicy { seconds(3), WarmUpRate(8700), "/health" };
    config.services.push_back({ ServiceName("trucks"), 4 });
    config.organisations.front().weight = 2;
    config.organisations.front().quota = { RequestRate(5.5), RequestCount(0) };
    const std::string text = platform::encodeConfig(config);
    CHECK(text.find("secret") == std::string::npos);
    const auto decoded = platform::decodeConfigText(text, "node");
    REQUIRE(isOk(decoded));
    config.organisations.front().keys.clear();
    CHECK(valueOf(decoded).config == config);
    CHECK(valueOf(decoded).findings.empty());
}

// Guards against findings in trees that are as they should be: the examples of the repository's
// documentation have this form.
TEST_CASE_METHOD(TreeCheckFixture, "ConfigCheck_soundTree_nothingIsFound")
{
    const std::string text = "deadline = \"2s\"\n[kind.read]\nsemantics = \"idempotent\"\n"
        + service("kind = \"read\"\nattempts = 3\n");
    CHECK(errors(text).empty());
    CHECK(warnings(text).empty());
}

// Guards against a setting that an operator changes without any effect.
TEST_CASE_METHOD(TreeCheckFixture, "ConfigCheck_settingsThatNothingInherits_areFound")
{
    CHECK(warnings("deadline = \"2s\"\n" + service("deadline = \"1s\"\n"))
          == "deadline: has no effect: all levels below set their own value, or there are none\n");
    CHECK(warnings("[kind.read]\nweight = 5\n" + service("deadline = \"1s\"\n"))
          == "kind.read.weight: has no effect: no route has the kind \"read\"\n");
    CHECK(warnings("[service.orders]\nattempts = 2\n[service.orders.version.v1]\nweight = 100\n")
          == "service.orders: has no route, so no request reaches it\n"
             "service.orders.attempts: has no effect: all levels below set their own value, or "
             "there are none\n");
}

// Guards against attempts that neither the deadline nor the retry budget leaves room for.
TEST_CASE_METHOD(TreeCheckFixture, "ConfigCheck_attemptsOfARoute_areComparedWithWhatLimitsThem")
{
    CHECK(errors(service("deadline = \"2ms\"\nattempts = 3\n"))
          == "service.orders.route.bags.attempts: 3 attempts do not fit into the deadline of 2ms: "
             "each takes at least 1ms\n");
    CHECK(errors(service("deadline = \"3ms\"\nattempts = 3\n")).empty());
    CHECK(errors(service("deadline = \"2ms\"\n")).find("3 attempts") != std::string::npos);
    CHECK(warnings("retry-budget = 0\n" + service("attempts = 3\n"))
          == "service.orders.route.bags.attempts: the retry budget is 0, so there is only one "
             "attempt\n");
    CHECK(warnings("retry-budget = 0\n" + service("deadline = \"1s\"\n")).empty());
}

// Guards against a tree that nodes refuse and that the check lets pass.
TEST_CASE_METHOD(TreeCheckFixture, "ConfigCheck_treeThatNodesRefuse_hasTheSameFindings")
{
    const SettingsTree tree = parse("deadline = 5\n" + service("prefix = \"bags\"\n"));
    const auto resolved = resolve(tree, ConfigVersion(1));
    REQUIRE_FALSE(isOk(resolved));
    CHECK(checkConfig(tree).errors == errorOf(resolved).findings);
}

// Guards against a comparison of trees that leaves out a value.
TEST_CASE_METHOD(TreeCheckFixture, "ConfigChanges_trees_areComparedByPath")
{
    const SettingsTree before
        = parse("deadline = \"2s\"\nattempts = 2\n" + service("attempts = 3\n"));
    const SettingsTree after
        = parse("deadline = \"3s\"\n" + service("attempts = 3\nkind = \"x\"\n"));
    CHECK(textOf(changesBetween(before, after))
          == "attempts [2] []\ndeadline [\"2s\"] [\"3s\"]\n"
             "service.orders.route.bags.kind [] [\"x\"]\n");
}

} // namespace
} // namespace camphorreach
