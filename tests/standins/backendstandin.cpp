// backend-standin: a backend server for tests and demos.
//
// Responds to every request after a service time. At most as many requests run at the same time as
// there are slots; others are rejected with 503. "/sleep/N" in a target adds N ms to the service
// time of that request.
//
// POST /control with a JSON object sets the behaviour: fail_share (ratio of requests that fail),
// fail_path, latency_ms, cold_start_ms, shed (reject all requests), crash_on (text in the target or
// body of a request that crashes the process). GET /stats returns counters, and the number of runs
// for every idempotency key.
#include <camphorreach/impl/httpserver.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/random.h>
#include <camphorreach/result.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>

namespace {

using namespace camphorreach;
using impl::ExchangeId;
using impl::HttpRequest;
using impl::HttpResponse;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t maxConnections = 1024;
constexpr int crashExitCode = 70;

struct Behaviour
{
    double failureRatio = 0;
    std::string failPath; // prefix of the targets that may fail; empty for all targets
    std::int64_t latencyMs = 1;
    std::int64_t coldStartMs = 0; // extra latency, decreasing to zero over the first 100 requests
    bool isShedding = false;
    std::string crashOn;
};

class BackendStandin
{
public:
    BackendStandin(asio::io_context &io, const NetAddress &address, std::string version,
                   std::uint32_t slots)
        : m_io(io), m_version(std::move(version)), m_slots(slots),
          m_server(io, address, maxConnections,
                   { [this](ExchangeId id, HttpRequest &&request) { onRequest(id, request); },
                     [this](ExchangeId id) { onDisconnected(id); } })
    { }

private:
    void onRequest(ExchangeId exchange, const HttpRequest &request)
    {
        if (request.target == "/control")
            return m_server.respond(exchange, control(request));
        if (request.target == "/stats")
            return m_server.respond(exchange, stats());
        if (request.target == "/health")
            return m_server.respond(exchange, { 200, {}, "ok\n" });
        if (m_behaviour.isShedding || m_running.size() >= m_slots) {
            ++m_shed;
            return m_server.respond(exchange, { 503, {}, "overloaded\n" });
        }
        run(exchange, request);
    }

    void run(ExchangeId exchange, const HttpRequest &request)
    {
        ++m_started;
        const std::string key(request.header("Idempotency-Key"));
        if (!key.empty())
            ++m_runsByKey[key];
        const std::string &crashOn = m_behaviour.crashOn;
        const bool causesCrash = !crashOn.empty()
            && (request.target.find(crashOn) != std::string::npos
                || request.body.find(crashOn) != std::string::npos);
        auto timer = std::make_unique<asio::steady_timer>(m_io, serviceTime(request));
        timer->async_wait([this, exchange, request, causesCrash](const auto &error) {
            if (error)
                return;
            if (causesCrash)
                std::_Exit(crashExitCode);
            m_running.erase(exchange);
            m_server.respond(exchange, makeResponse(request));
        });
        m_running.emplace(exchange, std::move(timer));
    }

    [[nodiscard]] std::chrono::milliseconds serviceTime(const HttpRequest &request) const
    {
        std::int64_t total = m_behaviour.latencyMs;
        constexpr std::uint64_t warmUpRequests = 100;
        if (m_started < warmUpRequests) {
            const auto remaining = static_cast<std::int64_t>(warmUpRequests - m_started);
            total
                += m_behaviour.coldStartMs * remaining / static_cast<std::int64_t>(warmUpRequests);
        }
        const std::size_t sleep = request.target.find("/sleep/");
        if (sleep != std::string::npos)
            total += std::atoll(request.target.c_str() + sleep + 7); // NOLINT(cert-err34-c)
        return std::chrono::milliseconds(total);
    }

    HttpResponse makeResponse(const HttpRequest &request)
    {
        const bool canFail = request.target.starts_with(m_behaviour.failPath);
        if (canFail && uniformFraction(m_random) < m_behaviour.failureRatio) {
            ++m_failed;
            return { 500, {}, "failed\n" };
        }
        ++m_completed;
        // The response echoes the request, so that a client can detect the response to another one.
        return { 200,
                 { { "Content-Type", "text/plain" }, { "X-Version", m_version } },
                 m_version + " " + request.method + " " + request.target + " " + request.body };
    }

    void onDisconnected(ExchangeId exchange)
    {
        if (m_running.erase(exchange) > 0)
            ++m_cancelled;
    }

    HttpResponse control(const HttpRequest &request)
    {
        boost::system::error_code error;
        const json::value parsed = json::parse(request.body, error);
        const json::object *object = error ? nullptr : parsed.if_object();
        if (object == nullptr)
            return { 400, {}, "a JSON object is expected\n" };
        if (const auto *value = object->if_contains("fail_share"))
            m_behaviour.failureRatio = value->to_number<double>();
        if (const auto *value = object->if_contains("latency_ms"))
            m_behaviour.latencyMs = value->to_number<std::int64_t>();
        if (const auto *value = object->if_contains("cold_start_ms"))
            m_behaviour.coldStartMs = value->to_number<std::int64_t>();
        if (const auto *value = object->if_contains("shed"))
            m_behaviour.isShedding = value->as_bool();
        if (const auto *value = object->if_contains("crash_on"))
            m_behaviour.crashOn = std::string(value->as_string());
        if (const auto *value = object->if_contains("fail_path"))
            m_behaviour.failPath = std::string(value->as_string());
        return { 200, {}, "ok\n" };
    }

    [[nodiscard]] HttpResponse stats() const
    {
        json::object byKey;
        for (const auto &[key, runs] : m_runsByKey)
            byKey[key] = runs;
        return { 200,
                 { { "Content-Type", "application/json" } },
                 json::serialize(json::object { { "version", m_version },
                                                { "started", m_started },
                                                { "completed", m_completed },
                                                { "failed", m_failed },
                                                { "shed", m_shed },
                                                { "cancelled", m_cancelled },
                                                { "running", m_running.size() },
                                                { "runs_by_key", std::move(byKey) } }) };
    }

    asio::io_context &m_io;
    const std::string m_version;
    const std::uint32_t m_slots;
    Behaviour m_behaviour;
    std::map<ExchangeId, std::unique_ptr<asio::steady_timer>> m_running; // at most m_slots
    std::map<std::string, std::uint64_t> m_runsByKey;
    RandomSource m_random { 1 };
    std::uint64_t m_started = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_cancelled = 0;
    impl::HttpServer m_server;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options("backend-standin", "Stands in for a backend server.");
        options.add_options()("listen", "address", cxxopts::value<std::string>())(
            "version", "version label", cxxopts::value<std::string>()->default_value("v1"))(
            "slots", "maximum number of concurrent requests",
            cxxopts::value<std::uint32_t>()->default_value("20"));
        const auto arguments = options.parse(argc, argv);
        const auto address = parseNetAddress(arguments["listen"].as<std::string>());
        if (!isOk(address)) {
            std::cerr << errorOf(address).text << "\n";
            return 2;
        }
        asio::io_context io;
        BackendStandin backend(io, valueOf(address), arguments["version"].as<std::string>(),
                               arguments["slots"].as<std::uint32_t>());
        asio::signal_set signals(io, SIGINT, SIGTERM);
        signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
        io.run();
        return 0;
    } catch (const std::exception &exception) {
        std::cerr << "backend-standin: " << exception.what() << "\n";
        return 1;
    }
}
