// Tests of reading, checking and resolving a settings tree.
#include <camphorreach/settingschema.h>
#include <camphorreach/settingstree.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;

class SettingsTreeFixture
{
protected:
    static SettingsTree tree(std::string_view text)
    {
        auto parsed = parseTree(text, "tree.toml");
        REQUIRE(isOk(parsed));
        return valueOf(std::move(parsed));
    }

    static Snapshot resolved(std::string_view text)
    {
        auto snapshot = resolve(tree(text), ConfigVersion(7));
        if (!isOk(snapshot))
            FAIL(toText(errorOf(snapshot).findings));
        return valueOf(std::move(snapshot));
    }

    // All findings of a text, from reading it or from checking the tree.
    static std::string findings(std::string_view text)
    {
        const auto parsed = parseTree(text, "tree.toml");
        if (!isOk(parsed))
            return toText(errorOf(parsed).findings);
        const auto snapshot = resolve(valueOf(parsed), ConfigVersion(1));
        return isOk(snapshot) ? "" : toText(errorOf(snapshot).findings);
    }

    static std::string readFile(const std::string &path)
    {
        std::ifstream file(CAMPHORREACH_SOURCE_DIR "/" + path);
        REQUIRE(file);
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

    static constexpr std::string_view layeredTree = R"(deadline = "2s"
attempts = 4
queue-limit = 100

[kind.lookup]
weight = 2
semantics = "idempotent"
deadline = "900ms"

[service.orders]
attempts = 2

[service.orders.route.stock]
kind = "lookup"

[service.orders.route.bags]
deadline = "3s"
prefix = "/bags/new"

[service.orders.version.v1]
weight = 99.5
queue-limit = 7

[service.orders.version.v2]
weight = 0.5
fallback = "v1"
)";
};

