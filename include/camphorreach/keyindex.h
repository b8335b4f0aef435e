// Look-up of organisations by API key.
#pragma once

#include <camphorreach/organisation.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace camphorreach {

/// Index over the keys of all organisations of a snapshot, built once. Look-ups compare hashes with
/// a seed that differs between processes, so that a client cannot choose keys that collide, and
/// then compare the key itself in constant time.
class KeyIndex
{
public:
    KeyIndex() = default;
    KeyIndex(const std::vector<Organisation> &organisations, std::uint64_t seed);

    /// Position of the organisation that holds \a key. Empty for an unknown or empty key.
    [[nodiscard]] std::optional<std::size_t> find(const ApiKey &key) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct Entry
    {
        std::uint64_t hash = 0;
        std::size_t organisation = 0;
        ApiKey key;
    };

    [[nodiscard]] std::uint64_t hashOf(const ApiKey &key) const;

    std::uint64_t m_seed = 0;
    std::vector<Entry> m_entries; // in the order of their hashes
};

/// Overwrites and clears a key that is no longer needed.
void erase(ApiKey &key) noexcept;

} // namespace camphorreach
