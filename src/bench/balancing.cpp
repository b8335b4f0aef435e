// Benchmark "balancing": latency of load balancing policies, with equal servers or one outlier.
#include "benchcommands.h"
#include "meshmodel.h"

#include <camphorreach/metrics.h>

#include <boost/json.hpp>
#include <cmath>
#include <cxxopts.hpp>
#include <iostream>

namespace camphorreach::bench {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t servers = 10;
constexpr std::uint32_t slots = 6;
constexpr std::size_t maxInFlight = 4096;
constexpr Duration meanServiceTime = milliseconds(20);
constexpr Duration deadline = seconds(1);

constexpr Duration runTime = seconds(30);

Snapshot makeSnapshot()
{
    Snapshot snapshot;
    snapshot.version = ConfigVersion(1);
    ServicePolicy policy;
    policy.name = ServiceName("orders");
    policy.weights[BackendVersion("v1")] = Share::all();
    policy.routes
        = { RoutePolicy { RouteName("all"), "/", KindName("lookup"), 1, true, deadline, 3 } };
    snapshot.services.emplace(policy.name, std::move(policy));
    return snapshot;
}

struct Parameters
{
    double load = 0.5; // relative to the capacity with all servers at normal speed
    bool hasOutlier = false; // one server is slower or faster than the others
    std::size_t routers = 10;
    double factor = 3.0; // applied to the service time of the outlier
    std::uint64_t seed = 1;
};

template <BalancingPolicy Policy>
json::object measure(const char *name, const Parameters &parameters)
{
    EventLoop loop;
    RandomSource random(parameters.seed);
    const auto exponential
        = [&random](double mean) { return -std::log(1.0 - uniformFraction(random)) * mean; };
    MeshModel<BasicRouter<Policy>> model(
        loop, parameters.seed,
        [&](std::size_t index, const BackendCall &call,
            const std::function<void(BackendResult &&)> &done) {
            const double factor = parameters.hasOutlier && index == 0 ? parameters.factor : 1.0;
            const double time = exponential(factor * static_cast<double>(meanServiceTime.count()));
            loop.after(Duration(std::llround(time)), [done, id = call.id] {
                done({ id, Answered {} });
            });
        });
    for (std::size_t i = 0; i < parameters.routers; ++i)
        model.addRouter(FailureDomain("arima"), maxInFlight);
    for (std::size_t i = 0; i < servers; ++i)
        model.addServer(ServiceName("orders"), BackendVersion("v1"), FailureDomain("arima"), slots);
    model.publish(makeSnapshot());

    const double rate = parameters.load * servers * slots / 0.020;
    LatencyHistogram latency;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    const TimePoint end = loop.now() + runTime;
    std::function<void()> generateRequest = [&] {
        if (loop.now() >= end)
            return;
        ++sent;
        ClientRequest request;
        request.service = ServiceName("orders");
        request.content.target = "/";
        const TimePoint start = loop.now();
        model.sendRequest(uniformBelow(random, parameters.routers), std::move(request),
                          [&, start](Outcome &&outcome) {
                              if (!std::holds_alternative<Answered>(outcome))
                                  return;
                              ++answered;
                              latency.record(loop.now() - start);
                          });
        loop.after(Duration(std::llround(exponential(1e6 / rate))), generateRequest);
    };
    generateRequest();
    loop.runUntil(end + deadline);
    return { { "policy", name },
             { "load", parameters.load },
             { "factor_of_one_server", parameters.hasOutlier ? parameters.factor : 1.0 },
             { "answered", static_cast<double>(answered) / static_cast<double>(sent) },
             { "p50_us", latency.quantile(0.5).count() },
             { "p99_us", latency.quantile(0.99).count() },
             { "p999_us", latency.quantile(0.999).count() } };
}

} // namespace

int runBalancing(int argc, char **argv)
{
    cxxopts::Options options("camphorreach-bench balancing",
                             "Measures latency under several balancing policies.");
    options.add_options()("routers", "entry nodes that share the load",
                          cxxopts::value<std::size_t>()->default_value("10"))(
        "factor", "service time of one server, relative to the others",
        cxxopts::value<double>()->default_value("3"))(
        "seed", "random seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "print JSON")("h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const auto seed = arguments["seed"].as<std::uint64_t>();
    const auto routers = arguments["routers"].as<std::size_t>();
    const auto factor = arguments["factor"].as<double>();
    json::array cases;
    for (const bool hasOutlier : { false, true }) {
        for (const double load : { 0.5, 0.8 }) {
            const Parameters parameters { load, hasOutlier, routers, factor, seed };
            cases.push_back(measure<RandomChoice>("random", parameters));
            cases.push_back(measure<PowerOfTwoChoices>("power-of-two", parameters));
            cases.push_back(measure<LeastCost>("least-cost", parameters));
        }
    }
    if (arguments.count("json") > 0) {
        std::cout << json::serialize(
            json::object { { "seed", seed }, { "routers", routers }, { "cases", cases } })
                  << "\n";
        return 0;
    }
    for (const json::value &entry : cases) {
        for (const auto &[key, value] : entry.as_object())
            std::cout << key << " " << value << "  ";
        std::cout << "\n";
    }
    return 0;
}

} // namespace camphorreach::bench
