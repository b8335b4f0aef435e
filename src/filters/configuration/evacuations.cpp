// The evacuation orders that a node knows.
#include <camphorreach/evacuation.h>

#include <camphorreach/store.h>

#include <algorithm>

namespace camphorreach {

bool EvacuationTable::apply(const EvacuationOrder &order)
{
    const auto found = m_orders.find(order.domain);
    if (found != m_orders.end()) {
        if (order.version <= found->second.version)
            return false;
        found->second = order;
    } else {
        if (order.version <= m_droppedVersion || !makeRoom())
            return false;
        m_orders.emplace(order.domain, order);
    }
    m_version = std::max(m_version, std::optional(order.version));
    return true;
}

// The object of a removal may still have the version of its last change, so the order counts as
// taken back at the version of the store, up to which the events are complete.
bool EvacuationTable::applyEvents(const std::vector<StoreEntry> &events, ObjectVersion at)
{
    std::map<FailureDomain, EvacuationOrder> last;
    for (const StoreEntry &event : events) {
        const FailureDomain domain(event.name);
        if (event.isRemoved)
            last[domain] = { domain, at, false };
        else if (std::holds_alternative<EvacuationOrder>(event.value))
            last[domain] = std::get<EvacuationOrder>(event.value);
    }
    bool hasChanged = false;
    for (const auto &[domain, order] : last)
        hasChanged = apply(order) || hasChanged;
    return hasChanged;
}

bool EvacuationTable::applyList(const std::vector<StoreEntry> &entries, ObjectVersion at)
{
    std::set<FailureDomain> present;
    bool isReadable = true;
    bool hasChanged = false;
    for (const StoreEntry &entry : entries) {
        if (const auto *order = std::get_if<EvacuationOrder>(&entry.value)) {
            present.insert(order->domain);
            hasChanged = apply(*order) || hasChanged;
        } else {
            isReadable = false;
        }
    }
    if (!isReadable)
        return hasChanged; // the entry that cannot be read may be any of the known orders
    for (const FailureDomain &domain : activeDomains()) {
        if (!present.contains(domain))
            hasChanged = apply({ domain, at, false }) || hasChanged;
    }
    return hasChanged;
}

// Drops the oldest order that was taken back when the table is full. Returns whether there is room.
bool EvacuationTable::makeRoom()
{
    if (m_orders.size() < maxOrders)
        return true;
    auto oldest = m_orders.end();
    for (auto order = m_orders.begin(); order != m_orders.end(); ++order) {
        const bool isOlder
            = oldest == m_orders.end() || order->second.version < oldest->second.version;
        if (!order->second.isActive && isOlder)
            oldest = order;
    }
    if (oldest == m_orders.end())
        return false;
    m_droppedVersion = std::max(m_droppedVersion, oldest->second.version);
    m_orders.erase(oldest);
    return true;
}

std::vector<EvacuationOrder> EvacuationTable::since(std::optional<ObjectVersion> version) const
{
    std::vector<EvacuationOrder> result;
    for (const auto &[domain, order] : m_orders) {
        if (std::optional(order.version) > version)
            result.push_back(order);
    }
    return result;
}

std::set<FailureDomain> EvacuationTable::activeDomains() const
{
    std::set<FailureDomain> result;
    for (const auto &[domain, order] : m_orders) {
        if (order.isActive)
            result.insert(domain);
    }
    return result;
}

} // namespace camphorreach
