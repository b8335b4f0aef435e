// Schedules and checks of the cases.
#include "cases.h"

#include "upstream.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

namespace review {
namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;
constexpr const char *host = "a.example";

std::vector<Route> firstRoutes()
{
    return { { "r-read", host, "/stock/", "idempotent", 1500, "orders" },
             { "r-order", host, "/bags/", "non_idempotent", 2000, "orders" },
             { "r-truck", host, "/trucks/", "idempotent", 1000, "trucks" } };
}

void pause(int ms)
{
    std::this_thread::sleep_for(Millis(ms));
}

bool isWhole(const Answer &answer, const std::string &id)
{
    return answer.status == 200 && answer.body == bodyOf(id) && answer.seal == "seal." + id;
}

} // namespace

int runHead(Mesh &mesh, bool hasTrouble)
{
    constexpr int applyMs = 3000; // config_apply_ms is 2000
    constexpr int rounds = 3;
    std::vector<Route> routes = firstRoutes();
    routes.push_back({ "r-trip", host, "/trips/", "idempotent", 1000, "trucks" });
    std::vector<Route> without = routes;
    std::erase_if(without, [](const Route &route) { return route.name == "r-truck"; });
    mesh.addMachine("m1", "arima", "orders", 6);
    mesh.addMachine("m2", "arima", "orders", 6);
    mesh.addMachine("m3", "arima", "trucks", 6);
    if (!mesh.start(routes))
        return couldNotRun;
    bool isBroken = false;
    int served = 0;
    for (int round = 0; round < rounds; ++round) {
        if (hasTrouble) {
            mesh.note("the configuration removes /trucks/");
            mesh.configure(without);
        }
        pause(applyMs);
        auto connection = Connection::open(mesh.machine(0).outbound);
        if (!connection)
            return couldNotRun;
        const std::string head = "head-" + std::to_string(round);
        const std::string order = "order-" + std::to_string(round);
        mesh.note("sent " + head + " HEAD /trucks/1");
        (void)connection->send(request("HEAD", "/trucks/1", clientHeaders(host, head, 1000), ""));
        const ReadResult first = connection->read(Millis(2000), true);
        mesh.note("answered " + head + " status=" + std::to_string(first.message.status()));
        mesh.note("sent " + order + " POST /bags/1 on the same connection");
        (void)connection->send(
            request("POST", "/bags/1", clientHeaders(host, order, 2000), "one bag"));
        const ReadResult second = connection->read(Millis(3000));
        const bool isAnswer = second.end == ReadEnd::Complete
            && second.message.header("X-Camphorreach-Attempt-Id") == order;
        mesh.note("answered " + order + " end=" + std::to_string(static_cast<int>(second.end))
                  + " first line: " + second.message.firstLine);
        served += first.end == ReadEnd::Complete && isAnswer ? 1 : 0;
        isBroken = isBroken || (first.end == ReadEnd::Complete && second.end == ReadEnd::NoMessage);
        if (hasTrouble)
            mesh.configure(routes);
        pause(applyMs);
    }
    mesh.note("served on the same connection after HEAD: " + std::to_string(served) + " of "
              + std::to_string(rounds));
    return isBroken ? broken : held;
}

int runCaller(Mesh &mesh, bool hasTrouble)
{
    constexpr int reuseMs = 2500; // addr_reuse_s is 2
    constexpr int lateMs = 3000;
    constexpr int noticeMs = 1500;
    mesh.addMachine("m1", "arima", "orders", 6);
    mesh.addMachine("m2", "arima", "orders", 6);
    mesh.addMachine("m3", "arima", "trucks", 6);
    if (!mesh.start(firstRoutes()))
        return couldNotRun;
    Machine &machine = mesh.machine(0);
    int wrong = 0;
    int number = 0;
    for (int round = 0; round < 4; ++round) {
        const std::string old = machine.service;
        mesh.note("kill the upstream of " + old + " on m1");
        mesh.signal(machine.upstream, SIGKILL);
        pause(reuseMs);
        machine.service = old == "orders" ? "trucks" : "orders";
        mesh.writeSettings(machine);
        mesh.signal(machine.sidecar, SIGHUP);
        mesh.startUpstream(machine, hasTrouble ? lateMs : 0);
        pause(noticeMs);
        int served = 0;
        int wrongNow = 0;
        for (int i = 0; i < 40; ++i) {
            const std::string id = "q-" + std::to_string(number++);
            const Answer answer
                = mesh.call(machine, "GET", host, i % 2 == 0 ? "/stock/1" : "/trucks/1", id, 1000);
            served += isWhole(answer, id) ? 1 : 0;
            wrongNow += mesh.callerOf(id) == old ? 1 : 0;
            pause(20);
        }
        mesh.note("m1 runs " + machine.service + "; served " + std::to_string(served)
                  + " of 40; run with the caller " + old + ": " + std::to_string(wrongNow));
        wrong += wrongNow;
        pause(lateMs);
    }
    return wrong > 0 ? broken : held;
}

