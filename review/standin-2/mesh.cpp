// Processes of the small deployment, their settings and their end.
#include "mesh.h"

#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {
namespace {

constexpr std::int64_t readyAnswerMs = 1000;
constexpr std::int64_t pollMs = 20;
constexpr std::int64_t restartMs = 500;
// The nodes know each other and their servers by then.
constexpr std::int64_t settleMs = 5000;

// Numbers as in the settings of the small sites.
std::string settingsOf(const Machine &machine, const Address &store)
{
    return "[instance]\nname = \"" + machine.name + "\"\nfailure-domain = \"" + machine.zone
        + "\"\nregion = \"tt-north\"\nmemory-mb = 260\nlink-mbps = 1000.0\nstop-grace-s = 6\n"
          "[listen]\nguest = \""
        + machine.outbound.text() + "\"\npeer = \"" + machine.peer.text() + "\"\nready = \""
        + machine.ready.text() + "\"\nannouncements = \"" + machine.control.text()
        + "\"\n[backend-server]\naddress = \"" + machine.app.text() + "\"\nservice = \""
        + machine.service + "\"\nheartbeat-ms = 1500\n[platform]\naddress = \"" + store.text()
        + "\"\n[peers]\nseeds = []\n[retries]\nratio = 0.07\nlimit = 0.2\nextra = 56\n"
          "window-s = 10\n[log]\nlevel = \"info\"\n";
}

} // namespace

