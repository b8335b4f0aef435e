// Look-up of organisations by API key.
#include <camphorreach/keyindex.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <xxhash.h>

namespace camphorreach {
namespace {

// The time depends on the length only, so that it does not tell how much of a guessed key is right.
bool isEqualInConstantTime(const std::string &left, const std::string &right) noexcept
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    return difference == 0;
}

} // namespace

KeyIndex::KeyIndex(const std::vector<Organisation> &organisations, std::uint64_t seed)
    : m_seed(seed)
{
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        for (const ApiKey &key : organisations[i].keys) {
            if (!key.value().empty())
                m_entries.push_back({ hashOf(key), i, key });
        }
    }
    std::ranges::stable_sort(m_entries, {}, &Entry::hash);
}

std::optional<std::size_t> KeyIndex::find(const ApiKey &key) const
{
    const std::uint64_t hash = hashOf(key);
    auto entry = std::ranges::lower_bound(m_entries, hash, {}, &Entry::hash);
    for (; entry != m_entries.end() && entry->hash == hash; ++entry) {
        if (isEqualInConstantTime(entry->key.value(), key.value()))
            return entry->organisation;
    }
    return std::nullopt;
}

std::uint64_t KeyIndex::hashOf(const ApiKey &key) const
{
    return XXH3_64bits_withSeed(key.value().data(), key.value().size(), m_seed);
}

void erase(ApiKey &key) noexcept
{
    // The value itself is overwritten, so that no copy of the key stays in freed memory.
    auto &bytes = const_cast<std::string &>(key.value());
    explicit_bzero(bytes.data(), bytes.size()); // not removed by the optimiser
    key = ApiKey();
}

} // namespace camphorreach
