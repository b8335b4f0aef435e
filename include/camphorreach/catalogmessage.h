// Anti-entropy messages between nodes about the contents of the platform's store.
#pragma once

#include <camphorreach/evacuation.h>
#include <camphorreach/rollout.h>
#include <camphorreach/units.h>
#include <camphorreach/versionedconfig.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace camphorreach {

/// Versions that a node's copy of the store has reached.
struct CatalogVersions
{
    ConfigVersion config;
    ObjectVersion orders; ///< Highest object version among the orders; zero when none is known.
    /// Highest version among the evacuation orders; empty when none is known.
    std::optional<ObjectVersion> evacuations {};

    /// Whether \a other has a newer configuration, newer orders or newer evacuation orders.
    [[nodiscard]] bool isBehind(const CatalogVersions &other) const noexcept
    {
        return config < other.config || orders < other.orders || evacuations < other.evacuations;
    }
    friend bool operator==(const CatalogVersions &, const CatalogVersions &) = default;
};

/// Digest of the sender's copy. A receiver that is behind sends a pull; one that is ahead replies
/// with its own digest.
struct CatalogDigest
{
    CatalogVersions versions;
    Duration staleness {}; ///< Time since the store was last known to hold nothing newer.
    bool isAnswer = false; ///< Set in a reply to a digest, which gets no reply itself.

    friend bool operator==(const CatalogDigest &, const CatalogDigest &) = default;
};

/// Requests the changes after the sender's versions. With a configuration version of zero it
/// requests the complete configuration.
struct CatalogPull
{
    CatalogVersions versions;

    friend bool operator==(const CatalogPull &, const CatalogPull &) = default;
};

/// Reply to a pull: the changes after the versions in the pull.
struct CatalogUpdate
{
    CatalogVersions versions; ///< Of the sender; the receiver reaches it by applying the update.
    std::optional<ConfigDelta> config; ///< Empty when the receiver's configuration is as new.
    std::vector<RolloutOrder> orders; ///< Orders newer than the receiver's newest.
    Duration staleness {}; ///< Of the sender's copy when the update was created.
    std::vector<EvacuationOrder> evacuations {}; ///< Newer than the receiver's newest.

    friend bool operator==(const CatalogUpdate &, const CatalogUpdate &) = default;
};

/// Asks how long ago the receiver's configuration was proved to be the newest of the store. Sent
/// only where the revocation of keys is strict.
struct CatalogProofRequest
{
    std::uint64_t nonce = 0; ///< Repeated in the reply, which matches it to its question.

    friend bool operator==(const CatalogProofRequest &, const CatalogProofRequest &) = default;
};

/// Reply to a proof request.
struct CatalogProofReply
{
    std::uint64_t nonce = 0;
    ConfigVersion version; ///< Held by the sender.
    Duration age {}; ///< Of the sender's proof when the reply was created.

    friend bool operator==(const CatalogProofReply &, const CatalogProofReply &) = default;
};

using CatalogMessage = std::variant<CatalogDigest, CatalogPull, CatalogUpdate, CatalogProofRequest,
                                    CatalogProofReply>;

} // namespace camphorreach
