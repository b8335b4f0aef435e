// Benchmark "moves": how often good versions complete in time and bad versions are rolled back.
#include "benchcommands.h"
#include "movesimulation.h"

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

namespace camphorreach::bench {
namespace {

namespace json = boost::json;

struct CaseResult
{
    MoveCase moveCase;
    std::string policy;
    std::size_t trials = 0;
    double doneInTime = 0; ///< Fraction of the trials.
    double rolledBack = 0; ///< Fraction of the trials.
    double badFraction99 = 0; ///< 99th percentile of MoveTrialResult::badFraction.
    double badRequests99 = 0; ///< 99th percentile.
    double secondsToStop50 = 0; ///< Median of the seconds to stop.
    double secondsToStop99 = 0; ///< 99th percentile of the seconds to stop.
    std::vector<double> meanShares;

    [[nodiscard]] bool isGoalMet() const
    {
        constexpr double goal = 0.99;
        constexpr double maxBadFraction = 0.005;
        if (!isBadVersion(moveCase.fault))
            return doneInTime >= goal;
        return rolledBack >= goal
            && (moveCase.fault != MoveFault::FailsAll || badFraction99 < maxBadFraction);
    }
};

// Sorts the values.
double quantile(std::vector<double> &values, double fraction)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

std::vector<MoveTrialResult> runTrials(const MoveCase &moveCase, std::size_t trials,
                                       std::uint64_t seed, std::size_t threads)
{
    std::vector<MoveTrialResult> results(trials);
    std::atomic<std::size_t> nextTrial { 0 };
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (std::size_t t = nextTrial++; t < trials; t = nextTrial++)
                results[t] = runMoveTrial(moveCase, seed * 1'000'003 + t);
        });
    }
    for (std::thread &worker : workers)
        worker.join();
    return results;
}

CaseResult summarize(const MoveCase &moveCase, std::string policy,
                     const std::vector<MoveTrialResult> &trials)
{
    CaseResult result;
    result.moveCase = moveCase;
    result.policy = std::move(policy);
    result.trials = trials.size();
    std::vector<double> fractions;
    std::vector<double> requests;
    std::vector<double> secondsToStop;
    for (const MoveTrialResult &trial : trials) {
        result.doneInTime += trial.isDoneInTime ? 1 : 0;
        result.rolledBack += trial.isRolledBack ? 1 : 0;
        fractions.push_back(trial.badFraction);
        requests.push_back(static_cast<double>(trial.badRequests));
        if (trial.isRolledBack)
            secondsToStop.push_back(trial.secondsToStop);
        result.meanShares.resize(std::max(result.meanShares.size(), trial.shares.size()));
        for (std::size_t i = 0; i < trial.shares.size(); ++i)
            result.meanShares[i] += trial.shares[i] / static_cast<double>(trials.size());
    }
    result.doneInTime /= static_cast<double>(trials.size());
    result.rolledBack /= static_cast<double>(trials.size());
    result.badFraction99 = quantile(fractions, 0.99);
    result.badRequests99 = quantile(requests, 0.99);
    result.secondsToStop50 = quantile(secondsToStop, 0.5);
    result.secondsToStop99 = quantile(secondsToStop, 0.99);
    return result;
}

// Deployment sizes of section 1, and the planned size of section 4 (170,000 calls/s over 120
// services).
std::vector<MoveSite> sites()
{
    return { { "association, orders", 3, 2, 3, 60 },
             { "lysvaerk, ledger-desk", 3, 1, 4, 20 },
             { "low traffic", 3, 2, 3, 10 },
             { "planned size", 5, 3, 20, 1400 } };
}

void printTable(const std::vector<CaseResult> &results)
{
    std::cout << std::left << std::setw(22) << "site" << std::setw(32) << "version" << std::setw(11)
              << "method" << std::setw(12) << "policy" << std::right << std::setw(9) << "in time"
              << std::setw(10) << "rolled b." << std::setw(10) << "bad p99" << std::setw(9)
              << "requests" << std::setw(9) << "stop p50" << std::setw(9) << "stop p99"
              << "  goal\n";
    for (const CaseResult &result : results) {
        const bool isBad = isBadVersion(result.moveCase.fault);
        std::cout << std::left << std::setw(22) << result.moveCase.site.name << std::setw(32)
                  << toText(result.moveCase.fault) << std::setw(11)
                  << toText(result.moveCase.method) << std::setw(12) << result.policy << std::right
                  << std::fixed << std::setprecision(1) << std::setw(8) << result.doneInTime * 100
                  << "%" << std::setw(9) << result.rolledBack * 100 << "%";
        if (isBad) {
            std::cout << std::setprecision(3) << std::setw(9) << result.badFraction99 * 100 << "%"
                      << std::setprecision(0) << std::setw(9) << result.badRequests99
                      << std::setw(8) << result.secondsToStop50 << "s" << std::setw(8)
                      << result.secondsToStop99 << "s";
        } else {
            std::cout << std::string(37, ' ');
        }
        std::cout << (result.isGoalMet() ? "  met" : "  missed") << "\n";
    }
}

json::object toJson(const CaseResult &result)
{
    return { { "site", result.moveCase.site.name },
             { "requests_per_second", result.moveCase.site.requestsPerSecond },
             { "version", toText(result.moveCase.fault) },
             { "method", toText(result.moveCase.method) },
             { "policy", result.policy },
             { "trials", result.trials },
             { "done_in_time", result.doneInTime },
             { "rolled_back", result.rolledBack },
             { "bad_part_p99", result.badFraction99 },
             { "bad_requests_p99", result.badRequests99 },
             { "stop_seconds_p50", result.secondsToStop50 },
             { "stop_seconds_p99", result.secondsToStop99 },
             { "is_goal_met", result.isGoalMet() } };
}

