// Tests of HttpServer with clients that send requests before the responses to earlier ones.
#include <camphorreach/impl/httpserver.h>
#include <camphorreach/random.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace camphorreach {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// A server on an io_context that the test runs step by step, and a client that sends ahead.
class HttpPipeliningFixture
{
protected:
    struct Received
    {
        impl::ExchangeId id = 0;
        std::string target;
    };

    HttpPipeliningFixture()
    {
        client.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server.port()));
        client.set_option(tcp::no_delay(true));
    }

    static std::string get(const std::string &target, const std::string &fields = "")
    {
        return "GET " + target + " HTTP/1.1\r\nHost: test\r\n" + fields + "\r\n";
    }

    void send(const std::string &bytes) { asio::write(client, asio::buffer(bytes)); }

    // Runs the server for a moment.
    void runServer()
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(30));
    }

    void respond(std::size_t index, const std::string &body)
    {
        server.respond(requests.at(index).id, { 200, {}, body });
    }

    [[nodiscard]] std::vector<std::string> targets() const
    {
        std::vector<std::string> result;
        for (const Received &request : requests)
            result.push_back(request.target);
        return result;
    }

    // Reads what the server has sent, up to the end of the connection if it was closed.
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
                break;
            bytes.append(block, 0, size);
        }
        isClosed = error == asio::error::eof;
        return bytes;
    }

    // Status and body of each response, such as "200 a", with "!" where it announces the close.
    static std::vector<std::string> responsesIn(const std::string &bytes)
    {
        std::vector<std::string> responses;
        std::size_t at = 0;
        while ((at = bytes.find("HTTP/1.1 ", at)) != std::string::npos) {
            const std::size_t end = bytes.find("\r\n\r\n", at);
            const std::string head = bytes.substr(at, end - at);
            const std::size_t field = head.find("Content-Length: ");
            const std::size_t length = std::stoul(head.substr(field + 16));
            const bool isClosing = head.find("Connection: close") != std::string::npos;
            responses.push_back(head.substr(9, 3) + " " + bytes.substr(end + 4, length)
                                + (isClosing ? "!" : ""));
            at = end + 4 + length;
        }
        return responses;
    }

    using Targets = std::vector<std::string>;
    using Responses = std::vector<std::string>;

    asio::io_context io;
    std::vector<Received> requests;
    std::vector<impl::ExchangeId> disconnected;
    bool isClosed = false; // by the server, as seen by receive()
    impl::HttpServer server { io,
                              { "127.0.0.1", 0 },
                              8,
                              { [this](impl::ExchangeId id, impl::HttpRequest &&request) {
                                   requests.push_back({ id, request.target });
                               },
                                [this](impl::ExchangeId id) { disconnected.push_back(id); } } };
    asio::io_context clientIo;
    tcp::socket client { clientIo };
};

// Guards against requests that wait for the responses to earlier ones. Seen on kvotbryggan-gbg: a
// listing read behind two others reached its server after their whole service times.
TEST_CASE_METHOD(HttpPipeliningFixture, "HttpServer_requestsSentAhead_arriveAtOnceAndStayInOrder")
{
    send(get("/1") + get("/2") + get("/3"));
    runServer();
    REQUIRE(targets() == Targets { "/1", "/2", "/3" });
    respond(2, "c");
    respond(1, "b");
    CHECK(receive().empty());
    respond(0, "a");
    CHECK(responsesIn(receive()) == Responses { "200 a", "200 b", "200 c" });
    CHECK_FALSE(isClosed);
    send(get("/4"));
    runServer();
    REQUIRE(requests.size() == 4);
    respond(3, "d");
    CHECK(responsesIn(receive()) == Responses { "200 d" });
}

// Guards against requests that run on for a client that has left, whatever it has sent.
TEST_CASE_METHOD(HttpPipeliningFixture, "HttpServer_clientLeavesWithFiveUnderWay_reportsEachOfThem")
{
    send(get("/1") + get("/2") + get("/3") + get("/4") + get("/5") + "GET /6 HTT");
    runServer();
    REQUIRE(requests.size() == 5);
    respond(3, "d");
    client.close();
    runServer();
    std::vector<impl::ExchangeId> expected;
    for (const std::size_t index : { 0, 1, 2, 4 })
        expected.push_back(requests[index].id);
    std::ranges::sort(disconnected);
    CHECK(disconnected == expected);
    CHECK(server.connectionCount() == 0);
    respond(0, "a"); // has no effect
}

// Guards against a request that runs although the response before it has closed the connection.
TEST_CASE_METHOD(HttpPipeliningFixture, "HttpServer_closeAskedInTheMiddle_laterRequestsAreNotRead")
{
    send(get("/1") + get("/2", "Connection: close\r\n") + get("/3"));
    runServer();
    REQUIRE(targets() == Targets { "/1", "/2" });
    respond(1, "b");
    respond(0, "a");
    CHECK(responsesIn(receive()) == Responses { "200 a", "200 b!" });
    CHECK(isClosed);
    CHECK(requests.size() == 2);
}

