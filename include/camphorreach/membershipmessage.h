// Messages of the membership protocol between nodes.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/netaddress.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace camphorreach {

/// Of two updates with the same incarnation, the one with the higher value overrides the other.
enum class MemberHealth : std::uint8_t { Alive, Suspect, Gone };

/// The state of one member, as one node reports it to another.
struct MemberUpdate
{
    Endpoint endpoint;
    MemberHealth health = MemberHealth::Alive;

    friend bool operator==(const MemberUpdate &, const MemberUpdate &) = default;
};

/// Membership updates. The first one is about the node that composed them, except in a reply that
/// only returns newer records.
struct Gossip
{
    std::vector<MemberUpdate> updates;

    friend bool operator==(const Gossip &, const Gossip &) = default;
};

/// A probe. The receiver replies with an Ack.
struct Ping
{
    std::uint32_t sequence = 0;
    Gossip gossip;

    friend bool operator==(const Ping &, const Ping &) = default;
};

struct Ack
{
    std::uint32_t sequence = 0; ///< Of the Ping or the ProbeRequest that is acknowledged.
    Gossip gossip;

    friend bool operator==(const Ack &, const Ack &) = default;
};

/// Requests an indirect probe: the receiver pings \a target and forwards its Ack to the sender.
struct ProbeRequest
{
    std::uint32_t sequence = 0;
    NetAddress target;

    friend bool operator==(const ProbeRequest &, const ProbeRequest &) = default;
};

/// Starts an anti-entropy exchange of member tables with the digests of the sender's buckets.
struct SyncRequest
{
    MemberUpdate self;
    std::vector<std::uint32_t> digests; ///< One per bucket, in order.

    friend bool operator==(const SyncRequest &, const SyncRequest &) = default;
};

/// The members of the buckets whose digests differ. With `wantsReply`, the receiver replies with
/// those of its records in these buckets that are missing or older here.
struct SyncMembers
{
    std::vector<std::uint8_t> buckets; ///< Buckets of which `updates` has all members.
    std::vector<MemberUpdate> updates;
    bool wantsReply = false;

    friend bool operator==(const SyncMembers &, const SyncMembers &) = default;
};

/// A message of the membership protocol.
using MembershipMessage = std::variant<Ping, Ack, ProbeRequest, Gossip, SyncRequest, SyncMembers>;

} // namespace camphorreach
