// The schema of the settings tree: every key with its type, range, levels and default.
#pragma once

#include <camphorreach/settingstree.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorreach {

/// Level at which a key may be set. The values are bit flags.
enum class SettingLevel : std::uint8_t { Root = 1, Kind = 2, Service = 4, Route = 8, Version = 16 };

enum class SettingType : std::uint8_t {
    Time, ///< A duration: a string such as "250ms"; the range is in milliseconds.
    Integer,
    Real, ///< A float or an integer.
    Name, ///< The name of a kind or of a version.
    Prefix, ///< A path prefix below the service.
    Semantics, ///< "idempotent" or "run-once".
};

struct SettingSpec
{
    std::string_view key; ///< Relative to the level, such as "deadline" or "move.soak".
    SettingType type = SettingType::Integer;
    std::uint8_t levels = 0; ///< SettingLevel flags.
    double min = 0;
    double max = 0;
    std::string_view unit; ///< For the table of keys.
    std::optional<SettingValue> defaultValue; ///< Applies if no level sets the key.
    std::string_view meaning; ///< For the table of keys.

    [[nodiscard]] bool isAllowedAt(SettingLevel level) const noexcept
    {
        return (levels & static_cast<std::uint8_t>(level)) != 0;
    }
};

/// All keys, in the order of the table of keys.
[[nodiscard]] const std::vector<SettingSpec> &settingSchema();

/// The specification of a key at a level, or nullptr.
[[nodiscard]] const SettingSpec *findSpec(std::string_view key, SettingLevel level) noexcept;

/// Why a value is invalid, or an empty string.
[[nodiscard]] std::string violationOf(const SettingSpec &spec, const SettingValue &value);

/// Parses "250ms", "10s", "5m" or "2h".
[[nodiscard]] std::optional<Duration> parseDuration(std::string_view text) noexcept;

/// "root", "kind", "service", "route" or "version".
[[nodiscard]] const char *toText(SettingLevel level) noexcept;

/// The table of keys for the operators' documentation, in Markdown.
[[nodiscard]] std::string schemaTable();

} // namespace camphorreach
