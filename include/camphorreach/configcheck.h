// Check of a configuration before it is sent: what in it is wrong, has no effect, or contradicts
// itself, and what would change.
#pragma once

#include <camphorreach/finding.h>
#include <camphorreach/meshconfig.h>
#include <camphorreach/settingstree.h>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorreach {

/// Each attempt takes at least this long, on the way to a gate and back.
inline constexpr Duration minAttemptTime = std::chrono::milliseconds(1);

struct ConfigReport
{
    Findings errors; ///< It is refused, or a part of it can never work.
    Findings warnings; ///< It is accepted, but a part of it has no effect or is probably a mistake.
};

/// No finding contains a key of an organisation.
[[nodiscard]] ConfigReport checkConfig(const MeshConfig &config);
[[nodiscard]] ConfigReport checkConfig(const SettingsTree &tree);

/// A difference between two configurations. Names no key of an organisation, only their numbers.
struct ConfigChange
{
    enum class Kind : std::uint8_t { Added, Removed, Changed };

    Kind kind = Kind::Changed;
    std::string key; ///< Such as "routes.r-1" or "limits.idle-timeout".
    std::string before; ///< Empty when added.
    std::string after; ///< Empty when removed.

    friend bool operator==(const ConfigChange &, const ConfigChange &) = default;
};

/// What \a candidate would change, sorted by kind of entry and by name.
[[nodiscard]] std::vector<ConfigChange> changesBetween(const MeshConfig &inForce,
                                                       const MeshConfig &candidate);
[[nodiscard]] std::vector<ConfigChange> changesBetween(const SettingsTree &inForce,
                                                       const SettingsTree &candidate);

/// What keeps \a candidate from taking effect after \a inForce.
[[nodiscard]] Findings checkSuccession(const MeshConfig &inForce, const MeshConfig &candidate);

} // namespace camphorreach
