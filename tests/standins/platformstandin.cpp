// platform-standin: in-memory object service of the platform, for tests and demos.
//
// GET /objects/KEY reads an object; with ?known=V&wait-ms=N it waits up to N ms for a version other
// than V. PUT /objects/KEY writes if the object's version equals X-Expected-Version. GET
// /list?prefix=P lists objects. POST /control with a JSON object sets faults: down, delay_ms,
// lose_answers, reads_per_s, writes_per_s. GET /stats returns the number of calls; a watch counts
// as one read.
#include <camphorreach/impl/httpserver.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/result.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <charconv>
#include <iostream>
#include <list>
#include <map>
#include <memory>

namespace {

using namespace camphorreach;
using impl::ExchangeId;
using impl::HttpRequest;
using impl::HttpResponse;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t maxValueBytes = 1'000'000;
constexpr std::size_t maxConnections = 10'000;

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string_view queryValue(std::string_view target, const std::string &name)
{
    const std::size_t query = target.find('?');
    if (query == std::string_view::npos)
        return {};
    std::string_view rest = target.substr(query + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        if (pair.starts_with(name + "="))
            return pair.substr(name.size() + 1);
    }
    return {};
}

struct Object
{
    std::uint64_t version = 0;
    std::string value;
};

struct Faults
{
    bool isDown = false;
    bool losesAnswers = false; // writes take effect, but their responses are lost
    std::int64_t delayMs = 0;
    std::uint64_t readsPerSecond = 2000;
    std::uint64_t writesPerSecond = 400;
};

struct Stats
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t throttled = 0;
};

struct Watch
{
    ExchangeId exchange;
    std::string key;
    std::unique_ptr<asio::steady_timer> timer;
};

// Limits the number of calls in every window of one second.
class RateLimiter
{
public:
    bool tryAcquire(std::uint64_t limitPerSecond)
    {
        const auto now = std::chrono::steady_clock::now();
        if (now - m_windowStart >= std::chrono::seconds(1)) {
            m_windowStart = now;
            m_acquired = 0;
        }
        return m_acquired++ < limitPerSecond;
    }

private:
    std::chrono::steady_clock::time_point m_windowStart {};
    std::uint64_t m_acquired = 0;
};

