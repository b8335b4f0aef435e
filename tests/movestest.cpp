// Tests of the filter `Moves` and of MoveController: verdicts, detection of regressions and leases.
#include <camphorreach/moves.h>

#include <camphorreach/impl/wire.h>
#include <camphorreach/result.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

class MovesFixture
{
protected:
    MovesFixture() { moves.process(EndpointsChanged { table() }, now, outbox); }

    static Endpoint endpoint(const std::string &name, const std::string &version)
    {
        Endpoint result;
        result.instance = InstanceId(name);
        result.peer = { "127.0.0.1", static_cast<std::uint16_t>(9000 + name.back()) };
        result.domain = FailureDomain("arima");
        result.service = ServiceName("orders");
        result.version = BackendVersion(version);
        return result;
    }
    static std::shared_ptr<const EndpointTable> table(bool hasOld = true)
    {
        auto result = std::make_shared<EndpointTable>();
        auto &list = result->services[ServiceName("orders")];
        if (hasOld)
            list.push_back(endpoint("orders-1", "v1"));
        list.push_back(endpoint("orders-2", "v2"));
        return result;
    }
    static MoveRecord record(const std::string &operation, MoveState state)
    {
        MoveRecord result;
        result.service = ServiceName("orders");
        result.from = BackendVersion("v1");
        result.to = BackendVersion("v2");
        result.state = state;
        result.share = Share::fromFraction(0.1);
        result.deadline = WallTime(600'000);
        result.operation = OperationId(operation);
        return result;
    }
    void receive(MoveMessage message)
    {
        moves.process(PeerReceived<MoveMessage> { { "127.0.0.1", 1 }, std::move(message) }, now,
                      outbox);
    }
    void receiveRecord(std::uint64_t version, const std::string &operation)
    {
        receive(
            MoveNotice { ObjectVersion(version), record(operation, MoveState::Ramping), {}, 0 });
    }
    void receiveVerdict(std::uint64_t version, const std::string &operation)
    {
        receive(BadVersionVerdict { ServiceName("orders"), BackendVersion("v2"),
                                    ObjectVersion(version), OperationId(operation),
                                    FailureDomain("arima"), "more failures" });
    }
    // The shares that were last sent to the router.
    ServiceShares shares()
    {
        for (const Moves::Output &output : outbox.take()) {
            if (const auto *changed = std::get_if<MoveSharesChanged>(&output))
                m_shares = changed->shares;
        }
        const auto found = m_shares->services.find(ServiceName("orders"));
        return found == m_shares->services.end() ? ServiceShares() : found->second;
    }
    bool isBanned() { return shares().banned.contains(BackendVersion("v2")); }
    Share share() { return shares().shares[BackendVersion("v2")]; }

    TimePoint now {};
    RandomSource random { 3 };
    Outbox<Moves::Output> outbox;
    Moves moves { endpoint("orders-1", "v1"), WallTime(0), random };

private:
    std::shared_ptr<const MoveShares> m_shares = std::make_shared<MoveShares>();
};

// Guards against a verdict that a late or repeated move notice lifts.
TEST_CASE_METHOD(MovesFixture, "Verdict_laterRecordOfSameMove_staysInForce")
{
    receiveRecord(5, "first");
    CHECK(share() == Share::fromFraction(0.1));
    receiveVerdict(5, "first");
    CHECK(isBanned());
    receiveRecord(4, "first");
    receiveRecord(6, "first");
    CHECK(isBanned());
    CHECK(share() == Share::none());
}

// Guards against a version that stays banned, or is banned again by a late message, after an
// operator requested a new move to it.
TEST_CASE_METHOD(MovesFixture, "Verdict_newMoveByOperator_isLiftedAndLateVerdictIsIgnored")
{
    receiveRecord(5, "first");
    receiveVerdict(5, "first");
    receiveRecord(8, "second");
    CHECK_FALSE(isBanned());
    receiveVerdict(5, "first"); // late
    CHECK_FALSE(isBanned());
}

// Guards against a node that sends requests to a bad version again after its restart.
TEST_CASE_METHOD(MovesFixture, "Verdict_emptyDigestOfRestartedNode_isAnsweredWithVerdict")
{
    receiveVerdict(5, "first");
    (void)outbox.take();
    receive(MoveDigest {});
    bool hasVerdict = false;
    for (const Moves::Output &output : outbox.take()) {
        const auto *send = std::get_if<PeerSend>(&output);
        const auto *message = send != nullptr ? std::get_if<MoveMessage>(&send->message) : nullptr;
        hasVerdict = hasVerdict
            || (message != nullptr && std::holds_alternative<BadVersionVerdict>(*message));
    }
    CHECK(hasVerdict);
}

// Guards against clients without any backend server when only the bad version is left.
TEST_CASE_METHOD(MovesFixture, "Verdict_noOtherVersionReady_doesNotBan")
{
    receiveVerdict(5, "first");
    CHECK(isBanned());
    moves.process(EndpointsChanged { table(false) }, now, outbox);
    CHECK_FALSE(isBanned());
}

// Guards against a verdict that waits for the controller. A node detects a regression from its own
// samples.
TEST_CASE_METHOD(MovesFixture, "Verdict_allRequestsToNewVersionFail_bansItWithoutPlatform")
{
    receiveRecord(5, "first");
    for (int second = 0; second < 30 && !isBanned(); ++second) {
        for (int i = 0; i < 30; ++i) {
            RequestSample sample;
            sample.service = ServiceName("orders");
            sample.domain = FailureDomain("arima");
            const bool isNew = i % 10 == 0;
            sample.version = BackendVersion(isNew ? "v2" : "v1");
            sample.instance = InstanceId(isNew ? "orders-2" : "orders-1");
            sample.result = isNew ? SampleResult::Failure : SampleResult::Success;
            moves.process(sample, now, outbox);
        }
        now += std::chrono::seconds(1);
        moves.advance(now, outbox);
    }
    CHECK(isBanned());
}

TEST_CASE_METHOD(MovesFixture, "Wire_moveNotice_isUnchangedAndFitsDatagram")
{
    MoveRecord full = record("operation", MoveState::Ramping);
    full.explanation = std::string(maxExplanationBytes, 'x');
    full.domainShares[FailureDomain("arima")] = Share::all();
    const MoveNotice notice { ObjectVersion(3), full, { "127.0.0.1", 9000 }, 7 };
    const std::string payload = impl::encodePayload({ { "127.0.0.1", 9001 }, MoveMessage(notice) });
    CHECK(payload.size() <= maxDatagramBytes);
    const auto decoded = impl::decodePayload(payload);
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).message == PeerMessage(MoveMessage(notice)));
}

