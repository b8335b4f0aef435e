// The operators' tree of settings, flattened to typed values by path.
#pragma once

#include <camphorreach/finding.h>
#include <camphorreach/ids.h>
#include <camphorreach/result.h>
#include <camphorreach/snapshot.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorreach {

using SettingValue = std::variant<bool, std::int64_t, double, std::string>;

struct Setting
{
    SettingValue value;
    SourceLocation location;
};

/// Settings by dotted path, such as "service.orders.route.stock.deadline".
struct SettingsTree
{
    std::map<std::string, Setting> settings;
};

/// Maximum size of a settings tree in bytes; the platform limits values to 1 MB.
inline constexpr std::size_t maxTreeBytes = 900'000;

/// Parses TOML text. \a file is the file name in findings. Fails with InvalidInput or TooLarge.
[[nodiscard]] Result<SettingsTree> parseTree(std::string_view text, const std::string &file);

/// Hash of the content of a tree, independent of layout, comments and locations.
[[nodiscard]] Digest digestOf(const SettingsTree &tree);

/// Canonical TOML text: equal trees give equal text, and parseTree() reads the same tree from it.
[[nodiscard]] std::string toToml(const SettingsTree &tree);
/// One value as TOML text.
[[nodiscard]] std::string toToml(const SettingValue &value);

/// Checks the whole tree and resolves inheritance. Fails with all findings.
[[nodiscard]] Result<Snapshot> resolve(const SettingsTree &tree, ConfigVersion version);

/// The value of a key that applies at a level, after inheritance.
struct EffectiveSetting
{
    std::string key; ///< Relative to the level, such as "deadline".
    std::optional<SettingValue> value; ///< Empty if the key is not set and has no default.
    std::string origin; ///< Path of the level that sets it, "root", or "default".
    SourceLocation location;
};

/// All keys that apply at the level \a path, or the single key that \a path names. The empty path
/// is the root. Fails with NotFound. The tree must be valid.
[[nodiscard]] Result<std::vector<EffectiveSetting>> effectiveSettings(const SettingsTree &tree,
                                                                      const std::string &path);

} // namespace camphorreach
