// Nodes as processes under load and a schedule of events, for the fault soak.
#pragma once

#include "sidecarprocess.h"
#include "soakreferee.h"
#include "storestandin.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace camphorreach {

class Dice;

/// Nodes as processes, each beside a server and callers of its own. One node is killed and frozen;
/// the others see planned work only, so that lost requests are judged on them all the time.
class SoakFixture
{
protected:
    SoakFixture();
    ~SoakFixture();

    /// Starts and stops each node \a rounds times while callers send.
    void run(int rounds);

    const std::uint64_t seed;
    Referee referee;

private:
    struct Side
    {
        std::size_t number = 0;
        SidecarSettings settings;
        std::unique_ptr<LoopbackServer> server;
    };

    static constexpr std::size_t sideCount = 4;
    static constexpr std::size_t harmedSide = sideCount - 1;
    static constexpr std::size_t callersPerSide = 6;
    static constexpr int maxAsksPerCaller = 20'000;

    void runRound(const Side &side, Dice &dice);
    enum class Phase : std::uint8_t { Serving, Draining };
    void disturb(Phase phase, const Side &side, SidecarProcess &process, Dice &dice);
    void send(const Side &side, SidecarProcess &process, int signal);
    void freeze(const Side &side, SidecarProcess &process, Dice &dice);
    void announce(const Side &side);
    void call(const Side &side, std::size_t caller);
    [[nodiscard]] static Ask makeAsk(const Side &side, std::size_t caller, int number, Dice &dice);

    StoreStandin m_store;
    std::vector<Side> m_sides;
    impl::IoThread m_announcer;
    std::mutex m_startMutex; // no process inherits the pipe of one that starts at the same time
    std::atomic<bool> m_isOver { false }; // never becomes false again
};

} // namespace camphorreach
