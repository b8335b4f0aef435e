// cereal serialisation of messages about quotas. Rare organisations cause one ask for each request,
// so numbers are encoded by their size and a stamp only occupies space when there is one.
#pragma once

#include <camphorreach/impl/archive.h>
#include <camphorreach/quotamessage.h>

namespace camphorreach {

// NOLINTBEGIN(readability-identifier-naming): cereal requires the name `serialize`.
template <typename Archive>
void serialize(Archive &archive, QuotaStamp &stamp)
{
    auto time = static_cast<std::uint64_t>(stamp.time.count());
    archive(stamp.run, impl::VarInt<std::uint64_t> { time });
    if (time > static_cast<std::uint64_t>(std::chrono::milliseconds::max().count()))
        throw cereal::Exception("a stamp is out of range");
    stamp.time = std::chrono::milliseconds(time);
}

template <typename Archive>
void serialize(Archive &archive, QuotaNeed &need)
{
    archive(need.organisation, impl::VarInt<std::uint16_t> { need.needed },
            impl::VarInt<std::uint16_t> { need.ahead });
}

template <typename Archive>
void serialize(Archive &archive, QuotaLoan &loan)
{
    archive(impl::VarInt<std::uint16_t> { loan.count },
            impl::VarInt<std::uint16_t> { loan.retryMs });
}

/// The first byte of a message has its group, a flag of its own, and whether a stamp follows.
template <typename Archive>
void serializeQuotaHead(Archive &archive, QuotaGroup &group, bool &flag, QuotaStamp &stamp)
{
    constexpr std::uint8_t stampBit = 0x80;
    constexpr std::uint8_t flagBit = 0x40;
    static_assert(quotaGroupCount <= flagBit);
    std::uint8_t head = group.value() & (flagBit - 1U);
    head |= stamp.run == QuotaRun() ? 0U : stampBit;
    head |= flag ? flagBit : 0U;
    archive(head);
    group = QuotaGroup(head & (flagBit - 1U));
    flag = (head & flagBit) != 0;
    if ((head & stampBit) != 0)
        archive(stamp);
}

template <typename Archive>
void serializeQuotaId(Archive &archive, QuotaAskId &id)
{
    std::uint32_t number = id.value();
    archive(impl::VarInt<std::uint32_t> { number });
    id = QuotaAskId(number);
}

template <typename Archive>
void serialize(Archive &archive, QuotaAsk &ask)
{
    serializeQuotaHead(archive, ask.group, ask.wantsStamp, ask.echo);
    serializeQuotaId(archive, ask.id);
    archive(impl::VarInt<std::uint16_t> { ask.nodeCount }, ask.needs);
}

template <typename Archive>
void serialize(Archive &archive, QuotaGrant &grant)
{
    serializeQuotaHead(archive, grant.group, grant.isElected, grant.stamp);
    serializeQuotaId(archive, grant.id);
    archive(grant.loans);
}
// NOLINTEND(readability-identifier-naming)

} // namespace camphorreach
