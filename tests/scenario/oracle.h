// Test oracle: checks invariants on the events that clients, nodes and backend servers observe.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/outcome.h>
#include <camphorreach/request.h>
#include <camphorreach/snapshot.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorreach::scenario {

/// Collects violations of the invariants as readable messages. A scenario with violations fails.
class Oracle
{
public:
    void onAccepted(ConfigVersion version, Digest digest, bool isGood);
    void onSnapshot(const InstanceId &instance, const Snapshot &snapshot, TimePoint now);

    void onSent(const std::string &key, const std::string &service, const std::string &path,
                bool isRunOnce);
    void onRun(const InstanceId &instance, const ForwardRequest &request, TimePoint now);
    void onOutcome(const std::string &key, const Outcome &outcome);
    /// The client's connection ended before the response.
    void onConnectionLost(const std::string &key);
    /// The instance begins to drain, until onStarted().
    void onDraining(const InstanceId &instance, TimePoint now);
    void onStarted(const InstanceId &instance);

    /// A run-once request whose outcome its client does not know.
    struct Unresolved
    {
        std::string key;
        std::string service;
        std::string path;
    };
    /// Returns the unresolved requests since the last call.
    [[nodiscard]] std::vector<Unresolved> takeUnresolved()
    {
        return std::exchange(m_unresolved, {});
    }

    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }

    struct Totals
    {
        std::uint64_t sent = 0;
        std::uint64_t answered = 0;
        std::uint64_t failed = 0; ///< Responses with a status of 500 or above.
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
        std::uint64_t lost = 0; ///< Connections that ended before the response.
        std::map<BackendVersion, std::uint64_t> runsByVersion;
    };
    [[nodiscard]] const Totals &totals() const noexcept { return m_totals; }
    [[nodiscard]] std::uint64_t pendingCount() const noexcept;
    void resetTotals() { m_totals = {}; }

private:
    struct Request
    {
        std::string service;
        std::string path;
        bool isRunOnce = false;
        std::uint64_t runs = 0;
        std::uint64_t runsAtSend = 0; // `runs` when the client last sent it
        bool hasEnded = false;
        bool wasReportedNotRun = false;
    };
    struct Accepted
    {
        Digest digest;
        bool isGood = true;
    };

    void addViolation(const std::string &text);
    void addUnresolved(const std::string &key);

    std::map<ConfigVersion, Accepted> m_accepted;
    std::map<InstanceId, ConfigVersion> m_versions; // highest active version, across restarts
    std::map<std::string, Request> m_requests; // by idempotency key
    std::map<InstanceId, TimePoint> m_drainingSince;
    std::vector<Unresolved> m_unresolved;
    Totals m_totals;
    std::vector<std::string> m_violations;
};

} // namespace camphorreach::scenario
