// Benchmark "distribution": convergence and cost of membership and configuration in virtual time.
#include "benchcommands.h"
#include "fleet.h"
#include "watchall.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <unistd.h>

namespace camphorreach::bench {
namespace {

namespace json = boost::json;

constexpr Duration convergenceTimeout = std::chrono::seconds(120);
constexpr double secondsPerDay = 86'400;

struct Arguments
{
    FleetOptions fleet;
    std::size_t treeBytes = 20'000;
    std::size_t changes = 10;
    Duration interval {}; // between changes
    std::size_t restarts = 0;
    bool isPlatformDown = false; // for one minute, beginning with the crash of the nodes
    double replacementsPerDay = 520;
    Duration quietTime {};
};

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

template <typename Value>
Value quantile(std::vector<Value> values, double fraction)
{
    if (values.empty())
        return {};
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

// Runs the fleet until the first version is in force on every node and every node knows every
// member, then measures one scenario. Either wait ends after convergenceTimeout.
class Measurement
{
public:
    explicit Measurement(const Arguments &arguments)
        : m_arguments(arguments), m_initialResidentBytes(residentBytes()), m_fleet(arguments.fleet),
          m_watchAll(m_fleet.time, arguments.fleet.nodes)
    {
        acceptNextVersion();
        m_fleet.startAll();
        m_watchAll.start();
        runUntilInForce(m_fleet.size());
        const auto [minMembers, maxMembers] = m_fleet.memberCounts();
        m_result["nodes"] = m_fleet.size();
        m_result["loss"] = arguments.fleet.loss;
        m_result["fan_out"] = arguments.fleet.fanOut;
        m_result["tree_bytes"] = sampleTree(arguments.treeBytes, 0).size();
        m_result["start_all_in_force_s"] = milliseconds(m_fleet.time.now() - TimePoint {}) / 1000;
        m_result["start_members_least"] = minMembers;
        m_result["start_platform_peak_reads_per_s"] = m_fleet.platform.peak(TimePoint {}).reads;
        m_result["start_platform_peak_writes_per_s"] = m_fleet.platform.peak(TimePoint {}).writes;
        // Waits until all nodes have joined; then the readers acquire their leases.
        const TimePoint joinDeadline = m_fleet.time.now() + convergenceTimeout;
        while (m_fleet.memberCounts().first < m_fleet.size() && m_fleet.time.now() < joinDeadline)
            m_fleet.time.runFor(std::chrono::seconds(1));
        m_result["start_members_complete_s"]
            = milliseconds(m_fleet.time.now() - TimePoint {}) / 1000;
        m_result["joined_members_least"] = m_fleet.memberCounts().first;
        m_fleet.time.runFor(std::chrono::seconds(20));
    }

    json::object runChanges()
    {
        std::vector<Duration> delays;
        std::vector<Duration> maxDelays;
        std::vector<Duration> baselineDelays;
        std::size_t notInForce = 0;
        startMeasurement();
        for (std::size_t change = 0; change < m_arguments.changes; ++change) {
            const TimePoint acceptedAt = m_fleet.time.now();
            acceptNextVersion();
            m_fleet.time.runFor(m_arguments.interval);
            Duration maxDelay {};
            for (std::size_t i = 0; i < m_fleet.size(); ++i) {
                const auto &[version, at] = m_fleet.node(i).inForceHistory.back();
                notInForce += version != m_version ? 1 : 0;
                delays.push_back(at - acceptedAt);
                maxDelay = std::max(maxDelay, at - acceptedAt);
                baselineDelays.push_back(m_watchAll.inForceAt()[i] - acceptedAt);
            }
            maxDelays.push_back(maxDelay);
        }
        finishMeasurement();
        m_result["changes"] = m_arguments.changes;
        m_result["not_in_force_after_interval"] = notInForce;
        m_result["in_force_p50_ms"] = milliseconds(quantile(delays, 0.5));
        m_result["in_force_p99_ms"] = milliseconds(quantile(delays, 0.99));
        m_result["in_force_slowest_ms"] = milliseconds(quantile(maxDelays, 1));
        m_result["watch_all_in_force_slowest_ms"] = milliseconds(quantile(baselineDelays, 1));
        const ConfigStatus status = m_fleet.node(0).configuration->status();
        m_result["status_in_force_everywhere"] = status.isInForceEverywhere;
        return m_result;
    }

    json::object runQuiet()
    {
        startMeasurement();
        const double replacements = m_arguments.replacementsPerDay / secondsPerDay
            * milliseconds(m_arguments.quietTime) / 1000;
        const auto count = static_cast<std::size_t>(std::lround(replacements));
        for (std::size_t i = 0; i < count; ++i)
            scheduleReplacement(i, m_fleet.time.now() + m_arguments.quietTime * i / count);
        m_fleet.time.runFor(m_arguments.quietTime);
        finishMeasurement();
        m_result["replaced"] = count;
        return m_result;
    }

    json::object runStorm()
    {
        const std::size_t count = std::min(m_arguments.restarts, m_fleet.size());
        std::vector<std::uint64_t> transfers;
        for (std::size_t i = 0; i < count; ++i)
            m_fleet.crash(i);
        const TimePoint start = m_fleet.time.now();
        startMeasurement();
        if (m_arguments.isPlatformDown) {
            m_fleet.platform.setDown(true);
            m_fleet.time.after(std::chrono::minutes(1),
                               [this] { m_fleet.platform.setDown(false); });
        }
        m_fleet.time.after(std::chrono::milliseconds(500), [this, count] {
            for (std::size_t i = 0; i < count; ++i)
                m_fleet.start(i);
        });
        m_fleet.time.runFor(std::chrono::seconds(1));
        runUntilInForce(m_fleet.size());
        m_result["restarted"] = count;
        m_result["platform_down_for_a_minute"] = m_arguments.isPlatformDown;
        m_result["all_in_force_again_s"] = milliseconds(m_fleet.time.now() - start) / 1000;
        m_result["in_force_after"] = m_fleet.countInForce(m_version);
        m_fleet.time.runFor(std::chrono::seconds(60));
        finishMeasurement();
        for (std::size_t i = 0; i < m_fleet.size(); ++i)
            transfers.push_back(m_fleet.node(i).configuration->fullTransfers());
        m_result["full_state_transfers_by_one_peer_max"] = quantile(transfers, 1);
        m_result["members_least_after"] = m_fleet.memberCounts().first;
        return m_result;
    }

private:
    void acceptNextVersion()
    {
        m_version = next(m_version);
        const std::string tree = sampleTree(m_arguments.treeBytes, m_version.value());
        m_fleet.platform.storeConfiguration(m_version, tree);
        m_watchAll.platform.storeConfiguration(m_version, tree);
    }

    void runUntilInForce(std::size_t nodes)
    {
        const TimePoint end = m_fleet.time.now() + convergenceTimeout;
        while (m_fleet.countInForce(m_version) < nodes && m_fleet.time.now() < end)
            m_fleet.time.runFor(std::chrono::milliseconds(100));
    }

    // Drains and stops the process of a node, and starts a new one at the same address.
    void scheduleReplacement(std::size_t i, TimePoint at)
    {
        const std::size_t node = (i * 37) % m_fleet.size();
        m_fleet.time.at(at, [this, node] { m_fleet.drain(node); });
        m_fleet.time.at(at + std::chrono::seconds(3), [this, node] {
            m_fleet.leave(node);
            m_fleet.crash(node);
        });
        m_fleet.time.at(at + std::chrono::seconds(8), [this, node] { m_fleet.start(node); });
    }

    void startMeasurement()
    {
        m_fleet.resetTraffic();
        m_startedAt = m_fleet.time.now();
        m_baselineBytes = m_watchAll.bytes();
    }

    void finishMeasurement()
    {
        const double seconds = milliseconds(m_fleet.time.now() - m_startedAt) / 1000;
        TrafficTotals ordinary;
        TrafficTotals reader;
        std::size_t maxDatagram = 0;
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            const Fleet::Node &node = m_fleet.node(i);
            (node.configuration->isReader() ? reader : ordinary).add(node, seconds);
            maxDatagram = std::max(maxDatagram, node.maxDatagramSize);
        }
        m_result["seconds"] = seconds;
        m_result["ordinary"] = ordinary.toJson();
        m_result["reader"] = reader.toJson();
        m_result["largest_datagram"] = maxDatagram;
        const auto peak = m_fleet.platform.peak(m_startedAt);
        const auto total = m_fleet.platform.total(m_startedAt);
        m_result["platform_peak_reads_per_s"] = peak.reads;
        m_result["platform_peak_writes_per_s"] = peak.writes;
        m_result["platform_calls_per_s"]
            = static_cast<double>(total.reads + total.writes) / seconds;
        const auto baseline = m_watchAll.platform.total(m_startedAt);
        m_result["watch_all_platform_peak_reads_per_s"]
            = m_watchAll.platform.peak(m_startedAt).reads;
        m_result["watch_all_platform_calls_per_s"] = static_cast<double>(baseline.reads) / seconds;
        const auto nodes = static_cast<double>(m_fleet.size());
        m_result["watch_all_bytes_per_s_per_node"]
            = static_cast<double>(m_watchAll.bytes() - m_baselineBytes) / seconds / nodes;
        const std::chrono::duration<double, std::micro> filterTime = m_fleet.filterTime();
        m_result["processor_us_per_node_and_s"] = filterTime.count() / seconds / nodes;
        m_result["resident_bytes_per_node"] = (residentBytes() - m_initialResidentBytes) / nodes;
        m_result["version_decreased"] = m_fleet.hasVersionDecreased();
    }

    // Sums over the ordinary nodes or the readers. Counts messages and bytes in both directions.
    struct TrafficTotals
    {
        std::size_t count = 0;
        double bytes = 0;
        double maxBytes = 0;
        double messages = 0;
        double maxMessages = 0;

        void add(const Fleet::Node &node, double seconds)
        {
            const double nodeBytes
                = static_cast<double>(node.sent.bytes + node.received.bytes) / seconds;
            const double nodeMessages
                = static_cast<double>(node.sent.messages + node.received.messages) / seconds;
            ++count;
            bytes += nodeBytes;
            maxBytes = std::max(maxBytes, nodeBytes);
            messages += nodeMessages;
            maxMessages = std::max(maxMessages, nodeMessages);
        }

        [[nodiscard]] json::object toJson() const
        {
            const auto divisor = static_cast<double>(std::max<std::size_t>(1, count));
            return { { "nodes", count },
                     { "bytes_per_s_mean", bytes / divisor },
                     { "bytes_per_s_max", maxBytes },
                     { "messages_per_s_mean", messages / divisor },
                     { "messages_per_s_max", maxMessages } };
        }
    };

    const Arguments m_arguments;
    const double m_initialResidentBytes;
    Fleet m_fleet;
    WatchAll m_watchAll;
    ConfigVersion m_version;
    TimePoint m_startedAt {};
    std::uint64_t m_baselineBytes = 0;
    json::object m_result;
};

cxxopts::Options makeOptions()
{
    using cxxopts::value;
    cxxopts::Options options("camphorreach-bench distribution",
                             "Measures membership and configuration under virtual time.");
    auto add = options.add_options();
    add("scenario", "changes, storm or quiet", value<std::string>()->default_value("changes"));
    add("nodes", "number of nodes", value<std::size_t>()->default_value("1400"));
    add("domains", "failure domains", value<std::size_t>()->default_value("5"));
    add("loss", "fraction of datagrams that are lost", value<double>()->default_value("0.01"));
    add("fan-out", "peers per push round", value<std::size_t>()->default_value("4"));
    add("tree-bytes", "size of the tree", value<std::size_t>()->default_value("20000"));
    add("changes", "number of versions to accept", value<std::size_t>()->default_value("5"));
    add("interval", "seconds between versions", value<int>()->default_value("10"));
    add("restarts", "nodes that restart in a storm", value<std::size_t>()->default_value("520"));
    add("outage", "take the platform down for one minute when the storm starts");
    add("quiet-time", "length of the quiet scenario in seconds",
        value<int>()->default_value("300"));
    add("churn", "node replacements per day in the quiet scenario",
        value<double>()->default_value("520"));
    add("seed", "random seed", value<std::uint64_t>()->default_value("1"));
    add("json", "print JSON");
    add("h,help", "print this help");
    return options;
}

Arguments parseArguments(const cxxopts::ParseResult &parsed)
{
    Arguments arguments;
    arguments.fleet = { parsed["nodes"].as<std::size_t>(), parsed["domains"].as<std::size_t>(),
                        parsed["loss"].as<double>(), parsed["fan-out"].as<std::size_t>(),
                        parsed["seed"].as<std::uint64_t>() };
    arguments.treeBytes = parsed["tree-bytes"].as<std::size_t>();
    arguments.changes = parsed["changes"].as<std::size_t>();
    arguments.interval = std::chrono::seconds(parsed["interval"].as<int>());
    arguments.restarts = parsed["restarts"].as<std::size_t>();
    arguments.isPlatformDown = parsed.count("outage") > 0;
    arguments.quietTime = std::chrono::seconds(parsed["quiet-time"].as<int>());
    arguments.replacementsPerDay = parsed["churn"].as<double>();
    return arguments;
}

} // namespace

int runDistribution(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const auto scenario = parsed["scenario"].as<std::string>();
    if (scenario != "changes" && scenario != "storm" && scenario != "quiet") {
        std::cerr << "camphorreach-bench distribution: unknown scenario \"" << scenario << "\"\n";
        return 2;
    }
    Measurement measurement(parseArguments(parsed));
    json::object result;
    if (scenario == "changes")
        result = measurement.runChanges();
    else if (scenario == "storm")
        result = measurement.runStorm();
    else
        result = measurement.runQuiet();
    if (parsed.count("json") > 0) {
        std::cout << json::serialize(result) << "\n";
        return 0;
    }
    for (const auto &[key, value] : result)
        std::cout << key << " " << value << "\n";
    return 0;
}

} // namespace camphorreach::bench
