// Catalog spread: how nodes tell each other that there is news, and who asks whom for it.
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

/// Part of the catalog. A node has one question under way at a time, so that what it is sent never
/// waits behind something older; whoever is asked makes the answer then, from the newest it has.
class CatalogSpread
{
public:
    using Sends = std::vector<PeerSend>;

    CatalogSpread(Endpoint self, RandomSource &random);

    void update(const EndpointTable &table);
    /// How many nodes of this failure domain come before this one where a few act for all. Nodes
    /// that are stopping or suspected don't count.
    [[nodiscard]] std::size_t rank() const noexcept { return m_rank; }
    [[nodiscard]] bool hasNearPeers() const noexcept { return !m_near.empty(); }

    /// Tells some nodes of the failure domain at once that there is news.
    void announce(const CatalogAdvert &own, Sends &sends);
    /// Answers an advert of a node that holds less, and remembers one that holds more.
    void onAdvert(const NetAddress &from, const CatalogAdvert &theirs, const CatalogAdvert &own,
                  Sends &sends);
    /// Whether \a update may be sent: the same content does not go to the same node again while it
    /// may still be on its way.
    [[nodiscard]] bool maySend(const NetAddress &to, const CatalogUpdate &update, TimePoint now);
    /// Remembers that \a from has \a extent.
    void onSource(const NetAddress &from, const CatalogExtent &extent, const CatalogExtent &own);
    /// Ends the question to \a from. Returns when it was asked, or nothing when it was not.
    std::optional<TimePoint> onUpdate(const NetAddress &from);
    /// What was sent could not be used, so the next question is for everything.
    void onUnusable() noexcept { m_needsAll = true; }
    /// Asks one of the nodes that have more, unless a question is under way.
    void pull(const CatalogExtent &own, TimePoint now, Sends &sends);
    /// Adverts that are due.
    void advance(const CatalogAdvert &own, TimePoint now, Sends &sends);
    /// When advance() or pull() has something to do.
    [[nodiscard]] TimePoint nextDeadline() const;

private:
    struct Source
    {
        NetAddress peer;
        CatalogExtent extent;
    };

    struct Question
    {
        NetAddress peer;
        TimePoint askedAt {};
        TimePoint end {};
    };

    struct Sent
    {
        CatalogExtent extent;
        bool isComplete = false;
        TimePoint again {}; // from then on the same may be sent again
    };

    const Endpoint m_self;
    RandomSource &m_random;
    std::vector<NetAddress> m_near; // nodes of this failure domain, without this one
    std::vector<NetAddress> m_far; // all other nodes
    std::size_t m_rank = 0;
    std::deque<Source> m_sources; // nodes that have more; bounded, each peer once
    std::optional<Question> m_question; // under way
    bool m_needsAll = false;
    std::map<NetAddress, Sent> m_sent; // bounded
    TokenBucket m_completeBudget; // in complete configurations
    std::optional<TimePoint> m_nextAdvert; // empty before the first advance()
};

} // namespace camphorreach
