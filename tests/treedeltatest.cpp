// Tests of the canonical text, deltas and merges of settings trees.
#include <camphorreach/treedelta.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>

namespace camphorreach {
namespace {

class TreeDeltaFixture
{
protected:
    static SettingsTree tree(std::string_view text)
    {
        auto parsed = parseTree(text, "test.toml");
        REQUIRE(isOk(parsed));
        return valueOf(std::move(parsed));
    }

    const SettingsTree baseTree = tree("deadline = \"1s\"\nattempts = 3\n"
                                       "[kind.lookup]\nweight = 2\n");
};

// Guards against a node that activates a different tree than the accepted one.
TEST_CASE_METHOD(TreeDeltaFixture, "TreeDelta_appliedToItsBase_givesTheTargetTree")
{
    const SettingsTree changed
        = tree("deadline = \"2s\"\nretry-budget = 0.25\n[kind.lookup]\nweight = 2\n");
    const TreeDelta delta = diff(baseTree, changed);
    CHECK(changedPaths(delta)
          == std::vector<std::string> { "attempts", "deadline", "retry-budget" });
    const auto applied = apply(baseTree, delta);
    REQUIRE(isOk(applied));
    CHECK(digestOf(valueOf(applied)) == digestOf(changed));
    CHECK(toToml(valueOf(applied)) == toToml(changed));
}

// Guards against a delta that is applied to a different base tree than its own.
TEST_CASE_METHOD(TreeDeltaFixture, "TreeDelta_appliedToAnotherTree_isConflict")
{
    const TreeDelta delta = diff(baseTree, tree("deadline = \"2s\"\n"));
    const auto applied = apply(tree("deadline = \"3s\"\n"), delta);
    REQUIRE_FALSE(isOk(applied));
    CHECK(errorOf(applied).code == ErrorCode::Conflict);
}

// Guards against undetected corruption in transit.
TEST_CASE_METHOD(TreeDeltaFixture, "TreeDelta_corrupted_isMalformed")
{
    TreeDelta corrupted = diff(baseTree, tree("deadline = \"2s\"\n"));
    corrupted.set["deadline"] = std::string("9s");
    CHECK(errorOf(apply(baseTree, corrupted)).code == ErrorCode::Malformed);
    TreeDelta mismatched = diff(baseTree, tree("deadline = \"2s\"\n"));
    mismatched.removed.emplace_back("not-there");
    CHECK(errorOf(apply(baseTree, mismatched)).code == ErrorCode::Malformed);
}

// Guards against values that change when a tree is written and read again.
TEST_CASE_METHOD(TreeDeltaFixture, "Canonical_awkwardValues_areReadBackUnchanged")
{
    SettingsTree awkward;
    awkward.settings["text"] = { std::string("a\"b\\c\n\t\x01\x7f é"), {} };
    awkward.settings["table.whole"] = { 3.0, {} };
    awkward.settings["table.tiny"] = { 1e-300, {} };
    awkward.settings["table.third"] = { 1.0 / 3.0, {} };
    awkward.settings["table.huge"] = { 1e21, {} };
    awkward.settings["table.inner.low"] = { std::numeric_limits<std::int64_t>::min(), {} };
    awkward.settings["flag"] = { true, {} };
    const SettingsTree again = tree(toToml(awkward));
    CHECK(diff(awkward, again).isEmpty());
    CHECK(digestOf(again) == digestOf(awkward));
}

// Guards against two trees with the same digest because one value contains the text of two entries.
TEST_CASE_METHOD(TreeDeltaFixture, "Digest_valueThatLooksLikeTwoEntries_differs")
{
    SettingsTree one;
    one.settings["a"] = { std::string("x\"1:b3:\"y"), {} };
    SettingsTree two;
    two.settings["a"] = { std::string("x"), {} };
    two.settings["b"] = { std::string("y"), {} };
    CHECK(digestOf(one) != digestOf(two));
    CHECK(digestOf(tree("a = 1\n")) != digestOf(tree("a = 1.0\n")));
    CHECK(digestOf(tree("a = 1\nb = 2\n")) == digestOf(tree("b = 2 # comment\na = 1\n")));
}

// Guards against an edit that is lost in a merge.
TEST_CASE_METHOD(TreeDeltaFixture, "Merge_disjointEdits_keepsBoth")
{
    const SettingsTree mine = tree("deadline = \"2s\"\nattempts = 3\n[kind.lookup]\nweight = 2\n");
    const SettingsTree theirs = tree("deadline = \"1s\"\n[kind.lookup]\nweight = 7\n");
    const TreeMerge merged = merge(baseTree, mine, theirs);
    CHECK(merged.conflicts.empty());
    CHECK(toToml(merged.tree) == "deadline = \"2s\"\n\n[kind.lookup]\nweight = 7\n");
}

// Guards against a merge that silently prefers one operator.
TEST_CASE_METHOD(TreeDeltaFixture, "Merge_sameKeysEditedDifferently_reportsConflicts")
{
    const SettingsTree mine = tree("deadline = \"2s\"\n[kind.lookup]\nweight = 2\n");
    const SettingsTree theirs
        = tree("deadline = \"3s\"\nattempts = 5\n[kind.lookup]\nweight = 2\n");
    const TreeMerge merged = merge(baseTree, mine, theirs);
    CHECK(merged.conflicts == std::vector<std::string> { "attempts", "deadline" });
    CHECK(merged.tree.settings.empty());
}

TEST_CASE_METHOD(TreeDeltaFixture, "Merge_sameEditOnBothSides_isNoConflict")
{
    const SettingsTree both = tree("deadline = \"2s\"\n[kind.lookup]\nweight = 2\n");
    const TreeMerge merged = merge(baseTree, both, both);
    CHECK(merged.conflicts.empty());
    CHECK(digestOf(merged.tree) == digestOf(both));
}

} // namespace
} // namespace camphorreach
