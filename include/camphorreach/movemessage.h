// Messages between nodes about moves: evidence, verdicts and records.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/moveevidence.h>
#include <camphorreach/moverecord.h>
#include <camphorreach/netaddress.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace camphorreach {

/// A backend server version was found to be bad. No request is routed to it until an operator
/// requests a new move to it.
struct BadVersionVerdict
{
    ServiceName service;
    BackendVersion version;
    ObjectVersion move; ///< Version of the move record at the time of the verdict.
    OperationId operation; ///< Of that move.
    FailureDomain domain; ///< Where the evidence was collected.
    std::string reason; ///< Evidence as text for operators.

    friend bool operator==(const BadVersionVerdict &, const BadVersionVerdict &) = default;
};

/// A move record as last seen in the platform. A higher version replaces a lower one.
struct MoveNotice
{
    ObjectVersion version;
    MoveRecord record;
    NetAddress controller; ///< Receiver of aggregated evidence; empty without a controller.
    /// Of the controller. At the same version, a notice with a higher term replaces one with a
    /// lower.
    std::uint64_t term = 0;

    friend bool operator==(const MoveNotice &, const MoveNotice &) = default;
};

/// Versions of the move records that a node holds. The receiver replies with newer records and with
/// verdicts. If it holds older records itself, it replies with its own digest to receive the newer.
struct MoveDigest
{
    std::map<ServiceName, ObjectVersion> versions; ///< At most maxDigestServices.
    bool isAnswer = false; ///< A digest that is an answer is not answered with another digest.

    friend bool operator==(const MoveDigest &, const MoveDigest &) = default;
};

inline constexpr std::size_t maxDigestServices = 24;
/// Limit of the entries of one report, so that it fits into a datagram.
inline constexpr std::size_t maxReportEntries = 16;

/// Counts that a node sends to the aggregator of its failure domain, or that an aggregator sends to
/// the controller. An empty report from an aggregator shows that the domain is reachable.
struct EvidenceReport
{
    ServiceName service;
    OperationId operation;
    FailureDomain domain; ///< Of the sender.
    bool isAggregated = false; ///< Sent by an aggregator.
    std::vector<EvidenceEntry> entries;

    friend bool operator==(const EvidenceReport &, const EvidenceReport &) = default;
};

/// Messages about moves in the protocol between nodes.
using MoveMessage = std::variant<BadVersionVerdict, MoveNotice, MoveDigest, EvidenceReport>;

} // namespace camphorreach
