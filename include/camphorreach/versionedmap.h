// Versioned map: values with the version of the last change or removal of each key.
#pragma once

#include <camphorreach/ids.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace camphorreach {

/// Key and hash of the values of a VersionedMap.
template <typename T, typename Key, typename Value>
concept VersionedMapTraits = requires(const Value &value)
{
    {
        T::keyOf(value)
        } -> std::same_as<Key>;
    {
        T::hashOf(value)
        } -> std::same_as<std::uint64_t>;
};

/// Part of VersionedConfig. An update is prepared first, which gives the digest of the result, and
/// is then committed or dropped.
template <typename Key, typename Value, VersionedMapTraits<Key, Value> Traits>
class VersionedMap
{
public:
    /// When more removals than this are recorded, all are dropped, and nodes with older versions
    /// are sent everything.
    static constexpr std::size_t maxRemoved = 4096;

    /// A checked update. Valid until the map changes.
    struct Update
    {
        std::map<Key, Value> set;
        std::vector<Key> removed; // not in `set`
        std::uint64_t digest = 0; ///< Sum of the hashes of the result.
        bool isComplete = false;
    };

    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    /// Sum of the hashes of all values.
    [[nodiscard]] std::uint64_t digest() const noexcept { return m_digest; }
    /// Deltas from older versions than this cannot be built.
    [[nodiscard]] ConfigVersion oldestBase() const noexcept { return m_oldestBase; }

    [[nodiscard]] std::vector<Value> values() const
    {
        std::vector<Value> result;
        result.reserve(m_entries.size());
        for (const auto &[key, entry] : m_entries)
            result.push_back(entry.value);
        return result;
    }

    /// Prepares a delta, or with \a isComplete the replacement of everything.
    [[nodiscard]] Update prepare(const std::vector<Value> &set, const std::vector<Key> &removed,
                                 bool isComplete) const
    {
        Update update;
        update.isComplete = isComplete;
        update.digest = isComplete ? 0 : m_digest;
        for (const Value &value : set)
            update.set.insert_or_assign(Traits::keyOf(value), value);
        std::ranges::copy_if(removed, std::back_inserter(update.removed),
                             [&](const Key &key) { return !update.set.contains(key); });
        std::ranges::sort(update.removed);
        update.removed.erase(std::unique(update.removed.begin(), update.removed.end()),
                             update.removed.end());
        const auto subtract = [&](const Key &key) {
            const auto current = m_entries.find(key);
            if (current != m_entries.end() && !isComplete)
                update.digest -= Traits::hashOf(current->second.value);
        };
        for (const auto &[key, value] : update.set) {
            subtract(key);
            update.digest += Traits::hashOf(value);
        }
        std::ranges::for_each(update.removed, subtract);
        return update;
    }

    void commit(Update &&update, ConfigVersion version)
    {
        if (update.isComplete)
            recordReplaced(update.set, version);
        for (Key &key : update.removed) {
            m_entries.erase(key);
            m_removed.insert_or_assign(std::move(key), version);
        }
        // A value that is set to its current one may have differed in a version in between, so it
        // counts as changed.
        for (auto &[key, value] : update.set) {
            m_removed.erase(key);
            m_entries.insert_or_assign(key, Entry { std::move(value), version });
        }
        m_digest = update.digest;
        if (m_removed.size() > maxRemoved) {
            m_removed.clear();
            m_oldestBase = version;
        }
    }

    /// Replaces everything by \a values as of \a version. Values that do not differ keep the
    /// version of their last change.
    void replace(const std::vector<Value> &values, ConfigVersion version)
    {
        std::map<Key, Entry> unchanged;
        Update update = prepare(values, {}, true);
        for (const auto &[key, value] : update.set) {
            const auto found = m_entries.find(key);
            if (found != m_entries.end() && found->second.value == value)
                unchanged.insert(*found);
        }
        commit(std::move(update), version);
        for (auto &[key, entry] : unchanged)
            m_entries[key].lastChanged = entry.lastChanged;
    }

    /// Deltas are built from \a version on.
    void start(ConfigVersion version) noexcept { m_oldestBase = version; }

    /// Values that changed after \a base, or all.
    [[nodiscard]] std::vector<Value> changedSince(ConfigVersion base) const
    {
        std::vector<Value> result;
        for (const auto &[key, entry] : m_entries) {
            if (entry.lastChanged > base)
                result.push_back(entry.value);
        }
        return result;
    }
    [[nodiscard]] std::vector<Key> removedSince(ConfigVersion base) const
    {
        std::vector<Key> result;
        for (const auto &[key, version] : m_removed) {
            if (version > base)
                result.push_back(key);
        }
        return result;
    }

private:
    struct Entry
    {
        Value value;
        ConfigVersion lastChanged; // it last changed at this version or an earlier one
    };

    void recordReplaced(const std::map<Key, Value> &set, ConfigVersion version)
    {
        for (const auto &[key, entry] : m_entries) {
            if (!set.contains(key))
                m_removed.insert_or_assign(key, version);
        }
        m_entries.clear();
    }

    std::map<Key, Entry> m_entries;
    std::map<Key, ConfigVersion>
        m_removed; // version of the removal; not in m_entries; at most maxRemoved
    ConfigVersion m_oldestBase; // m_removed has all removals after this version
    std::uint64_t m_digest = 0; // sum of the hashes of m_entries
};

} // namespace camphorreach
