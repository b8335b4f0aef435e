// Runs of backend servers that get no more requests.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/strong.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorreach {

/// Wall-clock time at which a backend server started, which identifies one run of it. Only compared
/// with times from the clock of the same machine.
using BackendStartTime = Strong<struct BackendStartTimeTag, std::int64_t>;

/// A run of a backend server that drains or has deregistered, and with it all its earlier runs.
struct DepartedRun
{
    InstanceId server;
    BackendStartTime startTime;

    friend bool operator==(const DepartedRun &, const DepartedRun &) = default;
};

/// At most one run of each backend server, the latest one that has departed. When full, the entry
/// that was added first is dropped: only one server at a time runs beside a node.
class DepartedRuns
{
public:
    static constexpr std::size_t maxRuns = 16;

    /// Returns whether the run was not contained yet.
    bool add(const DepartedRun &run);
    /// Adds all runs. Returns whether one of them was not contained yet.
    bool add(const DepartedRuns &other);
    [[nodiscard]] bool contains(const DepartedRun &run) const;
    [[nodiscard]] const std::vector<DepartedRun> &runs() const noexcept { return m_runs; }

    friend bool operator==(const DepartedRuns &, const DepartedRuns &) = default;

private:
    std::vector<DepartedRun> m_runs; // at most maxRuns, one per server
};

/// The departures that a node knows of have changed, and have to outlive its process.
struct DeparturesChanged
{
    DepartedRuns departures;
};

/// The departures that an earlier process of the node stored have been read.
struct DeparturesRestored
{
    DepartedRuns departures;
};

/// The store holds these departures.
struct DeparturesStored
{
    DepartedRuns departures;
};

} // namespace camphorreach