int runDrain(Mesh &mesh, bool hasTrouble)
{
    constexpr int drainMs = 2000;
    constexpr int touchMs = 3000;
    constexpr int servesMs = 6000; // after the departure is acknowledged
    constexpr Millis heartbeatInterval { 1500 };
    mesh.setHeartbeat(heartbeatInterval);
    mesh.addMachine("m1", "arima", "orders", 6);
    mesh.addMachine("m2", "arima", "orders", 6);
    mesh.addMachine("m3", "arima", "trucks", 6);
    if (!mesh.start(firstRoutes()))
        return couldNotRun;
    Machine &machine = mesh.machine(0);
    const auto since = [](Clock::time_point time) { return Clock::now() - time; };
    mesh.signal(machine.upstream, SIGUSR1); // sends no more heartbeats
    pause(1000);
    const std::string born = R"({"born":)" + std::to_string(machine.born) + "}";
    if (mesh.control(machine,
                     request("DELETE", "/camphorreach/instances/" + machine.upstreamId,
                             { { "Host", "node" } }, born))
        != 200)
        return couldNotRun;
    const Clock::time_point acknowledged = Clock::now();
    Clock::time_point started {};
    if (hasTrouble) {
        pause(300);
        mesh.note("kill sidecar m1");
        mesh.signal(machine.sidecar, SIGKILL);
        pause(1000);
        mesh.startSidecar(machine);
        started = Clock::now();
        while (mesh.control(machine,
                            heartbeat(machine.app, machine.service, machine.zone,
                                      machine.upstreamId, machine.slots, machine.born, 9))
               == 0)
            pause(5);
    }
    std::vector<std::string> late;
    std::vector<std::string> lost;
    constexpr int clientCount = 4;
    std::vector<std::thread> clients;
    clients.reserve(clientCount);
    std::mutex mutex;
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back([&, client] {
            for (int i = 0; since(acknowledged) < Millis(servesMs + 1500); ++i) {
                const std::string id = "d" + std::to_string(client) + "-" + std::to_string(i);
                const bool isLate = since(acknowledged) > Millis(drainMs)
                    && (!hasTrouble || since(started) > Millis(touchMs));
                const Answer answer
                    = mesh.call(mesh.machine(1 + static_cast<std::size_t>(client) % 2), "POST",
                                host, "/bags/w200", id, 2000);
                const std::lock_guard lock(mutex);
                if (isLate)
                    late.push_back(id);
                if (answer.status != 200)
                    lost.push_back(id);
            }
        });
    }
    while (since(acknowledged) < Millis(servesMs))
        pause(10);
    mesh.note("upstream m1-s1 ends");
    mesh.signal(machine.upstream, SIGKILL);
    for (std::thread &client : clients)
        client.join();
    int reached = 0;
    for (const std::string &id : late)
        reached += mesh.serverOf(id) == "m1-s1" ? 1 : 0;
    int lostRuns = 0;
    for (const std::string &id : lost)
        lostRuns += mesh.serverOf(id) == "m1-s1" ? 1 : 0;
    mesh.note("requests that reached the departed upstream late: " + std::to_string(reached)
              + " of " + std::to_string(late.size())
              + "; orders that ran there and got no answer of it: " + std::to_string(lostRuns));
    return reached > 0 ? broken : held;
}

