// Dispatch of HTTP requests on the admin port.
#include <camphorreach/impl/adminendpoint.h>

#include <boost/json.hpp>
#include <utility>

namespace camphorreach::impl {

namespace json = boost::json;

namespace {

constexpr std::size_t maxConnections = 128;
// Messages are short and come from the same machine or site. With the time for which a connection
// without progress keeps its place, 1,280 connections are admitted in a second, so that a heartbeat
// behind a full queue of the system (4,096) waits for about three seconds.
constexpr auto stallTime = std::chrono::milliseconds(100);
// Up to several MB otherwise, which a connection that sends requests ahead takes a long time to
// fill.
constexpr ByteCount sendBuffer(64 * 1024);

// The least memory that the limits allow, because the messages are short.
ClientMemory::Limits connectionLimits()
{
    ClientMemory::Limits limits = ClientMemory::limitsFor(ByteCount(), maxConnections);
    limits.stallTime = stallTime;
    limits.sendBuffer = sendBuffer;
    return limits;
}

} // namespace

std::string metricsJson(const MetricsRegistry &metrics)
{
    json::object counters;
    for (const auto &counter : metrics.counters())
        counters[counter.name] = counter.value;
    json::object histograms;
    for (const auto &histogram : metrics.histograms()) {
        histograms[histogram.name] = { { "count", histogram.count },
                                       { "p50_us", histogram.median.count() },
                                       { "p99_us", histogram.p99.count() },
                                       { "p999_us", histogram.p999.count() } };
    }
    return json::serialize(json::object { { "counters", std::move(counters) },
                                          { "histograms", std::move(histograms) } });
}

AdminEndpoint::AdminEndpoint(const std::vector<NetAddress> &addresses,
                             std::map<std::string, Handler> handlers)
    : m_handlers(std::move(handlers))
{
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const auto onRequest = [this, i](ExchangeId exchange, HttpRequest &&request) {
            m_servers[i]->respond(exchange, respond(request));
        };
        m_servers.push_back(std::make_unique<HttpServer>(m_thread.io(), addresses[i],
                                                         connectionLimits(),
                                                         HttpServer::Handlers { onRequest, {} }));
    }
}

HttpResponse AdminEndpoint::respond(const HttpRequest &request) const
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    auto found = m_handlers.find(path);
    if (found == m_handlers.end())
        found = m_handlers.find(path.substr(0, path.rfind('/') + 1));
    if (found == m_handlers.end())
        return { 404, {}, "there is no such path\n" };
    return found->second(request);
}

} // namespace camphorreach::impl
