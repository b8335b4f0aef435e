// Answers that are repeated, cut or without end, as the platform's backend servers may send them.
#include "../platform/requests.h"

#include "faultyserver.h"

#include <camphorreach/impl/backendendpoint.h>
#include <camphorreach/result.h>
#include <camphorreach/ring.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using Endpoint = impl::BasicBackendEndpoint<platform::ServerDialect>;
using OwnEndpoint = impl::BackendEndpoint;
using Step = FaultyServer::Step;

const std::string answerHead = "HTTP/1.1 200 OK\r\nX-Camphorreach-Attempt-Id: a-2\r\n";
const std::string answer = answerHead + "Content-Length: 4\r\n\r\ndone";
const std::string firstAnswer
    = "HTTP/1.1 200 OK\r\nX-Camphorreach-Attempt-Id: a-1\r\nContent-Length: 4\r\n\r\ndone";
const std::string namelessRefusal
    = "HTTP/1.1 503 Busy\r\nX-Camphorreach-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string refusalOfFirst
    = "HTTP/1.1 503 Busy\r\nX-Camphorreach-Not-Executed: 1\r\nX-Camphorreach-Attempt-Id: a-1\r\n"
      "Content-Length: 0\r\n\r\n";

// One endpoint with one connection for calls, so that a second call uses that of the first.
template <typename E>
class FaultyServerFixture
{
protected:
    using Result = std::variant<Answered, BackendFailure>;

    void start(std::vector<Step> script)
    {
        server = std::make_unique<FaultyServer>(std::move(script));
        endpoint = std::make_unique<E>(
            server->address(), 2, 0,
            [this](BackendEvent &&event) { (void)events.pushReserved(std::move(event)); }, metrics);
        endpoint->start();
    }
    ~FaultyServerFixture()
    {
        if (endpoint)
            endpoint->stop();
    }

    Result call(const std::string &attemptId, Duration budget = std::chrono::seconds(60))
    {
        BackendCall backendCall { CallId(++calls), {} };
        backendCall.request.budget = budget;
        backendCall.request.attemptId = GuestAttemptId(attemptId);
        backendCall.request.content = { "GET", "/bags/1", "", "" };
        endpoint->ring().push(std::move(backendCall));
        while (auto event = events.pop(std::nullopt)) {
            if (auto *result = std::get_if<BackendResult>(&*event))
                return std::move(result->result);
        }
        return BackendFailure::NotSent;
    }

    // The result of one call whose answer the server writes and then closes.
    Result resultOf(const std::string &bytes)
    {
        start({ { bytes } });
        return call("a-2");
    }

    static bool isFailure(const Result &result, BackendFailure failure)
    {
        const auto *found = std::get_if<BackendFailure>(&result);
        return found != nullptr && *found == failure;
    }

    using BackendEvent = impl::BackendEvent;

    MetricsRegistry metrics;
    Ring<BackendEvent> events { 1024 };
    std::unique_ptr<FaultyServer> server;
    std::unique_ptr<E> endpoint;
    std::uint64_t calls = 0;
};

class PlatformServerFixture : public FaultyServerFixture<Endpoint>
{ };

class OwnServerFixture : public FaultyServerFixture<OwnEndpoint>
{ };

// Guards against "not run" for a request that runs, told by the refusal of another one.
TEST_CASE_METHOD(PlatformServerFixture, "FaultyServer_refusalRepeatedWithItsId_isDropped")
{
    start({ { refusalOfFirst }, { refusalOfFirst + answer } });
    REQUIRE(isFailure(call("a-1"), BackendFailure::Refused));
    CHECK(std::holds_alternative<Answered>(call("a-2")));
    CHECK(server->connectionCount() == 1);
}

// Guards against "not run" for a request that runs, when nothing tells whose refusal it is.
TEST_CASE_METHOD(PlatformServerFixture,
                 "FaultyServer_refusalWithoutIdOnAUsedConnection_provesNothing")
{
    start({ { firstAnswer }, { namelessRefusal } });
    REQUIRE(std::holds_alternative<Answered>(call("a-1")));
    CHECK(isFailure(call("a-2"), BackendFailure::BadAnswer));
    CHECK(server->connectionCount() == 1);
}