// Poison is sent once a second, each time at another machine that is in touch.
// The third crash is that of the third run; the rule counts requests that are
// sent later than 3 s after it and reach an upstream.
int runPoison(Mesh &mesh, bool hasTrouble)
{
    constexpr std::size_t machines = 5;
    constexpr int crashesBefore = 3;
    constexpr Millis touch { 3000 };
    constexpr std::size_t allowed = 3;
    for (std::size_t i = 0; i < machines; ++i)
        mesh.addMachine("m" + std::to_string(i + 1), "arima", "orders", 6);
    if (!mesh.start(firstRoutes()))
        return couldNotRun;
    std::atomic<bool> isOver { false };
    std::mutex mutex; // guards calm
    std::vector<Clock::time_point> calm(machines,
                                        Clock::now()); // when its sidecar has last started
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < machines; ++i) {
        threads.emplace_back([&, i] {
            for (int number = 0; !isOver; ++number) {
                const std::string id = "c" + std::to_string(i) + "-" + std::to_string(number);
                (void)mesh.call(mesh.machine(i), "GET", host,
                                "/stock/w120/" + std::to_string(number), id, 1500);
                pause(30);
            }
        });
        threads.emplace_back([&, i] { // the upstream is back after some seconds
            while (!isOver) {
                pause(50);
                if (!mesh.hasEnded(mesh.machine(i).upstream))
                    continue;
                pause(3000);
                mesh.startUpstream(mesh.machine(i));
            }
        });
    }
    threads.emplace_back([&] {
        pause(15'000);
        for (int round = 0; hasTrouble && round < 2; ++round) {
            for (std::size_t i = 0; i < machines && !isOver; ++i) {
                Machine &machine = mesh.machine(i);
                {
                    const std::lock_guard lock(mutex);
                    calm[i] = Clock::time_point::max();
                }
                mesh.note("SIGTERM to sidecar " + machine.name);
                mesh.signal(machine.sidecar, SIGTERM);
                while (!mesh.hasEnded(machine.sidecar))
                    pause(20);
                mesh.startSidecar(machine);
                {
                    const std::lock_guard lock(mutex);
                    calm[i] = Clock::now();
                }
                pause(2000);
            }
        }
        while (!isOver) // processes end with the thread that has started them
            pause(50);
    });
    int crashes = 0;
    std::size_t late = 0;
    Clock::time_point third = Clock::time_point::max();
    std::size_t next = 0;
    for (int attempt = 0; attempt < 85; ++attempt) {
        pause(1000);
        const Clock::time_point now = Clock::now();
        std::size_t tried = 0;
        for (; tried < machines; ++tried) {
            next = (next + 1) % machines;
            const std::lock_guard lock(mutex);
            if (calm[next] < now - touch)
                break;
        }
        if (tried == machines)
            continue; // none is in touch
        const std::string id = "p-" + std::to_string(attempt);
        (void)mesh.call(mesh.machine(next), "GET", host, "/stock/poison", id, 1500);
        const int runs = mesh.runsOf(id);
        late += third < now - touch && runs > 0 ? 1 : 0;
        if (crashes < crashesBefore && crashes + runs >= crashesBefore)
            third = Clock::now();
        crashes += runs;
    }
    isOver = true;
    for (std::thread &thread : threads)
        thread.join();
    mesh.note("poison crashed upstreams " + std::to_string(crashes) + " times; requests that "
              + "reached one later than 3 s after the third crash: " + std::to_string(late));
    if (crashes < crashesBefore)
        return couldNotRun;
    return late > allowed ? broken : held;
}