class MoveControllerFixture
{
protected:
    MoveControllerFixture() { controller.setContender(true); }

    static LeaseRecord self()
    {
        LeaseRecord record;
        record.holder = InstanceId("orders-1");
        record.incarnation = Incarnation(1);
        return record;
    }
    std::vector<PlatformCall> advance()
    {
        Outbox<PlatformCall> outbox;
        MoveView view;
        view.reportingDomains = view.serviceDomains = { FailureDomain("arima") };
        view.evidence.requestsPerSecond = 100;
        controller.advance(now, WallTime(now.time_since_epoch().count() / 1000), {}, view, {},
                           outbox);
        return outbox.take();
    }
    void reply(const PlatformCall &call, PlatformResult result)
    {
        controller.process({ call.id, std::move(result) }, now);
    }
    // Answers all calls like a platform without other clients. Returns the write of the move
    // record, if any.
    std::optional<PlatformCall> run()
    {
        for (const PlatformCall &call : advance()) {
            if (const auto *write = std::get_if<PlatformWrite>(&call.operation)) {
                if (std::holds_alternative<MoveRecord>(write->value))
                    return call;
                reply(call, PlatformObject { ObjectVersion(++leaseVersion), write->value });
            } else if (const auto *read = std::get_if<PlatformRead>(&call.operation)) {
                if (read->key == moveKey(ServiceName("orders")))
                    reply(call, PlatformObject { version, record });
                else
                    reply(call, PlatformRefusal { PlatformRefusal::Reason::NotFound });
            }
        }
        return std::nullopt;
    }
    std::optional<PlatformCall> runUntilWrite(int seconds)
    {
        for (int i = 0; i < 10 * seconds; ++i) {
            if (auto write = run())
                return write;
            now += std::chrono::milliseconds(100);
        }
        return std::nullopt;
    }
    void requestMove()
    {
        record.service = ServiceName("orders");
        record.to = BackendVersion("v2");
        record.deadline = WallTime(600'000);
    }

    TimePoint now {};
    RandomSource random { 5 };
    PlatformCallIds callIds;
    MoveController controller { ServiceName("orders"), self(), callIds, random };
    ObjectVersion version { 4 };
    MoveRecord record;
    std::uint64_t leaseVersion = 0;
};

// Guards against a second step when the answer to the first is lost after its write took effect.
TEST_CASE_METHOD(MoveControllerFixture,
                 "Controller_answerToStepLost_readsBeforeNextWriteAndDoesNotRepeat")
{
    requestMove();
    const auto write = runUntilWrite(30);
    REQUIRE(write);
    const auto &step = std::get<PlatformWrite>(write->operation);
    CHECK(step.expected == ObjectVersion(4));
    record = std::get<MoveRecord>(step.value);
    version = ObjectVersion(5);
    reply(*write, PlatformNoReply { true });
    CHECK_FALSE(runUntilWrite(3)); // the record says that the step was just taken
    REQUIRE(controller.notice());
    CHECK(controller.notice()->version == ObjectVersion(5));
}

// Guards against a lease holder that writes after a pause that is longer than its lease.
TEST_CASE_METHOD(MoveControllerFixture, "Controller_pausedBeyondLease_doesNotWrite")
{
    requestMove();
    record.state = MoveState::Ramping;
    record.share = Share::fromFraction(0.01);
    record.steppedAt = WallTime(0);
    CHECK_FALSE(runUntilWrite(8));
    CHECK(controller.isLeading(now));
    now += std::chrono::minutes(8);
    for (const PlatformCall &call : advance()) {
        const auto *write = std::get_if<PlatformWrite>(&call.operation);
        CHECK((write == nullptr || !std::holds_alternative<MoveRecord>(write->value)));
    }
}

} // namespace
} // namespace camphorreach
