// Tests of HttpServer with clients that make it hold memory or connections.
#include <camphorreach/impl/httpserver.h>
#include <camphorreach/metrics.h>
#include <camphorreach/random.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <sys/resource.h>
#include <vector>

namespace camphorreach {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t maxConnections = 12;
constexpr std::uint64_t total = 1024 * 1024;

// A server with little memory on an io_context that the test runs step by step.
class HttpClientMemoryFixture
{
protected:
    static ClientMemory::Limits limits()
    {
        ClientMemory::Limits limits;
        limits.total = ByteCount(total);
        limits.reserve = ByteCount(total / 4);
        limits.connections = maxConnections;
        limits.stallTime = std::chrono::milliseconds(20);
        limits.maxWait = std::chrono::milliseconds(20);
        return limits;
    }

    std::unique_ptr<tcp::socket> connect()
    {
        auto socket = std::make_unique<tcp::socket>(clientIo);
        socket->connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server.port()));
        socket->non_blocking(true);
        return socket;
    }

    static void send(tcp::socket &socket, const std::string &bytes)
    {
        boost::system::error_code ignored;
        socket.write_some(asio::buffer(bytes), ignored);
    }

    void runServer(std::chrono::milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }

    // Reads what has arrived, and returns whether the server has closed the connection.
    static bool hasEnded(tcp::socket &socket)
    {
        std::string block(65536, ' ');
        boost::system::error_code error;
        socket.read_some(asio::buffer(block), error);
        return error && error != asio::error::would_block;
    }

    // Reads what has arrived.
    static std::string receive(tcp::socket &socket)
    {
        std::string block(65536, ' ');
        boost::system::error_code ignored;
        block.resize(socket.read_some(asio::buffer(block), ignored));
        return block;
    }

    asio::io_context io;
    asio::io_context clientIo;
    MetricsRegistry metrics;
    std::deque<impl::ExchangeId> requests;
    impl::HttpRequest lastRequest; // the one that was reported last
    impl::HttpServer server { io,
                              { "127.0.0.1", 0 },
                              limits(),
                              { [this](impl::ExchangeId id, impl::HttpRequest &&request) {
                                   requests.push_back(id);
                                   lastRequest = std::move(request);
                               },
                                [](impl::ExchangeId) {} },
                              &metrics };
};

