// Decides which nodes watch the platform's store.
#pragma once

#include <camphorreach/units.h>

#include <cstddef>
#include <optional>

namespace camphorreach {

/// The first nodes of each failure domain by rank watch, and the others get changes from them. One
/// that hears no other node, or whose copy or proof is too old, watches as well.
class WatchElection
{
public:
    /// Number of nodes of a failure domain that watch the store; the others get changes from them.
    /// With three, a store that refuses a third of the machines rarely refuses all watchers of a
    /// region.
    static constexpr std::size_t watchersPerDomain = 3;
    /// Nodes that take over from stale watchers start one after the other by rank, so that the
    /// changes that the first one reads save the others the calls.
    static constexpr Duration takeoverStagger = std::chrono::milliseconds(100);

    /// What this node holds, as of the decision.
    struct Copy
    {
        std::size_t rank = 0; ///< Of this node in its failure domain.
        std::optional<TimePoint> freshAsOf {}; ///< When the store held nothing newer, if known.
        std::optional<Duration> maxProofAge {}; ///< Empty while no proof is needed.
        std::optional<TimePoint> provenAsOf {}; ///< Empty while there is no proof.
    };

    /// Only the first call has an effect.
    void start(TimePoint now);
    void onPeerMessage(TimePoint now) noexcept { m_lastPeerMessage = now; }

    [[nodiscard]] bool isWatcher(const Copy &copy, TimePoint now) const;
    /// Returns whether this node begins to watch.
    [[nodiscard]] bool update(const Copy &copy, TimePoint now);
    /// The result of isWatcher() at the last update; true before.
    [[nodiscard]] bool isWatching() const noexcept { return m_isWatching; }
    /// The time at which a node starts to watch although its rank does not select it.
    [[nodiscard]] TimePoint takeoverTime(const Copy &copy) const;

    /// While the store fails, the nodes that have taken over from the watchers of their failure
    /// domain call it less often the higher their \a rank, so that the calls do not grow with the
    /// number of nodes. Returns by how many times the interval is longer.
    [[nodiscard]] Duration::rep retryShare(std::size_t rank, TimePoint now) const;
    [[nodiscard]] static Duration::rep share(std::size_t rank) noexcept;

    /// Empty before start().
    [[nodiscard]] std::optional<TimePoint> startedAt() const noexcept { return m_startedAt; }

private:
    std::optional<TimePoint> m_startedAt;
    TimePoint m_lastPeerMessage {};
    bool m_isWatching = true; // until the first update, so that a starting node lists everything
};

} // namespace camphorreach
