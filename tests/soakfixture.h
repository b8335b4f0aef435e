// Nodes as processes, with load and a random schedule of faults and signals, for the soak test.
#pragma once

#include "fakestore.h"
#include "sidecarprocess.h"
#include "soakreferee.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace camphorreach {

class SoakRandom;

/// Runs nodes as processes, each with its own backend server and clients. Only one node is killed
/// and frozen. The others get only planned operations, so every request that they lose is a
/// failure.
class SoakFixture
{
protected:
    SoakFixture();
    ~SoakFixture();

    /// Starts and stops every node \a rounds times while clients send requests.
    void run(int rounds);

    const std::uint64_t seed;
    SoakChecker checker;

private:
    struct SoakNode
    {
        std::size_t index = 0;
        SidecarSettings settings;
        std::unique_ptr<LoopbackServer> server;
    };

    static constexpr std::size_t nodeCount = 4;
    static constexpr std::size_t faultyNode = nodeCount - 1;
    static constexpr std::size_t clientsPerNode = 6;
    static constexpr int maxCallsPerClient = 20'000;

    void runRound(const SoakNode &node, SoakRandom &random);
    enum class Phase : std::uint8_t { Serving, Draining };
    void injectEvents(Phase phase, const SoakNode &node, SidecarProcess &process,
                      SoakRandom &random);
    void send(const SoakNode &node, SidecarProcess &process, int signal);
    void freeze(const SoakNode &node, SidecarProcess &process, SoakRandom &random);
    void announce(const SoakNode &node);
    void runClient(const SoakNode &node, std::size_t client);
    [[nodiscard]] static SoakCall makeCall(const SoakNode &node, std::size_t client, int number,
                                           SoakRandom &random);

    FakeStore m_store;
    std::vector<SoakNode> m_nodes;
    impl::IoThread m_announcer;
    std::mutex m_startMutex; // held at a start, so that no process inherits the pipe of another
    std::atomic<bool> m_isOver { false }; // set once, when all rounds have ended
};

} // namespace camphorreach
