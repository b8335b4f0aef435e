// Benchmark "guests": sends HTTP requests to running nodes and checks every response.
#include "benchcommands.h"

#include <camphorreach/impl/httpclient.h>
#include <camphorreach/metrics.h>
#include <camphorreach/result.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace camphorreach::bench {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using impl::HttpClient;
using impl::HttpFailure;
using impl::HttpRequest;
using impl::HttpResponse;
using impl::HttpResult;

constexpr std::size_t connectionsPerNode = 64;
constexpr Duration requestTimeout = std::chrono::seconds(10);
constexpr int maxResends = 5;

struct LoadOptions
{
    std::vector<NetAddress> nodes;
    std::string path = "/orders/stock";
    std::string keyPrefix;
    std::uint64_t count = 100;
    double rate = 100;
    bool isRunOnce = false;
};

struct Counts
{
    std::uint64_t sent = 0;
    std::uint64_t resent = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0; // the backend server responded with a status of 500 or above
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t wrongAnswers = 0; // the body does not belong to the request or is truncated
};

// Sends requests at a constant rate. A request that the backend server did not answer ("not run",
// unknown outcome or lost connection) is resent through the next node, up to maxResends times, with
// the same idempotency key.
class LoadGenerator
{
public:
    explicit LoadGenerator(LoadOptions loadOptions)
        : m_options(std::move(loadOptions)), m_timer(m_io)
    {
        for (const NetAddress &node : m_options.nodes)
            m_clients.push_back(std::make_unique<HttpClient>(m_io, node, connectionsPerNode));
    }

    void run()
    {
        m_nextStart = std::chrono::steady_clock::now();
        schedule();
        m_io.run();
    }

    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }
    [[nodiscard]] const LatencyHistogram &latency() const noexcept { return m_latency; }

private:
    struct Request
    {
        std::string key;
        std::size_t client = 0;
        int resends = 0;
        bool mayHaveRun = false; // an earlier attempt did not end as "not run"
        std::chrono::steady_clock::time_point startTime;
    };

    void schedule()
    {
        if (m_counts.sent >= m_options.count)
            return;
        m_nextStart += std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::chrono::duration<double>(1.0 / m_options.rate));
        m_timer.expires_at(m_nextStart);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            start();
            schedule();
        });
    }

    void start()
    {
        auto request = std::make_shared<Request>();
        request->key = m_options.keyPrefix + std::to_string(m_counts.sent);
        request->client = m_counts.sent % m_clients.size();
        request->startTime = std::chrono::steady_clock::now();
        ++m_counts.sent;
        send(request);
    }

    void send(const std::shared_ptr<Request> &request)
    {
        HttpRequest httpRequest;
        httpRequest.method = m_options.isRunOnce ? "POST" : "GET";
        httpRequest.target = m_options.path + "/" + request->key;
        if (m_options.isRunOnce)
            httpRequest.headers.push_back({ "Idempotency-Key", request->key });
        if (m_options.isRunOnce && !request->mayHaveRun)
            httpRequest.headers.push_back({ "X-Key-Fresh", "1" });
        m_clients[request->client]->send(
            std::move(httpRequest), requestTimeout,
            [this, request](HttpResult &&result) { onResult(request, std::move(result)); });
    }

    void onResult(const std::shared_ptr<Request> &request, HttpResult &&result)
    {
        const auto *response = std::get_if<HttpResponse>(&result);
        const std::string_view outcome
            = response != nullptr ? response->header("X-Outcome") : std::string_view();
        if (outcome == "answered")
            return onResponse(*request, *response);
        const bool isNotRun = outcome == "not-run"
            || (response == nullptr && std::get<HttpFailure>(result).isUnsent());
        request->mayHaveRun = request->mayHaveRun || !isNotRun;
        if (request->resends < maxResends) {
            resend(request);
            return;
        }
        ++(isNotRun ? m_counts.notRun : m_counts.unknown);
    }

    void resend(const std::shared_ptr<Request> &request)
    {
        constexpr auto resendDelay = std::chrono::milliseconds(200);
        ++request->resends;
        ++m_counts.resent;
        request->client = (request->client + 1) % m_clients.size();
        auto timer = std::make_shared<asio::steady_timer>(m_io, resendDelay * request->resends);
        timer->async_wait([this, timer, request](const boost::system::error_code &error) {
            if (!error)
                send(request);
        });
    }

    void onResponse(const Request &request, const HttpResponse &response)
    {
        const auto elapsed = std::chrono::steady_clock::now() - request.startTime;
        m_latency.record(std::chrono::duration_cast<Duration>(elapsed));
        if (response.status >= 500) {
            ++m_counts.failed;
            return;
        }
        ++m_counts.answered;
        if (response.body.find("/" + request.key + " ") == std::string::npos)
            ++m_counts.wrongAnswers;
    }

    const LoadOptions m_options;
    asio::io_context m_io;
    asio::steady_timer m_timer;
    std::vector<std::unique_ptr<HttpClient>> m_clients; // one per node
    std::chrono::steady_clock::time_point m_nextStart;
    Counts m_counts;
    LatencyHistogram m_latency;
};

json::object toJson(const Counts &counts, const LatencyHistogram &latency)
{
    return { { "sent", counts.sent },
             { "resent", counts.resent },
             { "answered", counts.answered },
             { "failed", counts.failed },
             { "not_run", counts.notRun },
             { "unknown", counts.unknown },
             { "wrong_answers", counts.wrongAnswers },
             { "p50_us", latency.quantile(0.5).count() },
             { "p99_us", latency.quantile(0.99).count() },
             { "p999_us", latency.quantile(0.999).count() } };
}

} // namespace

int runGuests(int argc, char **argv)
{
    cxxopts::Options options("camphorreach-bench guests", "Sends requests to running nodes.");
    options.add_options()("nodes", "guest addresses, separated by commas",
                          cxxopts::value<std::vector<std::string>>())(
        "path", "service and path", cxxopts::value<std::string>()->default_value("/orders/stock"))(
        "key-prefix", "prefix of each key", cxxopts::value<std::string>()->default_value("g"))(
        "count", "requests", cxxopts::value<std::uint64_t>()->default_value("100"))(
        "rate", "requests a second", cxxopts::value<double>()->default_value("100"))(
        "run-once", "send run-once requests with idempotency keys")("json", "print JSON")(
        "h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("nodes") == 0) {
        std::cout << options.help();
        return arguments.count("help") > 0 ? 0 : 2;
    }
    LoadOptions loadOptions;
    for (const std::string &text : arguments["nodes"].as<std::vector<std::string>>()) {
        const auto address = parseNetAddress(text);
        if (!isOk(address)) {
            std::cerr << errorOf(address).text << "\n";
            return 2;
        }
        loadOptions.nodes.push_back(valueOf(address));
    }
    loadOptions.path = arguments["path"].as<std::string>();
    loadOptions.keyPrefix = arguments["key-prefix"].as<std::string>();
    loadOptions.count = arguments["count"].as<std::uint64_t>();
    loadOptions.rate = arguments["rate"].as<double>();
    loadOptions.isRunOnce = arguments.count("run-once") > 0;
    LoadGenerator generator(loadOptions);
    generator.run();
    const json::object result = toJson(generator.counts(), generator.latency());
    if (arguments.count("json") > 0) {
        std::cout << json::serialize(result) << "\n";
    } else {
        for (const auto &[key, value] : result)
            std::cout << key << " " << value << "\n";
    }
    return generator.counts().wrongAnswers == 0 ? 0 : 1;
}

} // namespace camphorreach::bench
