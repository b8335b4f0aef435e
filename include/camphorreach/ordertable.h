// The table that a node keeps of operators' orders of one kind.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/store.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace camphorreach {

/// An order in the store. One that was taken back is kept with the version of the store when it was
/// gone, so that an older message does not put it into force again.
template <typename T>
concept StoredOrder = requires(const T &order, const std::string &name, ObjectVersion at)
{
    {
        order.version
        } -> std::convertible_to<ObjectVersion>;
    {
        order.objectName()
        } -> std::convertible_to<std::string>;
    {
        order.isTakenBack()
        } -> std::same_as<bool>;
    {
        T::takenBack(name, at)
        } -> std::same_as<T>;
};

/// The orders that a node has learned from the store or from other nodes. The state of an order
/// only changes to one with a higher version. Each function that changes the table returns whether
/// it did.
template <StoredOrder Order>
class OrderTable
{
public:
    /// Maximum number of orders. Beyond it, the oldest that were taken back are dropped; new ones
    /// are ignored while none was.
    static constexpr std::size_t maxOrders = 256;

    bool apply(const Order &order)
    {
        const auto found = m_orders.find(order.objectName());
        if (found != m_orders.end()) {
            if (order.version <= found->second.version)
                return false;
            found->second = order;
        } else {
            if (order.version <= m_droppedVersion || !makeRoom())
                return false;
            m_orders.emplace(order.objectName(), order);
        }
        m_version = std::max(m_version, std::optional(order.version));
        return true;
    }

    /// Applies the changes that a watch returned, in order, up to the store's version \a at. The
    /// object of a removal may still have the version of its last change, so the order counts as
    /// taken back at \a at.
    bool applyEvents(const std::vector<StoreEntry> &events, ObjectVersion at)
    {
        std::map<std::string, Order> last;
        for (const StoreEntry &event : events) {
            if (event.isRemoved)
                last.insert_or_assign(event.name, Order::takenBack(event.name, at));
            else if (const auto *order = std::get_if<Order>(&event.value))
                last.insert_or_assign(order->objectName(), *order);
        }
        bool hasChanged = false;
        for (const auto &[name, order] : last)
            hasChanged = apply(order) || hasChanged;
        return hasChanged;
    }

    /// Applies a complete list as of the store's version \a at: an order that is not in it was
    /// taken back.
    bool applyList(const std::vector<StoreEntry> &entries, ObjectVersion at)
    {
        std::set<std::string> present;
        bool isReadable = true;
        bool hasChanged = false;
        for (const StoreEntry &entry : entries) {
            if (const auto *order = std::get_if<Order>(&entry.value)) {
                present.insert(order->objectName());
                hasChanged = apply(*order) || hasChanged;
            } else {
                isReadable = false;
            }
        }
        if (!isReadable)
            return hasChanged; // the entry that cannot be read may be any of the known orders
        for (const Order &order : inForce()) {
            if (!present.contains(order.objectName()))
                hasChanged = apply(Order::takenBack(order.objectName(), at)) || hasChanged;
        }
        return hasChanged;
    }

    /// The highest version that was applied; empty while no order is known.
    [[nodiscard]] std::optional<ObjectVersion> version() const noexcept { return m_version; }
    /// The orders that are newer than \a version, or all orders when it is empty.
    [[nodiscard]] std::vector<Order> since(std::optional<ObjectVersion> version) const
    {
        std::vector<Order> result;
        for (const auto &[name, order] : m_orders) {
            if (std::optional(order.version) > version)
                result.push_back(order);
        }
        return result;
    }
    /// The orders that were not taken back.
    [[nodiscard]] std::vector<Order> inForce() const
    {
        std::vector<Order> result;
        for (const auto &[name, order] : m_orders) {
            if (!order.isTakenBack())
                result.push_back(order);
        }
        return result;
    }

private:
    // Drops the oldest order that was taken back when the table is full. Returns whether there is
    // room.
    [[nodiscard]] bool makeRoom()
    {
        if (m_orders.size() < maxOrders)
            return true;
        auto oldest = m_orders.end();
        for (auto order = m_orders.begin(); order != m_orders.end(); ++order) {
            const bool isOlder
                = oldest == m_orders.end() || order->second.version < oldest->second.version;
            if (order->second.isTakenBack() && isOlder)
                oldest = order;
        }
        if (oldest == m_orders.end())
            return false;
        m_droppedVersion = std::max(m_droppedVersion, oldest->second.version);
        m_orders.erase(oldest);
        return true;
    }

    std::map<std::string, Order> m_orders; // by name of the object; at most maxOrders
    std::optional<ObjectVersion> m_version; // at least that of every order; never decreases
    // Highest version of a dropped order. An unknown order that is not newer may be one of them.
    ObjectVersion m_droppedVersion;
};

} // namespace camphorreach
