// Differences between settings trees: deltas and three-way merges.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/result.h>
#include <camphorreach/settingstree.h>

#include <map>
#include <string>
#include <vector>

namespace camphorreach {

/// Delta from one tree to another. Source locations of settings are not part of it.
struct TreeDelta
{
    Digest base; ///< Digest of the tree that the delta applies to.
    Digest result; ///< Digest of the resulting tree.
    std::map<std::string, SettingValue> set; ///< New or changed values by path.
    std::vector<std::string> removed; ///< Sorted paths that are not in the result.

    [[nodiscard]] bool isEmpty() const noexcept { return set.empty() && removed.empty(); }

    friend bool operator==(const TreeDelta &, const TreeDelta &) = default;
};

[[nodiscard]] TreeDelta diff(const SettingsTree &from, const SettingsTree &to);

/// Returns \a base with \a delta applied. Fails with Conflict when \a base does not have the digest
/// `delta.base`, and with Malformed when the delta removes a path that \a base lacks or the result
/// does not have the digest `delta.result`.
[[nodiscard]] Result<SettingsTree> apply(const SettingsTree &base, const TreeDelta &delta);

/// The sorted paths that a delta changes.
[[nodiscard]] std::vector<std::string> changedPaths(const TreeDelta &delta);

/// Result of a three-way merge.
struct TreeMerge
{
    SettingsTree tree; ///< Base with the changes of both sides; empty on conflict.
    /// Sorted paths that the sides changed to different values.
    std::vector<std::string> conflicts;
};

/// Merges the changes of two trees to \a base. The result is not validated.
[[nodiscard]] TreeMerge merge(const SettingsTree &base, const SettingsTree &mine,
                              const SettingsTree &theirs);

} // namespace camphorreach
