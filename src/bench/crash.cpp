// Benchmark "crash": effect of requests that crash backend servers, with and without containment.
//
// The real gates run under a virtual clock, each in front of a simulated backend server. Clients
// send normal requests continuously, and resend every crash-causing request after each failure.
#include "benchcommands.h"

#include <camphorreach/gate.h>
#include <camphorreach/result.h>

#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>

namespace camphorreach::bench {
namespace {

namespace json = boost::json;

constexpr Duration messageDelay = std::chrono::microseconds(500);
constexpr Duration serviceTime = std::chrono::milliseconds(20);
constexpr Duration crashDelay = std::chrono::milliseconds(5); // after the start of the call
constexpr Duration restartTime = std::chrono::seconds(2);
constexpr Duration resendDelay = std::chrono::milliseconds(300);
constexpr Duration budget = std::chrono::seconds(1);
constexpr int maxAttempts = 3; // of a normal request; retried only if it provably did not run

struct Scenario
{
    std::size_t gates = 12;
    std::size_t causes = 3;
    int resends = 30; ///< Per crash-causing request.
    double requestsPerSecond = 120; ///< Normal requests per gate.
    std::uint32_t slots = 20;
    Duration duration = std::chrono::seconds(60);
    std::uint64_t seed = 1;
    bool hasContainment = true;
};

struct Totals
{
    std::uint64_t crashes = 0;
    std::uint64_t normalRequests = 0;
    std::uint64_t normalLost = 0; ///< The outcome is unknown.
    std::uint64_t normalRefused = 0; ///< Not run after all attempts.
    std::uint64_t normalQuarantined = 0;
    std::uint64_t isolatedRuns = 0;
};

class Simulation
{
public:
    explicit Simulation(const Scenario &scenario);
    Totals run();

private:
    struct Request
    {
        std::string body;
        bool causesCrash = false;
        int attempts = 0;
    };
    struct Node
    {
        std::unique_ptr<RandomSource> random;
        std::unique_ptr<Gate> gate;
        std::set<CallId> running; // at the backend server
        bool isUp = true;
    };

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }
    void send(Request request, std::size_t to);
    void sendNormalRequest(std::size_t to);
    void process(std::size_t index, Gate::Input input);
    void dispatch(std::size_t index, Outbox<Gate::Output> &outbox);
    void onCall(std::size_t index, const BackendCall &call);
    void crash(std::size_t index);
    void onReply(const ForwardReply &reply);
    void advanceGates();
    [[nodiscard]] std::optional<TimePoint> nextTimer() const;

    const Scenario m_scenario;
    RandomSource m_random;
    TimePoint m_now { std::chrono::seconds(1000) };
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Node> m_nodes;
    std::map<RequestId, Request> m_requests;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextNormalContent = 1;
    Totals m_totals;
};

Simulation::Simulation(const Scenario &scenario) : m_scenario(scenario), m_random(scenario.seed)
{
    auto table = std::make_shared<EndpointTable>();
    const auto addressOf = [](std::size_t index) {
        return NetAddress { "gate", static_cast<std::uint16_t>(index) };
    };
    for (std::size_t i = 0; i < scenario.gates; ++i) {
        Endpoint endpoint;
        endpoint.peer = addressOf(i);
        table->services[ServiceName("orders")].push_back(endpoint);
    }
    for (std::size_t i = 0; i < scenario.gates; ++i) {
        Gate::Limits limits;
        limits.slots = scenario.slots;
        limits.crashes.isEnabled = scenario.hasContainment;
        Node node;
        node.random = std::make_unique<RandomSource>(scenario.seed * 1000 + i);
        node.gate
            = std::make_unique<Gate>(limits, ServiceName("orders"), addressOf(i), *node.random);
        m_nodes.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < scenario.gates; ++i)
        process(i, EndpointsChanged { table });
}

Totals Simulation::run()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        sendNormalRequest(i);
    for (std::size_t cause = 0; cause < m_scenario.causes; ++cause) {
        at(m_now + std::chrono::seconds(1 + cause), [this, cause] {
            send({ "bad " + std::to_string(cause), true, 0 },
                 uniformBelow(m_random, m_nodes.size()));
        });
    }
    const TimePoint end = m_now + m_scenario.duration;
    while (true) {
        const std::optional<TimePoint> timer = nextTimer();
        const TimePoint next = m_events.empty() ? end : m_events.begin()->first;
        m_now = std::max(m_now, timer ? std::min(*timer, next) : next);
        if (m_now >= end)
            break;
        advanceGates();
        if (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
    }
    for (const Node &node : m_nodes)
        m_totals.isolatedRuns += node.gate->counts().isolatedRuns;
    return m_totals;
}

std::optional<TimePoint> Simulation::nextTimer() const
{
    std::optional<TimePoint> earliest;
    for (const Node &node : m_nodes) {
        const auto deadline = node.gate->nextDeadline();
        if (deadline && (!earliest || *deadline < *earliest))
            earliest = deadline;
    }
    return earliest;
}

void Simulation::advanceGates()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const auto deadline = m_nodes[i].gate->nextDeadline();
        if (!deadline || *deadline > m_now)
            continue;
        Outbox<Gate::Output> outbox;
        m_nodes[i].gate->advance(m_now, outbox);
        dispatch(i, outbox);
    }
}

