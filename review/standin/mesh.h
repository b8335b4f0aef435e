// A small deployment on loopback: real sidecars, stand-ins of the upstreams as
// processes of their own, and the store's stand-in in this process.
#pragma once

#include "http.h"
#include "store.h"

#include <sys/types.h>

#include <filesystem>
#include <fstream>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review {

/// A machine: one upstream and the sidecar beside it.
struct Machine
{
    std::string name;
    std::string zone;
    std::string service;
    std::uint32_t slots = 6;
    std::uint16_t outbound = 0;
    std::uint16_t peer = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t app = 0;
    ::pid_t sidecar = 0;
    ::pid_t upstream = 0;
    int starts = 0; // of the upstream
    std::string upstreamId; // of the last start
    std::int64_t born = 0; // Unix milliseconds of the last start of the upstream
};

/// A route as a row of the configuration.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string kind;
    int timeoutMs = 1500;
    std::string service;
};

/// What a client sees of one request. The status is 0 when the connection ended
/// without an answer.
struct Answer
{
    int status = 0;
    ReadEnd end = ReadEnd::Closed;
    std::string seal;
    std::string body;
};

class Mesh
{
public:
    /// \a folder holds settings and logs; \a record is the file for what was
    /// sent, answered and run; \a sidecar and \a self are the programs.
    Mesh(std::filesystem::path folder, std::filesystem::path record, std::string sidecar,
         std::string self);
    ~Mesh();
    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    /// A machine with ports of its own that does not belong to the deployment
    /// yet.
    [[nodiscard]] Machine makeMachine(const std::string &name, const std::string &zone,
                                      const std::string &service, std::uint32_t slots);
    /// The interval of heartbeats in the settings of sidecars and at the
    /// upstreams.
    void setHeartbeat(Millis interval) { m_heartbeat = interval; }
    /// Ends all processes that this mesh has started.
    void endProcesses();
    void addMachine(const std::string &name, const std::string &zone, const std::string &service,
                    std::uint32_t slots);
    /// Starts everything with the first configuration and waits until all nodes
    /// are ready and the upstreams have reported. Returns false if that takes
    /// longer than 20 s.
    [[nodiscard]] bool start(const std::vector<Route> &routes);
    /// The operator sends a configuration; returns when the store has
    /// acknowledged it.
    void configure(const std::vector<Route> &routes);
    /// The first heartbeat arrives this late.
    void startUpstream(Machine &machine, int lateMs = 0);
    void startSidecar(Machine &machine);
    /// Sends a signal to a process that this mesh started, and waits for its end
    /// after SIGKILL.
    void signal(::pid_t process, int number);

    void writeSettings(const Machine &machine) const;
    /// Sends a message to the control address, and returns the status of the
    /// answer, or 0 if nobody listens there.
    [[nodiscard]] int control(const Machine &machine, const std::string &message);
    [[nodiscard]] bool hasEnded(::pid_t process);
    [[nodiscard]] bool isReady(const Machine &machine) const;

    /// Sends one request on a connection of its own.
    [[nodiscard]] Answer call(const Machine &at, const std::string &method, const std::string &host,
                              const std::string &target, const std::string &id, int deadlineMs);
    void note(const std::string &line);
    /// How often an upstream began to run the request, as the record says.
    [[nodiscard]] int runsOf(const std::string &id);
    /// The caller that an upstream was told for the request, or an empty text if
    /// it has not run.
    [[nodiscard]] std::string serverOf(const std::string &id) const;
    [[nodiscard]] std::string callerOf(const std::string &id) const;

    [[nodiscard]] Machine &machine(std::size_t index) { return m_machines.at(index); }
    [[nodiscard]] std::size_t size() const noexcept { return m_machines.size(); }
    [[nodiscard]] Store &store() noexcept { return m_store; }

private:
    [[nodiscard]] std::vector<std::uint16_t> unusedPorts(std::size_t count);
    [[nodiscard]] ::pid_t spawn(const std::vector<std::string> &command,
                                const std::string &variable, const std::string &log);

    const std::filesystem::path m_folder;
    const std::filesystem::path m_recordFile;
    const std::string m_sidecar;
    const std::string m_self;
    std::vector<Machine> m_machines;
    std::mutex m_processMutex; // guards m_processes
    std::vector<::pid_t> m_processes;
    Store m_store;
    std::set<std::uint16_t> m_usedPorts;
    std::uint16_t m_storePort = 0;
    std::uint64_t m_version = 5;
    Millis m_heartbeat { 870 };
};

/// Appends a line with the time to the record file; used by all processes.
void appendTo(const std::filesystem::path &file, const std::string &line);
/// The heartbeat of an upstream that is ready.
[[nodiscard]] std::string heartbeat(std::uint16_t port, const std::string &service,
                                    const std::string &zone, const std::string &id, unsigned slots,
                                    std::int64_t born, std::uint64_t sequence);
/// The headers of a client's request.
[[nodiscard]] std::vector<Header> clientHeaders(const std::string &host, const std::string &id,
                                                int deadlineMs);

} // namespace review
