// Bodies of requests and responses that are too large to be copied.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

struct XXH3_state_s;

namespace camphorreach {

/// XXH3 hash of the bytes of a body, as they come.
class BodyHash
{
public:
    BodyHash();
    ~BodyHash();
    BodyHash(const BodyHash &) = delete;
    BodyHash &operator=(const BodyHash &) = delete;

    void update(std::string_view bytes);

    [[nodiscard]] ByteCount size() const noexcept { return ByteCount(m_size); }
    [[nodiscard]] Digest digest() const;

private:
    XXH3_state_s *const m_state;
    std::uint64_t m_size = 0;
};

/// A body in blocks. It grows without moving what it holds. Once it is complete it is shared and
/// never changes, so that retries, links and calls refer to one copy of it.
class LargeBody
{
public:
    void append(std::string_view bytes);

    [[nodiscard]] ByteCount size() const noexcept { return m_hash.size(); }
    /// Memory once \a more bytes have been appended.
    [[nodiscard]] ByteCount allocatedWith(std::size_t more) const noexcept;
    [[nodiscard]] ByteCount allocated() const noexcept { return allocatedWith(0); }
    /// Bytes from \a offset to the end of their block, but at most \a maxSize; empty at the end.
    [[nodiscard]] std::string_view at(std::uint64_t offset, std::size_t maxSize) const;
    /// XXH3 hash of the bytes.
    [[nodiscard]] Digest digest() const { return m_hash.digest(); }

private:
    static constexpr std::size_t blockBytes = 256 * 1024;

    std::vector<std::unique_ptr<char[]>> m_blocks; // all full but the last one
    BodyHash m_hash; // of the bytes so far
};

/// Refers to a body. Size and digest travel with the request or the response, the bytes in parts.
struct LargeBodyRef
{
    ByteCount size {}; ///< Zero when there is no large body.
    Digest digest {};
    std::shared_ptr<const LargeBody> data {}; ///< Null where another node holds the bytes.

    friend bool operator==(const LargeBodyRef &, const LargeBodyRef &) = default;
};

} // namespace camphorreach
