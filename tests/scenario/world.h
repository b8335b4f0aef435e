// Simulation of a small mesh in virtual time: nodes, backend servers, a platform and clients.
#pragma once

#include "eventqueue.h"
#include "fakebackend.h"
#include "fakenetwork.h"
#include "fakeplatform.h"
#include "oracle.h"
#include "simnode.h"

#include <camphorreach/random.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorreach::scenario {

/// An instance: its backend server, and its node while the node's process runs.
struct WorldInstance
{
    SimNodeSettings settings;
    std::unique_ptr<FakeBackend> backend;
    std::unique_ptr<SimNode> node;
    bool isDraining = false;
    std::optional<TimePoint> drainedSince {}; ///< Since when the drained node has been idle.
};

class World
{
public:
    explicit World(std::uint64_t seed);

    /// Adds an instance of a service and starts its node. Instances are named n1, n2, and so on.
    void addNode(const std::string &domain, const std::string &service, const std::string &version,
                 std::uint32_t slots);
    void start(const std::string &name);
    void kill(const std::string &name);
    void drain(const std::string &name);
    [[nodiscard]] WorldInstance &instance(const std::string &name);
    [[nodiscard]] std::map<std::string, WorldInstance> &instances() noexcept { return m_instances; }

    /// Applies \a changes, from paths to TOML values, to the settings tree and publishes the result
    /// as a new version. Nodes must activate it if \a isGood, and reject it otherwise.
    void accept(const std::map<std::string, std::string> &changes, bool isGood);

    /// Sends a request of a client to a node. \a key identifies the request and is its body. A key
    /// that was sent before makes it a resend.
    void send(const std::string &name, const std::string &service, const std::string &path,
              bool isRunOnce, const std::string &key, Duration budget);
    [[nodiscard]] std::string newKey() { return "r" + std::to_string(m_nextKey++); }

    void run(Duration time);

    [[nodiscard]] ConfigVersion acceptedVersion() const noexcept { return m_version; }
    [[nodiscard]] ConfigVersion goodVersion() const noexcept { return m_goodVersion; }
    [[nodiscard]] FakePlatform &platform() noexcept { return m_platform; }
    [[nodiscard]] FakeNetwork &network() noexcept { return m_network; }
    [[nodiscard]] EventQueue &events() noexcept { return m_events; }
    [[nodiscard]] RandomSource &random() noexcept { return m_random; }
    [[nodiscard]] Oracle &oracle() noexcept { return m_oracle; }

private:
    struct SentRequest
    {
        std::string instance;
        std::string key;
    };

    [[nodiscard]] std::string treeText() const;
    void onRequestEnded(RequestId id, Outcome &&outcome);
    void stopDrained();

    RandomSource m_random;
    EventQueue m_events;
    FakeNetwork m_network;
    FakePlatform m_platform;
    Oracle m_oracle;
    std::map<std::string, WorldInstance> m_instances;
    std::map<std::string, std::string> m_tree; // path to TOML value
    std::set<std::string> m_usedKeys; // idempotency keys that clients have sent
    std::map<RequestId, SentRequest> m_pending; // sent, without an outcome
    ConfigVersion m_version;
    ConfigVersion m_goodVersion; // newest accepted version that nodes must activate
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextKey = 1;
    std::uint16_t m_nextPort = 1;
};

} // namespace camphorreach::scenario
