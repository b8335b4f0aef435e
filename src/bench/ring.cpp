// Benchmark "ring": latency of passing a message from one thread to another.
#include "benchcommands.h"

#include <camphorreach/metrics.h>
#include <camphorreach/ring.h>

#include <boost/json.hpp>
#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

namespace camphorreach::bench {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

// Sends one message at a time, so that every message wakes a sleeping thread.
void measureHandoff(int messages, LatencyHistogram &latency)
{
    Ring<SteadyTime> requests(64);
    Ring<int> replies(64);
    std::thread consumer([&] {
        while (const auto sent = requests.pop(std::nullopt)) {
            const auto elapsed = std::chrono::steady_clock::now() - *sent;
            latency.record(std::chrono::duration_cast<Duration>(elapsed));
            replies.push(0);
        }
    });
    for (int i = 0; i < messages; ++i) {
        requests.push(std::chrono::steady_clock::now());
        (void)replies.pop(std::nullopt);
    }
    requests.close();
    consumer.join();
}

} // namespace

int runRing(int argc, char **argv)
{
    cxxopts::Options options("camphorreach-bench ring",
                             "Measures the latency of passing a message between threads.");
    options.add_options()("messages", "number of messages",
                          cxxopts::value<int>()->default_value("20000"))("json", "print JSON")(
        "h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    LatencyHistogram latency;
    measureHandoff(arguments["messages"].as<int>(), latency);
    const boost::json::object result { { "messages", latency.count() },
                                       { "p50_us", latency.quantile(0.5).count() },
                                       { "p99_us", latency.quantile(0.99).count() } };
    if (arguments.count("json") > 0) {
        std::cout << boost::json::serialize(result) << "\n";
    } else {
        for (const auto &[key, value] : result)
            std::cout << key << " " << value << "\n";
    }
    return 0;
}

} // namespace camphorreach::bench
