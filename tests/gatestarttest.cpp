// Tests of a gate that starts while other gates know requests that crash backend servers.
#include "gatefixture.h"

#include <camphorreach/fingerprint.h>

#include <set>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class GateStartFixture : public GateFixture
{
protected:
    static Gate::Limits askingLimits()
    {
        Gate::Limits limits = defaultLimits();
        limits.asksForQuarantines = true;
        return limits;
    }

    GateStartFixture() : GateFixture(askingLimits())
    {
        gate.advance(now, outbox);
        pass({});
    }

    // Makes the gates at ports 1, this one, to \a count known.
    void setGates(std::uint16_t count)
    {
        auto table = std::make_shared<EndpointTable>();
        for (std::uint16_t port = 1; port <= count; ++port) {
            Endpoint endpoint;
            endpoint.peer = NetAddress { "127.0.0.1", port };
            table->services[ServiceName("orders")].push_back(endpoint);
        }
        process(EndpointsChanged { std::move(table) });
    }

    static QuarantineEntry entryOf(const std::string &body, bool isConfirmed)
    {
        return { fingerprintOf(request(1, body).content), minutes(5), isConfirmed };
    }

    void receive(QuarantineMessage message)
    {
        process(PeerReceived<QuarantineMessage> { { "127.0.0.1", 2 }, std::move(message) });
    }

    [[nodiscard]] std::set<std::uint16_t> asked() const
    {
        std::set<std::uint16_t> ports;
        for (const PeerSend &send : sent) {
            const auto *message = std::get_if<QuarantineMessage>(&send.message);
            if (message != nullptr && std::holds_alternative<QuarantineRequest>(*message))
                ports.insert(send.to.port);
        }
        return ports;
    }

    [[nodiscard]] std::vector<QuarantineNotice> notices() const
    {
        std::vector<QuarantineNotice> result;
        for (const PeerSend &send : sent) {
            const auto *message = std::get_if<QuarantineMessage>(&send.message);
            if (message != nullptr && std::holds_alternative<QuarantineNotice>(*message))
                result.push_back(std::get<QuarantineNotice>(*message));
        }
        return result;
    }
};

// Guards against a request that crashes one more backend server for each node that is restarted.
TEST_CASE_METHOD(GateStartFixture, "GateStart_quarantineAtOtherGate_isKnownBeforeFirstDispatch")
{
    setGates(9);
    CHECK(asked().size() == 3);
    CHECK_FALSE(asked().contains(1));
    send(request(1, "bad"));
    send(request(2, "good"));
    CHECK(calls.empty());
    receive(QuarantineNotice { ServiceName("orders"), { entryOf("bad", true) }, true });
    CHECK(outcomeOf(1) == "not-run quarantined");
    CHECK(dispatchedIds() == Ids { 2 });
}

TEST_CASE_METHOD(GateStartFixture, "GateStart_suspectAtOtherGate_runsAlone")
{
    setGates(2);
    send(request(1, "bad"));
    send(request(2, "good"));
    receive(QuarantineNotice { ServiceName("orders"), { entryOf("bad", false) }, true });
    CHECK(dispatchedIds() == Ids { 2 });
    answer(1);
    CHECK(dispatchedIds() == Ids { 2, 1 });
    CHECK(gate.counts().isolatedRuns == 1);
}

// Guards against an answer of several notices that counts as complete after the first.
TEST_CASE_METHOD(GateStartFixture, "GateStart_answerHasSeveralNotices_lastOneIsAwaited")
{
    setGates(2);
    send(request(1, "bad"));
    receive(QuarantineNotice { ServiceName("orders"), { entryOf("other", true) }, false });
    CHECK(calls.empty());
    receive(QuarantineNotice { ServiceName("orders"), { entryOf("bad", true) }, true });
    CHECK(outcomeOf(1) == "not-run quarantined");
}

// Guards against a gate that serves nothing because no other gate answers.
TEST_CASE_METHOD(GateStartFixture, "GateStart_noAnswer_dispatchesAfterHalfASecond")
{
    setGates(9);
    send(request(1));
    for (int i = 0; i < 49; ++i)
        pass(milliseconds(10));
    CHECK(calls.empty());
    CHECK(asked().size() > 3); // others are asked, in case the first ones are gone
    pass(milliseconds(10));
    CHECK(dispatchedIds() == Ids { 1 });
    const auto before = asked().size();
    CHECK(before <= 8);
    pass(seconds(1));
    CHECK(gate.nextDeadline() > now);
}

// Guards against a gate that was cut off at its start and never asks again.
TEST_CASE_METHOD(GateStartFixture, "GateStart_othersFoundLater_areAskedThen")
{
    pass(seconds(5));
    CHECK(asked().empty());
    setGates(2);
    CHECK(asked() == std::set<std::uint16_t> { 2 });
    receive(QuarantineNotice { ServiceName("orders"), { entryOf("bad", true) }, true });
    sent.clear();
    pass(seconds(20));
    CHECK(asked().empty());
    send(request(1, "bad"));
    CHECK(outcomeOf(1) == "not-run quarantined");
}

TEST_CASE_METHOD(GateStartFixture, "GateStart_asked_answersWithAllEntriesOnceItIsInformed")
{
    setGates(2);
    receive(QuarantineRequest { ServiceName("orders") });
    CHECK(notices().empty()); // it may know less than others
    receive(QuarantineNotice { ServiceName("orders"), {}, true });
    QuarantineNotice many { ServiceName("orders"), {} };
    for (std::size_t i = 0; i < maxQuarantineEntries; ++i)
        many.entries.push_back({ Digest(100 + i), minutes(5), true });
    receive(many);
    receive(QuarantineNotice { ServiceName("orders"), { { Digest(1), minutes(5), false } } });
    sent.clear();
    receive(QuarantineRequest { ServiceName("trucks") });
    CHECK(notices().empty());
    receive(QuarantineRequest { ServiceName("orders") });
    const auto answer = notices();
    REQUIRE(answer.size() == 2);
    CHECK(answer[0].entries.size() == maxQuarantineEntries);
    CHECK_FALSE(answer[0].isAnswer);
    REQUIRE(answer[1].entries.size() == 1);
    CHECK(answer[1].entries[0].fingerprint == Digest(1));
    CHECK_FALSE(answer[1].entries[0].isConfirmed);
    CHECK(answer[1].isAnswer);
}

} // namespace
} // namespace camphorreach
