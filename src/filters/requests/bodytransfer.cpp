// Parts, credits and windows of large bodies.
#include <camphorreach/bodytransfer.h>

#include <algorithm>
#include <utility>

namespace camphorreach {

void OutgoingBodies::add(RequestId request, LargeBodyRef body)
{
    remove(request);
    m_unsent += body.size.value();
    m_bodies.emplace(request, Body { std::move(body) });
}

void OutgoingBodies::remove(RequestId request)
{
    const auto found = m_bodies.find(request);
    if (found == m_bodies.end())
        return;
    m_unsent -= found->second.body.size.value() - found->second.sent;
    m_bodies.erase(found);
}

std::vector<BodyPart> OutgoingBodies::grant(const BodyCredit &credit)
{
    const auto found = m_bodies.find(credit.id);
    if (found == m_bodies.end())
        return {}; // the request has ended meanwhile
    Body &body = found->second;
    const std::uint64_t end
        = std::min({ credit.end.value(), body.body.size.value(), body.sent + maxGrant });
    std::vector<BodyPart> parts;
    while (body.sent < end) {
        const std::size_t size = std::min<std::uint64_t>(end - body.sent, partBytes);
        const std::string_view bytes = body.body.data->at(body.sent, size);
        parts.push_back({ credit.id, ByteCount(body.sent), std::string(bytes) });
        body.sent += bytes.size();
        m_unsent -= bytes.size();
    }
    return parts;
}

std::shared_ptr<const LargeBody> OutgoingBodies::find(RequestId request) const
{
    const auto found = m_bodies.find(request);
    return found == m_bodies.end() ? nullptr : found->second.body.data;
}

ByteCount BodyWindows::open(const BodyKey &key, ByteCount size)
{
    Body &body = m_bodies[key];
    body.size = size.value();
    body.credit = std::min(body.size, window());
    return ByteCount(body.credit);
}

bool BodyWindows::receive(const BodyKey &key, ByteCount offset, ByteCount size)
{
    const auto found = m_bodies.find(key);
    if (found == m_bodies.end())
        return false;
    Body &body = found->second;
    if (offset.value() != body.received || size.value() > body.credit - body.received)
        return false;
    body.received += size.value();
    return true;
}

std::optional<ByteCount> BodyWindows::take(const BodyKey &key, ByteCount size)
{
    const auto found = m_bodies.find(key);
    if (found == m_bodies.end())
        return std::nullopt;
    Body &body = found->second;
    body.taken += size.value();
    const std::uint64_t next = std::min(body.size, body.taken + window());
    // A message for each part would cost more than it gains, but the last one must not wait.
    const bool isWorth = next >= body.credit + window() / 2 || next == body.size;
    if (next <= body.credit || !isWorth)
        return std::nullopt;
    body.credit = next;
    return ByteCount(next);
}

ByteCount BodyWindows::sizeOf(const BodyKey &key) const
{
    const auto found = m_bodies.find(key);
    return found == m_bodies.end() ? ByteCount() : ByteCount(found->second.size);
}

bool BodyWindows::isReceived(const BodyKey &key) const
{
    const auto found = m_bodies.find(key);
    return found != m_bodies.end() && found->second.received == found->second.size;
}

std::uint64_t BodyWindows::window() const noexcept
{
    const std::uint64_t share = m_limits.total.value() / std::max<std::size_t>(1, m_bodies.size());
    return std::clamp(share, m_limits.minWindow.value(), m_limits.maxWindow.value());
}

} // namespace camphorreach
