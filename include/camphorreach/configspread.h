// Gossip of configuration versions: pushes deltas, sends digests and pulls from nodes ahead.
#pragma once

#include <camphorreach/configmessage.h>
#include <camphorreach/configpeers.h>
#include <camphorreach/filter.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>
#include <camphorreach/tokenbucket.h>
#include <camphorreach/versionstore.h>

#include <deque>
#include <optional>

namespace camphorreach {

/// Part of the filter `Configuration`. Reads the store and never changes it.
class ConfigSpread
{
public:
    ConfigSpread(const VersionStore &store, const ConfigPeers &peers, std::size_t fanOut,
                 RandomSource &random);

    /// Messages to send; the caller emits them.
    using Sends = std::vector<PeerSend>;

    /// Called when the store has advanced. Pushes now and in a few further rounds.
    void onAdvanced(TimePoint now, Sends &sends);
    void onDigest(const NetAddress &from, const VersionDigest &theirs, TimePoint now, Sends &sends);
    void onPull(const NetAddress &from, const ConfigPull &pull, TimePoint now, Sends &sends);
    /// Called when an update from a peer could not be applied. Pulls from that peer, or queues it
    /// while another pull is in progress.
    void onUnusable(const NetAddress &from, TimePoint now, Sends &sends);

    /// \a own is sent if a digest is due.
    void advance(const VersionDigest &own, TimePoint now, Sends &sends);
    [[nodiscard]] TimePoint nextDeadline() const;
    [[nodiscard]] std::uint64_t fullTransfers() const noexcept { return m_fullTransfers; }

private:
    void pushRound(Sends &sends);
    void pull(const NetAddress &from, bool isFull, TimePoint now, Sends &sends);
    [[nodiscard]] VersionDigest bareDigest() const;

    const VersionStore &m_store;
    const ConfigPeers &m_peers;
    const std::size_t m_fanOut;
    RandomSource &m_random;
    TokenBucket m_fullStateBudget; // in full-state transfers
    std::uint64_t m_fullTransfers = 0;
    unsigned m_pushRoundsLeft = 0;
    TimePoint m_nextPush {};
    TimePoint m_nextDigest {};
    bool m_hasStarted = false;
    std::optional<TimePoint> m_pullDeadline; // of the pull in progress
    std::deque<NetAddress> m_pullCandidates; // peers to pull from next, oldest first; bounded
};

} // namespace camphorreach