Process::Process(const std::vector<std::string> &arguments, const std::string &environment,
                 const std::string &log)
{
    const pid_t parent = ::getpid();
    std::vector<char *> words;
    words.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments)
        words.push_back(const_cast<char *>(argument.c_str()));
    words.push_back(nullptr);
    m_id = ::fork();
    if (m_id != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(1);
    const int output = ::open(log.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    if (!environment.empty())
        ::putenv(const_cast<char *>(environment.c_str()));
    ::execv(words.front(), words.data());
    ::_exit(1);
}

void Process::send(int signal) const
{
    if (m_id > 0)
        ::kill(m_id, signal);
}

void Process::wait()
{
    if (m_id > 0)
        ::waitpid(m_id, nullptr, 0);
    m_id = 0;
}

void Process::kill()
{
    send(SIGKILL);
    wait();
}

Mesh::Mesh(MeshOptions options)
    : m_options(std::move(options)), m_store(std::make_shared<Store>(m_options.store))
{
    const std::vector<std::string> zones { "port-spain", "arima", "chaguanas" };
    std::thread([store = m_store] { store->serve(); }).detach();
    for (std::size_t i = 0; i < m_options.services.size(); ++i) {
        Machine machine;
        machine.zone = zones[i % zones.size()];
        machine.name = "sidecar-" + machine.zone + "-" + std::to_string(i / zones.size() + 1);
        machine.service = m_options.services[i];
        for (Address *address :
             { &machine.outbound, &machine.ready, &machine.control, &machine.peer, &machine.app })
            *address = freeAddress();
        m_machines.push_back(machine);
    }
}

Mesh::~Mesh()
{
    stopAll();
}

void Mesh::startSidecar(std::size_t index)
{
    Machine &machine = m_machines[index];
    const std::string file = m_options.folder + "/" + machine.name + ".toml";
    std::ofstream(file) << settingsOf(machine, m_store->address());
    machine.sidecar = Process({ m_options.sidecar }, "CAMPHORREACH_NODE_FILE=" + file,
                              m_options.folder + "/" + machine.name + ".log");
}

bool Mesh::startAll(std::int64_t timeoutMs)
{
    for (std::size_t i = 0; i < size(); ++i) {
        startSidecar(i);
        startUpstream(i);
        if (m_machines[i].isBeatSentHere)
            m_beats = std::thread([this, i] { sendBeats(i); });
    }
    const bool areReady = waitUntilReady(timeoutMs);
    sleepMs(settleMs);
    return areReady;
}

void Mesh::sendBeatsOf(std::size_t index)
{
    m_machines[index].isBeatSentHere = true;
}

void Mesh::sendBeats(std::size_t index)
{
    m_machines[index].born = wallMs();
    std::int64_t next = nowMs();
    while (m_isBeating) {
        if (nowMs() >= next) {
            (void)sendToControl(index, beatOf(index, ++m_sequence));
            next += m_options.upstream.beatMs;
        }
        sleepMs(pollMs);
    }
}

std::string Mesh::beatOf(std::size_t index, std::uint64_t sequence) const
{
    const UpstreamOptions options = upstreamOf(index);
    return requestText("PUT", "/camphorreach/instances/" + options.id,
                       { { "Host", options.control.text() },
                         { "Content-Type", "application/json" },
                         { "Connection", "close" } },
                       heartbeatBody(options, m_machines[index].born, sequence, "ready"));
}

std::string Mesh::takeBeatOf(std::size_t index)
{
    m_isBeating = false;
    if (m_beats.joinable())
        m_beats.join();
    return beatOf(index, ++m_sequence);
}

bool Mesh::leave(std::size_t index)
{
    const UpstreamOptions options = upstreamOf(index);
    const bool isAcknowledged = sendToControl(
        index,
        requestText(
            "DELETE", "/camphorreach/instances/" + options.id,
            { { "Host", options.control.text() },
              { "Content-Type", "application/json" },
              { "Connection", "close" } },
            boost::json::serialize(boost::json::object { { "born", m_machines[index].born } })));
    appendEvent(eventsFile(),
                "leave at=" + options.id + " acknowledged=" + (isAcknowledged ? "1" : "0"));
    return isAcknowledged;
}

bool Mesh::sendToControl(std::size_t index, const std::string &request)
{
    const auto answer = callOnce(m_machines[index].control, request, readyAnswerMs);
    if (!m_isBeating)
        appendEvent(eventsFile(),
                    "control " + request.substr(0, request.find(' '))
                        + " status=" + std::to_string(answer ? answer->status() : 0));
    return answer && answer->status() == 200;
}

UpstreamOptions Mesh::upstreamOf(std::size_t index) const
{
    const Machine &machine = m_machines[index];
    UpstreamOptions options = m_options.upstream;
    options.listen = machine.app;
    options.control = machine.control;
    options.service = machine.service;
    options.zone = machine.zone;
    options.events = eventsFile();
    options.id = "i-" + std::to_string(index) + "-" + std::to_string(machine.upstreamStarts);
    return options;
}

void Mesh::startUpstream(std::size_t index)
{
    Machine &machine = m_machines[index];
    ++machine.upstreamStarts;
    const UpstreamOptions options = upstreamOf(index);
    machine.upstream = Process(
        { m_options.self, "upstream", options.listen.text(), options.control.text(), options.id,
          options.service, options.zone, options.events, std::to_string(options.workMs),
          std::to_string(machine.isBeatSentHere ? 0 : options.beatMs),
          options.crashPath.empty() ? std::string("-") : options.crashPath,
          std::to_string(options.crashAfterMs) },
        "", m_options.folder + "/upstream-" + std::to_string(index) + ".log");
}

void Mesh::restartSidecars()
{
    for (Machine &machine : m_machines)
        machine.sidecar.send(SIGKILL);
    appendEvent(eventsFile(), "killed all sidecars");
    for (Machine &machine : m_machines)
        machine.sidecar.wait();
    sleepMs(restartMs);
    for (std::size_t i = 0; i < size(); ++i)
        startSidecar(i);
    appendEvent(eventsFile(), "started all sidecars");
}

void Mesh::keepUpstreams(std::int64_t downMs)
{
    for (std::size_t i = 0; i < size(); ++i) {
        m_keepers.emplace_back([this, i, downMs] {
            while (!m_isOver) {
                m_machines[i].upstream.wait();
                if (m_isOver)
                    return;
                sleepMs(downMs);
                if (!m_isOver)
                    startUpstream(i);
            }
        });
    }
}

bool Mesh::isReady(std::size_t index) const
{
    const Address &address = m_machines[index].ready;
    const auto answer = callOnce(
        address, requestText("GET", "/camphorreach/readiness", { { "Host", address.text() } }, ""),
        readyAnswerMs);
    return answer && answer->status() == 200;
}

bool Mesh::waitUntilReady(std::int64_t timeoutMs) const
{
    const std::int64_t until = nowMs() + timeoutMs;
    for (std::size_t i = 0; i < size(); ++i) {
        while (!isReady(i)) {
            if (nowMs() >= until)
                return false;
            sleepMs(pollMs);
        }
    }
    return true;
}

void Mesh::stopAll()
{
    m_isOver = true;
    m_isBeating = false;
    if (m_beats.joinable())
        m_beats.join();
    for (Machine &machine : m_machines) {
        machine.upstream.send(SIGKILL);
        machine.sidecar.kill();
    }
    for (std::thread &keeper : m_keepers)
        keeper.join();
    m_keepers.clear();
    for (Machine &machine : m_machines)
        machine.upstream.kill();
}

Answer callAsClient(const Mesh &mesh, const Address &outbound, const std::string &method,
                    const std::string &path, const std::string &attempt, std::int64_t deadlineMs,
                    std::int64_t staysMs)
{
    appendEvent(mesh.eventsFile(),
                "sent id=" + attempt + " request=" + method + ":" + path
                    + " to=" + outbound.text());
    const auto response
        = callOnce(outbound,
                   requestText(method, path,
                               { { "Host", "ice.example" },
                                 { "X-Camphorreach-Attempt-Id", attempt },
                                 { "X-Camphorreach-Deadline-Ms", std::to_string(deadlineMs) } },
                               ""),
                   staysMs);
    Answer answer;
    if (response)
        answer = { response->status(), response->field("x-camphorreach-response-seal") };
    appendEvent(mesh.eventsFile(),
                "answered id=" + attempt + " status=" + std::to_string(answer.status)
                    + " seal=" + answer.seal);
    return answer;
}

boost::json::value configuration(std::uint64_t version)
{
    return boost::json::object {
        { "version", version },
        { "routes",
          { { "columns",
              { "name", "host", "path_prefix", "route_kind", "timeout_ms", "target_latency_ms",
                "priority", "service", "max_attempts", "traffic_split" } },
            { "rows",
              { { "r-stock", "ice.example", "/stock/", "idempotent", 1500, 400, 1, "orders", 2,
                  nullptr },
                { "r-bags", "ice.example", "/bags/", "non_idempotent", 2000, 500, 0, "orders", 2,
                  nullptr } } } } },
        { "services",
          { { "columns", { "name", "health_path", "max_connections" } },
            { "rows", boost::json::array { boost::json::array { "orders", "/health", 110 } } } } },
        { "limits",
          { { "max_header_bytes", 16384 },
            { "max_body_bytes", 1'000'000 },
            { "header_timeout_ms", 3000 },
            { "idle_timeout_ms", 15'000 } } }
    };
}

} // namespace review
