// A small deployment on loopback: sidecars and upstreams as processes, the store as threads.
#pragma once

#include "store.h"
#include "upstream.h"

#include <atomic>
#include <csignal>
#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// A child process. It is killed when this process ends.
class Process
{
public:
    Process() = default;
    /// \a environment holds "NAME=value" of one further variable; may be empty.
    Process(const std::vector<std::string> &arguments, const std::string &environment,
            const std::string &log);

    [[nodiscard]] bool isRunning() const { return m_id > 0; }
    void send(int signal) const;
    void wait(); ///< Until it has ended.
    void kill(); ///< And waits.

private:
    pid_t m_id = 0;
};

struct Machine
{
    std::string name;
    std::string zone;
    std::string service;
    Address outbound;
    Address ready;
    Address control;
    Address peer;
    Address app;
    Process sidecar;
    int upstreamStarts = 0;
    bool isBeatSentHere = false;
    std::int64_t born = 0; // of the upstream whose heartbeats are sent here
    Process upstream;
};

struct MeshOptions
{
    std::string self; ///< This program, which also is the upstream.
    std::string sidecar;
    std::string folder; ///< For settings, logs and events.
    std::vector<std::string> services; ///< Of each machine.
    StoreOptions store;
    UpstreamOptions upstream; ///< What all upstreams have in common.
};

class Mesh
{
public:
    explicit Mesh(MeshOptions options);
    ~Mesh();
    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    [[nodiscard]] Store &store() { return *m_store; }
    [[nodiscard]] Machine &machine(std::size_t index) { return m_machines[index]; }
    [[nodiscard]] std::size_t size() const { return m_machines.size(); }
    [[nodiscard]] std::string eventsFile() const { return m_options.folder + "/events.txt"; }

    void startSidecar(std::size_t index);
    void startUpstream(std::size_t index);
    /// Kills all sidecars at once, and starts them again after a short delay.
    void restartSidecars();
    /// Starts all, and waits until the sidecars are ready and have heard of the upstreams. Returns
    /// false after \a timeoutMs.
    [[nodiscard]] bool startAll(std::int64_t timeoutMs);
    /// The heartbeats of the upstream of a machine are sent by this process. Call before it starts.
    void sendBeatsOf(std::size_t index);
    /// Sends no more heartbeats, and returns the request of the next one.
    [[nodiscard]] std::string takeBeatOf(std::size_t index);
    /// Deregisters the upstream. Returns whether that was acknowledged.
    [[nodiscard]] bool leave(std::size_t index);
    /// Returns whether the answer is 200.
    [[nodiscard]] bool sendToControl(std::size_t index, const std::string &request);
    /// The options of the upstream that was started last beside a machine.
    [[nodiscard]] UpstreamOptions upstreamOf(std::size_t index) const;
    /// From now on, an upstream that ends is started again \a downMs later.
    void keepUpstreams(std::int64_t downMs);
    [[nodiscard]] bool isReady(std::size_t index) const;
    /// Waits until all sidecars are ready. Returns false after \a timeoutMs.
    [[nodiscard]] bool waitUntilReady(std::int64_t timeoutMs) const;
    void stopAll();

private:
    [[nodiscard]] std::string beatOf(std::size_t index, std::uint64_t sequence) const;
    void sendBeats(std::size_t index);

    MeshOptions m_options;
    std::shared_ptr<Store> m_store; // its thread holds it as well, and never ends
    std::vector<Machine> m_machines;
    std::atomic<bool> m_isOver { false };
    std::vector<std::thread> m_keepers;
    std::atomic<bool> m_isBeating { true };
    std::atomic<std::uint64_t> m_sequence { 0 };
    std::thread m_beats;
};

/// The answer to a client.
struct Answer
{
    int status = 0; ///< Zero: none came.
    std::string seal;
};

/// Sends one attempt as a client does, on a connection of its own, and notes it among the events.
/// The client leaves after \a staysMs.
Answer callAsClient(const Mesh &mesh, const Address &outbound, const std::string &method,
                    const std::string &path, const std::string &attempt, std::int64_t deadlineMs,
                    std::int64_t staysMs);

/// The configuration with the routes of the Association: "/stock/" may be repeated, "/bags/" may
/// not; both go to `orders`.
[[nodiscard]] boost::json::value configuration(std::uint64_t version);

} // namespace review
