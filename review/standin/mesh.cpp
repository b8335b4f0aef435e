// Processes, settings and clients of the small deployment.
#include "mesh.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <sstream>
#include <thread>
#include <utility>

namespace review {
namespace {

namespace json = boost::json;

constexpr Millis startLimit = std::chrono::seconds(20);

std::string quoted(std::uint16_t port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"";
}

// The layout of platform/settings.toml, with the values filled in.
std::string settingsOf(const Machine &machine, std::uint16_t store, Millis heartbeat)
{
    return "[instance]\nname = \"" + machine.name + "\"\nfailure-domain = \"" + machine.zone
        + "\"\nregion = \"tt-north\"\nmemory-mb = 260\nlink-mbps = "
          "1000.0\nstop-grace-s = 6\n\n"
        + "[listen]\nguest = " + quoted(machine.outbound) + "\npeer = " + quoted(machine.peer)
        + "\nready = " + quoted(machine.ready) + "\nannouncements = " + quoted(machine.control)
        + "\n\n[backend-server]\naddress = " + quoted(machine.app) + "\nservice = \""
        + machine.service + "\"\nheartbeat-ms = " + std::to_string(heartbeat.count())
        + "\n\n[platform]\naddress = " + quoted(store) + "\n\n[peers]\nseeds = []\n\n"
        + "[retries]\nratio = 0.07\nlimit = 0.2\nextra = 56\nwindow-s = 10\n\n"
        + "[log]\nlevel = \"info\"\n";
}

} // namespace

void appendTo(const std::filesystem::path &file, const std::string &line)
{
    ::timespec now = {};
    ::clock_gettime(CLOCK_MONOTONIC, &now);
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%ld.%03ld ", static_cast<long>(now.tv_sec),
                  now.tv_nsec / 1'000'000);
    const std::string text = time.data() + line + "\n";
    const int output = ::open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    if (output < 0)
        return;
    (void)!::write(output, text.data(), text.size());
    ::close(output);
}

std::string heartbeat(std::uint16_t port, const std::string &service, const std::string &zone,
                      const std::string &id, unsigned slots, std::int64_t born,
                      std::uint64_t sequence)
{
    const std::string body = R"({"address":"127.0.0.1:)" + std::to_string(port) + R"(","born":)"
        + std::to_string(born) + R"(,"server_info":{"service":")" + service
        + R"(","version":"v1","zone":")" + zone + R"(","slots":)" + std::to_string(slots)
        + R"(},"status":{"state":"ready","sequence":)" + std::to_string(sequence)
        + R"(,"warmup_left_ms":0}})";
    return request("PUT", "/camphorreach/instances/" + id,
                   { { "Host", "node" }, { "Content-Type", "application/json" } }, body);
}

std::vector<Header> clientHeaders(const std::string &host, const std::string &id, int deadlineMs)
{
    return { { "Host", host },
             { "X-Camphorreach-Attempt-Id", id },
             { "X-Camphorreach-Deadline-Ms", std::to_string(deadlineMs) } };
}

Mesh::Mesh(std::filesystem::path folder, std::filesystem::path record, std::string sidecar,
           std::string self)
    : m_folder(std::move(folder)), m_recordFile(std::move(record)), m_sidecar(std::move(sidecar)),
      m_self(std::move(self))
{ }

Mesh::~Mesh()
{
    endProcesses();
}

void Mesh::endProcesses()
{
    const std::lock_guard lock(m_processMutex);
    for (const ::pid_t process : m_processes)
        ::kill(process, SIGKILL);
    for (const ::pid_t process : m_processes)
        ::waitpid(process, nullptr, 0);
    m_processes.clear();
}

std::vector<std::uint16_t> Mesh::unusedPorts(std::size_t count)
{
    std::vector<std::uint16_t> ports;
    while (ports.size() < count) {
        const std::uint16_t port = freePorts(1).front();
        if (m_usedPorts.insert(port).second)
            ports.push_back(port);
    }
    return ports;
}