// Guards against clients that occupy all connections with requests that they never finish.
TEST_CASE_METHOD(HttpClientMemoryFixture, "HttpServer_allConnectionsAreStalled_newClientIsServed")
{
    std::vector<std::unique_ptr<tcp::socket>> stalled;
    for (std::size_t i = 0; i <= maxConnections; ++i) {
        stalled.push_back(connect());
        send(*stalled.back(), "GET / HT");
    }
    runServer(std::chrono::milliseconds(100));
    const auto client = connect();
    send(*client, "GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    for (int i = 0; i < 300 && requests.empty(); ++i)
        runServer(std::chrono::milliseconds(10));
    CHECK(requests.size() == 1);
    CHECK(metrics.counter("guest.closed_connections").value() > 0);
}

// Guards against a thread that spins while the process has no descriptor for the next connection.
TEST_CASE_METHOD(HttpClientMemoryFixture, "HttpServer_noDescriptorIsLeft_waitsAndServesLater")
{
    const auto client = connect();
    send(*client, "GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    rlimit before {};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    rlimit none = before;
    none.rlim_cur = 0; // open descriptors stay open
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    io.restart();
    const std::size_t handlers = io.run_for(std::chrono::milliseconds(300));
    REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
    CHECK(handlers < 50);
    CHECK(requests.empty());
    for (int i = 0; i < 300 && requests.empty(); ++i)
        runServer(std::chrono::milliseconds(10));
    CHECK(requests.size() == 1);
}

// Guards against a refusal that does not state whether the request has run, and against one whose
// memory stays held.
TEST_CASE_METHOD(HttpClientMemoryFixture, "HttpServer_stalledBodyHoldsTheRoom_isAnswered503")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 300000\r\n\r\n";
    const auto holder = connect();
    const auto other = connect();
    for (const auto &[client, size] :
         { std::pair(holder.get(), 299'999), { other.get(), 300'000 } }) {
        const std::string bytes = head + std::string(static_cast<std::size_t>(size), 'x');
        for (std::size_t sent = 0; sent < bytes.size();) {
            boost::system::error_code ignored;
            sent += client->write_some(asio::buffer(bytes.substr(sent, 50'000)), ignored);
            runServer(std::chrono::milliseconds(1));
        }
        runServer(std::chrono::milliseconds(50));
    }
    CHECK(receive(*holder).substr(0, 12) == "HTTP/1.1 503");
    CHECK(metrics.counter("guest.closed_memory").value() == 1);
}

// Guards against trailer fields that no limit covers: they were stored as header fields, and the
// memory for them was not counted.
TEST_CASE_METHOD(HttpClientMemoryFixture, "HttpServer_trailerOfManyFields_isNotHeldWithTheRequest")
{
    std::string trailer = "Host: other\r\n";
    for (int i = 0; i < 10'000; ++i)
        trailer += "a:b\r\n";
    const auto client = connect();
    send(*client,
         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + trailer + "\r\n");
    for (int i = 0; i < 300 && requests.empty(); ++i)
        runServer(std::chrono::milliseconds(10));
    REQUIRE(requests.size() == 1);
    CHECK(lastRequest.headers.size() == 1);
    CHECK(lastRequest.header("Host").empty());
    CHECK(lastRequest.body == "x");
}

// Guards against a trailer without end that is not counted while it arrives.
TEST_CASE_METHOD(HttpClientMemoryFixture, "HttpServer_trailersWithoutEnd_areCounted")
{
    constexpr std::size_t trailerBytes = 50'000;
    std::vector<std::unique_ptr<tcp::socket>> clients;
    for (std::size_t i = 0; i < maxConnections; ++i) {
        clients.push_back(connect());
        send(*clients.back(),
             "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: "
                 + std::string(trailerBytes, 'x'));
        runServer(std::chrono::milliseconds(10));
    }
    const std::uint64_t peak = metrics.counter("guest.memory_peak_bytes").value();
    CHECK(peak >= maxConnections * trailerBytes);
    CHECK(peak <= total);
    CHECK(requests.empty());
}

// Guards against clients that wait for "100 Continue" with large headers and are not counted, or
// keep the room from others.
TEST_CASE_METHOD(HttpClientMemoryFixture, "HttpServer_headersThatExpectContinue_giveWayToOthers")
{
    constexpr std::uint64_t oneHeader = 512 * 1024; // parsed before its memory is known
    std::string fields = "Host: test\r\nExpect: 100-continue\r\nContent-Length: 100\r\n";
    for (int i = 0; i < 2500; ++i)
        fields += "a:b\r\n";
    std::vector<std::unique_ptr<tcp::socket>> clients;
    for (std::size_t i = 0; i + 1 < maxConnections; ++i) {
        clients.push_back(connect());
        send(*clients.back(), "POST / HTTP/1.1\r\n" + fields + "\r\n");
        runServer(std::chrono::milliseconds(10));
    }
    runServer(std::chrono::milliseconds(50));
    const auto ordinary = connect();
    send(*ordinary, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\nbody");
    for (int i = 0; i < 300 && requests.empty(); ++i)
        runServer(std::chrono::milliseconds(10));
    CHECK(requests.size() == 1);
    CHECK(metrics.counter("guest.closed_memory").value() > 0);
    const std::uint64_t peak = metrics.counter("guest.memory_peak_bytes").value();
    CHECK(peak >= 2500 * std::uint64_t { 128 });
    CHECK(peak <= total + oneHeader);
}

// Guards against any sequence of bytes and closes that makes the server hold more than its limit.
TEST_CASE_METHOD(HttpClientMemoryFixture, "HttpServer_randomClients_heldMemoryStaysWithinTheLimit")
{
    // One header of the shortest fields is parsed before its memory is known, and connections are
    // counted when they are open.
    constexpr std::uint64_t slack = 640 * 1024;
    RandomSource random(7);
    std::vector<std::unique_ptr<tcp::socket>> clients(maxConnections + 4);
    const std::string host = " / HTTP/1.1\r\nHost: test\r\n";
    std::string fields;
    for (int i = 0; i < 1500; ++i)
        fields += "a:b\r\n";
    const std::vector<std::string> pieces {
        "GET" + host + "\r\n",
        "GET" + host + "Connection: close\r\n\r\n",
        "POST" + host + "Content-Length: 300000\r\n\r\n",
        "POST" + host + "Content-Length: 99999999\r\n\r\n",
        "POST" + host + "Transfer-Encoding: chunked\r\n\r\n",
        "GET" + host + fields,
        "\r\n",
        "1\r\nx\r\n",
        "C350\r\n" + std::string(50'000, 'x') + "\r\n",
        "0\r\n\r\n",
        "5;" + std::string(20'000, 'e'),
        std::string(60'000, 'b'),
        std::string("\0\xff\n", 3),
    };
    constexpr std::size_t largeChunk = 8;
    for (int step = 0; step < 6000; ++step) {
        auto &client = clients[uniformBelow(random, clients.size())];
        const std::uint64_t action = uniformBelow(random, 40);
        if (!client || action == 0) {
            client = connect();
            send(*client, pieces[uniformBelow(random, 5)]);
        } else if (action == 1) {
            client.reset();
        } else {
            const std::string &piece
                = pieces[action < 8 ? uniformBelow(random, pieces.size()) : largeChunk];
            send(*client, action < 4 ? piece.substr(0, uniformBelow(random, piece.size())) : piece);
            if (hasEnded(*client))
                client.reset();
        }
        io.restart();
        io.poll();
        while (!requests.empty() && uniformBelow(random, 3) == 0) {
            server.respond(requests.front(), { 200, {}, "ok" });
            requests.pop_front();
        }
        REQUIRE(metrics.counter("guest.memory_peak_bytes").value() <= total + slack);
        REQUIRE(server.connectionCount() <= maxConnections + 1);
    }
    CHECK(metrics.counter("guest.memory_peak_bytes").value() > total / 2);
    clients.clear();
    for (int i = 0; i < 300 && server.connectionCount() > 0; ++i)
        runServer(std::chrono::milliseconds(10));
    CHECK(server.connectionCount() == 0);
}

} // namespace
} // namespace camphorreach
