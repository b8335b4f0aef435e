// Catalog spread: gossip between catalogs, with pushed and periodic digests and pulls of changes.
#pragma once

#include <camphorreach/catalogmessage.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>
#include <camphorreach/tokenbucket.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace camphorreach {

/// Part of Catalog that decides which nodes are sent digests and which node changes are pulled
/// from. At most one pull is pending, so that an update never queues behind an older one. The node
/// that is asked creates the update when the pull arrives, from the newest version that it holds.
class CatalogSpread
{
public:
    using Sends = std::vector<PeerSend>;

    CatalogSpread(Endpoint self, RandomSource &random);

    void update(const EndpointTable &table);
    /// Number of ready nodes of this failure domain with a lower address than this node's. The
    /// nodes of the lowest ranks act for the domain, so draining and suspected nodes are not
    /// counted.
    [[nodiscard]] std::size_t rank() const noexcept { return m_rank; }
    [[nodiscard]] bool hasDomainPeers() const noexcept { return !m_domainPeers.empty(); }

    /// The node to ask for a proof after \a attempts questions without a useful answer: first those
    /// that watch the store for this failure domain, then any others.
    [[nodiscard]] std::optional<NetAddress> proofSource(unsigned attempts);

    /// Sends the digest of a changed copy to some nodes of the failure domain at once.
    void pushDigest(const CatalogDigest &own, Sends &sends);
    /// Replies to the digest of a node that is behind; a node that is ahead becomes a candidate for
    /// pulls.
    void onDigest(const NetAddress &from, const CatalogDigest &theirs, const CatalogDigest &own,
                  Sends &sends);
    /// Whether \a update may be sent now, which is then recorded. The same content is not sent to
    /// the same node again while it may still be in transit, and the rate of complete
    /// configurations is limited.
    [[nodiscard]] bool admitUpdate(const NetAddress &to, const CatalogUpdate &update,
                                   TimePoint now);
    /// Records that \a from holds \a versions. It is a candidate for pulls when it is ahead.
    void updateCandidate(const NetAddress &from, const CatalogVersions &versions,
                         const CatalogVersions &own);
    /// Ends the pull from \a from. Returns when it was sent, or nothing when none was pending.
    std::optional<TimePoint> finishPull(const NetAddress &from);
    /// An update could not be applied, so the next pull requests the complete configuration.
    void onRejected() noexcept { m_needsComplete = true; }
    /// Sends a pull to one of the candidates, unless one is pending.
    void pull(const CatalogVersions &own, TimePoint now, Sends &sends);
    /// Sends the periodic digest when it is due.
    void advance(const CatalogDigest &own, TimePoint now, Sends &sends);
    /// When advance() or pull() is to be called next.
    [[nodiscard]] TimePoint nextDeadline() const;

private:
    struct PullCandidate
    {
        NetAddress peer;
        CatalogVersions versions;
    };

    struct PendingPull
    {
        NetAddress peer;
        TimePoint sentAt {};
        TimePoint expiresAt {};
    };

    struct SentUpdate
    {
        CatalogVersions versions;
        bool isComplete = false;
        TimePoint resendAt {}; // the earliest time at which the same may be sent again
    };

    const Endpoint m_self;
    RandomSource &m_random;
    std::vector<NetAddress> m_domainPeers; // other nodes of this failure domain
    std::vector<NetAddress> m_remotePeers; // nodes of other failure domains
    std::vector<NetAddress> m_actingPeers; // ready ones of this domain of the lowest addresses
    std::size_t m_rank = 0;
    std::deque<PullCandidate> m_candidates; // nodes that are ahead; bounded, every peer once
    std::optional<PendingPull> m_pendingPull;
    bool m_needsComplete = false; // the next pull requests the complete configuration
    std::map<NetAddress, SentUpdate> m_sentUpdates; // the last update to every peer; bounded
    TokenBucket m_completeBudget; // in complete configurations
    std::optional<TimePoint> m_nextDigest; // empty before the first advance()
};

} // namespace camphorreach
