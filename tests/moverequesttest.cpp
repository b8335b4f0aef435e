// Tests of requests to start a move, as made by "camphorreach move".
#include <camphorreach/moverequest.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

class MoveRequestFixture
{
protected:
    MoveRequestFixture()
    {
        spec.service = ServiceName("orders");
        spec.to = BackendVersion("v2");
        spec.operation = OperationId("mine");
        spec.deadline = WallTime(900'000);
        spec.soak = std::chrono::seconds(60);
        spec.announced = { BackendVersion("v1"), BackendVersion("v2") };
    }
    static ErrorCode codeOf(const MoveRequest::Step &step)
    {
        REQUIRE(std::holds_alternative<Error>(step));
        return std::get<Error>(step).code;
    }

    MoveSpec spec;
    const PlatformResult absent = PlatformRefusal { PlatformRefusal::Reason::NotFound };
};

// Guards against a second move when the answer to a write is lost after the write took effect.
TEST_CASE_METHOD(MoveRequestFixture, "Start_answerLostAfterWrite_findsItsOperation")
{
    MoveRequest request(spec);
    const auto write = request.process(absent, WallTime(0));
    const auto &operation = std::get<PlatformWrite>(std::get<PlatformOperation>(write));
    CHECK(operation.expected == ObjectVersion());
    const auto again = request.process(PlatformNoReply { true }, WallTime(0));
    REQUIRE(std::holds_alternative<PlatformOperation>(again));
    const auto end = request.process(PlatformObject { ObjectVersion(1), operation.value }, {});
    REQUIRE(std::holds_alternative<MoveRecord>(end));
    CHECK(std::get<MoveRecord>(end).operation == spec.operation);
}

TEST_CASE_METHOD(MoveRequestFixture, "Start_platformSilentAfterWrite_outcomeIsUnknown")
{
    MoveRequest request(spec);
    MoveRequest::Step step = request.process(absent, WallTime(0));
    while (std::holds_alternative<PlatformOperation>(step))
        step = request.process(PlatformNoReply { true }, WallTime(0));
    CHECK(codeOf(step) == ErrorCode::UnknownOutcome);
}

TEST_CASE_METHOD(MoveRequestFixture, "Start_moveUnderWay_isConflict")
{
    MoveRecord other;
    other.operation = OperationId("theirs");
    MoveRequest request(spec);
    const auto end = request.process(PlatformObject { ObjectVersion(3), other }, WallTime(0));
    CHECK(codeOf(end) == ErrorCode::Conflict);
}

TEST_CASE_METHOD(MoveRequestFixture, "Start_versionNotAnnouncedOrTimeTooShort_isRefused")
{
    MoveSpec unknown = spec;
    unknown.to = BackendVersion("v9");
    CHECK(codeOf(MoveRequest(unknown).process(absent, WallTime(0))) == ErrorCode::InvalidInput);
    MoveSpec tooSoon = spec;
    tooSoon.deadline = WallTime(60'000);
    CHECK(codeOf(MoveRequest(tooSoon).process(absent, WallTime(0))) == ErrorCode::InvalidInput);
}

TEST_CASE_METHOD(MoveRequestFixture, "Deadline_durationAndTime_areParsed")
{
    const WallTime now(1'000);
    CHECK(valueOf(parseDeadline("15m", now)) == WallTime(901'000));
    CHECK(valueOf(parseDeadline("1970-01-01T00:01:00Z", now)) == WallTime(60'000));
    CHECK_FALSE(isOk(parseDeadline("soon", now)));
    CHECK_FALSE(isOk(parseDeadline("15", now)));
}

} // namespace
} // namespace camphorreach
