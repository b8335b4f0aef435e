// MoveRecord: the state of a move, stored in the platform as the object "move/SERVICE".
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorreach {

enum class MoveState : std::uint8_t { Requested, Ramping, Soaking, Done, RolledBack, Cancelled };

/// A verdict that a version is bad. Only a later move to the same version lifts it.
struct RecordedVerdict
{
    BackendVersion version;
    OperationId operation; ///< Of the move that led to the verdict.
    FailureDomain domain; ///< With the evidence; empty if it is from all domains together.
    std::string reason; ///< Evidence as text for operators.

    friend bool operator==(const RecordedVerdict &, const RecordedVerdict &) = default;
};

struct MoveRecord
{
    ServiceName service;
    BackendVersion from;
    BackendVersion to;
    MoveState state = MoveState::Requested;
    Share share; ///< Of the requests that go to `to`, in domains that are not in `domainShares`.
    WallTime requestedAt;
    WallTime deadline;
    OperationId operation; ///< Of the operator's request.
    std::string explanation; ///< Of the latest step or verdict, as text for operators.
    WallTime steppedAt; ///< Time of the last change of the state or a share.
    std::map<FailureDomain, Share> domainShares; ///< Of domains that did not take the last step.
    FailureDomain scopeDomain; ///< Domain that the move is limited to; empty for no limit.
    RouteName scopeRoute; ///< Route that the operator limits the move to; empty for no limit.
    std::vector<RecordedVerdict> verdicts; ///< At most maxRecordedVerdicts, newest last.

    friend bool operator==(const MoveRecord &, const MoveRecord &) = default;
};

inline constexpr std::size_t maxRecordedVerdicts = 8;
/// Limits the size of the record, which has to fit into one datagram between nodes.
inline constexpr std::size_t maxExplanationBytes = 240;

/// Key of the move record of a service.
[[nodiscard]] ObjectKey moveKey(const ServiceName &service);
/// Whether the move has not ended yet.
[[nodiscard]] bool isUnderWay(MoveState state) noexcept;
/// Name of the state in JSON and text, such as "rolled-back".
[[nodiscard]] const char *toText(MoveState state) noexcept;
/// The share of the move in \a domain; none outside its scope.
[[nodiscard]] Share shareIn(const MoveRecord &record, const FailureDomain &domain);
[[nodiscard]] bool hasBadVerdict(const MoveRecord &record, const BackendVersion &version) noexcept;

} // namespace camphorreach
