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

    static std::string expecting(const std::string &fields)
    {
        return "POST / HTTP/1.1\r\nHost: test\r\nExpect: 100-continue\r\n" + fields + "\r\n";
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

    static constexpr const char *continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
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

// Guards against a request that is reported although it cannot be forwarded.
TEST_CASE_METHOD(HttpFramingFixture, "HttpServer_traceWithBody_isAnswered400")
{
    const std::string framing = GENERATE("Content-Length: 1\r\n\r\nx",
                                         "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n");
    send("TRACE / HTTP/1.1\r\nHost: test\r\n" + framing);
    CHECK(requests.empty());
    CHECK(receive().substr(0, 12) == "HTTP/1.1 400");
}

// Guards against a check that refuses TRACE altogether.
TEST_CASE_METHOD(HttpFramingFixture, "HttpServer_traceWithoutBody_isReported")
{
    sendRequest("TRACE");
    CHECK(requests.size() == 1);
}

// Guards against an exception of the parser, which ended the process, when the configuration allows
// larger headers than the library holds in one field.
TEST_CASE_METHOD(HttpFramingFixture, "HttpServer_fieldOf70KBWithinTheLimit_isAnswered431")
{
    HttpLimits limits;
    limits.headerBytes = 256 * 1024;
    server.setLimits(limits);
    REQUIRE_NOTHROW(
        send("GET / HTTP/1.1\r\nHost: test\r\nX-Long: " + std::string(70'000, 'x') + "\r\n\r\n"));
    CHECK(requests.empty());
    CHECK(receive().substr(0, 12) == "HTTP/1.1 431");
}

// Guards against an exception of the encoder, which ended the process, and against a response that
// the client does not take for a final one.
TEST_CASE_METHOD(HttpFramingFixture, "HttpServer_responseThatCannotBeSent_isAnswered502")
{
    const bool hasLongField = GENERATE(true, false);
    const std::uint16_t status = hasLongField ? 200 : GENERATE(0, 101, 199, 1000);
    std::vector<impl::HttpHeader> headers;
    if (hasLongField)
        headers.push_back({ "X-Long", std::string(70'000, 'x') });
    sendRequest("GET");
    sendRequest("GET");
    REQUIRE(requests.size() == 2);
    REQUIRE_NOTHROW(server.respond(requests[0], { status, headers, "text" }));
    CHECK(receive().substr(0, 12) == "HTTP/1.1 502");
    server.respond(requests[1], { 200, {}, "whole" });
    CHECK(behindHead(receive()) == "whole");
}

// Guards against clients that wait in vain for permission to send the body.
TEST_CASE_METHOD(HttpFramingFixture, "HttpServer_clientExpectsContinue_isToldToSendTheBody")
{
    send(expecting("Content-Length: 4\r\n"));
    CHECK(receive() == continueResponse);
    CHECK(requests.empty());
    send("body");
    REQUIRE(requests.size() == 1);
    server.respond(requests[0], { 200, {}, "ok" });
    CHECK(receive().substr(0, 12) == "HTTP/1.1 200");
    send(expecting("Transfer-Encoding: chunked\r\n"));
    CHECK(receive() == continueResponse);
}

// Guards against an interim response between the parts of others, or before an earlier one.
TEST_CASE_METHOD(HttpFramingFixture,
                 "HttpServer_continueBehindAnotherRequest_comesAfterItsResponse")
{
    sendRequest("GET");
    send(expecting("Content-Length: 4\r\n"));
    CHECK(receive().empty());
    server.respond(requests.at(0), { 200, {}, "ok" });
    const std::string responses = receive();
    CHECK(responses.substr(0, 12) == "HTTP/1.1 200");
    CHECK(responses.ends_with("\r\n\r\nok" + std::string(continueResponse)));
}

// Guards against an interim response that nobody expects.
TEST_CASE_METHOD(HttpFramingFixture, "HttpServer_bodyIsNotAwaited_sendsNoContinue")
{
    const std::string bytes = GENERATE_REF(
        expecting("Content-Length: 4\r\n") + "bo", expecting("Content-Length: 0\r\n"),
        "POST / HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n",
        "POST / HTTP/1.1\r\nExpect: other\r\nContent-Length: 4\r\n\r\n");
    send(bytes);
    CHECK(receive().empty());
}

// Guards against an invitation to send a body that is refused afterwards.
TEST_CASE_METHOD(HttpFramingFixture, "HttpServer_tooLargeBodyExpectsContinue_isAnswered413AtOnce")
{
    send(expecting("Content-Length: 99999999\r\n"));
    CHECK(receive().substr(0, 12) == "HTTP/1.1 413");
}

} // namespace
} // namespace camphorreach
