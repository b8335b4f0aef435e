// Messages between nodes about what the platform's store holds.
#pragma once

#include <camphorreach/meshconfig.h>
#include <camphorreach/rollout.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace camphorreach {

/// What the sender holds. Whoever holds more sends it; whoever holds less gets it by answering.
struct CatalogAdvert
{
    ConfigVersion config;
    ObjectVersion orders; ///< Highest object version among the orders; zero when none is known.
    bool isAnswer = false; ///< An answer is not answered with another advert.

    friend bool operator==(const CatalogAdvert &, const CatalogAdvert &) = default;
};

/// The whole content, for a node that holds less.
struct CatalogUpdate
{
    MeshConfig config;
    std::vector<RolloutOrder> orders;

    friend bool operator==(const CatalogUpdate &, const CatalogUpdate &) = default;
};

using CatalogMessage = std::variant<CatalogAdvert, CatalogUpdate>;

} // namespace camphorreach
