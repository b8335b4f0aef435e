// The bounded queue of requests that wait for a slot of the backend server.
#pragma once

#include <camphorreach/request.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphorreach {

/// Place in the order of fair queueing: service time in microseconds, divided by weight.
using FairTag = Strong<struct FairTagTag, std::int64_t>;

/// A request at a gate, and the link on which its answer goes back.
struct GateWork
{
    LinkId link;
    ForwardRequest request;
    TimePoint deadline {}; ///< When it leaves the queue at the latest.
    Digest fingerprint; ///< Of the request's content.
    TimePoint end {}; ///< When its answer is due at the latest.
    TimePoint target {}; ///< Until when its answer earns the full credit.
    FairTag tag; ///< Its turn, where routes share the slots by weight.
};

/// Bytes that a request occupies while it waits, its own structure included.
[[nodiscard]] std::size_t sizeOf(const GateWork &work) noexcept;

/// Orders requests by the weight of their kind, then by target; or by their fair tags. When it is
/// full, the request of the lowest weight with the latest deadline leaves.
class GateQueue
{
public:
    struct Limits
    {
        std::size_t count = 256;
        std::size_t bytes = std::size_t { 8 } * 1024 * 1024;
        bool isFair = false; ///< Ordered by tags alone.
    };

    explicit GateQueue(Limits limits) : m_limits(limits) { }

    /// Adds \a work and returns what had to leave for it, possibly \a work itself.
    [[nodiscard]] std::vector<GateWork> push(GateWork work);
    /// The next request to run, or nullptr when the queue is empty.
    [[nodiscard]] const GateWork *front() const noexcept;
    /// Takes the next request. The queue must not be empty.
    [[nodiscard]] GateWork pop();
    /// Takes all requests whose deadline is not after \a now.
    [[nodiscard]] std::vector<GateWork> takeExpired(TimePoint now);
    /// Takes all requests in order.
    [[nodiscard]] std::vector<GateWork> takeAll();
    /// Takes the requests of \a link, or only \a id on it.
    [[nodiscard]] std::vector<GateWork> takeOf(LinkId link, std::optional<RequestId> id);
    /// Takes the requests with this content.
    [[nodiscard]] std::vector<GateWork> takeWith(Digest fingerprint);

    /// How many of the waiting requests would run before \a work.
    [[nodiscard]] std::size_t countBefore(const GateWork &work) const;
    [[nodiscard]] std::optional<TimePoint> earliestDeadline() const;
    [[nodiscard]] bool isEmpty() const noexcept { return m_entries.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

private:
    // Sorts the request that runs first to the front, and the one that is shed first to the back.
    struct Place
    {
        FairTag tag;
        std::uint32_t weight = 0;
        TimePoint target {};
        TimePoint deadline {};
        std::uint64_t sequence = 0; // keeps the order of arrival, and places unique

        bool operator<(const Place &other) const noexcept;
    };
    using Entries = std::map<Place, GateWork>;

    [[nodiscard]] Place placeOf(const GateWork &work, std::uint64_t sequence) const noexcept;
    GateWork take(Entries::iterator entry);
    template <typename Predicate>
    std::vector<GateWork> takeIf(Predicate &&isMeant);

    const Limits m_limits;
    Entries m_entries; // at most m_limits.count
    std::set<std::pair<TimePoint, std::uint64_t>> m_deadlines; // one for each entry
    std::map<std::uint64_t, Place> m_places; // by sequence, one for each entry
    std::size_t m_bytes = 0; // sum of sizeOf() over m_entries; at most m_limits.bytes
    std::uint64_t m_nextSequence = 0;
};

} // namespace camphorreach
