// cereal serialisation of membership messages.
#pragma once

#include <camphorreach/impl/archive.h>
#include <camphorreach/membershipmessage.h>

namespace camphorreach {

// NOLINTBEGIN(readability-identifier-naming): cereal requires the name `serialize`.
template <typename Archive>
void serialize(Archive &archive, MemberUpdate &update)
{
    archive(update.endpoint, update.health);
}

template <typename Archive>
void serialize(Archive &archive, Gossip &gossip)
{
    archive(gossip.updates);
}

template <typename Archive>
void serialize(Archive &archive, Ping &ping)
{
    archive(ping.sequence, ping.gossip);
}

template <typename Archive>
void serialize(Archive &archive, Ack &ack)
{
    archive(ack.sequence, ack.gossip);
}

template <typename Archive>
void serialize(Archive &archive, ProbeRequest &request)
{
    archive(request.sequence, request.target);
}

template <typename Archive>
void serialize(Archive &archive, SyncRequest &request)
{
    archive(request.self, request.digests);
}

template <typename Archive>
void serialize(Archive &archive, SyncMembers &members)
{
    archive(members.buckets, members.updates, members.wantsReply);
}
// NOLINTEND(readability-identifier-naming)

} // namespace camphorreach
