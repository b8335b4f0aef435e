// Messages between nodes about the configuration.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/treedelta.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorreach {

/// A node's refusal of a version.
struct RefusalReport
{
    InstanceId instance;
    ConfigVersion version;
    std::string findings; ///< Truncated to maxReportedFindings bytes.

    friend bool operator==(const RefusalReport &, const RefusalReport &) = default;
};

inline constexpr std::size_t maxReportedFindings = 120;

struct VersionCount
{
    ConfigVersion version;
    std::uint32_t nodes = 0;

    friend bool operator==(const VersionCount &, const VersionCount &) = default;
};

/// A reader's summary of the nodes in its failure domain.
struct DomainSummary
{
    FailureDomain domain;
    std::uint8_t slot = 0; ///< Of the reader's lease.
    NetAddress reader;
    std::uint32_t ageMs = 0; ///< Since the reader created it.
    ConfigVersion accepted; ///< Newest version that the reader knows, valid or not.
    std::uint32_t nodes = 0; ///< Members of the failure domain.
    std::vector<VersionCount> inForce; ///< Newest first, at most maxReportedVersions.
    std::uint32_t refusing = 0;
    std::vector<RefusalReport> refusals; ///< At most maxReportedRefusals of them.

    friend bool operator==(const DomainSummary &, const DomainSummary &) = default;
};

inline constexpr std::size_t maxReportedVersions = 3;
inline constexpr std::size_t maxReportedRefusals = 2;

/// Announces the versions that a node holds.
struct VersionDigest
{
    InstanceId instance;
    ConfigVersion accepted; ///< Newest version held, valid or not.
    Digest digest; ///< Hash of the tree of that version.
    ConfigVersion inForce;
    std::vector<DomainSummary> summaries; ///< A few at a time, for ConfigStatus.

    friend bool operator==(const VersionDigest &, const VersionDigest &) = default;
};

/// A version as a delta from a base version. Base zero is the empty tree: the step is full state.
struct ConfigStep
{
    ConfigVersion base;
    ConfigVersion version;
    TreeDelta changes;

    friend bool operator==(const ConfigStep &, const ConfigStep &) = default;
};

/// Upper bound of the encoded size of a step, in bytes.
[[nodiscard]] std::size_t encodedSizeBound(const ConfigStep &step) noexcept;

/// Consecutive steps.
struct ConfigUpdate
{
    std::vector<ConfigStep> steps;

    friend bool operator==(const ConfigUpdate &, const ConfigUpdate &) = default;
};

/// Requests the steps from the version that the sender holds to the newest one.
struct ConfigPull
{
    ConfigVersion accepted; ///< Zero when nothing is held.
    Digest digest;

    friend bool operator==(const ConfigPull &, const ConfigPull &) = default;
};

/// Sent by a restarted node to find the highest version that it may have had in force before.
struct FloorQuery
{
    InstanceId instance;

    friend bool operator==(const FloorQuery &, const FloorQuery &) = default;
};

struct FloorAnswer
{
    ConfigVersion floor; ///< Highest version reported by the instance or in force here.
    bool isEstablished = false; ///< Whether the answering node knows its own floor.

    friend bool operator==(const FloorAnswer &, const FloorAnswer &) = default;
};

/// A node's report to the readers of its failure domain.
struct NodeReport
{
    InstanceId instance;
    ConfigVersion inForce;
    ConfigVersion refused; ///< Zero when none is refused.
    std::string findings;

    friend bool operator==(const NodeReport &, const NodeReport &) = default;
};

/// The configuration messages of the protocol between nodes.
using ConfigMessage
    = std::variant<VersionDigest, ConfigUpdate, ConfigPull, FloorQuery, FloorAnswer, NodeReport>;

} // namespace camphorreach