Machine Mesh::makeMachine(const std::string &name, const std::string &zone,
                          const std::string &service, std::uint32_t slots)
{
    constexpr std::size_t portsPerMachine = 5;
    const std::vector<std::uint16_t> ports = unusedPorts(portsPerMachine);
    Machine machine;
    machine.name = name;
    machine.zone = zone;
    machine.service = service;
    machine.slots = slots;
    machine.outbound = ports[0];
    machine.peer = ports[1];
    machine.ready = ports[2];
    machine.control = ports[3];
    machine.app = ports[4];
    return machine;
}

void Mesh::addMachine(const std::string &name, const std::string &zone, const std::string &service,
                      std::uint32_t slots)
{
    m_machines.push_back(makeMachine(name, zone, service, slots));
}

bool Mesh::start(const std::vector<Route> &routes)
{
    m_storePort = unusedPorts(1).front();
    m_store.start(m_storePort);
    configure(routes);
    for (Machine &machine : m_machines) {
        startSidecar(machine);
        startUpstream(machine);
    }
    const Clock::time_point until = Clock::now() + startLimit;
    for (const Machine &machine : m_machines) {
        while (!isReady(machine)) {
            if (Clock::now() > until)
                return false;
            std::this_thread::sleep_for(Millis(50));
        }
    }
    // Traffic starts 8 s after the machines do.
    std::this_thread::sleep_for(std::chrono::seconds(8));
    return true;
}

void Mesh::configure(const std::vector<Route> &routes)
{
    json::array rows;
    std::vector<std::string> services;
    for (const Route &route : routes) {
        rows.push_back(json::array { route.name, route.host, route.prefix, route.kind,
                                     route.timeoutMs, route.timeoutMs / 2, 1, route.service, 2,
                                     nullptr });
        if (std::find(services.begin(), services.end(), route.service) == services.end())
            services.push_back(route.service);
    }
    json::array serviceRows;
    for (const std::string &service : services)
        serviceRows.push_back(json::array { service, "/health", 110, "h1", false });
    const json::object spec {
        { "version", m_version },
        { "routes",
          { { "columns",
              { "name", "host", "path_prefix", "route_kind", "timeout_ms", "target_latency_ms",
                "priority", "service", "max_attempts", "traffic_split" } },
            { "rows", std::move(rows) } } },
        { "services",
          { { "columns", { "name", "health_path", "max_connections", "protocol", "tls" } },
            { "rows", std::move(serviceRows) } } },
        { "limits",
          { { "max_header_bytes", 16384 },
            { "max_body_bytes", 67'108'864 },
            { "header_timeout_ms", 3000 },
            { "idle_timeout_ms", 15000 } } }
    };
    m_store.put("config", "main", spec);
    note("config acknowledged version=" + std::to_string(m_version)
         + " bytes=" + std::to_string(json::serialize(spec).size()));
    m_version += 2;
}

::pid_t Mesh::spawn(const std::vector<std::string> &command, const std::string &variable,
                    const std::string &log)
{
    const std::string logFile = (m_folder / log).string();
    std::vector<std::string> words = command;
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::string path = "PATH=/usr/bin:/bin";
    std::string setting = variable;
    std::array<char *, 3> environment { path.data(), setting.data(), nullptr };
    const ::pid_t parent = ::getpid();
    const ::pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(127);
        const int output = ::open(logFile.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(arguments.front(), arguments.data(), environment.data());
        ::_exit(127);
    }
    const std::lock_guard lock(m_processMutex);
    m_processes.push_back(process);
    return process;
}

void Mesh::startSidecar(Machine &machine)
{
    const std::filesystem::path file = m_folder / (machine.name + ".toml");
    writeSettings(machine);
    machine.sidecar
        = spawn({ m_sidecar }, "CAMPHORREACH_NODE_FILE=" + file.string(), machine.name + ".log");
    note("start sidecar " + machine.name);
}