class PlatformStandin
{
public:
    PlatformStandin(asio::io_context &io, const NetAddress &address)
        : m_io(io),
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
        if (m_faults.isDown)
            return m_server.respond(exchange, { 503, {}, "the store is down\n" });
        if (m_faults.delayMs == 0)
            return serve(exchange, request);
        auto timer = std::make_shared<asio::steady_timer>(
            m_io, std::chrono::milliseconds(m_faults.delayMs));
        timer->async_wait([this, timer, exchange, request](const boost::system::error_code &error) {
            if (!error)
                serve(exchange, request);
        });
    }

    void serve(ExchangeId exchange, const HttpRequest &request)
    {
        const bool isWrite = request.method == "PUT";
        ++(isWrite ? m_stats.writes : m_stats.reads);
        if (!(isWrite ? m_writeLimiter.tryAcquire(m_faults.writesPerSecond)
                      : m_readLimiter.tryAcquire(m_faults.readsPerSecond))) {
            ++m_stats.throttled;
            return m_server.respond(exchange, { 429, {}, "too many calls\n" });
        }
        const std::string path = request.target.substr(0, request.target.find('?'));
        if (path == "/list" && !isWrite)
            return m_server.respond(exchange, list(request));
        constexpr std::string_view prefix = "/objects/";
        if (!path.starts_with(prefix) || path.size() == prefix.size())
            return m_server.respond(exchange, { 400, {}, "there is no such path\n" });
        const std::string key = path.substr(prefix.size());
        if (isWrite)
            write(exchange, key, request);
        else
            read(exchange, key, request);
    }

    void read(ExchangeId exchange, const std::string &key, const HttpRequest &request)
    {
        const std::string_view known = queryValue(request.target, "known");
        const Object &object = m_objects[key];
        if (known.empty() || object.version != parseNumber(known))
            return m_server.respond(exchange, objectResponse(object));
        Watch watch {
            exchange, key,
            std::make_unique<asio::steady_timer>(
                m_io, std::chrono::milliseconds(parseNumber(queryValue(request.target, "wait-ms"))))
        };
        watch.timer->async_wait([this, exchange](const boost::system::error_code &error) {
            if (!error)
                completeWatch(exchange);
        });
        m_watches.push_back(std::move(watch));
    }

    void completeWatch(ExchangeId exchange)
    {
        const auto found
            = std::find_if(m_watches.begin(), m_watches.end(),
                           [&](const Watch &watch) { return watch.exchange == exchange; });
        if (found == m_watches.end())
            return;
        m_server.respond(exchange, objectResponse(m_objects[found->key]));
        m_watches.erase(found);
    }

    void onDisconnected(ExchangeId exchange)
    {
        m_watches.remove_if([&](const Watch &watch) { return watch.exchange == exchange; });
    }

    void write(ExchangeId exchange, const std::string &key, const HttpRequest &request)
    {
        Object &object = m_objects[key];
        if (request.body.size() > maxValueBytes)
            return m_server.respond(exchange, { 413, {}, "the value is too large\n" });
        if (request.header("X-Expected-Version").empty())
            return m_server.respond(exchange, { 400, {}, "X-Expected-Version is missing\n" });
        if (parseNumber(request.header("X-Expected-Version")) != object.version)
            return m_server.respond(exchange, { 412, {}, "the object has another version\n" });
        object.version = ++m_lastVersion;
        object.value = request.body;
        if (m_faults.losesAnswers)
            m_server.abort(exchange);
        else
            m_server.respond(exchange, objectResponse({ object.version, "" }));
        std::vector<ExchangeId> waiting;
        for (const Watch &watch : m_watches) {
            if (watch.key == key)
                waiting.push_back(watch.exchange);
        }
        for (const ExchangeId waiter : waiting)
            completeWatch(waiter);
    }

    [[nodiscard]] HttpResponse list(const HttpRequest &request) const
    {
        const std::string prefix(queryValue(request.target, "prefix"));
        json::array objects;
        for (auto entry = m_objects.lower_bound(prefix);
             entry != m_objects.end() && entry->first.starts_with(prefix); ++entry) {
            if (entry->second.version != 0) {
                objects.push_back({ { "key", entry->first },
                                    { "version", entry->second.version },
                                    { "value", entry->second.value } });
            }
        }
        return { 200, { { "Content-Type", "application/json" } }, json::serialize(objects) };
    }

    static HttpResponse objectResponse(const Object &object)
    {
        if (object.version == 0)
            return { 404, {}, "there is no such object\n" };
        return { 200, { { "X-Object-Version", std::to_string(object.version) } }, object.value };
    }

    HttpResponse control(const HttpRequest &request)
    {
        boost::system::error_code error;
        const json::value parsed = json::parse(request.body, error);
        const json::object *faults = error ? nullptr : parsed.if_object();
        if (faults == nullptr)
            return { 400, {}, "a JSON object is expected\n" };
        const auto setNumber = [&](const char *key, auto &target) {
            if (const json::value *value = faults->if_contains(key))
                target = value->to_number<std::decay_t<decltype(target)>>();
        };
        const auto setFlag = [&](const char *key, bool &target) {
            if (const json::value *value = faults->if_contains(key))
                target = value->as_bool();
        };
        setFlag("down", m_faults.isDown);
        setFlag("lose_answers", m_faults.losesAnswers);
        setNumber("delay_ms", m_faults.delayMs);
        setNumber("reads_per_s", m_faults.readsPerSecond);
        setNumber("writes_per_s", m_faults.writesPerSecond);
        if (m_faults.isDown) {
            for (const Watch &watch : m_watches)
                m_server.abort(watch.exchange);
            m_watches.clear();
        }
        return { 200, {}, "ok\n" };
    }

    [[nodiscard]] HttpResponse stats() const
    {
        return { 200,
                 { { "Content-Type", "application/json" } },
                 json::serialize(json::object { { "reads", m_stats.reads },
                                                { "writes", m_stats.writes },
                                                { "throttled", m_stats.throttled },
                                                { "watches", m_watches.size() } }) };
    }

    asio::io_context &m_io;
    std::map<std::string, Object> m_objects; // version zero: read, but never written
    std::uint64_t m_lastVersion = 0;
    std::list<Watch> m_watches;
    Faults m_faults;
    Stats m_stats;
    RateLimiter m_readLimiter;
    RateLimiter m_writeLimiter;
    impl::HttpServer m_server;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options("platform-standin",
                                 "Stands in for the platform's object service.");
        options.add_options()("listen", "address", cxxopts::value<std::string>());
        const auto arguments = options.parse(argc, argv);
        const auto address = parseNetAddress(arguments["listen"].as<std::string>());
        if (!isOk(address)) {
            std::cerr << errorOf(address).text << "\n";
            return 2;
        }
        asio::io_context io;
        PlatformStandin platform(io, valueOf(address));
        asio::signal_set signals(io, SIGINT, SIGTERM);
        signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
        io.run();
        return 0;
    } catch (const std::exception &exception) {
        std::cerr << "platform-standin: " << exception.what() << "\n";
        return 1;
    }
}
