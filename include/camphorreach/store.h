// Calls to the platform's store, which lists and watches objects by kind.
#pragma once

#include <camphorreach/departedrun.h>
#include <camphorreach/evacuation.h>
#include <camphorreach/finding.h>
#include <camphorreach/ids.h>
#include <camphorreach/meshconfig.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/rollout.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorreach {

/// Correlates a reply with its call; unique within the filter that made the call.
using StoreCallId = Strong<struct StoreCallIdTag, std::uint64_t>;

/// Kinds of objects in the store. `Nodes` is defined and written by this system.
enum class StoreKind : std::uint8_t { Configuration, Rollouts, Nodes, Evacuations };

/// Registration of a node, with the address at which other nodes reach it, and the departures that
/// it has acknowledged to its backend servers.
struct NodeRecord
{
    InstanceId node;
    NetAddress peer;
    DepartedRuns departures {};

    friend bool operator==(const NodeRecord &, const NodeRecord &) = default;
};

/// Lists the objects of a kind, one page per call.
struct StoreList
{
    StoreKind kind = StoreKind::Configuration;
    std::string after {}; ///< Name after which the page begins; empty for the first page.
    bool mayBeStale = false; ///< Accepts a cheaper reply that may be seconds old.
};

/// Watch by long polling: returns the changes after `since` as soon as there are any, or none after
/// `wait`.
struct StoreWatch
{
    StoreKind kind = StoreKind::Configuration;
    ObjectVersion since {};
    Duration wait {};
};

/// Creates the record of this node. Refused with Conflict, and the current record, when it exists.
struct StoreRegister
{
    NodeRecord record;
};

/// Replaces the record of this node, on condition that its object version is still \a expected.
/// Refused with Conflict, and the current record, when it is not. When empty, replaces any version:
/// for a record whose version cannot be read.
struct StoreReplace
{
    NodeRecord record;
    std::optional<ObjectVersion> expected {};
};

/// Sets the state of an order, on condition that its object version is still that of `order`.
struct StoreUpdateStatus
{
    RolloutOrder order;
    RolloutState state = RolloutState::Running;
};

using StoreOperation
    = std::variant<StoreList, StoreWatch, StoreRegister, StoreReplace, StoreUpdateStatus>;

struct StoreCall
{
    StoreCallId id;
    StoreOperation operation;
};

/// std::monostate stands for an object that could not be decoded, for example from another writer.
using StoreValue = std::variant<std::monostate, std::shared_ptr<const MeshConfig>, RolloutOrder,
                                NodeRecord, EvacuationOrder>;

/// The current state of an object, or a notice of its removal.
struct StoreEntry
{
    std::string name;
    ObjectVersion version;
    bool isRemoved = false;
    StoreValue value;
    Findings findings {}; ///< Values of a configuration that were replaced by safe ones.
};

struct StoreEntries
{
    std::vector<StoreEntry> entries;
    ObjectVersion resourceVersion; ///< A watch continues from it.
    bool hasMore = false;
};

struct StoreWritten
{
    ObjectVersion version;
};

/// The store refused the call, which had no effect.
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
    std::optional<StoreEntry> current {}; ///< With Conflict about a record, if it is readable.
};

/// No readable reply. A write may or may not have taken effect.
struct StoreNoReply
{
    bool mayHaveTakenEffect = false;
};

/// The head of the reply to a list or watch has been received; the reply follows.
struct StoreReplyBegun
{ };

/// The reply to a list or watch exceeds the size that this node reads. Sent again unchanged, the
/// call would fail again.
struct StoreReplyTooLarge
{ };

using StoreResult = std::variant<StoreEntries, StoreWritten, StoreRefusal, StoreNoReply,
                                 StoreReplyBegun, StoreReplyTooLarge>;

struct StoreReply
{
    StoreCallId id;
    StoreResult result;
};

} // namespace camphorreach
