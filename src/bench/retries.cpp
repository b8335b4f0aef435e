// Benchmark "retries": amplification by retries along a chain of calls whose last service fails.
#include "baselinerouter.h"
#include "benchcommands.h"
#include "meshmodel.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <iostream>

namespace camphorreach::bench {
namespace {

namespace json = boost::json;

constexpr std::uint32_t slots = 2000; // large enough that server limits do not affect the result
constexpr std::size_t serversPerLevel = 3;
constexpr std::size_t maxInFlight = 100'000;
constexpr Duration serviceTime = std::chrono::milliseconds(1);
constexpr Duration interval = std::chrono::milliseconds(20);

struct Measurement
{
    double amplification = 0.0; // runs at the last level per client request
    double answered = 0.0; // fraction of the client requests
    std::size_t containedContents = 0; // request contents that gates quarantine or suspect
};

ServiceName serviceAt(std::size_t level)
{
    return ServiceName("level-" + std::to_string(level));
}

Snapshot makeSnapshot(std::size_t levels)
{
    Snapshot snapshot;
    snapshot.version = ConfigVersion(1);
    for (std::size_t level = 0; level < levels; ++level) {
        ServicePolicy policy;
        policy.name = serviceAt(level);
        policy.weights[BackendVersion("v1")] = Share::all();
        policy.routes = { RoutePolicy { RouteName("all"), "/", KindName("lookup"), 1, true,
                                        std::chrono::seconds(10), 3 } };
        snapshot.services.emplace(policy.name, std::move(policy));
    }
    return snapshot;
}

// Every backend server calls the next level; servers of the last level fail at random. A failure
// closes the connection, which both routers treat as retryable.
template <Filter R>
Measurement measure(std::size_t levels, double failureRate, std::size_t requests,
                    std::uint64_t seed)
{
    EventLoop loop;
    RandomSource random(seed);
    std::uint64_t runs = 0;
    std::uint64_t answered = 0;
    MeshModel<R> *mesh = nullptr;
    const auto backend = [&](std::size_t index, const BackendCall &call,
                             typename MeshModel<R>::ResultCallback done) {
        const std::size_t level = index / serversPerLevel;
        const CallId id = call.id;
        if (level + 1 == levels) {
            ++runs;
            const bool fails = uniformFraction(random) < failureRate;
            loop.after(serviceTime, [done, id, fails] {
                if (fails)
                    done({ id, BackendFailure::ConnectionLost });
                else
                    done({ id, Answered {} });
            });
            return;
        }
        ClientRequest next;
        next.service = serviceAt(level + 1);
        next.budget = call.request.budget;
        next.depth = CallDepth(static_cast<std::uint8_t>(level));
        next.callerAttempt = call.request.attempt;
        next.content.target = "/";
        mesh->sendRequest(level + 1, std::move(next), [done, id](Outcome &&outcome) {
            if (std::holds_alternative<Answered>(outcome))
                done({ id, Answered {} });
            else
                done({ id, BackendFailure::ConnectionLost });
        });
    };
    MeshModel<R> model(loop, seed, backend);
    mesh = &model;
    const FailureDomain domain("arima");
    for (std::size_t level = 0; level < levels; ++level) {
        model.addRouter(domain, maxInFlight);
        for (std::size_t i = 0; i < serversPerLevel; ++i)
            model.addServer(serviceAt(level), BackendVersion("v1"), domain, slots);
    }
    model.publish(makeSnapshot(levels));
    for (std::size_t i = 0; i < requests; ++i) {
        loop.after(interval * i, [&] {
            ClientRequest request;
            request.service = serviceAt(0);
            request.content.target = "/";
            model.sendRequest(0, std::move(request), [&](Outcome &&outcome) {
                answered += std::holds_alternative<Answered>(outcome) ? 1 : 0;
            });
        });
    }
    loop.runUntil(loop.now() + interval * requests + std::chrono::seconds(20));
    return { static_cast<double>(runs) / static_cast<double>(requests),
             static_cast<double>(answered) / static_cast<double>(requests),
             model.containedContentCount() };
}

} // namespace

int runRetries(int argc, char **argv)
{
    cxxopts::Options options("camphorreach-bench retries",
                             "Measures the amplification by retries along a chain of calls.");
    options.add_options()("requests", "requests per case",
                          cxxopts::value<std::size_t>()->default_value("2000"))(
        "baseline-requests", "requests per case of the baseline router",
        cxxopts::value<std::size_t>()->default_value("200"))(
        "seed", "random seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "print JSON")("h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const auto requests = arguments["requests"].as<std::size_t>();
    const auto baselineRequests = arguments["baseline-requests"].as<std::size_t>();
    const auto seed = arguments["seed"].as<std::uint64_t>();
    json::array cases;
    std::size_t containedContents = 0;
    for (const std::size_t depth : { 1, 3, 7 }) {
        for (const double failureRate : { 0.1, 0.5, 1.0 }) {
            const Measurement measurement = measure<Router>(depth, failureRate, requests, seed);
            const Measurement baseline
                = measure<BaselineRouter>(depth, failureRate, baselineRequests, seed);
            containedContents += measurement.containedContents;
            cases.push_back(json::object { { "depth", depth },
                                           { "failure_part", failureRate },
                                           { "amplification", measurement.amplification },
                                           { "answered", measurement.answered },
                                           { "baseline_amplification", baseline.amplification },
                                           { "baseline_answered", baseline.answered } });
        }
    }
    // No server crashes in this benchmark. If gates contained requests nevertheless, the results
    // would not measure retries.
    if (containedContents > 0) {
        std::cerr << "retries: " << containedContents
                  << " request contents were quarantined or suspected of causing crashes\n";
        return 1;
    }
    if (arguments.count("json") > 0) {
        std::cout << json::serialize(json::object { { "seed", seed }, { "cases", cases } }) << "\n";
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
