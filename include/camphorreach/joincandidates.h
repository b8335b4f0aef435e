// Addresses of listed nodes, through which a node joins the others.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/random.h>
#include <camphorreach/units.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace camphorreach {

/// The store has listed the records of all nodes. Records of replaced machines stay, so there may
/// be fewer nodes, but a node writes its record before it does anything else.
struct NodesListed
{
    std::size_t count = 0; ///< Including this node.
};

/// Most of the nodes that the store lists may be gone, because the records of replaced machines
/// stay. The addresses are therefore tried in random order, a batch at a time. The first list is
/// tried to its end, and so is each list that is read while no other node is known; of the others
/// only one batch is tried, to find nodes that gossip has lost.
class JoinCandidates
{
public:
    /// Addresses that are kept of a list, chosen at random when it is longer.
    static constexpr std::size_t maxListed = 4096;
    static constexpr std::size_t batchSize = 64;

    JoinCandidates(NetAddress self, RandomSource &random);

    /// The addresses in \a table belong to nodes that are known already. They are not tried.
    void update(const EndpointTable &table);
    [[nodiscard]] bool knowsOthers() const noexcept { return !m_known.empty(); }

    void add(const NetAddress &peer); ///< Of the list that is being read.
    void restartList();
    /// Returns how many other nodes the list had.
    std::uint64_t finishList(TimePoint now);

    /// The addresses that are to be tried now; empty when none are due.
    [[nodiscard]] std::vector<NetAddress> takeDue(TimePoint now);
    /// When the next batch is due; empty when none is left.
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

private:
    const NetAddress m_self;
    RandomSource &m_random;
    std::set<NetAddress> m_known;
    std::vector<NetAddress> m_listed; // of the list being read; at most maxListed
    std::uint64_t m_listedCount = 0; // including those that were not kept
    std::vector<NetAddress> m_remaining; // not tried yet, in random order
    TimePoint m_nextBatch {};
    bool m_hasTriedAll = false; // of one list; never reset
};

} // namespace camphorreach
