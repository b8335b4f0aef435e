// Deltas between settings trees, and merges of them.
#include <camphorreach/treedelta.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorreach {
namespace {

// The value at a path, or nullptr when the tree does not have that path.
const SettingValue *valueAt(const SettingsTree &tree, const std::string &path)
{
    const auto found = tree.settings.find(path);
    return found == tree.settings.end() ? nullptr : &found->second.value;
}

bool isSame(const SettingValue *left, const SettingValue *right)
{
    if (left == nullptr || right == nullptr)
        return left == right;
    return *left == *right;
}

} // namespace

TreeDelta diff(const SettingsTree &from, const SettingsTree &to)
{
    TreeDelta delta { digestOf(from), digestOf(to), {}, {} };
    for (const auto &[path, setting] : to.settings) {
        if (!isSame(valueAt(from, path), &setting.value))
            delta.set.emplace(path, setting.value);
    }
    for (const auto &[path, setting] : from.settings) {
        if (!to.settings.contains(path))
            delta.removed.push_back(path);
    }
    return delta;
}

Result<SettingsTree> apply(const SettingsTree &base, const TreeDelta &delta)
{
    if (digestOf(base) != delta.base)
        return Error { ErrorCode::Conflict, "the delta applies to a different base tree" };
    SettingsTree tree = base;
    for (const std::string &path : delta.removed) {
        if (tree.settings.erase(path) == 0)
            return Error { ErrorCode::Malformed,
                           "the delta removes \"" + path
                               + "\", which the base tree does not have" };
    }
    for (const auto &[path, value] : delta.set)
        tree.settings[path] = Setting { value, {} };
    if (digestOf(tree) != delta.result)
        return Error { ErrorCode::Malformed,
                       "the resulting tree does not match the digest of the delta" };
    return tree;
}

std::vector<std::string> changedPaths(const TreeDelta &delta)
{
    std::vector<std::string> paths = delta.removed;
    for (const auto &[path, value] : delta.set)
        paths.push_back(path);
    std::ranges::sort(paths);
    return paths;
}

TreeMerge merge(const SettingsTree &base, const SettingsTree &mine, const SettingsTree &theirs)
{
    TreeMerge merged { theirs, {} };
    for (const std::string &path : changedPaths(diff(base, mine))) {
        const SettingValue *wanted = valueAt(mine, path);
        const SettingValue *current = valueAt(theirs, path);
        if (!isSame(current, valueAt(base, path)) && !isSame(current, wanted)) {
            merged.conflicts.push_back(path);
            continue;
        }
        if (wanted == nullptr)
            merged.tree.settings.erase(path);
        else
            merged.tree.settings[path] = mine.settings.at(path);
    }
    if (!merged.conflicts.empty())
        merged.tree = {};
    return merged;
}

} // namespace camphorreach
