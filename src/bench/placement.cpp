// Benchmark "placement": policies on servers of uneven speed, with heavy-tailed costs, slow moments
// and old reports of load. Real routers and gates under a virtual clock.
#include "benchcommands.h"
#include "meshmodel.h"

#include <camphorreach/metrics.h>

#include <boost/json.hpp>
#include <cmath>
#include <ctime>
#include <cxxopts.hpp>
#include <iostream>

namespace camphorreach::bench {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t servers = 24;
constexpr std::uint32_t slots = 4;
constexpr std::size_t maxInFlight = 4096;
constexpr double meanWorkUs = 20'000.0; // of a request that is not heavy
constexpr double heavyShare = 1.0 / 30.0;
constexpr double heavyFactor = 7.0;
constexpr double fastestPace = 0.7; // the slowest one takes 2.2 times as long
constexpr double slowestPace = 1.54;
// A server is slow for half a second in ten.
constexpr double slowFactor = 3.0;
constexpr double slowMeanIntervalUs = 9'500'000.0;
constexpr Duration slowTime = milliseconds(500);

constexpr Duration target = milliseconds(250);
constexpr Duration deadline = seconds(1);
constexpr Duration warmUp = seconds(5);

struct Parameters
{
    double load = 0.5; // relative to the capacity, including the slow moments
    std::size_t routers = 32;
    Duration runTime {};
    std::uint64_t seed = 1;
};

Snapshot makeSnapshot()
{
    Snapshot snapshot;
    snapshot.version = ConfigVersion(1);
    ServicePolicy policy;
    policy.name = ServiceName("ledger");
    policy.weights[BackendVersion("v1")] = Share::all();
    RoutePolicy route { RouteName("all"), "/", KindName("lookup"), 1, true, deadline, 3 };
    route.targetLatency = target;
    policy.routes = { route };
    snapshot.services.emplace(policy.name, std::move(policy));
    return snapshot;
}

double paceOf(std::size_t server)
{
    return fastestPace + (slowestPace - fastestPace) * static_cast<double>(server) / (servers - 1);
}

// Requests per second that all servers bear.
double capacity()
{
    const double meanWork = meanWorkUs * (1.0 + heavyShare * (heavyFactor - 1.0));
    const double slowShare = static_cast<double>(slowTime.count())
        / (slowMeanIntervalUs + static_cast<double>(slowTime.count()));
    double sum = 0.0;
    for (std::size_t i = 0; i < servers; ++i)
        sum += slots * 1e6 / (meanWork * paceOf(i));
    return sum * (1.0 - slowShare + slowShare / slowFactor);
}

template <BalancingPolicy Policy>
json::object measure(const char *name, const Parameters &parameters)
{
    using R = BasicRouter<Policy>;
    EventLoop loop;
    RandomSource random(parameters.seed);
    const auto exponential
        = [&random](double mean) { return -std::log(1.0 - uniformFraction(random)) * mean; };
    std::vector<bool> isSlow(servers, false);
    std::uint64_t onSlowHalf = 0;
    std::uint64_t runs = 0;
    MeshModel<R> model(loop, parameters.seed,
                       [&](std::size_t index, const BackendCall &call,
                           const std::function<void(BackendResult &&)> &done) {
                           ++runs;
                           onSlowHalf += index >= servers / 2 ? 1 : 0;
                           const double work = exponential(meanWorkUs)
                               * (uniformFraction(random) < heavyShare ? heavyFactor : 1);
                           const double time
                               = work * paceOf(index) * (isSlow[index] ? slowFactor : 1.0);
                           loop.after(Duration(std::llround(time)), [done, id = call.id] {
                               done({ id, Answered {} });
                           });
                       });
    typename R::Options options;
    options.queuesForCapacity = false;
    Gate::Limits limits;
    limits.rejectsEarly = true;
    limits.queue.isFair = true;
    limits.estimatesCost = usesExpectedCost(Policy {});
    model.setGateLimits(limits);
    for (std::size_t i = 0; i < parameters.routers; ++i)
        model.addRouter(FailureDomain("arima"), maxInFlight, options);
    for (std::size_t i = 0; i < servers; ++i)
        model.addServer(ServiceName("ledger"), BackendVersion("v1"), FailureDomain("arima"), slots);
    model.publish(makeSnapshot());

    const TimePoint start = loop.now();
    const TimePoint end = start + warmUp + parameters.runTime;
    std::function<void(std::size_t)> scheduleSlowMoment = [&](std::size_t server) {
        loop.after(Duration(std::llround(exponential(slowMeanIntervalUs))), [&, server] {
            isSlow[server] = true;
            loop.after(slowTime, [&, server] {
                isSlow[server] = false;
                scheduleSlowMoment(server);
            });
        });
    };
    for (std::size_t i = 0; i < servers; ++i)
        scheduleSlowMoment(i);

    const double rate = parameters.load * capacity();
    LatencyHistogram latency;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t late = 0;
    std::function<void()> generateRequest = [&] {
        if (loop.now() >= end)
            return;
        const TimePoint sentAt = loop.now();
        const bool isCounted = sentAt >= start + warmUp;
        sent += isCounted ? 1 : 0;
        ClientRequest request;
        request.service = ServiceName("ledger");
        request.content.method = "GET";
        request.content.target = "/";
        model.sendRequest(uniformBelow(random, parameters.routers), std::move(request),
                          [&, sentAt, isCounted](Outcome &&outcome) {
                              if (!isCounted || !std::holds_alternative<Answered>(outcome))
                                  return;
                              ++answered;
                              const Duration taken = loop.now() - sentAt;
                              late += taken > target ? 1 : 0;
                              latency.record(taken);
                          });
        loop.after(Duration(std::llround(exponential(1e6 / rate))), generateRequest);
    };
    generateRequest();
    loop.runUntil(end + deadline);
    const auto total = static_cast<double>(sent);
    return { { "policy", name },
             { "load", parameters.load },
             { "answered", static_cast<double>(answered) / total },
             { "in_time", static_cast<double>(answered - late) / total },
             { "late", static_cast<double>(late) / total },
             { "p50_us", latency.quantile(0.5).count() },
             { "p99_us", latency.quantile(0.99).count() },
             { "on_slow_half", static_cast<double>(onSlowHalf) / static_cast<double>(runs) } };
}

// Processor time of one choice among 16 targets, with the estimates that precede it.
json::object measureChoice(std::uint64_t seed)
{
    constexpr std::size_t targets = 16;
    constexpr std::size_t choices = 200'000;
    RandomSource random(seed);
    Endpoint endpoint;
    endpoint.slots = slots;
    std::vector<Target> all;
    TimePoint now { seconds(100) };
    for (std::size_t i = 0; i < targets; ++i) {
        all.emplace_back(endpoint, std::nullopt);
        all.back().onLoad({ slots, 1, slots, milliseconds(i), milliseconds(20) }, now);
        all.back().setPace(1.0 + static_cast<double>(i) / targets);
    }
    const RequestCost cost { milliseconds(24), milliseconds(24) };
    std::vector<Candidate> candidates;
    std::size_t sum = 0;
    const std::clock_t start = std::clock();
    for (std::size_t i = 0; i < choices; ++i) {
        now += Duration(1);
        candidates.clear();
        for (Target &entry : all)
            candidates.push_back(entry.candidate(endpoint, now));
        for (Candidate &candidate : candidates)
            candidate.target->expect(candidate, cost, now);
        sum += LeastCompletion {}.pick(candidates, random);
    }
    const double taken = 1e9 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    return { { "targets", targets },
             { "mean_choice", static_cast<double>(sum) / choices },
             { "ns_per_choice", taken / choices } };
}

} // namespace

