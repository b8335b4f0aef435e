// Simulates the traffic of one move under a virtual clock, around the real decision code.
#pragma once

#include <camphorreach/moveplan.h>
#include <camphorreach/random.h>
#include <camphorreach/requestsample.h>
#include <camphorreach/snapshot.h>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorreach::bench {

/// Size and traffic of the service whose traffic moves to a new version.
struct MoveSite
{
    std::string name;
    std::size_t domains = 3;
    std::size_t instances = 2; ///< Per version and domain.
    std::size_t nodes = 3; ///< Entry nodes per domain.
    double requestsPerSecond = 10; ///< To all instances together.
};

enum class MoveFault : std::uint8_t {
    None, // good versions
    ColdStart,
    FlakyNewInstance,
    FlakyOldInstance,
    Overload,
    SlowDependency,
    FailsSome, // bad versions
    FailsAll,
    DoublesLatency,
    FailsLater,
    DoublesLatencyLater,
    FailsUnderLoad,
    FailsOnOneRoute,
    FailsDespiteHealthChecks,
};

[[nodiscard]] const char *toText(MoveFault fault) noexcept;
[[nodiscard]] bool isBadVersion(MoveFault fault) noexcept;

enum class MoveMethod : std::uint8_t { Evidence, FixedSchedule, ErrorThreshold };

[[nodiscard]] const char *toText(MoveMethod method) noexcept;

struct MoveTrialResult
{
    bool isDoneInTime = false;
    bool isRolledBack = false;
    std::uint64_t badRequests = 0; ///< Sent to the bad version while its fault is active.
    double badFraction = 0; ///< badRequests relative to the requests expected in the whole move.
    double secondsToStop = 0; ///< From the first bad request until the share is zero.
    std::vector<double> shares; ///< Of the new version, per second.
    std::string reason;
};

struct MoveCase
{
    MoveSite site;
    MoveFault fault = MoveFault::None;
    MoveMethod method = MoveMethod::Evidence;
    MovePolicy policy;
    Duration duration = std::chrono::minutes(10);
};

[[nodiscard]] MoveTrialResult runMoveTrial(const MoveCase &moveCase, std::uint64_t seed);

} // namespace camphorreach::bench
