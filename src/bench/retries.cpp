// Benchmark "retries": how retries multiply along a chain of calls in which the last one fails.
#include "baselinerouter.h"
#include "benchcommands.h"
#include "meshmodel.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <iostream>

namespace camphorreach::bench {
namespace {

namespace json = boost::json;

constexpr std::uint32_t slots = 2000; // no limit of the servers disturbs the measurement
constexpr std::size_t serversPerLevel = 3;
constexpr std::size_t maxInFlight = 100'000;
constexpr Duration serviceTime = std::chrono::milliseconds(1);
constexpr Duration interval = std::chrono::milliseconds(20);

struct Figures
{
    double amplification = 0.0; // runs at the last level for each guest request
    double answered = 0.0; // part of the guest requests
    std::size_t contained = 0; // contents that the gates keep from running
};

ServiceName serviceAt(std::size_t level)
{
    return ServiceName("level-" + std::to_string(level));
}

Snapshot snapshotOf(std::size_t levels)
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

// A backend server calls the next level; the last level fails at random. A failure closes the
// connection, so that it is one that both routers retry.
template <Filter R>
Figures measure(std::size_t levels, double failurePart, std::size_t requests, std::uint64_t seed)
{
    EventLoop loop;
    RandomSource random(seed);
    std::uint64_t runs = 0;
    std::uint64_t answered = 0;
    MeshModel<R> *mesh = nullptr;
    const auto backend
        = [&](std::size_t number, const BackendCall &call, typename MeshModel<R>::Done done) {
              const std::size_t level = number / serversPerLevel;
              const CallId id = call.id;
              if (level + 1 == levels) {
                  ++runs;
                  const bool fails = uniformFraction(random) < failurePart;
                  loop.after(serviceTime, [done, id, fails] {
                      if (fails)
                          done({ id, BackendFailure::Lost });
                      else
                          done({ id, Answered {} });
                  });
                  return;
              }
              GuestRequest next;
              next.service = serviceAt(level + 1);
              next.budget = call.request.budget;
              next.depth = CallDepth(static_cast<std::uint8_t>(level));
              next.callerAttempt = call.request.attempt;
              next.content.target = "/";
              mesh->ask(level + 1, std::move(next), [done, id](Outcome &&outcome) {
                  if (std::holds_alternative<Answered>(outcome))
                      done({ id, Answered {} });
                  else
                      done({ id, BackendFailure::Lost });
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
    model.publish(snapshotOf(levels));
    for (std::size_t i = 0; i < requests; ++i) {
        loop.after(interval * i, [&] {
            GuestRequest request;
            request.service = serviceAt(0);
            request.content.target = "/";
            model.ask(0, std::move(request), [&](Outcome &&outcome) {
                answered += std::holds_alternative<Answered>(outcome) ? 1 : 0;
            });
        });
    }
    loop.runUntil(loop.now() + interval * requests + std::chrono::seconds(20));
    return { static_cast<double>(runs) / static_cast<double>(requests),
             static_cast<double>(answered) / static_cast<double>(requests),
             model.containedContents() };
}

} // namespace

int runRetries(int argc, char **argv)
{
    cxxopts::Options options("camphorreach-bench retries",
                             "Measures the amplification by retries along a chain of calls.");
    options.add_options()("requests", "how many for each case",
                          cxxopts::value<std::size_t>()->default_value("2000"))(
        "baseline-requests", "how many for each case of the first router",
        cxxopts::value<std::size_t>()->default_value("200"))(
        "seed", "of the random choices", cxxopts::value<std::uint64_t>()->default_value("1"))(
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
    std::size_t contained = 0;
    for (const std::size_t depth : { 1, 3, 7 }) {
        for (const double failurePart : { 0.1, 0.5, 1.0 }) {
            const Figures figures = measure<Router>(depth, failurePart, requests, seed);
            const Figures baseline
                = measure<BaselineRouter>(depth, failurePart, baselineRequests, seed);
            contained += figures.contained;
            cases.push_back(json::object { { "depth", depth },
                                           { "failure_part", failurePart },
                                           { "amplification", figures.amplification },
                                           { "answered", figures.answered },
                                           { "baseline_amplification", baseline.amplification },
                                           { "baseline_answered", baseline.answered } });
        }
    }
    // No server crashes here, so a figure with contained contents does not measure retries.
    if (contained > 0) {
        std::cerr << "retries: " << contained << " contents were taken for causes of crashes\n";
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