namespace {

// Machines are added two at a time, each with an upstream. When the next two have come, their
// upstreams deregister, serve on for over drain_ms and end; then the sidecars get SIGTERM.
bool replaceMachines(Mesh &mesh, int firstName, int endName)
{
    constexpr int atATime = 2;
    constexpr int gapMs = 800;
    constexpr int servingSteps = 3; // 2.4 s; drain_ms is 2000
    std::vector<std::vector<Machine>> groups;
    const auto leave = [&](std::vector<Machine> &group) {
        for (Machine &machine : group) {
            mesh.signal(machine.upstream, SIGUSR1); // sends no more heartbeats
            const std::string born = R"({"born":)" + std::to_string(machine.born) + "}";
            (void)mesh.control(machine,
                               request("DELETE", "/camphorreach/instances/" + machine.upstreamId,
                                       { { "Host", "node" } }, born));
        }
    };
    const auto remove = [&](std::vector<Machine> &group) {
        for (Machine &machine : group) {
            mesh.signal(machine.upstream, SIGKILL);
            mesh.signal(machine.sidecar, SIGTERM);
        }
    };
    const int steps = (endName - firstName) / atATime;
    for (int step = 0; step < steps + servingSteps + 1; ++step) {
        if (step < steps) {
            std::vector<Machine> &added = groups.emplace_back();
            for (int i = 0; i < atATime; ++i) {
                const int name = firstName + step * atATime + i;
                added.push_back(mesh.makeMachine("sidecar-arima-" + std::to_string(name), "arima",
                                                 "service" + std::to_string(i + 1), 6));
                mesh.startSidecar(added.back());
                mesh.startUpstream(added.back());
            }
        }
        pause(gapMs);
        if (step < steps && !std::ranges::all_of(groups.back(), [&](const Machine &machine) {
                return mesh.isReady(machine);
            }))
            return false;
        if (step >= 1 && step <= steps)
            leave(groups[static_cast<std::size_t>(step) - 1]);
        if (step >= servingSteps + 1)
            remove(groups[static_cast<std::size_t>(step) - servingSteps - 1]);
    }
    std::size_t removed = 0;
    for (const std::vector<Machine> &group : groups) {
        for (const Machine &machine : group) {
            while (!mesh.hasEnded(machine.sidecar))
                pause(20);
            ++removed;
        }
    }
    mesh.note("removed machines: " + std::to_string(removed));
    return true;
}

} // namespace

// Every machine's clients call all services alike. Machines have been replaced,
// with names that count upwards; the deployment is what is left.
int runRecover(Mesh &mesh, bool hasTrouble, bool isReplaced)
{
    constexpr std::size_t services = 6;
    constexpr int firstReplaced = 14;
    constexpr int firstLeft = 80;
    constexpr double quarter = 0.25;
    std::vector<Route> routes;
    for (std::size_t i = 0; i < services; ++i) {
        const std::string number = std::to_string(i + 1);
        mesh.addMachine("sidecar-arima-" + std::to_string(firstLeft + static_cast<int>(i)), "arima",
                        "service" + number, 6);
        routes.push_back(
            { "r-" + number, host, "/s" + number + "/", "idempotent", 1500, "service" + number });
    }
    if (!mesh.start(routes))
        return couldNotRun;
    if (isReplaced && !replaceMachines(mesh, firstReplaced, firstLeft))
        return couldNotRun;
    pause(2000);
    const auto servedShare = [&](const std::string &phase, int rounds) {
        int served = 0;
        int sent = 0;
        for (int round = 0; round < rounds; ++round) {
            for (std::size_t at = 0; at < services; ++at) {
                for (std::size_t to = 0; to < services; ++to) {
                    const std::string id = phase + "-" + std::to_string(sent++);
                    const Answer answer
                        = mesh.call(mesh.machine(at), "GET", host,
                                    "/s" + std::to_string(to + 1) + "/w5", id, 1500);
                    served += isWhole(answer, id) ? 1 : 0;
                }
            }
            pause(500);
        }
        mesh.note(phase + ": served " + std::to_string(served) + " of " + std::to_string(sent));
        return static_cast<double>(served) / sent;
    };
    if (servedShare("before", 6) < quarter)
        return couldNotRun;
    if (hasTrouble) {
        for (std::size_t i = 0; i < services; ++i) {
            mesh.note("kill sidecar " + mesh.machine(i).name);
            mesh.signal(mesh.machine(i).sidecar, SIGKILL);
        }
        pause(1000);
        for (std::size_t i = 0; i < services; ++i)
            mesh.startSidecar(mesh.machine(i));
        constexpr int recoveryMs = 15'000;
        pause(recoveryMs + 1000);
    }
    return servedShare("after", 16) < quarter ? broken : held;
}

} // namespace review
