// The bounded queue of requests that wait for a slot of the backend server.
#pragma once

#include <camphorreach/expectedcost.h>
#include <camphorreach/fairtag.h>
#include <camphorreach/organisationshares.h>
#include <camphorreach/request.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphorreach {

/// A request at a gate, and the link on which its response is sent.
struct GateWork
{
    LinkId link;
    ForwardRequest request;
    TimePoint deadline {}; ///< Latest time at which it leaves the queue.
    Digest fingerprint; ///< Fingerprint of the request's content.
    TimePoint answerDeadline {}; ///< Latest time for the response.
    TimePoint target {}; ///< A response by then meets the route's target latency.
    ShareGroup group {}; ///< Whose share it uses.
    FairTag tag; ///< Start tag among the routes of its group, where they share by weight.
    Duration cost {}; ///< Expected service time; zero when unknown.
    /// Service time to assume while that of the route is unknown. It limits how long the request
    /// may wait, and does not make it count as late.
    Duration assumedRun {};
    Duration egress {}; ///< Bandwidth reserved for the response, as time to send it.
    CostClass costClass {};
    Duration expectedWork {}; ///< At the usual pace of the server; zero when unknown.
};

/// Estimated memory of a queued request in bytes: structure, content and key, but no header fields.
[[nodiscard]] std::size_t sizeOf(const GateWork &work) noexcept;

/// Orders requests by descending weight of their kind, then by target, then by deadline. A fair
/// queue orders them by their tags first, and with shares of groups by those before all else. When
/// it is full, the last request in the order is shed. With groups it belongs to the one that is the
/// furthest above its share.
class GateQueue
{
public:
    struct Limits
    {
        std::size_t count = 256;
        std::size_t bytes = std::size_t { 8 } * 1024 * 1024;
        bool isFair = false; ///< Orders by fair queueing tags first.
    };

    explicit GateQueue(Limits limits) : m_limits(limits) { }
    /// A queue whose groups are ordered by \a shares, which must outlive it.
    GateQueue(Limits limits, const OrganisationShares &shares) : m_limits(limits), m_shares(&shares)
    { }

    /// Adds \a work and returns the requests that were shed, possibly \a work itself.
    [[nodiscard]] std::vector<GateWork> push(GateWork work);
    /// The next request to run, or nullptr when the queue is empty.
    [[nodiscard]] const GateWork *front() const;
    /// The request that would run last, or nullptr when the queue is empty.
    [[nodiscard]] const GateWork *last() const;
    /// Removes and returns the next request. The queue must not be empty.
    [[nodiscard]] GateWork pop();
    /// Removes all requests whose deadline is not after \a now.
    [[nodiscard]] std::vector<GateWork> takeExpired(TimePoint now);
    /// Removes the request that would run last. The queue must not be empty.
    [[nodiscard]] GateWork popLast();
    /// Removes all requests, in the order inside each group.
    [[nodiscard]] std::vector<GateWork> takeAll();
    /// Removes the requests of \a link, or only request \a id on it.
    [[nodiscard]] std::vector<GateWork> takeByLink(LinkId link, std::optional<RequestId> id);
    /// Removes the requests with this content.
    [[nodiscard]] std::vector<GateWork> takeByFingerprint(Digest fingerprint);

    /// Number of queued requests that would run before \a work.
    [[nodiscard]] std::size_t countBefore(const GateWork &work) const;
    [[nodiscard]] std::optional<TimePoint> earliestDeadline() const;
    [[nodiscard]] bool isEmpty() const noexcept { return m_sortKeys.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_sortKeys.size(); }
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }
    [[nodiscard]] Duration expectedWork() const noexcept { return m_expectedWork; }

private:
    // Order inside a group: the first request runs first, the last one is shed first.
    struct SortKey
    {
        FairTag tag;
        std::uint32_t weight = 0;
        TimePoint target {};
        TimePoint deadline {};
        std::uint64_t sequence = 0; // order of arrival; makes keys unique

        bool operator<(const SortKey &other) const noexcept;
        // Without the tag, which has no meaning in another group.
        [[nodiscard]] bool precedesInOtherGroup(const SortKey &other) const noexcept;
    };
    using Entries = std::map<SortKey, GateWork>;
    using Groups = std::map<ShareGroup, Entries>;

    struct Position
    {
        ShareGroup group;
        SortKey sortKey;
    };

    [[nodiscard]] SortKey sortKeyOf(const GateWork &work, std::uint64_t sequence) const noexcept;
    [[nodiscard]] FairTag tagOf(ShareClass shareClass) const;
    [[nodiscard]] FairTag tagOf(const ShareGroup &group) const;
    [[nodiscard]] Groups::const_iterator firstGroup() const;
    [[nodiscard]] Groups::const_iterator lastGroup() const;
    [[nodiscard]] std::size_t countBeforeInOtherGroups(const GateWork &work, const SortKey &sortKey,
                                                       Entries::const_iterator ownEnd) const;
    GateWork take(Groups::iterator group, Entries::iterator entry);
    template <typename Predicate>
    std::vector<GateWork> takeIf(Predicate &&matches);

    const Limits m_limits;
    const OrganisationShares *const m_shares = nullptr; // null for a queue without groups
    Groups m_groups; // at most m_limits.count entries in all; no empty group
    std::set<std::pair<TimePoint, std::uint64_t>> m_deadlines; // one per entry
    std::map<std::uint64_t, Position> m_sortKeys; // by sequence, one per entry
    std::size_t m_bytes = 0; // sum of sizeOf() over all entries; at most m_limits.bytes
    Duration m_expectedWork {}; // sum over all entries
    std::uint64_t m_nextSequence = 0;
};

} // namespace camphorreach