// Guards against a level that does not inherit, or that overrides in the wrong order.
TEST_CASE_METHOD(SettingsTreeFixture, "Resolve_layeredTree_takesNearestLevel")
{
    const Snapshot snapshot = resolved(layeredTree);
    CHECK(snapshot.version == ConfigVersion(7));
    const ServicePolicy &orders = snapshot.services.at(ServiceName("orders"));
    CHECK(orders.queueLimit == 100);
    CHECK(orders.versions.at(BackendVersion("v1")).queueLimit == 7);
    CHECK(orders.versions.at(BackendVersion("v2")).queueLimit == 100);
    CHECK(orders.versions.at(BackendVersion("v2")).fallback == BackendVersion("v1"));
    CHECK(orders.weights.at(BackendVersion("v2")) == Share::fromMillionths(5'000));
    const RoutePolicy *stock = orders.findRoute("/stock/ice");
    REQUIRE(stock != nullptr);
    CHECK(stock->isIdempotent);
    CHECK(stock->kindWeight == 2);
    CHECK(stock->deadline == milliseconds(900));
    CHECK(stock->maxAttempts == 2);
    const RoutePolicy *bags = orders.findRoute("/bags/new?count=12");
    REQUIRE(bags != nullptr);
    CHECK_FALSE(bags->isIdempotent);
    CHECK(bags->deadline == milliseconds(3'000));
}

// Guards against defaults of the schema that differ from those of the snapshot's structures.
TEST_CASE_METHOD(SettingsTreeFixture, "Resolve_nothingSet_givesDefaults")
{
    const Snapshot snapshot
        = resolved("[service.s.version.v1]\nweight = 100\n[service.s.route.r]\nprefix = \"/\"\n");
    const ServicePolicy &service = snapshot.services.at(ServiceName("s"));
    const ServicePolicy expected;
    CHECK(service.retryBudget == expected.retryBudget);
    CHECK(service.queueLimit == expected.queueLimit);
    CHECK(service.move.soak == expected.move.soak);
    CHECK(service.move.falseAlarmRate == expected.move.falseAlarmRate);
    CHECK(service.move.missRate == expected.move.missRate);
    CHECK(service.move.onTimeWeight == expected.move.onTimeWeight);
    CHECK(service.move.rollbackWeight == expected.move.rollbackWeight);
    const RoutePolicy route;
    CHECK(service.routes.at(0).deadline == route.deadline);
    CHECK(service.routes.at(0).maxAttempts == route.maxAttempts);
    CHECK(service.routes.at(0).kind == KindName("default"));
    CHECK(service.routes.at(0).isIdempotent == route.isIdempotent);
}

// Guards against a request that reaches the policy of another route.
TEST_CASE_METHOD(SettingsTreeFixture, "FindRoute_prefixInsideSegment_doesNotMatch")
{
    const Snapshot snapshot = resolved(layeredTree);
    const ServicePolicy &orders = snapshot.services.at(ServiceName("orders"));
    CHECK(orders.findRoute("/stockpile") == nullptr);
    CHECK(orders.findRoute("/bags") == nullptr);
    CHECK(orders.findRoute("/stock") != nullptr);
    CHECK(orders.findRoute("/stock?item=ice") != nullptr);
}

// Guards against an operator who sees the next problem only after fixing the previous one.
TEST_CASE_METHOD(SettingsTreeFixture, "Check_manyFaults_reportsAllWithLineAndColumn")
{
    const std::string all = findings(R"(deadlin = "2s"
attempts = "three"
deadline = "2 seconds"
queue-limit = 0
prefix = "/x"
[kind.lookup]
semantics = "maybe"
[service.orders.route.stock]
kind = "lookups"
retry-budget = 2.0
)");
    CHECK(all == R"(tree.toml:1:1: deadlin: is not a known key
tree.toml:2:1: attempts: must be an integer
tree.toml:3:1: deadline: must be a duration such as "250ms", "10s", "5m" or "2h"
tree.toml:4:1: queue-limit: must be from 1 to 100000
tree.toml:5:1: prefix: can't be set at the level "root"
tree.toml:7:1: kind.lookup.semantics: must be "idempotent" or "run-once"
tree.toml:9:1: service.orders: has no version
tree.toml:9:1: service.orders.route.stock.kind: there is no kind "lookups"
tree.toml:10:1: service.orders.route.stock.retry-budget: can't be set at the level "route"
)");
}

// Guards against lost or duplicated traffic because the weights do not add up to 100.
TEST_CASE_METHOD(SettingsTreeFixture, "Check_weightsNotAddingUpTo100_isFinding")
{
    CHECK(findings("[service.s.version.v1]\nweight = 60\n[service.s.version.v2]\nweight = 30.5\n")
          == "tree.toml:2:1: service.s.version: weights must add up to 100, not 90.5\n");
    CHECK(findings("[service.s.version.v1]\nweight = 101\n[service.s.version.v2]\nweight = -1\n")
              .find("must be from 0 to 100")
          != std::string::npos);
    CHECK(findings("[service.s.version.v1]\nweight = 60\n[service.s.version.v2]\nweight = 40.0\n")
              .empty());
}

// Guards against a request that is passed between versions in an endless loop.
TEST_CASE_METHOD(SettingsTreeFixture, "Check_fallbackCycle_isReportedOnce")
{
    const std::string text = R"([service.s.version.a]
weight = 100
fallback = "b"
[service.s.version.b]
fallback = "c"
[service.s.version.c]
fallback = "b"
[service.s.version.d]
fallback = "d"
[service.s.version.e]
fallback = "gone"
)";
    CHECK(findings(text)
          == R"(tree.toml:5:1: service.s.version.b.fallback: fallbacks form a cycle: b, c, b
tree.toml:9:1: service.s.version.d.fallback: fallbacks form a cycle: d, d
tree.toml:11:1: service.s.version.e.fallback: there is no version "gone"
)");
}

// Guards against a route that can never be reached.
TEST_CASE_METHOD(SettingsTreeFixture, "Check_prefixUsedTwice_namesTheOtherRoute")
{
    const std::string text = "[service.s.version.v1]\nweight = 100\n[service.s.route.a]\n"
                             "attempts = 1\n[service.s.route.b]\nprefix = \"/a\"\n";
    CHECK(findings(text)
          == "tree.toml:6:1: service.s.route.b.prefix: \"/a\" is already the prefix of route "
             "\"a\"\n");
}

// Guards against a bad prefix that no request path matches.
TEST_CASE_METHOD(SettingsTreeFixture, "Check_badPrefix_isFinding")
{
    for (const char *prefix : { "a", "/a/", "/a b", "/a?b", "" }) {
        const std::string text = "[service.s.version.v1]\nweight = 100\n[service.s.route.a]\n"
                                 "prefix = \""
            + std::string(prefix) + "\"\n";
        INFO(prefix);
        CHECK(findings(text).find("service.s.route.a.prefix: must") != std::string::npos);
    }
}

// Guards against settings that are dropped silently when a tree is parsed.
TEST_CASE_METHOD(SettingsTreeFixture, "Parse_emptyTableArrayOrBadName_isFinding")
{
    CHECK(findings("[service.s.route.a]\n")
          == "tree.toml:1:18: service.s.route.a: is an empty table; set at least one key\n");
    CHECK(findings("a = [1]\n")
          == "tree.toml:1:1: a: must be a finite number, a string, true or false\n");
    CHECK(findings("a = nan\n").find("finite") != std::string::npos);
    CHECK(findings("\"a.b\" = 1\n").find("is not a name") != std::string::npos);
    CHECK(findings("a = 1\na = 2\n").find("tree.toml:2:") == 0);
}

// Guards against a stack that is exhausted by the recursion of the TOML library.
TEST_CASE_METHOD(SettingsTreeFixture, "Parse_deeplyDottedKey_isFinding")
{
    std::string deep = "x = \"a.b\" # comment\na";
    for (int i = 0; i < 300'000; ++i)
        deep += ".a";
    CHECK(findings(deep + " = 1\n") == "tree.toml:2:1: the line has too many dots\n");
    const std::string dots(100, '.');
    CHECK(findings("# " + dots + "\nkind = 'default" + dots + "'\n").find("too many dots")
          == std::string::npos);
}

// Guards against the undefined behaviour of the TOML library for some characters.
TEST_CASE_METHOD(SettingsTreeFixture, "Parse_nonAsciiOutsideStringsAndComments_isFinding")
{
    const std::string finding = ":1: only strings and comments may hold non-ASCII text\n";
    CHECK(findings("k\xc3\xb8 = 1\n") == "tree.toml:1" + finding);
    CHECK(findings("a = 1\nb = \xc2\xa1\n") == "tree.toml:2" + finding);
    CHECK(findings("a = \"\"\"b\"\"\"\"\nb = \xe3\x80\x80\n") == "tree.toml:2" + finding);
    CHECK(findings("\xef\xbb\xbf# \xc3\xb8\nkind = '\xc3\xb8'\n").find("non-ASCII")
          == std::string::npos);
}

// Guards against a tree that the platform can't store.
TEST_CASE_METHOD(SettingsTreeFixture, "Parse_treeOverTheLimit_isTooLarge")
{
    const auto parsed = parseTree(std::string(maxTreeBytes + 1, '\n'), "tree.toml");
    REQUIRE_FALSE(isOk(parsed));
    CHECK(errorOf(parsed).code == ErrorCode::TooLarge);
    CHECK(isOk(parseTree(std::string(maxTreeBytes, '\n'), "tree.toml")));
}

// Guards against an operator who looks for the source of a value at the wrong level.
TEST_CASE_METHOD(SettingsTreeFixture, "Effective_route_reportsOriginOfEachValue")
{
    const auto settings = effectiveSettings(tree(layeredTree), "service.orders.route.stock");
    REQUIRE(isOk(settings));
    std::string text;
    for (const EffectiveSetting &setting : valueOf(settings))
        text += setting.key + "=" + toToml(*setting.value) + " " + setting.origin + "\n";
    CHECK(text
          == "deadline=\"900ms\" kind.lookup\nattempts=2 service.orders\n"
             "kind=\"lookup\" service.orders.route.stock\nprefix=\"/stock\" default\n");
}

TEST_CASE_METHOD(SettingsTreeFixture, "Effective_oneKeyRootOrUnknownPath_isSelected")
{
    const SettingsTree layered = tree(layeredTree);
    const auto one = effectiveSettings(layered, "service.orders.version.v2.queue-limit");
    REQUIRE(isOk(one));
    REQUIRE(valueOf(one).size() == 1);
    CHECK(valueOf(one).front().origin == "root");
    CHECK(valueOf(one).front().location.line == 3);
    CHECK(isOk(effectiveSettings(layered, "")));
    const auto root = effectiveSettings(layered, "move.soak");
    REQUIRE(isOk(root));
    CHECK(valueOf(root).front().origin == "default");
    for (const char *path : { "service", "service.trucks", "service.orders.route.none", "nonsense",
                              "service.orders.prefix", "." }) {
        INFO(path);
        CHECK_FALSE(isOk(effectiveSettings(layered, path)));
    }
}

// Guards against durations that overflow or are read with the wrong unit.
TEST_CASE_METHOD(SettingsTreeFixture, "Duration_text_isReadOrRefused")
{
    CHECK(parseDuration("250ms") == Duration(milliseconds(250)));
    CHECK(parseDuration("2h") == Duration(std::chrono::hours(2)));
    for (const char *text : { "", "ms", "5", "-1s", "-0s", "+1s", "1.5s", "1 s", "5d",
                              "99999999999999999999s", "9223372036854775807h" }) {
        INFO(text);
        CHECK_FALSE(parseDuration(text).has_value());
    }
}

// Guards against a documentation page that differs from the keys that the programs accept.
TEST_CASE_METHOD(SettingsTreeFixture, "Schema_documentationPage_containsTheTable")
{
    CHECK(readFile("docs/settings.md").find(schemaTable()) != std::string::npos);
}

// Guards against examples that the programs reject.
TEST_CASE_METHOD(SettingsTreeFixture, "Examples_eachTree_isValid")
{
    CHECK(findings(readFile("examples/trinidad-ice.toml")).empty());
    CHECK(findings(readFile("examples/lysvaerk.toml")).empty());
}

} // namespace
} // namespace camphorreach
