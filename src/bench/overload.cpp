// Benchmark "overload": goodput below and above the capacity of the servers, and recovery.
#include "baselinerouter.h"
#include "benchcommands.h"
#include "meshmodel.h"

#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <cxxopts.hpp>
#include <iostream>

namespace camphorreach::bench {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t routers = 4;
constexpr std::size_t servers = 10;
constexpr std::uint32_t slots = 6;
constexpr std::size_t maxInFlight = 4096;
constexpr Duration meanServiceTime = milliseconds(20);
constexpr double capacity = servers * slots / 0.020; // requests per second
constexpr Duration deadline = milliseconds(400);
constexpr double orderFraction = 0.3;
constexpr Duration phaseTime = seconds(10);
constexpr std::array loads { 0.8, 1.0, 2.0, 4.0, 0.8 }; // relative to the capacity
constexpr Duration recoveryWindow = milliseconds(100);
constexpr double recoveredFraction = 0.99;

struct Phase
{
    std::uint64_t sent = 0;
    std::uint64_t good = 0;
    std::uint64_t orders = 0;
    std::uint64_t goodOrders = 0;
    std::uint64_t runs = 0; // calls started by servers
};

struct Results
{
    std::array<Phase, loads.size()> phases;
    double recoveryMs = 0.0; // negative if the last phase does not recover
};

Snapshot makeSnapshot()
{
    Snapshot snapshot;
    snapshot.version = ConfigVersion(1);
    ServicePolicy policy;
    policy.name = ServiceName("orders");
    policy.weights[BackendVersion("v1")] = Share::all();
    policy.routes = {
        RoutePolicy { RouteName("bags"), "/bags", KindName("order"), 5, false, deadline, 3 },
        RoutePolicy { RouteName("stock"), "/stock", KindName("lookup"), 1, true, deadline, 3 },
    };
    snapshot.services.emplace(policy.name, std::move(policy));
    return snapshot;
}

template <Filter R>
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : m_random(seed), m_model(m_loop, seed,
                                  [this](std::size_t, const BackendCall &call,
                                         typename MeshModel<R>::ResultCallback done) {
                                      ++m_results.phases[m_phase].runs;
                                      m_loop.after(serviceTime(), [done, id = call.id] {
                                          done({ id, Answered {} });
                                      });
                                  })
    {
        for (std::size_t i = 0; i < routers; ++i)
            m_model.addRouter(FailureDomain("arima"), maxInFlight);
        for (std::size_t i = 0; i < servers; ++i)
            m_model.addServer(ServiceName("orders"), BackendVersion("v1"), FailureDomain("arima"),
                              slots);
        m_model.publish(makeSnapshot());
    }

    Results run()
    {
        for (m_phase = 0; m_phase < loads.size(); ++m_phase) {
            m_phaseStart = m_loop.now();
            m_windows.clear();
            generateRequest();
            m_loop.runUntil(m_phaseStart + phaseTime);
        }
        m_phase = loads.size() - 1;
        m_isFinished = true;
        m_loop.runUntil(m_loop.now() + deadline + deadline);
        m_results.recoveryMs = recoveryMs();
        return m_results;
    }

private:
    struct Window
    {
        std::uint64_t sent = 0;
        std::uint64_t good = 0;
    };

    // Exponentially distributed, since real service times vary widely.
    Duration serviceTime()
    {
        const double factor = -std::log(1.0 - uniformFraction(m_random));
        return Duration(std::llround(factor * static_cast<double>(meanServiceTime.count())));
    }

