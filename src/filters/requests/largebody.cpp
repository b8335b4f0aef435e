// Storage of large bodies in blocks.
#include <camphorreach/largebody.h>

#include <algorithm>
#include <cstring>
#include <new>
#include <xxhash.h>

namespace camphorreach {

LargeBody::LargeBody() : m_hash(XXH3_createState())
{
    if (m_hash == nullptr)
        throw std::bad_alloc();
    XXH3_64bits_reset(m_hash);
}

LargeBody::~LargeBody()
{
    XXH3_freeState(m_hash);
}

void LargeBody::append(std::string_view bytes)
{
    XXH3_64bits_update(m_hash, bytes.data(), bytes.size());
    while (!bytes.empty()) {
        const std::size_t used = m_size % blockBytes;
        if (used == 0)
            m_blocks.emplace_back(new char[blockBytes]); // make_unique would clear it first
        const std::size_t size = std::min(bytes.size(), blockBytes - used);
        std::memcpy(m_blocks.back().get() + used, bytes.data(), size);
        m_size += size;
        bytes.remove_prefix(size);
    }
}

ByteCount LargeBody::allocatedWith(std::size_t more) const noexcept
{
    return ByteCount((m_size + more + blockBytes - 1) / blockBytes * blockBytes);
}

std::string_view LargeBody::at(std::uint64_t offset, std::size_t maxSize) const
{
    if (offset >= m_size)
        return {};
    const std::size_t within = offset % blockBytes;
    const std::uint64_t left = std::min<std::uint64_t>(m_size - offset, blockBytes - within);
    return { m_blocks[offset / blockBytes].get() + within,
             static_cast<std::size_t>(std::min<std::uint64_t>(left, maxSize)) };
}

Digest LargeBody::digest() const
{
    return Digest(XXH3_64bits_digest(m_hash));
}

} // namespace camphorreach
