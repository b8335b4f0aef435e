// Tests of the HTTP server's limits.
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
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer.substr(0, answer.find('\r'));
    }

    LoopbackServer server { [](LoopbackServer &self, impl::ExchangeId id, impl::HttpRequest &&) {
        self.respond(id, { 200, {}, "ok" });
    } };
};

// One server on an io_context that the test runs step by step, and a client's kept connection.
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

    // Runs what is due and what follows from it.
    void settle()
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(20));
    }

    // All bytes until the server closes the connection.
    std::string readAll()
    {
        std::string answers;
        boost::system::error_code ignored;
        asio::read(client, asio::dynamic_buffer(answers), ignored);
        return answers;
    }

    static std::size_t countAnswers(const std::string &bytes)
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

// Guards against a connection that is closed under a request that has just been read from it.
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
    settle();
    const std::size_t read = requests.size();
    if (read == 2)
        server.respond(requests[1], { 200, {}, "ok" });
    settle();
    client.shutdown(tcp::socket::shutdown_send);
    settle();
    CHECK(countAnswers(readAll()) == read);
}

// Guards against a request that is dropped with its connection because the idle limit passes before
// the bytes that have arrived are read.
TEST_CASE_METHOD(HttpServerStepsFixture, "HttpServer_requestReadAsTheIdleLimitPasses_isAnswered")
{
    const int steps = GENERATE(range(0, 6));
    HttpLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(30);
    server.setLimits(limits);
    sendRequest();
    pollUntilRequests(1);
    server.respond(requests[0], { 200, {}, "ok" });
    for (int i = 0; i < 4; ++i)
        io.poll_one(); // the response has been written, and the next read has begun
    sendRequest();
    std::this_thread::sleep_for(2 * limits.idleTimeout);
    for (int i = 0; i < steps; ++i)
        io.poll_one();
    settle();
    REQUIRE(requests.size() == 2);
    server.respond(requests[1], { 200, {}, "ok" });
    settle();
    client.shutdown(tcp::socket::shutdown_send);
    settle();
    CHECK(countAnswers(readAll()) == 2);
}

// Guards against bodies that use up memory, and against a reset that hides the reason.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer_bodyAboveLimit_answers413AndTheClientSeesIt")
{
    CHECK(post(maxBodyBytes) == "HTTP/1.1 200 OK");
    CHECK(post(maxBodyBytes + 1) == "HTTP/1.1 413 Payload Too Large");
    CHECK(post(3 * maxBodyBytes) == "HTTP/1.1 413 Payload Too Large");
}

// Guards against a chunk's size line that uses up memory.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer_chunkExtensionWithoutEnd_answers400")
{
    constexpr std::size_t mostBytes = 32U << 20U; // far above what sockets hold
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server.address().port));
    const std::string begin
        = "POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n4;";
    const std::string block(4096, 'x');
    boost::system::error_code error;
    asio::write(socket, asio::buffer(begin), error);
    std::size_t written = 0;
    while (!error && written < mostBytes && socket.available() == 0)
        written += asio::write(socket, asio::buffer(block), error);
    std::string status(12, ' ');
    asio::read(socket, asio::buffer(status), error);
    CHECK(status == "HTTP/1.1 400");
    CHECK(written < mostBytes);
}

} // namespace
} // namespace camphorreach
