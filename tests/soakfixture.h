// Parts of the fault soak: the referee that judges what callers and servers see, a caller's kept
// connection, and nodes as processes under a schedule of events.
#pragma once

#include "sidecarprocess.h"
#include "storestandin.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace camphorreach {

/// Choices that are the same for the same seed.
class Dice
{
public:
    Dice(std::uint64_t seed, std::uint64_t stream) : m_engine(seed * 1000 + stream) { }

    [[nodiscard]] int below(int end)
    {
        return static_cast<int>(m_engine() % static_cast<std::uint64_t>(end));
    }
    [[nodiscard]] bool isOneIn(int count) { return below(count) == 0; }

private:
    std::mt19937_64 m_engine;
};

/// One request of a caller beside the node \a side.
struct Ask
{
    std::string id;
    std::size_t side = 0;
    bool isRunOnce = true;
    impl::HttpRequest request;
    std::chrono::steady_clock::time_point sentAt;
};

/// Judges the promises from what callers and backend servers see. Used by all threads.
class Referee
{
public:
    using Time = std::chrono::steady_clock::time_point;

    void noteEvent(std::size_t side, const std::string &what);
    void noteLog(std::size_t side, const std::string &line);
    /// A kill or a freeze of a node begins; it ends when the node runs again.
    void beginHarm(std::size_t side);
    void endHarm(std::size_t side);

    /// The server beside \a side begins to run a request.
    void onRun(std::size_t side, const std::string &id, bool isRunOnce);
    void onAnswer(const Ask &ask, const impl::HttpResponse &answer);
    /// The connection ended without a whole answer.
    void onClosed(const Ask &ask);
    void fail(const std::string &what);

    /// Judges what could not be judged before the end. Call when all threads have ended.
    void settle();
    [[nodiscard]] std::string failures() const;
    [[nodiscard]] std::string summary() const;
    [[nodiscard]] int servedCount(bool isRunOnce) const { return m_served.at(isRunOnce); }
    /// Writes all events and logs with their times.
    void writeTimeline(const std::string &file) const;

private:
    struct Attempt
    {
        std::vector<std::size_t> sides; ///< Where it has run, each run once.
        bool isRefused = false;
    };
    struct Harm
    {
        std::size_t side = 0;
        Time from;
        Time to = Time::max();
    };
    struct Unanswered
    {
        std::string id;
        std::size_t side = 0;
        Time from;
        Time to;
        std::string how;
    };

    void failLocked(const std::string &what, Time at);
    void addLocked(std::size_t side, const std::string &text);
    void checkSuccess(const Ask &ask, const impl::HttpResponse &answer);
    [[nodiscard]] bool isCalm(std::size_t side, Time from, Time to) const;
    [[nodiscard]] std::string eventsBefore(Time at) const;
    [[nodiscard]] std::string timeText(Time at) const;

    const Time m_start = std::chrono::steady_clock::now();
    mutable std::mutex m_mutex; // guards all below until the threads have ended
    std::map<std::string, Attempt> m_attempts; // by attempt id; only those that ran or were refused
    std::vector<Harm> m_harms; // in order of their begin; at most one of a side is open
    std::vector<Unanswered> m_unanswered; // judged by settle()
    std::vector<std::pair<Time, std::string>> m_events; // in order of time
    std::vector<std::string> m_timeline; // events and logs, in order of time
    std::vector<std::string> m_failures;
    std::map<int, int> m_statuses; // 0: closed without an answer
    std::map<bool, int> m_served { { false, 0 }, { true, 0 } }; // by whether it was run-once
    int m_lateRefusals = 0; // idempotent requests that had run and were refused
    int m_runAndClosed = 0; // found harmed, and so not judged
};

/// A caller's kept-alive connection.
class KeptConnection
{
public:
    explicit KeptConnection(const NetAddress &address);
    ~KeptConnection();

    [[nodiscard]] bool isOpen() const;
    /// Waits for the answer; status 0 when the connection ended without a whole one.
    [[nodiscard]] impl::HttpResponse ask(const impl::HttpRequest &request);
    /// Bytes have come that belong to no answer.
    [[nodiscard]] bool hasExtraBytes() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

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
    void disturb(const Side &side, SidecarProcess &process, Dice &dice);
    void signalsInDrain(const Side &side, SidecarProcess &process, Dice &dice);
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