void Mesh::startUpstream(Machine &machine, int lateMs)
{
    ++machine.starts;
    const std::string id = machine.name + "-s" + std::to_string(machine.starts);
    machine.upstreamId = id;
    machine.born
        = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    machine.upstream
        = spawn({ m_self, "upstream", std::to_string(machine.app), std::to_string(machine.control),
                  id, machine.service, machine.zone, std::to_string(machine.slots),
                  m_recordFile.string(), std::to_string(lateMs), std::to_string(machine.born),
                  std::to_string(m_heartbeat.count()) },
                "HOME=/", machine.name + "-upstream.log");
    note("start upstream " + id);
}

void Mesh::writeSettings(const Machine &machine) const
{
    std::ofstream(m_folder / (machine.name + ".toml"))
        << settingsOf(machine, m_storePort, m_heartbeat);
}

int Mesh::control(const Machine &machine, const std::string &message)
{
    auto connection = Connection::open(machine.control);
    if (!connection || !connection->send(message))
        return 0;
    const int status = connection->read(std::chrono::seconds(1)).message.status();
    note("control of " + machine.name + ": " + message.substr(0, message.find('\r'))
         + " answered status=" + std::to_string(status));
    return status;
}

void Mesh::signal(::pid_t process, int number)
{
    ::kill(process, number);
    if (number != SIGKILL)
        return;
    ::waitpid(process, nullptr, 0);
    const std::lock_guard lock(m_processMutex);
    std::erase(m_processes, process);
}

bool Mesh::hasEnded(::pid_t process)
{
    if (::waitpid(process, nullptr, WNOHANG) != process)
        return false;
    const std::lock_guard lock(m_processMutex);
    std::erase(m_processes, process);
    return true;
}

bool Mesh::isReady(const Machine &machine) const
{
    auto connection = Connection::open(machine.ready);
    if (!connection
        || !connection->send(request("GET", "/camphorreach/readiness", { { "Host", "n" } }, "")))
        return false;
    const ReadResult result = connection->read(std::chrono::seconds(1));
    return result.end == ReadEnd::Complete && result.message.status() == 200;
}

Answer Mesh::call(const Machine &at, const std::string &method, const std::string &host,
                  const std::string &target, const std::string &id, int deadlineMs)
{
    note("sent " + id + " " + method + " " + target + " at " + at.name);
    Answer answer;
    auto connection = Connection::open(at.outbound);
    if (connection
        && connection->send(request(method, target, clientHeaders(host, id, deadlineMs), ""))) {
        const ReadResult result = connection->read(Millis(deadlineMs + 500), method == "HEAD");
        answer.end = result.end;
        if (result.end == ReadEnd::Complete)
            answer = { result.message.status(), result.end,
                       result.message.header("X-Camphorreach-Response-Seal"), result.message.body };
    }
    note("answered " + id + " status=" + std::to_string(answer.status)
         + " bytes=" + std::to_string(answer.body.size()));
    return answer;
}

void Mesh::note(const std::string &line)
{
    appendTo(m_recordFile, line);
}

int Mesh::runsOf(const std::string &id)
{
    std::ifstream file(m_recordFile);
    int runs = 0;
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string time;
        std::string kind;
        std::string name;
        words >> time >> kind >> name;
        runs += kind == "run" && name == id ? 1 : 0;
    }
    return runs;
}

std::string Mesh::serverOf(const std::string &id) const
{
    std::ifstream file(m_recordFile);
    for (std::string line; std::getline(file, line);) {
        const std::size_t at = line.find(" on ");
        if (at != std::string::npos && line.find(" run " + id + " ") != std::string::npos)
            return line.substr(at + 4, line.find(' ', at + 4) - at - 4);
    }
    return {};
}

std::string Mesh::callerOf(const std::string &id) const
{
    constexpr std::string_view field = "caller=";
    std::ifstream file(m_recordFile);
    for (std::string line; std::getline(file, line);) {
        const std::size_t at = line.find(field);
        if (at != std::string::npos && line.find(" run " + id + " ") != std::string::npos)
            return line.substr(at + field.size());
    }
    return {};
}

} // namespace review
