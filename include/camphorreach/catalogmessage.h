// Messages between nodes about what the platform's store holds.
#pragma once

#include <camphorreach/rollout.h>
#include <camphorreach/units.h>
#include <camphorreach/versionedconfig.h>

#include <optional>
#include <variant>
#include <vector>

namespace camphorreach {

/// How far a node's copy of the store goes.
struct CatalogExtent
{
    ConfigVersion config;
    ObjectVersion orders; ///< Highest object version among the orders; zero when none is known.

    /// Whether \a other goes further in some part.
    [[nodiscard]] bool lacks(const CatalogExtent &other) const noexcept
    {
        return config < other.config || orders < other.orders;
    }
    friend bool operator==(const CatalogExtent &, const CatalogExtent &) = default;
};

/// What the sender holds. Whoever holds less asks for it; whoever holds more says so.
struct CatalogAdvert
{
    CatalogExtent extent;
    Duration age {}; ///< Since the store was last known to hold nothing newer.
    bool isAnswer = false; ///< An answer is not answered with another advert.

    friend bool operator==(const CatalogAdvert &, const CatalogAdvert &) = default;
};

/// Asks for what the sender lacks. A configuration of zero asks for all of it.
struct CatalogPull
{
    CatalogExtent extent;

    friend bool operator==(const CatalogPull &, const CatalogPull &) = default;
};

/// What the asker lacks.
struct CatalogUpdate
{
    CatalogExtent extent; ///< Of the sender, so of the asker once it has taken the update.
    std::optional<ConfigChanges> config; ///< Empty when the asker's is as new.
    std::vector<RolloutOrder> orders; ///< Those that are newer than the asker's newest.
    Duration age {}; ///< As in an advert, when the update was made.

    friend bool operator==(const CatalogUpdate &, const CatalogUpdate &) = default;
};

using CatalogMessage = std::variant<CatalogAdvert, CatalogPull, CatalogUpdate>;

} // namespace camphorreach
