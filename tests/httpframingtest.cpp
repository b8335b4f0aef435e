// Tests of the framing of the responses that HttpServer writes.
#include <camphorreach/impl/httpserver.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace camphorreach {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// A server on an io_context that the test runs step by step, and a client with one connection.
class HttpFramingFixture
{
protected:
    HttpFramingFixture()
    {
        client.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server.port()));
        client.set_option(tcp::no_delay(true));
    }

    void send(const std::string &bytes)
    {
        asio::write(client, asio::buffer(bytes));
        runServer();
    }

    void sendRequest(const std::string &method)
    {
        send(method + " / HTTP/1.1\r\nHost: test\r\n\r\n");
    }

    // Runs the server for a moment.
    void runServer()
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(30));
    }

    // Reads what the server has sent.
    std::string receive()
    {
        runServer();
        std::string bytes;
        boost::system::error_code error;
        client.non_blocking(true);
        std::string block(65536, ' ');
        while (true) {
            const std::size_t size = client.read_some(asio::buffer(block), error);
            if (error)
                return bytes;
            bytes.append(block, 0, size);
        }
    }

    // What follows the first head.
    static std::string behindHead(const std::string &bytes)
    {
        const std::size_t end = bytes.find("\r\n\r\n");
        return end == std::string::npos ? "no head in: " + bytes : bytes.substr(end + 4);
    }

    static bool hasLength(const std::string &bytes)
    {
        return bytes.substr(0, bytes.find("\r\n\r\n")).find("Content-Length") != std::string::npos;
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

// Guards against a body behind the head of a response to HEAD: the client takes it for the
// beginning of its next response.
TEST_CASE_METHOD(HttpFramingFixture, "HttpServer_textForHead_isLeftOutAndTheNextResponseIsWhole")
{
    sendRequest("HEAD");
    sendRequest("GET");
    REQUIRE(requests.size() == 2);
    server.respond(requests[0], { 404, { { "Content-Type", "text/plain" } }, "no-route\n" });
    const std::string first = receive();
    CHECK(first.substr(0, 12) == "HTTP/1.1 404");
    CHECK(first.find("Content-Length: 9\r\n") != std::string::npos);
    CHECK(behindHead(first).empty());
    server.respond(requests[1], { 200, {}, "whole" });
    const std::string second = receive();
    CHECK(second.substr(0, 12) == "HTTP/1.1 200");
    CHECK(behindHead(second) == "whole");
}

// Guards against a length of zero in the response to HEAD when the one to GET would have a body.
TEST_CASE_METHOD(HttpFramingFixture, "HttpServer_noBodyForHead_statesNoLength")
{
    sendRequest("HEAD");
    REQUIRE(requests.size() == 1);
    server.respond(requests[0], { 200, {}, "" });
    const std::string response = receive();
    CHECK(response.substr(0, 12) == "HTTP/1.1 200");
    CHECK_FALSE(hasLength(response));
    sendRequest("GET");
    REQUIRE(requests.size() == 2);
    server.respond(requests[1], { 200, {}, "" });
    CHECK(hasLength(receive()));
}

// Guards against text in a response whose status rules out a body. Encoding it ended the process.
TEST_CASE_METHOD(HttpFramingFixture,
                 "HttpServer_textFor204Or304_isLeftOutAndTheNextResponseIsWhole")
{
    const std::uint16_t status = GENERATE(204, 304);
    sendRequest("GET");
    sendRequest("GET");
    REQUIRE(requests.size() == 2);
    REQUIRE_NOTHROW(server.respond(requests[0], { status, {}, "nothing here" }));
    const std::string first = receive();
    CHECK(first.substr(0, 12) == "HTTP/1.1 " + std::to_string(status));
    CHECK(behindHead(first).empty());
    CHECK_FALSE(hasLength(first));
    server.respond(requests[1], { 200, {}, "whole" });
    CHECK(behindHead(receive()) == "whole");
}

// Guards against a body in the server's own refusal of a HEAD request that it cannot read.
TEST_CASE_METHOD(HttpFramingFixture, "HttpServer_refusedHead_isAnsweredWithoutBody")
{
    send("HEAD / HTTP/1.1\r\nHost: test\r\nContent-Length: 99999999\r\n\r\n");
    const std::string response = receive();
    CHECK(response.substr(0, 12) == "HTTP/1.1 413");
    CHECK(behindHead(response).empty());
}

} // namespace
} // namespace camphorreach