void writeCsv(const std::string &file, const std::vector<CaseResult> &results)
{
    std::ofstream out(file);
    bool hasHeader = false;
    for (const CaseResult &result : results) {
        const json::object row = toJson(result);
        std::string header;
        std::string line;
        for (const auto &[key, value] : row) {
            header += std::string(header.empty() ? "" : ",") + std::string(key);
            line += (line.empty() ? "" : ",") + json::serialize(value);
        }
        if (!hasHeader)
            out << header << "\n";
        hasHeader = true;
        out << line << "\n";
    }
}

// Plots the mean share over time for every case of the first site that uses the evidence method.
void writePlot(const std::string &file, const std::vector<CaseResult> &results)
{
    constexpr int width = 900;
    constexpr int height = 420;
    constexpr int margin = 40;
    constexpr std::array colours { "#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad",
                                   "#d68910", "#5d6d7e", "#a04000", "#117a65" };
    std::ofstream out(file);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width + 260 << "\" height=\""
        << height << "\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" "
        << "height=\"100%\" fill=\"white\"/>\n<text x=\"" << margin
        << "\" y=\"16\">Mean share of the new version over time, by case</text>\n";
    std::size_t line = 0;
    for (const CaseResult &result : results) {
        if (result.moveCase.site.name != results.front().moveCase.site.name
            || result.moveCase.method != MoveMethod::Evidence || result.meanShares.size() < 2)
            continue;
        const char *colour = colours[line % colours.size()];
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
        const double seconds = static_cast<double>(result.moveCase.duration.count()) / 1e6;
        for (std::size_t i = 0; i < result.meanShares.size(); ++i) {
            out << margin + static_cast<double>(i) / seconds * (width - 2 * margin) << ","
                << height - margin - result.meanShares[i] * (height - 2 * margin) << " ";
        }
        out << "\"/>\n<text x=\"" << width - margin + 10 << "\" y=\"" << margin + 15 * line
            << "\" fill=\"" << colour << "\">" << toText(result.moveCase.fault) << ", "
            << result.policy << "</text>\n";
        ++line;
    }
    out << "<text x=\"" << margin << "\" y=\"" << height - 10 << "\">0 to "
        << results.front().meanShares.size() << " s; 0 to 100 %</text>\n</svg>\n";
}

struct RunOptions
{
    std::size_t trials = 0;
    std::uint64_t seed = 0;
    std::size_t threads = 0;
    std::string site; ///< Only sites whose name contains it; empty for all.
    bool hasBaselines = true;
    bool hasPolicies = true;
};

MovePolicy makePolicy(double onTimeWeight, double rollbackWeight)
{
    MovePolicy policy;
    policy.onTimeWeight = onTimeWeight;
    policy.rollbackWeight = rollbackWeight;
    return policy;
}

std::vector<CaseResult> runAll(const RunOptions &options)
{
    std::vector<CaseResult> results;
    const auto run = [&](const MoveSite &site, MoveMethod method, const MovePolicy &policy,
                         const std::string &policyName) {
        for (int fault = 0; fault <= static_cast<int>(MoveFault::FailsDespiteHealthChecks);
             ++fault) {
            const MoveCase moveCase { site, static_cast<MoveFault>(fault), method, policy };
            results.push_back(
                summarize(moveCase, policyName,
                          runTrials(moveCase, options.trials, options.seed, options.threads)));
        }
    };
    for (const MoveSite &site : sites()) {
        if (!options.site.empty() && site.name.find(options.site) == std::string::npos)
            continue;
        run(site, MoveMethod::Evidence, {}, "equal");
        if (options.hasPolicies && site.name.starts_with("association"))
            run(site, MoveMethod::Evidence, makePolicy(3, 1), "on time 3:1");
        if (options.hasPolicies && site.name.starts_with("lysvaerk"))
            run(site, MoveMethod::Evidence, makePolicy(1, 3), "rollb. 3:1");
        if (options.hasBaselines) {
            run(site, MoveMethod::FixedSchedule, {}, "-");
            run(site, MoveMethod::ErrorThreshold, {}, "-");
        }
    }
    return results;
}

} // namespace

int runMoves(int argc, char **argv)
{
    cxxopts::Options options("camphorreach-bench moves",
                             "Simulates moves and compares their decisions with two baselines.");
    options.add_options()("trials", "trials per case",
                          cxxopts::value<std::size_t>()->default_value("100"))(
        "seed", "random seed of the first trial",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "threads", "number of worker threads", cxxopts::value<std::size_t>()->default_value("4"))(
        "site", "run only sites whose name contains this text",
        cxxopts::value<std::string>()->default_value(""))("no-baselines",
                                                          "run only the evidence method")(
        "no-policies", "run only the policy of equal weights")("json", "print JSON")(
        "csv", "write a CSV file", cxxopts::value<std::string>())(
        "plot", "write an SVG file", cxxopts::value<std::string>())("h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const std::vector<CaseResult> results
        = runAll({ arguments["trials"].as<std::size_t>(), arguments["seed"].as<std::uint64_t>(),
                   arguments["threads"].as<std::size_t>(), arguments["site"].as<std::string>(),
                   arguments.count("no-baselines") == 0, arguments.count("no-policies") == 0 });
    if (arguments.count("json") > 0) {
        json::array rows;
        for (const CaseResult &result : results)
            rows.push_back(toJson(result));
        std::cout << json::serialize(rows) << "\n";
    } else {
        printTable(results);
    }
    if (arguments.count("csv") > 0)
        writeCsv(arguments["csv"].as<std::string>(), results);
    if (arguments.count("plot") > 0)
        writePlot(arguments["plot"].as<std::string>(), results);
    return 0;
}

} // namespace camphorreach::bench
