// Queue of requests that wait for a target, ordered by weight and deadline.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace camphorreach {

/// One priority queue per service, with a common capacity. Entries are ordered by highest weight,
/// then earliest deadline. When the capacity is exceeded, the last entry in that order is shed.
class WaitQueue
{
public:
    struct Entry
    {
        RequestId id;
        ServiceName service;
        std::uint32_t weight = 1;
        TimePoint deadline {};
        TimePoint notBefore {}; ///< End of the backoff; zero without one.
    };

    explicit WaitQueue(std::size_t capacity) : m_capacity(capacity) { }

    /// Adds \a entry. When the queue is full, removes and returns the entry to shed, which may be
    /// \a entry itself.
    [[nodiscard]] std::optional<RequestId> push(Entry entry);
    /// Does nothing when \a id is not queued.
    void erase(RequestId id);
    /// The entry that would be shed first.
    [[nodiscard]] std::optional<Entry> nextToShed() const;
    /// True when \a a is to be shed before \a b.
    [[nodiscard]] static bool isShedBefore(const Entry &a, const Entry &b) noexcept;

    /// Up to \a count requests of \a service in order, without those in backoff at \a now.
    [[nodiscard]] std::vector<RequestId> ready(const ServiceName &service, TimePoint now,
                                               std::size_t count) const;
    [[nodiscard]] std::vector<ServiceName> services() const;
    /// Services with entries whose backoff has ended since the last call.
    [[nodiscard]] std::vector<ServiceName> takeDueServices(TimePoint now);
    /// The end of the next backoff.
    [[nodiscard]] std::optional<TimePoint> nextBackoffEnd() const;

    [[nodiscard]] bool contains(RequestId id) const { return m_entries.contains(id); }
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    // Sorts by highest weight, then earliest deadline, then lowest id.
    struct Rank
    {
        std::int64_t negatedWeight = 0;
        TimePoint deadline {};
        RequestId id;

        friend auto operator<=>(const Rank &, const Rank &) = default;
    };

    [[nodiscard]] static Rank rankOf(const Entry &entry) noexcept;

    const std::size_t m_capacity;
    std::unordered_map<RequestId, Entry> m_entries; // at most m_capacity
    std::set<Rank> m_order; // all entries
    std::map<ServiceName, std::set<Rank>> m_byService; // all entries; no empty set
    std::set<std::pair<TimePoint, RequestId>>
        m_backoffs; // entries in backoff, as of the last takeDueServices()
};

} // namespace camphorreach