// Poisson arrivals. A quarter of the requests repeat one of ten popular contents.
void Simulation::sendNormalRequest(std::size_t to)
{
    std::exponential_distribution<double> interarrivalTime(m_scenario.requestsPerSecond / 1e6);
    at(m_now + Duration(static_cast<Duration::rep>(interarrivalTime(m_random)) + 1), [this, to] {
        ++m_totals.normalRequests;
        const bool isPopular = uniformBelow(m_random, 4) == 0;
        const std::uint64_t content
            = isPopular ? uniformBelow(m_random, 10) : m_nextNormalContent++;
        send({ (isPopular ? "popular " : "good ") + std::to_string(content), false, 0 }, to);
        sendNormalRequest(to);
    });
}

void Simulation::send(Request request, std::size_t to)
{
    ++request.attempts;
    const RequestId id(m_nextRequest++);
    ForwardRequest forward;
    forward.id = id;
    forward.route = RouteName("bags");
    forward.isIdempotent = true;
    forward.budget = budget;
    forward.content = { "POST", "/bags", "", request.body };
    m_requests.emplace(id, std::move(request));
    at(m_now + messageDelay, [this, to, forward = std::move(forward)] {
        process(to, ForwardReceived { LinkId(1), forward });
    });
}

void Simulation::process(std::size_t index, Gate::Input input)
{
    Outbox<Gate::Output> outbox;
    m_nodes[index].gate->process(std::move(input), m_now, outbox);
    dispatch(index, outbox);
}

void Simulation::dispatch(std::size_t index, Outbox<Gate::Output> &outbox)
{
    for (Gate::Output &output : outbox.take()) {
        std::visit(Overloaded {
                       [&](ForwardReply &reply) {
                           at(m_now + messageDelay, [this, reply] { onReply(reply); });
                       },
                       [&](BackendCall &call) { onCall(index, call); },
                       [&](BackendCancel &) {},
                       [&](PeerSend &send) {
                           const auto message = std::get<QuarantineMessage>(send.message);
                           at(m_now + messageDelay, [this, to = send.to, message] {
                               process(to.port, PeerReceived<QuarantineMessage> { {}, message });
                           });
                       },
                       [&](GateDrained &) {},
                       [](GateDecision &) {},
                       [](HealthCall &) {},
                       [](BackendHealth &) {},
                   },
                   output);
    }
}

void Simulation::onCall(std::size_t index, const BackendCall &call)
{
    Node &node = m_nodes[index];
    const CallId id = call.id;
    if (!node.isUp) {
        at(m_now + messageDelay, [this, index, id] {
            process(index, BackendResult { id, BackendFailure::NotSent });
        });
        return;
    }
    node.running.insert(id);
    if (call.request.content.body.starts_with("bad")) {
        at(m_now + crashDelay, [this, index, id] {
            if (m_nodes[index].running.contains(id))
                crash(index);
        });
        return;
    }
    std::exponential_distribution<double> distribution(1.0
                                                       / static_cast<double>(serviceTime.count()));
    at(m_now + Duration(static_cast<Duration::rep>(distribution(m_random)) + 1), [this, index, id] {
        if (m_nodes[index].running.erase(id) > 0)
            process(index, BackendResult { id, Answered { 200, "", "" } });
    });
}