int runPlacement(int argc, char **argv)
{
    cxxopts::Options options("camphorreach-bench placement",
                             "Compares policies on servers of uneven speed.");
    options.add_options()("routers", "entry nodes that share the load",
                          cxxopts::value<std::size_t>()->default_value("32"))(
        "seconds", "virtual time of each case", cxxopts::value<int>()->default_value("30"))(
        "loads", "relative to the capacity",
        cxxopts::value<std::vector<double>>()->default_value("0.5,0.8,0.95,1.1,1.3"))(
        "seed", "random seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "print JSON")("h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const auto seed = arguments["seed"].as<std::uint64_t>();
    const auto routers = arguments["routers"].as<std::size_t>();
    json::array cases;
    for (const double load : arguments["loads"].as<std::vector<double>>()) {
        const Parameters parameters { load, routers, seconds(arguments["seconds"].as<int>()),
                                      seed };
        cases.push_back(measure<RandomChoice>("random", parameters));
        cases.push_back(measure<PowerOfTwoChoices>("power-of-two", parameters));
        cases.push_back(measure<LeastOccupied>("least-occupied", parameters));
        cases.push_back(measure<LeastCompletion>("expected-completion", parameters));
    }
    const json::object choice = measureChoice(seed);
    if (arguments.count("json") > 0) {
        std::cout << json::serialize(json::object {
            { "seed", seed }, { "routers", routers }, { "cases", cases }, { "choice", choice } })
                  << "\n";
        return 0;
    }
    cases.push_back(choice);
    for (const json::value &entry : cases) {
        for (const auto &[key, value] : entry.as_object())
            std::cout << key << " " << value << "  ";
        std::cout << "\n";
    }
    return 0;
}

} // namespace camphorreach::bench