TEST_CASE_METHOD(PlatformServerFixture,
                 "FaultyServer_refusalWithoutIdOnAFreshConnection_endsThatConnection")
{
    start({ { namelessRefusal }, { namelessRefusal } });
    CHECK(isFailure(call("a-1"), BackendFailure::Refused));
    CHECK(isFailure(call("a-2"), BackendFailure::Refused));
    CHECK(server->connectionCount() == 2);
}

// Guards against the same fault where answers bear no id.
TEST_CASE_METHOD(OwnServerFixture, "FaultyServer_ownRefusalRepeated_isNotTakenForTheNextRequest")
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    start({ { refusal }, { refusal + answer } });
    CHECK(isFailure(call("a-1"), BackendFailure::Refused));
    CHECK(isFailure(call("a-2"), BackendFailure::Refused)); // the first answer of a new connection
    CHECK(server->connectionCount() == 2);
}

// Guards against a short answer that is passed on as a whole one.
TEST_CASE_METHOD(PlatformServerFixture, "FaultyServer_answerCutAnywhere_isNeverAnAnswer")
{
    for (std::size_t size = 0; size < answer.size(); ++size) {
        const Result result = resultOf(answer.substr(0, size));
        endpoint->stop();
        INFO("cut after " << size << " bytes");
        CHECK(std::holds_alternative<BackendFailure>(result));
    }
    CHECK(std::holds_alternative<Answered>(resultOf(answer)));
}

TEST_CASE_METHOD(PlatformServerFixture, "FaultyServer_unframedAnswerCutInItsHead_isNeverAnAnswer")
{
    const std::string head = answerHead + "\r\n";
    for (std::size_t size = 0; size < head.size(); ++size) {
        const Result result = resultOf(head.substr(0, size));
        endpoint->stop();
        INFO("cut after " << size << " bytes");
        CHECK(std::holds_alternative<BackendFailure>(result));
    }
}

// Guards against an interim response that a guest gets as its answer.
TEST_CASE_METHOD(OwnServerFixture, "FaultyServer_interimResponsesBeforeTheAnswer_areSkipped")
{
    const Result result = resultOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
                                   "Link: x\r\n\r\n"
                                   + answer);
    REQUIRE(std::holds_alternative<Answered>(result));
    CHECK(std::get<Answered>(result).status == 200);
}

// Guards against bytes without end that use up memory, or hold a request until its deadline.
TEST_CASE_METHOD(PlatformServerFixture, "FaultyServer_bytesWithoutEnd_endTheCallWithinABound")
{
    constexpr std::size_t mostBytes = 32U << 20U; // the limit of a body, and what sockets hold
    const std::string chunked = answerHead + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string block(4096, 'x');
    const Step step = GENERATE_COPY(
        values<Step>({ { "", block }, // in the status line
                       { "HTTP/1.1 200 OK\r\nX-Long: ", block }, // in a field
                       { "HTTP/1.1 200 OK\r\n", "X-Field: x\r\n" }, // in the number of fields
                       { "", "HTTP/1.1 100 Continue\r\n\r\n" }, // in interim responses
                       { "", firstAnswer }, // in answers to another request
                       { answerHead + "\r\n", block }, // in a body without a length
                       { chunked, "4\r\nmore\r\n" }, // in chunks
                       { chunked, "0" }, // in the size of a chunk
                       { chunked + "4;", block }, // in the extension of a chunk
                       { chunked + "0\r\n", "X-Trailer: x\r\n" }, // in trailers
                       { chunked + "0\r\nX-Trailer: ", block } }));
    INFO("after " << step.bytes << ", without end: " << step.endless.substr(0, 32));
    start({ step });
    const Result result = call("a-2");
    CHECK(isFailure(result, BackendFailure::BadAnswer));
    CHECK(server->bytesWritten() < mostBytes);
}

} // namespace
} // namespace camphorreach
