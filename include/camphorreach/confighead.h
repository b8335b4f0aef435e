// The accepted configuration as stored in the platform, in the object "config/head".
#pragma once

#include <camphorreach/ids.h>

#include <string>
#include <vector>

namespace camphorreach {

/// Key of the object that holds the accepted configuration.
[[nodiscard]] ObjectKey configHeadKey();

/// Maximum number of operation ids in a head; they identify a write whose reply was lost.
inline constexpr std::size_t maxHeadOperations = 16;

struct ConfigHead
{
    ConfigVersion version;
    std::vector<OperationId>
        operations; ///< The latest operations, newest first; at most maxHeadOperations.
    std::string tree; ///< TOML text of the whole tree.

    friend bool operator==(const ConfigHead &, const ConfigHead &) = default;
};

} // namespace camphorreach