TEST_CASE_METHOD(HttpPipeliningFixture, "HttpServer_malformedBehindOthers_answers400AfterThem")
{
    send(get("/1") + get("/2") + "no request at all\r\n\r\n" + get("/3"));
    runServer();
    REQUIRE(targets() == Targets { "/1", "/2" });
    respond(1, "b");
    CHECK(receive().empty());
    respond(0, "a");
    const Responses responses = responsesIn(receive());
    REQUIRE(responses.size() == 3);
    CHECK(responses[1] == "200 b");
    CHECK(responses[2].substr(0, 3) == "400");
    CHECK(responses[2].back() == '!');
    CHECK(isClosed);
}

TEST_CASE_METHOD(HttpPipeliningFixture, "HttpServer_tooLargeBehindAnother_answersInOrder")
{
    HttpLimits limits;
    limits.bodyBytes = 100;
    limits.headerBytes = 300;
    server.setLimits(limits);
    const bool isBody = GENERATE(true, false);
    send(get("/1")
         + (isBody ? "POST /2 HTTP/1.1\r\nHost: test\r\nContent-Length: 101\r\n\r\n"
                   : get("/2", "X-Long: " + std::string(400, 'x') + "\r\n")));
    runServer();
    REQUIRE(targets() == Targets { "/1" });
    respond(0, "a");
    const Responses responses = responsesIn(receive());
    REQUIRE(responses.size() == 2);
    CHECK(responses[0] == "200 a");
    CHECK(responses[1].substr(0, 3) == (isBody ? "413" : "431"));
    CHECK(isClosed);
}

// Guards against a planned stop that cuts off requests that were sent ahead.
TEST_CASE_METHOD(HttpPipeliningFixture, "HttpServer_drainWithThreeUnderWay_answersAllAndThenCloses")
{
    send(get("/1") + get("/2") + get("/3"));
    runServer();
    REQUIRE(requests.size() == 3);
    bool areAllClosed = false;
    server.drain(std::chrono::milliseconds(10), [&] { areAllClosed = true; });
    runServer();
    send(get("/4"));
    runServer();
    CHECK(requests.size() == 3);
    respond(1, "b");
    respond(2, "c");
    runServer();
    respond(0, "a");
    CHECK(responsesIn(receive()) == Responses { "200 a", "200 b", "200 c!" });
    CHECK(isClosed);
    client.close();
    runServer();
    CHECK(areAllClosed);
}

// Guards against a client that sends without end and reads nothing.
TEST_CASE_METHOD(HttpPipeliningFixture, "HttpServer_clientSendsAheadWithoutEnd_isBounded")
{
    constexpr std::size_t maxRequests = 64;
    constexpr std::size_t maxBytes = 32U << 20U; // far above the socket buffers
    const std::string block = get("/" + std::string(500, 'x'));
    client.non_blocking(true);
    std::size_t written = 0;
    boost::system::error_code error;
    for (int pause = 0; pause < 3 && written < maxBytes;) {
        written += client.write_some(asio::buffer(block), error);
        if (error) {
            runServer();
            ++pause;
        }
    }
    CHECK(written < maxBytes);
    CHECK(requests.size() >= 5);
    CHECK(requests.size() <= maxRequests);
}

// Guards against responses out of order or of another request, whatever the order of events.
TEST_CASE_METHOD(HttpPipeliningFixture, "HttpServer_randomOrderOfAnswers_everyResponseInItsPlace")
{
    const std::uint64_t seed = GENERATE(range(1, 21));
    RandomSource random(seed);
    constexpr std::size_t count = 40;
    std::string bytes;
    Responses expected;
    for (std::size_t i = 0; i < count; ++i) {
        bytes += get("/" + std::to_string(i));
        expected.push_back("200 /" + std::to_string(i));
    }
    std::string responses;
    std::vector<bool> isAnswered(count, false);
    std::size_t answered = 0;
    std::size_t sent = 0;
    for (int step = 0; step < 10'000 && answered < count; ++step) {
        const std::size_t size = std::min(bytes.size() - sent, 1 + uniformBelow(random, 60));
        send(bytes.substr(sent, size));
        sent += size;
        io.restart();
        io.poll();
        const std::size_t index = uniformBelow(random, std::max<std::size_t>(1, requests.size()));
        if (index < requests.size() && !isAnswered[index]) {
            isAnswered[index] = true;
            ++answered;
            respond(index, requests[index].target);
        }
    }
    REQUIRE(answered == count);
    CHECK(responsesIn(receive()) == expected);
}

} // namespace
} // namespace camphorreach
