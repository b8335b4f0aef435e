// Benchmark "latency": latency that two nodes add to a call, on loopback.
//
// A platform, a backend server and two nodes run in this process. The same load is sent directly to
// the backend server and through both nodes, in alternating rounds.
#include "benchcommands.h"

#include <camphorreach/clock.h>
#include <camphorreach/impl/httpclient.h>
#include <camphorreach/impl/httpserver.h>
#include <camphorreach/impl/iothread.h>
#include <camphorreach/impl/platformcodec.h>
#include <camphorreach/log.h>
#include <camphorreach/metrics.h>
#include <camphorreach/node.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

namespace camphorreach::bench {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using impl::ExchangeId;
using impl::HttpRequest;
using impl::HttpResponse;

constexpr std::size_t maxConnections = 256;
constexpr std::uint32_t slots = 64;
constexpr auto warmUpTimeout = std::chrono::seconds(10);
constexpr auto pollInterval = std::chrono::milliseconds(50);

constexpr const char *tree = R"(
deadline = "2s"

[kind.lookup]
semantics = "idempotent"

[service.orders.version.v1]
weight = 100

[service.orders.route.stock]
kind = "lookup"
)";

NetAddress loopback(int port)
{
    return { "127.0.0.1", static_cast<std::uint16_t>(port) };
}

// Serves a single configuration version. Watches are never answered, since it does not change.
class BenchPlatform
{
public:
    explicit BenchPlatform(const NetAddress &address)
        : m_server(m_thread.io(), address, maxConnections,
                   { [this](ExchangeId id, HttpRequest &&request) { onRequest(id, request); }, {} })
    {
        m_thread.start();
    }

private:
    void onRequest(ExchangeId exchange, const HttpRequest &request)
    {
        const bool isHead = request.target.starts_with("/objects/config/head");
        if (request.method != "GET" || !isHead)
            return m_server.respond(exchange, { 404, {}, "there is no such object\n" });
        if (request.target.find("known=1") != std::string::npos)
            return;
        const ConfigHead head { ConfigVersion(1), {}, tree };
        m_server.respond(exchange,
                         { 200, { { "X-Object-Version", "1" } }, impl::encodeValue(head) });
    }

    impl::IoThread m_thread;
    impl::HttpServer m_server;
};

// Responds to every request after a fixed time.
class BenchBackend
{
public:
    BenchBackend(const NetAddress &address, Duration serviceTime)
        : m_serviceTime(serviceTime),
          m_server(m_thread.io(), address, maxConnections,
                   { [this](ExchangeId id, HttpRequest &&) { onRequest(id); }, {} })
    {
        m_thread.start();
    }

private:
    void onRequest(ExchangeId exchange)
    {
        if (m_serviceTime == Duration::zero())
            return respond(exchange);
        auto timer = std::make_shared<asio::steady_timer>(m_thread.io(), m_serviceTime);
        timer->async_wait([this, timer, exchange](const boost::system::error_code &error) {
            if (!error)
                respond(exchange);
        });
    }

    void respond(ExchangeId exchange)
    {
        m_server.respond(exchange, { 200, { { "Content-Type", "text/plain" } }, "12 bags\n" });
    }

    const Duration m_serviceTime;
    impl::IoThread m_thread;
    impl::HttpServer m_server;
};

// Sends requests at a constant rate, regardless of the responses (an open-loop load generator).
class LoadGenerator
{
public:
    LoadGenerator(const NetAddress &server, std::string target)
        : m_target(std::move(target)), m_client(m_thread.io(), server, maxConnections),
          m_timer(m_thread.io())
    {
        m_thread.start();
    }
    ~LoadGenerator() { m_thread.stop(); }

    void run(std::uint64_t requests, Duration interval)
    {
        m_thread.call([&] {
            m_remaining = requests;
            m_interval = interval;
            m_timer.expires_after(interval);
            schedule();
        });
        while (!m_thread.call([this] { return m_remaining == 0 && m_inFlight == 0; }))
            std::this_thread::sleep_for(pollInterval);
    }

    [[nodiscard]] const LatencyHistogram &latency() const noexcept { return m_latency; }
    [[nodiscard]] std::uint64_t failures() const noexcept { return m_failures; }

    /// Sends unmeasured requests until one succeeds. Returns false if none does within
    /// warmUpTimeout.
    [[nodiscard]] bool warmUp()
    {
        const SteadyClock clock;
        const TimePoint end = clock.now() + warmUpTimeout;
        while (clock.now() < end) {
            std::promise<bool> hasSucceeded;
            asio::post(m_thread.io(), [&] {
                m_client.send(
                    { "GET", m_target }, std::chrono::seconds(2),
                    [&](impl::HttpResult &&result) { hasSucceeded.set_value(isSuccess(result)); });
            });
            if (hasSucceeded.get_future().get())
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

private:
    static bool isSuccess(const impl::HttpResult &result)
    {
        const auto *response = std::get_if<HttpResponse>(&result);
        return response != nullptr && response->status == 200;
    }

    void schedule()
    {
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (error || m_remaining == 0)
                return;
            send();
            m_timer.expires_at(m_timer.expiry() + m_interval);
            schedule();
        });
    }

