// Decides when a node that does not watch the store lists the evacuation orders.
#pragma once

#include <camphorreach/units.h>

#include <cstddef>

namespace camphorreach {

/// An order may have been given that a node's peers do not know either: they have lost all
/// watchers, or the store refuses these. A node whose copy is so stale that an order could come too
/// late therefore asks the store.
class EvacuationCheck
{
public:
    /// An evacuation must be in force everywhere within \a evacuationTime.
    explicit EvacuationCheck(Duration evacuationTime) noexcept
        : m_evacuationTime(evacuationTime) { }

    /// When the store is asked, by a node of \a rank in its failure domain whose copy of the orders
    /// holds what the store held at \a asOf.
    [[nodiscard]] TimePoint nextCheck(TimePoint asOf, std::size_t rank) const;
    void onChecked(std::size_t rank, TimePoint now);

private:
    const Duration m_evacuationTime;
    TimePoint m_notBefore {}; // however stale the copy is
};

} // namespace camphorreach
