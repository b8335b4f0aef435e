// Operators' orders to evacuate a failure domain, and the table that a node keeps of them.
#pragma once

#include <camphorreach/ids.h>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace camphorreach {

struct StoreEntry;

/// The newest known state of the evacuation of one failure domain. An order that was taken back is
/// kept with its version, so that an older message does not put it into force again.
struct EvacuationOrder
{
    FailureDomain domain;
    ObjectVersion version; ///< Of its object; once taken back, of the store when it was gone.
    bool isActive = true; ///< False once it was taken back.

    friend bool operator==(const EvacuationOrder &, const EvacuationOrder &) = default;
};

/// The failure domains whose backend servers get no requests. Sent when they change.
struct EvacuationsChanged
{
    std::shared_ptr<const std::set<FailureDomain>> domains;
};

/// The failure domain of the local backend server is evacuated, or no longer.
struct BackendEvacuated
{
    bool isEvacuated = true;
};

/// The evacuation orders that a node has learned from the store or from other nodes. The state of a
/// failure domain only changes to one with a higher version. Each function that changes the table
/// returns whether it did.
class EvacuationTable
{
public:
    /// Maximum number of orders. Beyond it, the oldest that were taken back are dropped; new ones
    /// are ignored while all are active.
    static constexpr std::size_t maxOrders = 256;

    bool apply(const EvacuationOrder &order);
    /// Applies the changes that a watch returned, in order, up to the store's version \a at.
    bool applyEvents(const std::vector<StoreEntry> &events, ObjectVersion at);
    /// Applies a complete list as of the store's version \a at: an order that is not in it was
    /// taken back.
    bool applyList(const std::vector<StoreEntry> &entries, ObjectVersion at);

    /// The highest version that was applied; empty while no order is known.
    [[nodiscard]] std::optional<ObjectVersion> version() const noexcept { return m_version; }
    /// The orders that are newer than \a version, or all orders when it is empty.
    [[nodiscard]] std::vector<EvacuationOrder> since(std::optional<ObjectVersion> version) const;
    [[nodiscard]] std::set<FailureDomain> activeDomains() const;

private:
    [[nodiscard]] bool makeRoom();

    std::map<FailureDomain, EvacuationOrder> m_orders; // at most maxOrders
    std::optional<ObjectVersion> m_version; // at least that of every order; never decreases
    // Highest version of a dropped order. An unknown order that is not newer may be one of them.
    ObjectVersion m_droppedVersion;
};

} // namespace camphorreach
