// Memory of a process for large bodies.
#pragma once

#include <camphorreach/largebody.h>
#include <camphorreach/units.h>

#include <atomic>
#include <cstdint>
#include <memory>

namespace camphorreach {

/// What all large bodies of a process may hold together. Requests are received by one thread and
/// responses by another, and either may need the whole allowance, so they share one account.
/// Thread-safe. Each side announces its demand before it reads the other's, so two demands that do
/// not fit together are never both granted.
class LargeBodyAllowance : public std::enable_shared_from_this<LargeBodyAllowance>
{
public:
    /// A part of the allowance, given back when it is destroyed.
    class Share
    {
    public:
        Share() = default;
        Share(Share &&other) noexcept;
        Share &operator=(Share &&other) noexcept;
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;
        ~Share();

        [[nodiscard]] ByteCount size() const noexcept { return ByteCount(m_size); }

    private:
        friend class LargeBodyAllowance;

        std::shared_ptr<LargeBodyAllowance> m_owner; // null while m_size is zero
        std::uint64_t m_size = 0;
    };

    explicit LargeBodyAllowance(ByteCount limit) noexcept : m_limit(limit) { }

    /// Makes a share larger. Returns false, and leaves it as it is, when there is no room.
    [[nodiscard]] bool tryGrow(Share &share, ByteCount size);
    /// A share for bytes that were counted by setReceiving() before, so there is room for them.
    [[nodiscard]] Share take(ByteCount size);
    /// Sets what requests that are being received hold, have reserved or ask for.
    void setReceiving(ByteCount bytes) noexcept { m_receiving = bytes.value(); }
    /// Sets whether a response waits for room. Clients that do not read theirs give way then.
    void setAwaited(bool isAwaited) noexcept { m_isAwaited = isAwaited; }

    [[nodiscard]] ByteCount limit() const noexcept { return m_limit; }
    /// Sum of all shares.
    [[nodiscard]] ByteCount held() const noexcept { return ByteCount(m_held); }
    [[nodiscard]] bool isAwaited() const noexcept { return m_isAwaited; }

private:
    const ByteCount m_limit;
    std::atomic<std::uint64_t> m_held = 0;
    std::atomic<std::uint64_t> m_receiving = 0;
    std::atomic<bool> m_isAwaited = false;
};

/// Refers to a body that is complete. Its share is given back when nothing refers to it any more.
[[nodiscard]] std::shared_ptr<const LargeBody> hold(std::shared_ptr<const LargeBody> body,
                                                    LargeBodyAllowance::Share share);

} // namespace camphorreach
