// Fuzz tests of the parsers of settings trees and process settings.
#include <camphorreach/nodesettings.h>
#include <camphorreach/settingstree.h>
#include <camphorreach/treedelta.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace camphorreach {
namespace {

class ParserFuzzFixture
{
protected:
    // Generates text from TOML syntax, setting keys and arbitrary bytes.
    static rc::Gen<std::string> fragments()
    {
        const auto fragment = rc::gen::oneOf(
            rc::gen::element<std::string>("[", "]", "[[", "=", ".", "\n", "\"", "'''", "\"\"\"",
                                          "{", "}", ",", "#", "\\u12", "1e999", "-0", "nan",
                                          "1979-05-27", "true", " ", "\xff", "\xef\xbb\xbf"),
            rc::gen::element<std::string>("service", "kind", "route", "version", "weight",
                                          "deadline", "fallback", "move.soak", "a", "\"1s\"", "100",
                                          "0.5", "[service.a.version.b]\nweight = 100\n"),
            rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
        return rc::gen::map(rc::gen::container<std::vector<std::string>>(fragment),
                            [](const std::vector<std::string> &parts) {
                                std::string text;
                                for (const std::string &part : parts)
                                    text += part;
                                return text;
                            });
    }

    // Changes, inserts or removes a few bytes of a valid text.
    static std::string mutate(std::string text)
    {
        const auto count = *rc::gen::inRange(1, 6);
        for (int i = 0; i < count; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            const char byte = *rc::gen::arbitrary<char>();
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                text[at] = byte;
                break;
            case 1:
                text.insert(at, 1, byte);
                break;
            default:
                text.erase(at, 1 + at % 3);
            }
            if (text.empty())
                break;
        }
        return text;
    }

    // Every tree that parses must round-trip through TOML, and either resolve or report findings.
    static void checkTreeText(const std::string &text)
    {
        const auto parsed = parseTree(text, "fuzz");
        if (!isOk(parsed)) {
            RC_ASSERT(!errorOf(parsed).findings.empty());
            return;
        }
        const SettingsTree &tree = valueOf(parsed);
        const auto again = parseTree(toToml(tree), "again");
        RC_ASSERT(isOk(again));
        RC_ASSERT(digestOf(valueOf(again)) == digestOf(tree));
        RC_ASSERT(diff(tree, valueOf(again)).isEmpty());
        const auto snapshot = resolve(tree, ConfigVersion(1));
        if (isOk(snapshot))
            RC_ASSERT(isOk(effectiveSettings(tree, "")));
        else
            RC_ASSERT(!errorOf(snapshot).findings.empty());
    }

    static constexpr const char *treeText = R"(deadline = "1s"
retry-budget = 0.25
[kind.lookup]
weight = 2
semantics = "idempotent"
[service.orders]
move.soak = "90s"
[service.orders.route.stock]
kind = "lookup"
prefix = "/stock"
[service.orders.version.v1]
weight = 60.5
[service.orders.version.v2]
weight = 39.5
fallback = "v1"
)";

    static constexpr const char *nodeText = R"([instance]
name = "orders-0"
failure-domain = "arima"
[listen]
guest = "127.0.0.1:7200"
peer = "127.0.0.1:7300"
admin = "127.0.0.1:7400"
[backend-server]
address = "127.0.0.1:7100"
service = "orders"
version = "v1"
[platform]
address = "127.0.0.1:7000"
[peers]
seeds = ["127.0.0.1:7301"]
)";
};

// Guards against text that crashes a process or that two nodes parse differently.
TEST_CASE_METHOD(ParserFuzzFixture, "ParseTree_randomFragments_parsesOrReportsFindings")
{
    CHECK(rc::check("fragments", [] { checkTreeText(*fragments()); }));
}

TEST_CASE_METHOD(ParserFuzzFixture, "ParseTree_mutatedTree_parsesOrReportsFindings")
{
    REQUIRE(isOk(parseTree(treeText, "tree")));
    CHECK(rc::check("mutated tree", [] { checkTreeText(mutate(treeText)); }));
}

TEST_CASE_METHOD(ParserFuzzFixture, "ParseNodeSettings_mutatedText_parsesOrReportsFindings")
{
    REQUIRE(isOk(parseNodeSettings(nodeText, "node")));
    CHECK(rc::check("mutated settings", [] {
        const auto settings = parseNodeSettings(mutate(nodeText), "node");
        if (!isOk(settings))
            RC_ASSERT(!errorOf(settings).findings.empty());
    }));
}

// Guards against a delta or a merge whose result is not the intended tree.
TEST_CASE_METHOD(ParserFuzzFixture, "TreeDelta_betweenRandomTrees_yieldsTheOther")
{
    CHECK(rc::check(
        "deltas",
        [](const std::map<std::uint8_t, std::uint8_t> &left,
           const std::map<std::uint8_t, std::uint8_t> &right) {
            const auto toTree = [](const std::map<std::uint8_t, std::uint8_t> &entries) {
                SettingsTree tree;
                for (const auto &[key, value] : entries)
                    tree.settings["k" + std::to_string(key % 16)] = { std::int64_t(value % 4), {} };
                return tree;
            };
            const SettingsTree from = toTree(left);
            const SettingsTree to = toTree(right);
            const auto applied = apply(from, diff(from, to));
            RC_ASSERT(isOk(applied));
            RC_ASSERT(digestOf(valueOf(applied)) == digestOf(to));
            RC_ASSERT(digestOf(merge(from, to, from).tree) == digestOf(to));
            RC_ASSERT(digestOf(merge(from, from, to).tree) == digestOf(to));
        }));
}

} // namespace
} // namespace camphorreach
