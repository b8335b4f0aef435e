// What each case sends, what it disturbs, and its check.
#include "cases.h"

#include "mesh.h"

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <vector>

namespace review {
namespace {

constexpr std::int64_t stableWindowMs = 3000;
constexpr std::int64_t readyWithinMs = 15'000;

struct Event
{
    std::int64_t at = 0;
    std::string text;

    [[nodiscard]] bool is(const std::string &kind) const { return text.starts_with(kind + " "); }
    [[nodiscard]] bool names(const std::string &field) const
    {
        return (text + " ").find(" " + field + " ") != std::string::npos;
    }
};

std::vector<Event> readEvents(const std::string &file)
{
    std::vector<Event> events;
    std::ifstream input(file);
    for (std::string line; std::getline(input, line);) {
        const std::size_t space = line.find(' ');
        events.push_back({ std::strtoll(line.c_str(), nullptr, 10), line.substr(space + 1) });
    }
    return events;
}

// Writes what was sent, answered and run, with times since the start of the case.
void writeRecord(const CaseOptions &options, const std::vector<Event> &events, std::int64_t start,
                 const std::string &summary)
{
    std::ofstream record(options.record);
    record << summary << "\n";
    for (const Event &event : events)
        record << event.at - start << " ms " << event.text << "\n";
}

// Clients of all machines, one at each, that send one request after the other.
class Clients
{
public:
    Clients(Mesh &mesh, std::string method, std::string prefix, std::int64_t pauseMs)
        : m_mesh(mesh), m_method(std::move(method)), m_prefix(std::move(prefix))
    {
        for (std::size_t i = 0; i < mesh.size(); ++i) {
            m_threads.emplace_back([this, i, pauseMs] {
                for (int number = 0; !m_isOver; ++number) {
                    const std::string name = std::to_string(i) + "-" + std::to_string(number);
                    callAsClient(m_mesh, m_mesh.machine(i).outbound, m_method, m_prefix + name,
                                 "other-" + name, 1500, 1500);
                    sleepMs(pauseMs);
                }
            });
        }
    }
    ~Clients()
    {
        m_isOver = true;
        for (std::thread &thread : m_threads)
            thread.join();
    }
    Clients(const Clients &) = delete;
    Clients &operator=(const Clients &) = delete;

private:
    Mesh &m_mesh;
    const std::string m_method;
    const std::string m_prefix;
    std::atomic<bool> m_isOver { false };
    std::vector<std::thread> m_threads;
};

std::int64_t numberFrom(const char *variable, std::int64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtol(text, nullptr, 10);
}

} // namespace

namespace {

// A request that crashes each upstream that begins to run it comes again and again.
struct CrashPlan
{
    std::int64_t leavesUntilMs = 0; // the caller leaves before the upstream ends, up to this time
    std::int64_t pauseMs = 2000; // between two sendings
    std::vector<std::int64_t> killsMs {}; // of all sidecars at once, from the first sending on
};

Verdict playCrashes(const CaseOptions &options, const CrashPlan &plan)
{
    const std::string path = "/stock/crash";
    constexpr std::int64_t deadlineMs = 1500;
    constexpr std::int64_t leaveAfterMs = 200; // half of the objective
    constexpr std::int64_t crashAfterMs = 300; // of the start of its work
    constexpr std::int64_t downMs = 2000;
    constexpr std::int64_t playMs = 50'000;
    constexpr int allowed = 3;
    const std::int64_t start = nowMs();
    MeshOptions mesh {
        options.self, options.sidecar, options.folder, std::vector<std::string>(9, "orders"), {}, {}
    };
    mesh.upstream.crashPath = path;
    mesh.upstream.crashAfterMs = crashAfterMs;
    mesh.upstream.workMs = 120;
    Mesh world(mesh);
    world.store().put("config", "main", configuration(3));
    if (!world.startAll(readyWithinMs))
        return Verdict::NotRun;
    world.keepUpstreams(downMs);
    const std::int64_t begin = nowMs();
    std::size_t kills = 0;
    int sent = 0;
    {
        const Clients clients(world, "POST", "/bags/", 20);
        const std::int64_t end = begin + playMs;
        for (std::size_t round = 0; nowMs() < end; ++round) {
            const Address &outbound = world.machine(round % world.size()).outbound;
            const bool isLeaving = nowMs() - begin < plan.leavesUntilMs;
            const std::int64_t staysMs = isLeaving ? leaveAfterMs : deadlineMs;
            callAsClient(world, outbound, "GET", path, "crash-" + std::to_string(round), deadlineMs,
                         staysMs);
            ++sent;
            if (kills < plan.killsMs.size() && nowMs() - begin >= plan.killsMs[kills]) {
                ++kills;
                world.restartSidecars();
                sleepMs(stableWindowMs + 1000); // all machines are in touch again
            }
            sleepMs(plan.pauseMs);
        }
    }
    world.stopAll();
    const std::vector<Event> events = readEvents(world.eventsFile());
    std::vector<std::int64_t> crashes;
    for (const Event &event : events)
        if (event.is("crash"))
            crashes.push_back(event.at);
    int late = 0;
    int runs = 0;
    int ordersLost = 0;
    for (const Event &event : events) {
        ordersLost += event.is("answered") && event.text.find(" id=other-") != std::string::npos
                && !event.names("status=200")
            ? 1
            : 0;
        if (!event.is("run") || !event.names("request=GET:" + path))
            continue;
        ++runs;
        late += crashes.size() >= 3 && event.at > crashes[2] + stableWindowMs ? 1 : 0;
    }
    std::ostringstream summary;
    summary << "sent=" << sent << " arrivals=" << runs << " crashes=" << crashes.size()
            << " arrivals later than stable_window_ms after the third crash=" << late
            << " allowed=" << allowed << " orders of other clients not served=" << ordersLost;
    writeRecord(options, events, start, summary.str());
    std::cout << summary.str() << "\n";
    if (crashes.size() < 3)
        return Verdict::NotRun;
    return late > allowed ? Verdict::Broken : Verdict::Held;
}

} // namespace

Verdict playCrashingRequest(const CaseOptions &options)
{
    CrashPlan plan;
    plan.pauseMs = 200;
    plan.leavesUntilMs = options.hasTrouble ? 5000 : 0;
    return playCrashes(options, plan);
}

Verdict playCrashesAroundKills(const CaseOptions &options)
{
    CrashPlan plan;
    if (options.hasTrouble)
        plan.killsMs = { 12'000, 27'000 };
    return playCrashes(options, plan);
}

namespace {

// A server leaves, and a heartbeat that it sent before arrives late.
struct LeavePlan
{
    StoreOptions store {};
    bool isKilled = false; // the sidecar, and started again
    std::int64_t beatLateMs = 0;
    std::int64_t storeSilentMs = 0; // from just before the restart
};

Verdict playLeave(const CaseOptions &options, const LeavePlan &plan)
{
    constexpr std::int64_t drainMs = 2000;
    constexpr std::int64_t killAfterMs = 500;
    constexpr std::int64_t restartAfterMs = 500;
    constexpr std::int64_t servesMs = 9000; // after the acknowledgement
    constexpr std::size_t leaving = 0;
    const std::int64_t start = nowMs();
    MeshOptions mesh { options.self,   options.sidecar,
                       options.folder, std::vector<std::string>(9, "orders"),
                       plan.store,     {} };
    Mesh world(mesh);
    world.store().put("config", "main", configuration(3));
    world.sendBeatsOf(leaving);
    if (!world.startAll(readyWithinMs))
        return Verdict::NotRun;
    std::int64_t acknowledgedAt = 0;
    std::int64_t inTouchFrom = 0;
    std::int64_t endedAt = 0;
    bool isAcknowledged = false;
    bool isLateBeatTaken = false;
    std::thread storeBack;
    {
        const Clients clients(world, "GET", "/stock/", 30);
        sleepMs(3000);
        // Sent before the server leaves, and held up on its way.
        const std::string lateBeat = world.takeBeatOf(leaving);
        const std::int64_t lateBeatAt = nowMs() + plan.beatLateMs;
        isAcknowledged = world.leave(leaving);
        acknowledgedAt = nowMs();
        inTouchFrom = acknowledgedAt;
        sleepMs(killAfterMs);
        if (plan.isKilled) {
            world.machine(leaving).sidecar.kill();
            appendEvent(world.eventsFile(), "killed " + world.machine(leaving).name);
        }
        sleepMs(restartAfterMs);
        if (plan.storeSilentMs > 0) {
            world.store().setSilent(true);
            appendEvent(world.eventsFile(), "store silent");
            storeBack = std::thread([&world, &plan] {
                sleepMs(plan.storeSilentMs);
                world.store().setSilent(false);
                appendEvent(world.eventsFile(), "store back");
            });
        }
        if (plan.isKilled) {
            world.startSidecar(leaving);
            appendEvent(world.eventsFile(), "started " + world.machine(leaving).name);
            inTouchFrom = nowMs() + stableWindowMs;
        }
        sleepMs(lateBeatAt - nowMs());
        isLateBeatTaken = world.sendToControl(leaving, lateBeat);
        sleepMs(acknowledgedAt + servesMs - nowMs());
        endedAt = nowMs();
        world.machine(leaving).upstream.kill();
        if (storeBack.joinable())
            storeBack.join();
    }
    const std::string id = world.upstreamOf(leaving).id;
    world.stopAll();
    const std::vector<Event> events = readEvents(world.eventsFile());
    int before = 0;
    int late = 0;
    for (const Event &event : events) {
        if (!event.is("run") || !event.names("at=" + id))
            continue;
        before += event.at < acknowledgedAt ? 1 : 0;
        late += event.at > acknowledgedAt + drainMs && event.at > inTouchFrom ? 1 : 0;
    }
    std::ostringstream summary;
    summary << "acknowledged at " << acknowledgedAt - start << " ms, in touch from "
            << inTouchFrom - start << " ms, ended at " << endedAt - start
            << " ms; run before the acknowledgement=" << before
            << " run later than drain_ms after it, by machines in touch=" << late;
    writeRecord(options, events, start, summary.str());
    std::cout << summary.str() << "\n";
    if (!isAcknowledged || !isLateBeatTaken || before == 0)
        return Verdict::NotRun;
    return late > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

Verdict playLeavingServer(const CaseOptions &options)
{
    LeavePlan plan;
    plan.store.sendsObjectAfterPost = numberFrom("OBJECT_AFTER_POST", 0) != 0;
    plan.isKilled = options.hasTrouble;
    plan.beatLateMs = 1800;
    return playLeave(options, plan);
}

Verdict playSilentStoreAtRestart(const CaseOptions &options)
{
    LeavePlan plan;
    plan.isKilled = options.hasTrouble;
    plan.beatLateMs = 3500;
    plan.storeSilentMs = options.hasTrouble ? numberFrom("STORE_SILENT_MS", 4500) : 0;
    return playLeave(options, plan);
}

Verdict playHiddenRequest(const CaseOptions &options)
{
    constexpr int attempts = 20;
    constexpr std::int64_t answerMs = 2000;
    const std::int64_t start = nowMs();
    Mesh world({ options.self,
                 options.sidecar,
                 options.folder,
                 std::vector<std::string>(3, "orders"),
                 {},
                 {} });
    world.store().put("config", "main", configuration(3));
    if (!world.startAll(readyWithinMs))
        return Verdict::NotRun;
    const auto note = [&](const std::string &text) { appendEvent(world.eventsFile(), text); };
    for (int number = 0; number < attempts; ++number) {
        const std::string id = std::to_string(number);
        const std::string body = requestText("POST", "/bags/hidden-" + id,
                                             { { "Host", "ice.example" },
                                               { "X-Camphorreach-Attempt-Id", "hidden-" + id },
                                               { "X-Camphorreach-Deadline-Ms", "2000" } },
                                             "");
        std::string request = "POST /bags/" + id + " HTTP/1.1\r\nHost: ice.example\r\n"
            + "X-Camphorreach-Attempt-Id: order-" + id + "\r\nX-Camphorreach-Deadline-Ms: 2000\r\n";
        request += options.hasTrouble ? std::string("Transfer-Encoding: gzip\r\n")
                                      : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        note("sent id=order-" + id + " request=POST:/bags/" + id
             + (options.hasTrouble ? " coding=gzip" : " coding=none"));
        Connection connection = Connection::open(
            world.machine(static_cast<std::size_t>(number) % world.size()).outbound, answerMs);
        if (!connection.write(request + "\r\n" + body))
            return Verdict::NotRun;
        const auto answer = connection.read(answerMs);
        note("answered id=order-" + id
             + " status=" + std::to_string(answer ? answer->status() : 0));
        const auto second = connection.read(300);
        if (second)
            note("answered a second time status=" + std::to_string(second->status())
                 + " id=" + second->field("x-camphorreach-attempt-id"));
    }
    world.stopAll();
    const std::vector<Event> events = readEvents(world.eventsFile());
    int orders = 0;
    int hidden = 0;
    for (const Event &event : events) {
        orders += event.is("run") && event.text.find(" id=order-") != std::string::npos ? 1 : 0;
        hidden += event.is("run") && event.text.find(" id=hidden-") != std::string::npos ? 1 : 0;
    }
    std::ostringstream summary;
    summary << "sent=" << attempts << " run=" << orders
            << " requests run that stood in a body=" << hidden << " allowed=0";
    writeRecord(options, events, start, summary.str());
    std::cout << summary.str() << "\n";
    if (!options.hasTrouble && orders < attempts)
        return Verdict::NotRun;
    return hidden > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace review
