// Tests of leases with the platform in memory.
#include "../src/bench/fakeplatform.h"

#include <camphorreach/lease.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A contender that makes its calls through the fake platform. It may be paused.
class Contender
{
public:
    Contender(bench::VirtualTime &time, bench::FakePlatform &platform, const std::string &name)
        : lease(key(), { InstanceId(name), { "10.0.0.1", 7300 }, Incarnation(1), 0 }, {}, m_callIds,
                m_random),
          m_time(time), m_platform(platform), m_random(std::hash<std::string> {}(name))
    { }

    static ObjectKey key() { return ObjectKey("lease/reader/arima/0"); }

    void step()
    {
        if (isPaused)
            return;
        Outbox<PlatformCall> outbox;
        lease.advance(m_time.now(), outbox);
        for (const PlatformCall &call : outbox.take()) {
            ++calls;
            m_platform.call(call, [this](const PlatformReply &reply) {
                if (!isPaused)
                    lease.process(reply, m_time.now());
            });
        }
    }
    [[nodiscard]] bool isHeld() const { return lease.isHeld(m_time.now()); }

private:
    PlatformCallIds m_callIds;

public:
    Lease lease;
    bool isPaused = false;
    int calls = 0;

private:
    bench::VirtualTime &m_time;
    bench::FakePlatform &m_platform;
    RandomSource m_random;
};

class LeaseFixture
{
protected:
    // Runs both contenders and checks at every step that they do not both hold the lease.
    void run(Duration span)
    {
        const TimePoint end = time.now() + span;
        while (time.now() < end) {
            one.step();
            two.step();
            time.runFor(milliseconds(50));
            REQUIRE_FALSE((one.isHeld() && two.isHeld()));
        }
    }
    Contender &holder() { return one.isHeld() ? one : two; }
    Contender &other() { return one.isHeld() ? two : one; }

    bench::VirtualTime time;
    bench::FakePlatform platform { time };
    Contender one { time, platform, "one" };
    Contender two { time, platform, "two" };
};

TEST_CASE_METHOD(LeaseFixture, "Lease_twoContenders_exactlyOneHolds")
{
    run(seconds(10));
    REQUIRE((one.isHeld() || two.isHeld()));
    const Contender *first = &holder();
    run(seconds(120));
    CHECK(&holder() == first);
    CHECK(first->isHeld());
}

// Guards against a holder that acts on a lease which another node has acquired meanwhile.
TEST_CASE_METHOD(LeaseFixture, "Lease_holderPausedPastTerm_findsItLostBeforeItActs")
{
    run(seconds(10));
    Contender &paused = holder();
    Contender &waiting = other();
    paused.isPaused = true;
    run(seconds(25));
    CHECK_FALSE(paused.isHeld());
    CHECK(waiting.isHeld());
    paused.isPaused = false;
    CHECK_FALSE(paused.isHeld());
    run(seconds(30));
    CHECK(waiting.isHeld());
}

// Guards against two holders after writes whose replies were lost.
TEST_CASE_METHOD(LeaseFixture, "Lease_answersLost_holderStopsInTimeAndOneHoldsAgain")
{
    run(seconds(10));
    platform.setDroppingReplies(true);
    run(seconds(12));
    CHECK_FALSE(one.isHeld());
    CHECK_FALSE(two.isHeld());
    platform.setDroppingReplies(false);
    run(seconds(25));
    CHECK((one.isHeld() || two.isHeld()));
}

// Guards against a term that is lost because its first write took effect without a reply.
TEST_CASE_METHOD(LeaseFixture, "Lease_ownWriteFoundAfterLostAnswer_isRenewedAndHeld")
{
    two.isPaused = true;
    one.step();
    time.runFor(milliseconds(500)); // the read finds no object
    while (platform.find(Contender::key()) == nullptr) {
        platform.setDroppingReplies(one.calls > 0);
        run(milliseconds(50));
    }
    CHECK_FALSE(one.isHeld());
    platform.setDroppingReplies(false);
    run(seconds(10));
    CHECK(one.isHeld());
}

// Guards against a gap of a whole term at every planned shutdown of a reader.
TEST_CASE_METHOD(LeaseFixture, "Lease_released_otherAcquiresItBeforeTheTermEnds")
{
    run(seconds(10));
    Contender &leaving = holder();
    Contender &waiting = other();
    leaving.lease.release(time.now());
    CHECK(leaving.isHeld());
    run(seconds(9));
    CHECK_FALSE(leaving.isHeld());
    CHECK(waiting.isHeld());
    run(seconds(60));
    CHECK(waiting.isHeld());
}

TEST_CASE_METHOD(LeaseFixture, "Lease_platformDown_callsStayFewAndHolderStops")
{
    run(seconds(10));
    platform.setDown(true);
    const int before = one.calls + two.calls;
    run(seconds(60));
    CHECK_FALSE((one.isHeld() || two.isHeld()));
    CHECK(one.calls + two.calls - before <= 40);
}

} // namespace
} // namespace camphorreach