    // Sends one request and schedules the next one (Poisson arrivals).
    void generateRequest()
    {
        if (m_isFinished)
            return;
        const std::size_t phase = m_phase;
        const double rate = loads[phase] * capacity;
        const bool isOrder = uniformFraction(m_random) < orderFraction;
        ClientRequest request;
        request.service = ServiceName("orders");
        request.content.target = isOrder ? "/bags" : "/stock";
        const TimePoint start = m_loop.now();
        const auto window = static_cast<std::size_t>((start - m_phaseStart) / recoveryWindow);
        m_windows.resize(std::max(m_windows.size(), window + 1));
        ++m_windows[window].sent;
        ++m_results.phases[phase].sent;
        m_results.phases[phase].orders += isOrder ? 1 : 0;
        m_model.sendRequest(uniformBelow(m_random, routers), std::move(request),
                            [this, phase, window, isOrder, start](Outcome &&outcome) {
                                const bool isGood = std::holds_alternative<Answered>(outcome)
                                    && m_loop.now() - start <= deadline;
                                if (!isGood)
                                    return;
                                ++m_results.phases[phase].good;
                                m_results.phases[phase].goodOrders += isOrder ? 1 : 0;
                                if (phase == m_phase && window < m_windows.size())
                                    ++m_windows[window].good;
                            });
        const double interarrivalTime = -std::log(1.0 - uniformFraction(m_random)) / rate;
        m_loop.after(Duration(std::llround(interarrivalTime * 1e6)), [this, phase] {
            if (phase == m_phase)
                generateRequest();
        });
    }

    // Milliseconds from the start of the last phase to the first second (ten windows) in which at
    // least recoveredFraction of the requests succeed; negative if there is none.
    [[nodiscard]] double recoveryMs() const
    {
        constexpr std::size_t confirmingWindows = 10;
        for (std::size_t start = 0; start + confirmingWindows <= m_windows.size(); ++start) {
            Window sum;
            for (std::size_t i = start; i < start + confirmingWindows; ++i) {
                sum.sent += m_windows[i].sent;
                sum.good += m_windows[i].good;
            }
            if (static_cast<double>(sum.good) >= recoveredFraction * static_cast<double>(sum.sent))
                return static_cast<double>(start) * recoveryWindow.count() / 1000.0;
        }
        return -1.0;
    }

    EventLoop m_loop;
    RandomSource m_random;
    Results m_results;
    std::size_t m_phase = 0;
    bool m_isFinished = false;
    TimePoint m_phaseStart {};
    std::vector<Window> m_windows; // of the current phase
    MeshModel<R> m_model;
};

json::object toJson(const Results &results)
{
    json::array phases;
    const double phaseSeconds = std::chrono::duration<double>(phaseTime).count();
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const Phase &phase = results.phases[i];
        const auto ratio = [](std::uint64_t a, std::uint64_t b) {
            return b == 0 ? 0.0 : static_cast<double>(a) / static_cast<double>(b);
        };
        phases.push_back(
            json::object { { "load", loads[i] },
                           { "goodput", static_cast<double>(phase.good) / phaseSeconds / capacity },
                           { "good_part", ratio(phase.good, phase.sent) },
                           { "good_part_of_orders", ratio(phase.goodOrders, phase.orders) },
                           { "runs", static_cast<double>(phase.runs) / phaseSeconds / capacity } });
    }
    return { { "phases", phases }, { "recovery_ms", results.recoveryMs } };
}

} // namespace

int runOverload(int argc, char **argv)
{
    cxxopts::Options options("camphorreach-bench overload",
                             "Measures goodput above the capacity of the servers.");
    options.add_options()("seed", "random seed",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "print JSON")("h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const auto seed = arguments["seed"].as<std::uint64_t>();
    const json::object result { { "seed", seed },
                                { "capacity_per_s", capacity },
                                { "router", toJson(Simulation<Router>(seed).run()) },
                                { "baseline", toJson(Simulation<BaselineRouter>(seed).run()) } };
    if (arguments.count("json") > 0) {
        std::cout << json::serialize(result) << "\n";
        return 0;
    }
    for (const char *name : { "router", "baseline" }) {
        const json::object &results = result.at(name).as_object();
        for (const json::value &phase : results.at("phases").as_array()) {
            std::cout << name;
            for (const auto &[key, value] : phase.as_object())
                std::cout << "  " << key << " " << value;
            std::cout << "\n";
        }
        std::cout << name << "  recovery_ms " << results.at("recovery_ms") << "\n";
    }
    return 0;
}

} // namespace camphorreach::bench
