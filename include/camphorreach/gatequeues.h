// The requests that wait at a gate, by how they may start.
#pragma once

#include <camphorreach/gatequeue.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace camphorreach {

/// Requests that can meet their target, late ones that run when no such request waits, and suspects
/// that run one at a time with no other call in flight.
class GateQueues
{
public:
    enum class Kind : std::uint8_t { Timely, Late, Suspect };

    /// \a shares must outlive the queues.
    GateQueues(GateQueue::Limits limits, const OrganisationShares &shares);

    /// Adds \a work and returns the requests that were shed, possibly \a work itself.
    [[nodiscard]] std::vector<GateWork> push(Kind kind, GateWork work);
    /// Removes and returns the next request that is no suspect: the first that is not late,
    /// otherwise one of the late ones. Requests that \a isLate join those.
    template <std::predicate<const GateWork &> IsLate>
    [[nodiscard]] std::optional<GateWork> pop(IsLate isLate);
    /// The late requests that pop() shed since the last call.
    [[nodiscard]] std::vector<GateWork> takeShed() { return std::exchange(m_shed, {}); }
    /// Removes and returns the next suspect. One must wait.
    [[nodiscard]] GateWork popSuspect() { return m_suspects.pop(); }

    /// Removes the last timely requests for which \a isDisplaced, given the number of requests
    /// before them, and adds them to the late ones if \a keepsLate. Returns those that were not
    /// kept, and the late requests beyond \a maxLate.
    template <std::predicate<const GateWork &, std::size_t> IsDisplaced>
    [[nodiscard]] std::vector<GateWork> takeDisplaced(IsDisplaced isDisplaced, bool keepsLate,
                                                      std::size_t maxLate);

    // These remove and return requests in the order in which the queues are served.
    [[nodiscard]] std::vector<GateWork> takeAll();
    [[nodiscard]] std::vector<GateWork> takeExpired(TimePoint now);
    [[nodiscard]] std::vector<GateWork> takeByLink(LinkId link, std::optional<RequestId> id);
    [[nodiscard]] std::vector<GateWork> takeByFingerprint(Digest fingerprint);
    [[nodiscard]] std::vector<GateWork> takeSuspects(Digest fingerprint)
    {
        return m_suspects.takeByFingerprint(fingerprint);
    }

    /// Number of timely requests that would run before \a work.
    [[nodiscard]] std::size_t countBefore(const GateWork &work) const
    {
        return m_timely.countBefore(work);
    }
    [[nodiscard]] std::size_t timelyCount() const noexcept { return m_timely.size(); }
    [[nodiscard]] std::size_t lateCount() const noexcept { return m_late.size(); }
    [[nodiscard]] bool hasSuspects() const noexcept { return !m_suspects.isEmpty(); }
    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] Duration expectedWork() const noexcept;
    [[nodiscard]] std::optional<TimePoint> earliestDeadline() const;

private:
    // Calls \a take on each queue and joins the results.
    template <typename Take>
    [[nodiscard]] std::vector<GateWork> takeFromEach(Take take);

    GateQueue m_timely;
    GateQueue m_late;
    GateQueue m_suspects;
    std::vector<GateWork> m_shed; // by pop()
};

template <std::predicate<const GateWork &> IsLate>
std::optional<GateWork> GateQueues::pop(IsLate isLate)
{
    while (!m_timely.isEmpty()) {
        GateWork work = m_timely.pop();
        if (!isLate(work))
            return work;
        std::ranges::move(m_late.push(std::move(work)), std::back_inserter(m_shed));
    }
    if (m_late.isEmpty())
        return std::nullopt;
    return m_late.pop();
}

template <std::predicate<const GateWork &, std::size_t> IsDisplaced>
std::vector<GateWork> GateQueues::takeDisplaced(IsDisplaced isDisplaced, bool keepsLate,
                                                std::size_t maxLate)
{
    std::vector<GateWork> taken;
    while (m_timely.size() > 1 && isDisplaced(*m_timely.last(), m_timely.size() - 1)) {
        if (keepsLate)
            std::ranges::move(m_late.push(m_timely.popLast()), std::back_inserter(taken));
        else
            taken.push_back(m_timely.popLast());
    }
    while (m_late.size() > maxLate)
        taken.push_back(m_late.popLast());
    return taken;
}

} // namespace camphorreach