void Simulation::crash(std::size_t index)
{
    ++m_totals.crashes;
    Node &node = m_nodes[index];
    node.isUp = false;
    for (const CallId id : std::exchange(node.running, {}))
        process(index, BackendResult { id, BackendFailure::ConnectionLost });
    at(m_now + messageDelay, [this, index] { process(index, BackendReachable { false }); });
    at(m_now + restartTime, [this, index] {
        m_nodes[index].isUp = true;
        process(index, BackendReachable { true });
    });
}

void Simulation::onReply(const ForwardReply &reply)
{
    const auto found = m_requests.find(reply.answer.id);
    Request request = std::move(found->second);
    m_requests.erase(found);
    const Outcome &outcome = reply.answer.outcome;
    if (std::holds_alternative<Answered>(outcome))
        return;
    const auto *notRun = std::get_if<NotRun>(&outcome);
    const std::size_t other = uniformBelow(m_random, m_nodes.size());
    if (request.causesCrash) {
        if (request.attempts > m_scenario.resends)
            return;
        at(m_now + resendDelay, [this, request, other] { send(request, other); });
        return;
    }
    if (notRun == nullptr) {
        ++m_totals.normalLost;
    } else if (notRun->reason == NotRunReason::Quarantined) {
        ++m_totals.normalQuarantined;
    } else if (request.attempts < maxAttempts) {
        send(request, other);
    } else {
        ++m_totals.normalRefused;
    }
}

json::object toJson(const Scenario &scenario, const Totals &totals)
{
    const double causes = std::max<double>(1, static_cast<double>(scenario.causes));
    const std::uint64_t harmed
        = totals.normalLost + totals.normalRefused + totals.normalQuarantined;
    return { { "crashes", totals.crashes },
             { "crashes_per_cause", static_cast<double>(totals.crashes) / causes },
             { "innocent_requests", totals.normalRequests },
             { "innocent_harmed", harmed },
             { "innocent_lost", totals.normalLost },
             { "innocent_refused", totals.normalRefused },
             { "innocent_quarantined", totals.normalQuarantined },
             { "isolated_runs", totals.isolatedRuns } };
}

} // namespace

int runCrash(int argc, char **argv)
{
    cxxopts::Options options("camphorreach-bench crash",
                             "Counts crashes and harmed requests, with and without containment.");
    options.add_options()("gates", "number of gates",
                          cxxopts::value<std::size_t>()->default_value("12"))(
        "causes", "different crash-causing requests",
        cxxopts::value<std::size_t>()->default_value("3"))(
        "resends", "resends of each crash-causing request",
        cxxopts::value<int>()->default_value("30"))(
        "seeds", "number of runs; seeds start at 1",
        cxxopts::value<std::uint64_t>()->default_value("5"))("json", "print JSON")(
        "h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    json::array runs;
    for (std::uint64_t seed = 1; seed <= arguments["seeds"].as<std::uint64_t>(); ++seed) {
        Scenario scenario;
        scenario.gates = arguments["gates"].as<std::size_t>();
        scenario.causes = arguments["causes"].as<std::size_t>();
        scenario.resends = arguments["resends"].as<int>();
        scenario.seed = seed;
        for (const bool hasContainment : { false, true }) {
            scenario.hasContainment = hasContainment;
            json::object run = toJson(scenario, Simulation(scenario).run());
            run["seed"] = seed;
            run["containment"] = hasContainment;
            runs.push_back(std::move(run));
        }
    }
    if (arguments.count("json") > 0) {
        std::cout << json::serialize(runs) << "\n";
        return 0;
    }
    for (const json::value &run : runs) {
        for (const auto &[key, value] : run.as_object())
            std::cout << key << " " << value << "  ";
        std::cout << "\n";
    }
    return 0;
}

} // namespace camphorreach::bench