    void send()
    {
        --m_remaining;
        ++m_inFlight;
        const TimePoint start = SteadyClock().now();
        m_client.send({ "GET", m_target }, std::chrono::seconds(5),
                      [this, start](impl::HttpResult &&result) {
                          --m_inFlight;
                          if (isSuccess(result))
                              m_latency.record(SteadyClock().now() - start);
                          else
                              ++m_failures;
                      });
    }

    const std::string m_target;
    impl::IoThread m_thread;
    impl::HttpClient m_client;
    asio::steady_timer m_timer;
    Duration m_interval {};
    std::uint64_t m_remaining = 0;
    std::uint64_t m_inFlight = 0;
    std::uint64_t m_failures = 0;
    LatencyHistogram m_latency;
};

NodeSettings makeSettings(int number, int basePort, const std::string &service)
{
    NodeSettings settings;
    settings.instance = InstanceId(service + "-" + std::to_string(number));
    settings.domain = FailureDomain("arima");
    settings.region = "tt-north";
    settings.clientAddress = loopback(basePort + 10 * number);
    settings.peerAddress = loopback(basePort + 10 * number + 1);
    settings.adminAddress = loopback(basePort + 10 * number + 2);
    settings.backendServer
        = { loopback(basePort + 1), ServiceName(service), BackendVersion("v1"), slots, 110 };
    settings.platform = loopback(basePort);
    settings.seeds = { loopback(basePort + 11) };
    settings.randomSeed = static_cast<std::uint64_t>(number);
    return settings;
}

json::object toJson(const LoadGenerator &generator)
{
    return { { "answered", generator.latency().count() },
             { "failed", generator.failures() },
             { "p50_us", generator.latency().quantile(0.5).count() },
             { "p99_us", generator.latency().quantile(0.99).count() },
             { "p999_us", generator.latency().quantile(0.999).count() } };
}

json::object measure(std::uint64_t requests, std::uint64_t rate, Duration serviceTime, int basePort)
{
    constexpr std::uint64_t rounds = 5;
    const Duration interval = Duration(std::chrono::seconds(1)) / static_cast<Duration::rep>(rate);
    BenchPlatform platform(loopback(basePort));
    BenchBackend backend(loopback(basePort + 1), serviceTime);
    // The entry node serves another service, so that every call passes through both nodes.
    Node entry(makeSettings(1, basePort, "ledger-desk"));
    Node target(makeSettings(2, basePort, "orders"));
    entry.start();
    target.start();
    LoadGenerator direct(loopback(basePort + 1), "/stock");
    LoadGenerator throughNodes(loopback(basePort + 10), "/orders/stock");
    if (!direct.warmUp() || !throughNodes.warmUp())
        throw std::runtime_error("no request was answered within 10 s");
    for (std::uint64_t round = 0; round < rounds; ++round) {
        direct.run(requests / rounds, interval);
        throughNodes.run(requests / rounds, interval);
    }
    json::object result {
        { "requests", requests },
        { "rate_per_s", rate },
        { "direct", toJson(direct) },
        { "nodes", toJson(throughNodes) },
        { "added_p50_us",
          (throughNodes.latency().quantile(0.5) - direct.latency().quantile(0.5)).count() },
        { "added_p99_us",
          (throughNodes.latency().quantile(0.99) - direct.latency().quantile(0.99)).count() },
        { "added_p999_us",
          (throughNodes.latency().quantile(0.999) - direct.latency().quantile(0.999)).count() },
    };
    entry.drainAndStop(std::chrono::seconds(1));
    target.drainAndStop(std::chrono::seconds(1));
    return result;
}

} // namespace

int runLatency(int argc, char **argv)
{
    cxxopts::Options options("camphorreach-bench latency",
                             "Measures the latency that two nodes add to a call.");
    options.add_options()("requests", "requests sent directly, and as many through the nodes",
                          cxxopts::value<std::uint64_t>()->default_value("20000"))(
        "rate", "requests per second", cxxopts::value<std::uint64_t>()->default_value("1000"))(
        "service-ms", "service time of the backend server in ms",
        cxxopts::value<int>()->default_value("2"))("port", "first of about 30 ports",
                                                   cxxopts::value<int>()->default_value("21000"))(
        "json", "print JSON")("h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const json::object result = measure(
        arguments["requests"].as<std::uint64_t>(), arguments["rate"].as<std::uint64_t>(),
        std::chrono::milliseconds(arguments["service-ms"].as<int>()), arguments["port"].as<int>());
    if (arguments.count("json") > 0) {
        std::cout << json::serialize(result) << "\n";
        return 0;
    }
    for (const auto &[key, value] : result)
        std::cout << key << " " << value << "\n";
    return 0;
}

} // namespace camphorreach::bench
