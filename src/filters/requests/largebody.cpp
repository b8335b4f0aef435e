// Storage of large bodies in blocks.
#include <camphorreach/largebody.h>

#include <algorithm>
#include <cstring>
#include <new>
#include <xxhash.h>

namespace camphorreach {

BodyHash::BodyHash() : m_state(XXH3_createState())
{
    if (m_state == nullptr)
        throw std::bad_alloc();
    XXH3_64bits_reset(m_state);
}

BodyHash::~BodyHash()
{
    XXH3_freeState(m_state);
}

void BodyHash::update(std::string_view bytes)
{
    XXH3_64bits_update(m_state, bytes.data(), bytes.size());
    m_size += bytes.size();
}

Digest BodyHash::digest() const
{
    return Digest(XXH3_64bits_digest(m_state));
}

void LargeBody::append(std::string_view bytes)
{
    std::size_t used = size().value() % blockBytes;
    m_hash.update(bytes);
    while (!bytes.empty()) {
        if (used == 0)
            m_blocks.emplace_back(new char[blockBytes]); // make_unique would clear it first
        const std::size_t count = std::min(bytes.size(), blockBytes - used);
        std::memcpy(m_blocks.back().get() + used, bytes.data(), count);
        used = (used + count) % blockBytes;
        bytes.remove_prefix(count);
    }
}

ByteCount LargeBody::allocatedWith(std::size_t more) const noexcept
{
    return ByteCount((size().value() + more + blockBytes - 1) / blockBytes * blockBytes);
}

std::string_view LargeBody::at(std::uint64_t offset, std::size_t maxSize) const
{
    if (offset >= size().value())
        return {};
    const std::size_t within = offset % blockBytes;
    const std::uint64_t left
        = std::min<std::uint64_t>(size().value() - offset, blockBytes - within);
    return { m_blocks[offset / blockBytes].get() + within,
             static_cast<std::size_t>(std::min<std::uint64_t>(left, maxSize)) };
}

} // namespace camphorreach
