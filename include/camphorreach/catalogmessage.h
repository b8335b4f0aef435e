// Anti-entropy messages between nodes about the contents of the platform's store.
#pragma once

#include <camphorreach/rollout.h>
#include <camphorreach/units.h>
#include <camphorreach/versionedconfig.h>

#include <optional>
#include <variant>
#include <vector>

namespace camphorreach {

/// Versions that a node's copy of the store has reached.
struct CatalogExtent
{
    ConfigVersion config;
    ObjectVersion orders; ///< Highest object version among the orders; zero when none is known.

    /// Whether \a other has a newer configuration or newer orders.
    [[nodiscard]] bool isBehind(const CatalogExtent &other) const noexcept
    {
        return config < other.config || orders < other.orders;
    }
    friend bool operator==(const CatalogExtent &, const CatalogExtent &) = default;
};

/// Digest of the sender's copy. A receiver that is behind sends a pull; one that is ahead replies
/// with its own digest.
struct CatalogAdvert
{
    CatalogExtent extent;
    Duration age {}; ///< Staleness: time since the store was last known to hold nothing newer.
    bool isAnswer = false; ///< Set in a reply to a digest, which gets no reply itself.

    friend bool operator==(const CatalogAdvert &, const CatalogAdvert &) = default;
};

/// Requests the changes after the sender's versions. With a configuration version of zero it
/// requests the complete configuration.
struct CatalogPull
{
    CatalogExtent extent;

    friend bool operator==(const CatalogPull &, const CatalogPull &) = default;
};

/// Reply to a pull: the changes after the versions in the pull.
struct CatalogUpdate
{
    CatalogExtent extent; ///< Of the sender; the receiver reaches it by applying the update.
    std::optional<ConfigChanges> config; ///< Empty when the receiver's configuration is as new.
    std::vector<RolloutOrder> orders; ///< Orders newer than the receiver's newest.
    Duration age {}; ///< Staleness of the sender's copy when the update was created.

    friend bool operator==(const CatalogUpdate &, const CatalogUpdate &) = default;
};

using CatalogMessage = std::variant<CatalogAdvert, CatalogPull, CatalogUpdate>;

} // namespace camphorreach
