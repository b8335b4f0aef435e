// Calls to the platform's store where it lists and follows objects by kind.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/meshconfig.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/rollout.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace camphorreach {

/// Matches a reply to its call; unique within the filter that made the call.
using StoreCallId = Strong<struct StoreCallIdTag, std::uint64_t>;

/// What the store holds for the system. `Nodes` is the system's own kind.
enum class StoreKind : std::uint8_t { Configuration, Rollouts, Nodes };

/// Where a node can be joined.
struct NodeRecord
{
    InstanceId node;
    NetAddress peer;

    friend bool operator==(const NodeRecord &, const NodeRecord &) = default;
};

/// Reads the objects of a kind, a page at a time.
struct StoreList
{
    StoreKind kind = StoreKind::Configuration;
    std::string after {}; ///< The name behind which the page begins; empty for the first page.
    bool mayBeStale = false; ///< A cheaper answer that may be seconds old will do.
};

/// Answered with the changes after `since`, as soon as there are any, or without any after `wait`.
struct StoreFollow
{
    StoreKind kind = StoreKind::Configuration;
    ObjectVersion since {};
    Duration wait {};
};

/// Creates a node's own record. An existing one is a conflict.
struct StoreRegister
{
    NodeRecord record;
};

/// Replaces a node's own record, whatever it holds.
struct StoreRefresh
{
    NodeRecord record;
};

/// Sets the state of an order, on condition that the order has not changed since.
struct StoreJudge
{
    RolloutOrder order;
    RolloutState state = RolloutState::Running;
};

using StoreOperation
    = std::variant<StoreList, StoreFollow, StoreRegister, StoreRefresh, StoreJudge>;

struct StoreCall
{
    StoreCallId id;
    StoreOperation operation;
};

/// Holds std::monostate when another writer left something that cannot be read.
using StoreValue
    = std::variant<std::monostate, std::shared_ptr<const MeshConfig>, RolloutOrder, NodeRecord>;

/// An object as it is, or the news that it has gone.
struct StoreEntry
{
    std::string name;
    ObjectVersion version;
    bool isRemoved = false;
    StoreValue value;
};

struct StoreEntries
{
    std::vector<StoreEntry> entries;
    ObjectVersion at; ///< Where following continues.
    bool hasMore = false;
};

struct StoreWritten
{
    ObjectVersion version;
};

/// Refused, with no effect.
struct StoreRefusal
{
    enum class Reason : std::uint8_t {
        NotFound,
        Conflict,
        Throttled,
        HistoryGone,
        Unavailable,
        Invalid,
    };

    Reason reason = Reason::Unavailable;
};

/// No answer that can be read: a write may or may not have taken effect.
struct StoreSilence
{
    bool mayHaveTakenEffect = false;
};

using StoreResult = std::variant<StoreEntries, StoreWritten, StoreRefusal, StoreSilence>;

struct StoreReply
{
    StoreCallId id;
    StoreResult result;
};

} // namespace camphorreach
