// Settings of a node that reads routes and orders from the platform's store, from a TOML file.
#pragma once

#include <camphorreach/balancing.h>
#include <camphorreach/localserver.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/processsettings.h>
#include <camphorreach/result.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorreach {

/// Retry budget that all nodes share.
struct RetrySettings
{
    Share ratio = Share::fromFraction(0.1); ///< Retries earned per first attempt of a service.
    Share limit = Share::fromFraction(0.2); ///< Maximum retries per request in a window.
    std::uint32_t extra = 10; ///< Retries beyond the limit in each window.
    Duration window = std::chrono::seconds(10);
};

/// How strictly quotas and the withdrawal of keys bind.
struct OrganisationSettings
{
    /// No request that a client sends later than this after its key was withdrawn may run, also
    /// at nodes that are cut off. Empty: keys are withdrawn like any other change.
    std::optional<Duration> revocation {};
    /// Requests beyond a quota that are tolerated in a window: a share of the quota, and a count.
    Duration quotaWindow = std::chrono::seconds(5);
    Share quotaExcess = Share::fromFraction(0.1);
    std::uint32_t quotaSlack = 20;
};

struct SidecarSettings : ProcessSettings
{
    NetAddress readyAddress; ///< Serves readiness, state dump and metrics.
    NetAddress announceAddress; ///< Receives the backend server's announcements.
    LocalServerSettings backendServer;
    Duration heartbeat = std::chrono::seconds(2); ///< Interval of announcements.
    /// Interval of health requests to a backend server that may turn cold. Without it, none are
    /// sent.
    std::optional<Duration> healthInterval {};
    /// Time from the request to stop until the platform kills the process.
    Duration stopGrace = std::chrono::seconds(6);
    RetrySettings retries;
    OrganisationSettings organisations;
    /// Time within which an evacuation must be in force everywhere. Without it, evacuation orders
    /// are not read from the store.
    std::optional<Duration> evacuationTime {};
    std::uint32_t memoryMb = 256; ///< Bounds the size of buffers.
    PlacementKind placement = PlacementKind::LeastOccupied;
    double linkMbps = 0; ///< Bandwidth of the machine in Mbit/s; zero when not known.
};

/// Parses and validates settings. \a file is the file name in findings. Fails with all findings.
[[nodiscard]] Result<SidecarSettings> parseSidecarSettings(std::string_view text,
                                                           const std::string &file);

} // namespace camphorreach
