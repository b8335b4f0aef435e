// Account of the memory for large bodies.
#include <camphorreach/largebodyallowance.h>

#include <utility>

namespace camphorreach {

namespace {

struct HeldBody
{
    std::shared_ptr<const LargeBody> body;
    LargeBodyAllowance::Share share;
};

} // namespace

LargeBodyAllowance::Share::Share(Share &&other) noexcept
    : m_owner(std::move(other.m_owner)), m_size(std::exchange(other.m_size, 0))
{ }

LargeBodyAllowance::Share &LargeBodyAllowance::Share::operator=(Share &&other) noexcept
{
    std::swap(m_owner, other.m_owner);
    std::swap(m_size, other.m_size);
    return *this;
}

LargeBodyAllowance::Share::~Share()
{
    if (m_owner)
        m_owner->m_held -= m_size;
}

bool LargeBodyAllowance::tryGrow(Share &share, ByteCount size)
{
    if (size.value() <= share.m_size)
        return true;
    const std::uint64_t added = size.value() - share.m_size;
    const std::uint64_t held = m_held.fetch_add(added) + added;
    if (held + m_receiving > m_limit.value()) {
        m_held -= added;
        return false;
    }
    share.m_owner = shared_from_this();
    share.m_size = size.value();
    return true;
}

LargeBodyAllowance::Share LargeBodyAllowance::take(ByteCount size)
{
    Share share;
    m_held += size.value();
    share.m_owner = shared_from_this();
    share.m_size = size.value();
    return share;
}

std::shared_ptr<const LargeBody> hold(std::shared_ptr<const LargeBody> body,
                                      LargeBodyAllowance::Share share)
{
    const auto held
        = std::make_shared<const HeldBody>(HeldBody { std::move(body), std::move(share) });
    return { held, held->body.get() };
}

} // namespace camphorreach
