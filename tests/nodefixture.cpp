// Stand-ins and client connections over Boost.Beast.
#include "nodefixture.h"

#include <camphorreach/clock.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <random>
#include <thread>

namespace camphorreach {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

namespace {

constexpr std::size_t maxConnections = 1024;
constexpr Duration serviceTime = std::chrono::milliseconds(5);

constexpr const char *tree = R"(
deadline = "5s"

[kind.order]
weight = 5
semantics = "run-once"

[service.orders.version.v1]
weight = 100

[service.orders.route.bags]
kind = "order"
)";

// Whether TCP and UDP can both be bound.
bool isFree(asio::io_context &io, std::uint16_t port)
{
    const auto host = asio::ip::make_address("127.0.0.1");
    boost::system::error_code error;
    tcp::acceptor stream(io, tcp::v4());
    stream.bind(tcp::endpoint(host, port), error);
    if (error)
        return false;
    udp::socket datagram(io, udp::v4());
    datagram.bind(udp::endpoint(host, port), error);
    return !error;
}

impl::HttpResponse configHead()
{
    const boost::json::object head { { "version", 1 },
                                     { "operations", boost::json::array { "test-1" } },
                                     { "tree", tree } };
    return { 200, { { "X-Object-Version", "1" } }, boost::json::serialize(head) };
}

} // namespace

std::vector<NetAddress> freeAddresses(std::size_t count)
{
    constexpr std::uint16_t firstPort = 12'000;
    constexpr std::uint16_t portCount = 18'000;
    asio::io_context io;
    std::random_device random;
    std::uint16_t offset = static_cast<std::uint16_t>(random() % portCount);
    std::vector<NetAddress> result;
    while (result.size() < count) {
        offset = static_cast<std::uint16_t>((offset + 1) % portCount);
        const auto port = static_cast<std::uint16_t>(firstPort + offset);
        if (isFree(io, port))
            result.push_back({ "127.0.0.1", port });
    }
    return result;
}

LoopbackServer::LoopbackServer(Handler handler)
    : m_server(std::make_unique<impl::HttpServer>(
        m_thread.io(), NetAddress { "127.0.0.1", 0 }, maxConnections,
        impl::HttpServer::Handlers {
            [this, handler = std::move(handler)](impl::ExchangeId id, impl::HttpRequest &&request) {
                handler(*this, id, std::move(request));
            },
            {} }))
{
    m_thread.start();
}

LoopbackServer::~LoopbackServer()
{
    m_thread.stop();
}

void LoopbackServer::respondLater(impl::ExchangeId exchange, impl::HttpResponse response,
                                  Duration delay)
{
    auto timer = std::make_shared<asio::steady_timer>(m_thread.io(), delay);
    timer->async_wait([this, timer, exchange, answer = std::move(response)](const auto &) {
        m_server->respond(exchange, answer);
    });
}

void RunCounts::record(const std::string &body)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts[body];
}

std::map<std::string, int> RunCounts::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

class ClientConnection::Impl
{
public:
    explicit Impl(const NetAddress &address) : m_stream(m_io)
    {
        beast::error_code error;
        m_stream.connect(tcp::endpoint(asio::ip::make_address(address.host), address.port), error);
        m_isOpen = !error;
    }

    [[nodiscard]] bool isOpen() const { return m_isOpen; }

    OrderResponse order(const std::string &id)
    {
        http::request<http::string_body> request(http::verb::post, "/orders/bags", 11);
        request.set("Idempotency-Key", id);
        request.set("X-Key-Fresh", "1");
        request.body() = id;
        request.prepare_payload();
        beast::error_code error;
        http::write(m_stream, request, error);
        http::response<http::string_body> response;
        if (!error)
            http::read(m_stream, m_buffer, response, error);
        if (error) {
            m_isOpen = false;
            return {};
        }
        m_isOpen = response.keep_alive();
        return { static_cast<int>(response.result_int()), std::string(response["X-Outcome"]),
                 response.body(), !response.keep_alive() };
    }

private:
    asio::io_context m_io;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_isOpen = false;
};

ClientConnection::ClientConnection(const NetAddress &address)
    : m_impl(std::make_unique<Impl>(address))
{ }

ClientConnection::~ClientConnection() = default;

bool ClientConnection::isOpen() const
{
    return m_impl->isOpen();
}

OrderResponse ClientConnection::order(const std::string &id)
{
    return m_impl->order(id);
}

NodeFixture::NodeFixture(std::size_t count)
    : platform([](LoopbackServer &server, impl::ExchangeId id, impl::HttpRequest &&request) {
          // A watch that already has the only version never gets a response.
          if (request.method != "GET")
              server.respond(id, { 503, {}, "read only\n" });
          else if (!request.target.starts_with("/objects/config/head"))
              server.respond(id, { 404, {}, "" });
          else if (request.target.find("known=1") == std::string::npos)
              server.respond(id, configHead());
      })
{
    const std::vector<NetAddress> addresses = freeAddresses(3 * count);
    for (std::size_t i = 0; i < count; ++i) {
        backends.push_back(std::make_unique<LoopbackServer>(
            [this](LoopbackServer &server, impl::ExchangeId id, impl::HttpRequest &&request) {
                runs.record(request.body);
                server.respondLater(id, { 200, {}, "ran " + request.body }, serviceTime);
            }));
        NodeSettings node;
        node.instance = InstanceId("orders-" + std::to_string(i));
        node.domain = FailureDomain("arima");
        node.clientAddress = addresses[3 * i];
        node.peerAddress = addresses[3 * i + 1];
        node.adminAddress = addresses[3 * i + 2];
        node.backendServer.address = backends.back()->address();
        node.backendServer.service = ServiceName("orders");
        node.backendServer.version = BackendVersion("v1");
        node.backendServer.slots = 6;
        node.backendServer.connections = 12;
        node.platform = platform.address();
        node.seeds = { addresses[1] };
        node.randomSeed = i + 1;
        settings.push_back(node);
    }
    for (const NodeSettings &node : settings) {
        nodes.push_back(std::make_unique<Node>(node));
        nodes.back()->start();
    }
}

bool NodeFixture::waitUntilReady() const
{
    const auto isReady = [this](const Node &node) {
        const boost::json::value dump = boost::json::parse(node.dump());
        return dump.at("members").as_array().size() == nodes.size()
            && dump.at("router").at("config_version").to_number<int>() == 1;
    };
    constexpr int attempts = 300;
    for (int i = 0; i < attempts; ++i) {
        if (std::ranges::all_of(nodes, [&](const auto &node) { return isReady(*node); }))
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

} // namespace camphorreach
