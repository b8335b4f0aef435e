// Selection of a backend server version by share.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/moveshares.h>
#include <camphorreach/random.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/units.h>

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace camphorreach {

/// The versions of one service that may receive requests, with their shares. During a move, a
/// gradual traffic shift between versions, its shares replace the configured weights. Banned
/// versions are left out and the others keep their proportions.
class VersionShares
{
public:
    using Predicate = std::function<bool(const BackendVersion &)>;

    /// \a move is null when the service has no move.
    VersionShares(const ServicePolicy &service, const ServiceShares *move);

    [[nodiscard]] bool isAllowed(const BackendVersion &version) const;
    [[nodiscard]] bool isBanned(const BackendVersion &version) const;
    /// Draws a version by share alone: considering the load of endpoints would bias the canary
    /// analysis of a move.
    [[nodiscard]] std::optional<BackendVersion> draw(RandomSource &random) const;
    /// The version that replaces \a missing, which has no endpoint left: the allowed version with
    /// the largest share that \a isPresent accepts. During a move it must have at least half of the
    /// shares, because an unproven version must not receive the traffic of the stable one.
    [[nodiscard]] std::optional<BackendVersion> fallback(const BackendVersion &missing,
                                                         const Predicate &isPresent) const;

    /// Allowed versions with their shares, all above zero.
    [[nodiscard]] const std::map<BackendVersion, Share> &shares() const noexcept
    {
        return m_shares;
    }

private:
    std::map<BackendVersion, Share> m_shares; // all above zero; without banned versions
    std::set<BackendVersion> m_banned;
    bool m_hasMove = false;
};

} // namespace camphorreach
