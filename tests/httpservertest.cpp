// Tests of the limits and the drain of HttpServer.
#include "nodefixture.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <thread>
#include <vector>

namespace camphorreach {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class HttpServerFixture
{
protected:
    // Sends a body of this size and returns the status line.
    std::string post(std::size_t size)
    {
        asio::io_context io;
        tcp::socket socket(io);
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server.address().port));
        const std::string request = "POST / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n"
                                    "Content-Length: "
            + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(request), ignored);
        std::string response;
        asio::read(socket, asio::dynamic_buffer(response), ignored);
        return response.substr(0, response.find('\r'));
    }

    LoopbackServer server { [](LoopbackServer &self, impl::ExchangeId id, impl::HttpRequest &&) {
        self.respond(id, { 200, {}, "ok" });
    } };
};

// A server on an io_context that the test runs step by step, and a client with a persistent
// connection.
class HttpServerStepsFixture
{
protected:
    HttpServerStepsFixture()
    {
        client.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server.port()));
    }

    void sendRequest()
    {
        asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: test\r\n\r\n")));
    }

    void pollUntilRequests(std::size_t count)
    {
        while (requests.size() < count)
            io.run_one();
    }

    // Runs all handlers that are ready, and those that they post.
    void runPendingHandlers()
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(20));
    }

    // Reads until the server closes the connection.
    std::string readAll()
    {
        std::string responses;
        boost::system::error_code ignored;
        asio::read(client, asio::dynamic_buffer(responses), ignored);
        return responses;
    }

    static std::size_t countResponses(const std::string &bytes)
    {
        std::size_t count = 0;
        for (std::size_t at = bytes.find("HTTP/1.1 200"); at != std::string::npos;
             at = bytes.find("HTTP/1.1 200", at + 1))
            ++count;
        return count;
    }

    asio::io_context io;
    std::vector<impl::ExchangeId> requests;
    impl::HttpServer server {
        io,
        { "127.0.0.1", 0 },
        8,
        { [this](impl::ExchangeId id, impl::HttpRequest &&) { requests.push_back(id); }, {} }
    };
    asio::io_context clientIo;
    tcp::socket client { clientIo };
};

// A server with many open connections, on an io_context that the test runs step by step.
class CrowdedHttpServerFixture
{
protected:
    // Connects more clients; the server has not accepted them yet.
    void connect(std::size_t count)
    {
        const tcp::endpoint address(asio::ip::make_address("127.0.0.1"), server.port());
        for (std::size_t i = 0; i < count; ++i)
            clients.emplace_back(clientIo).connect(address);
    }

    // Runs until the server has accepted more than `count` connections.
    void runUntilAbove(std::size_t count)
    {
        while (server.connectionCount() <= count)
            io.run_one();
    }

    asio::io_context io;
    impl::HttpServer server {
        io, { "127.0.0.1", 0 }, 400, { [](impl::ExchangeId, auto &&) {}, {} }
    };
    asio::io_context clientIo;
    std::vector<tcp::socket> clients;
};

// Guards against a new client that waits behind the data of a crowd: one connection was accepted
// for each turn of all others.
TEST_CASE_METHOD(CrowdedHttpServerFixture,
                 "HttpServer_manyConnectionsAreOpen_pendingOnesAreAcceptedTogether")
{
    connect(300);
    runUntilAbove(299);
    connect(40);
    runUntilAbove(300);
    CHECK(server.connectionCount() == 340);
}

// Guards against closing a connection from which a request has just been read.
TEST_CASE_METHOD(HttpServerStepsFixture, "HttpServer_requestReadAsTheGraceEnds_isAnswered")
{
    const int steps = GENERATE(range(0, 8));
    sendRequest();
    pollUntilRequests(1);
    sendRequest();
    server.respond(requests[0], { 200, {}, "ok" });
    for (int i = 0; i < steps; ++i)
        io.poll_one();
    server.drain(std::chrono::seconds(0), [] {});
    runPendingHandlers();
    const std::size_t read = requests.size();
    if (read == 2)
        server.respond(requests[1], { 200, {}, "ok" });
    runPendingHandlers();
    client.shutdown(tcp::socket::shutdown_send);
    runPendingHandlers();
    CHECK(countResponses(readAll()) == read);
}

// Guards against a request that is dropped with its connection because the idle timeout passes
// before the bytes that have arrived are read.
TEST_CASE_METHOD(HttpServerStepsFixture, "HttpServer_requestReadAsTheIdleTimeoutPasses_isAnswered")
{
    const int steps = GENERATE(range(0, 6));
    HttpLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(30);
    server.setLimits(limits);
    sendRequest();
    pollUntilRequests(1);
    server.respond(requests[0], { 200, {}, "ok" });
    for (int i = 0; i < 4; ++i)
        io.poll_one(); // the response has been written and the next read has started
    sendRequest();
    std::this_thread::sleep_for(2 * limits.idleTimeout);
    for (int i = 0; i < steps; ++i)
        io.poll_one();
    runPendingHandlers();
    REQUIRE(requests.size() == 2);
    server.respond(requests[1], { 200, {}, "ok" });
    runPendingHandlers();
    client.shutdown(tcp::socket::shutdown_send);
    runPendingHandlers();
    CHECK(countResponses(readAll()) == 2);
}

// Guards against bodies that exhaust the memory, and against a reset that discards the response.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer_bodyAboveLimit_answers413AndTheClientSeesIt")
{
    CHECK(post(maxBodyBytes) == "HTTP/1.1 200 OK");
    CHECK(post(maxBodyBytes + 1) == "HTTP/1.1 413 Payload Too Large");
    CHECK(post(3 * maxBodyBytes) == "HTTP/1.1 413 Payload Too Large");
}

// Guards against a chunk size line that exhausts the memory.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer_chunkExtensionWithoutEnd_answers400")
{
    constexpr std::size_t maxBytes = 32U << 20U; // far above the socket buffers
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server.address().port));
    const std::string begin
        = "POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n4;";
    const std::string block(4096, 'x');
    boost::system::error_code error;
    asio::write(socket, asio::buffer(begin), error);
    std::size_t written = 0;
    while (!error && written < maxBytes && socket.available() == 0)
        written += asio::write(socket, asio::buffer(block), error);
    std::string status(12, ' ');
    asio::read(socket, asio::buffer(status), error);
    CHECK(status == "HTTP/1.1 400");
    CHECK(written < maxBytes);
}

} // namespace
} // namespace camphorreach
