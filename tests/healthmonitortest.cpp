// Tests of health requests to a backend server that may turn cold between two announcements.
#include "gatefixture.h"

#include <camphorreach/healthmonitor.h>
#include <camphorreach/localserver.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration step = milliseconds(1);
constexpr Duration heartbeat = milliseconds(1500);
constexpr Duration interval = milliseconds(400);
constexpr Duration serviceTime = milliseconds(150);
constexpr std::uint32_t coldPerSecond = 8;
// What the users' rules tolerate at a cold server in any second.
constexpr std::size_t toleratedPerSecond = coldPerSecond * 3 / 2 + 8;

// A gate, the local server that it reports to, and a backend server that is always busy. Calls end
// after serviceTime, health calls after one step.
class TurnsColdFixture : public GateFixture
{
protected:
    static Gate::Limits limitsWith(std::optional<Duration> healthInterval)
    {
        Gate::Limits limits = defaultLimits();
        limits.queue.count = 100;
        limits.needsAnnouncement = true;
        limits.healthInterval = healthInterval;
        return limits;
    }

    explicit TurnsColdFixture(std::optional<Duration> healthInterval = interval)
        : GateFixture(limitsWith(healthInterval))
    {
        configure("/health");
        feed(DeparturesRestored {});
    }

    void configure(const std::string &healthPath)
    {
        auto snapshot = std::make_shared<Snapshot>();
        ServicePolicy policy;
        policy.name = ServiceName("orders");
        policy.warmUp = WarmUpPolicy { seconds(3), WarmUpRate(coldPerSecond * 1000), healthPath };
        snapshot->services.emplace(policy.name, policy);
        process(SnapshotChanged { snapshot });
    }
    [[nodiscard]] Duration warmUpLeft() const { return std::max(coldUntil - now, Duration {}); }
    // The announcement that the server would send now.
    [[nodiscard]] BackendAnnouncement announcement()
    {
        BackendAnnouncement result;
        result.server = server;
        result.startTime = BackendStartTime(100);
        result.sequence = AnnouncementSequence(++lastSequence);
        result.address = { "127.0.0.1", 80 };
        result.service = ServiceName("orders");
        result.version = BackendVersion("v1");
        result.slots = 6;
        result.warmUpLeft = warmUpLeft();
        return result;
    }
    template <typename Input>
    void feed(Input input)
    {
        Outbox<LocalServer::Output> published;
        local.process(std::move(input), now, published);
        for (auto &output : published.take()) {
            if (auto *announced = std::get_if<BackendAnnounced>(&output))
                process(std::move(*announced));
        }
    }
    void announce() { feed(announcement()); }
    [[nodiscard]] ForwardRequest nextRequest()
    {
        ForwardRequest result = request(++lastId);
        result.service = ServiceName("orders");
        result.version = BackendVersion("v1");
        return result;
    }

    // Keeps the server saturated for `time`. It announces itself once per heartbeat, if at all.
    void run(Duration time, bool isAnnounced = true)
    {
        for (const TimePoint end = now + time; now < end; now += step) {
            if (isAnnounced && now >= nextHeartbeat) {
                nextHeartbeat = now + heartbeat;
                announce();
            }
            while (gate.load().queued < 4 && gate.counts().refused == refusedBefore)
                send(nextRequest());
            refusedBefore = gate.counts().refused;
            endCalls();
            answerHealthCalls();
            pass(Duration::zero());
            while (starts.size() < calls.size())
                starts.push_back(now);
        }
    }
    // Number of starts in the fullest second that begins at `since` or later.
    [[nodiscard]] std::size_t maxStartsSince(TimePoint since) const
    {
        std::size_t result = 0;
        for (std::size_t first = 0; first < starts.size(); ++first) {
            if (starts[first] < since)
                continue;
            const auto last = std::ranges::lower_bound(starts, starts[first] + seconds(1));
            result = std::max(result, static_cast<std::size_t>(last - starts.begin()) - first);
        }
        return result;
    }

    LocalServer local { { { "127.0.0.1", 80 }, ServiceName("orders") }, seconds(6) };
    InstanceId server { "i-1" };
    TimePoint coldUntil {};
    TimePoint nextHeartbeat {};
    bool isHealthStated = true; // health responses state the warm-up
    bool isHealthAnswered = true;
    std::uint64_t lastSequence = 0;
    std::uint64_t lastId = 0;
    std::uint64_t refusedBefore = 0;
    std::vector<TimePoint> starts; // of requests, in order
    std::size_t endedCalls = 0;
    std::size_t endedHealthCalls = 0;

private:
    void endCalls()
    {
        for (; endedCalls < starts.size() && starts[endedCalls] + serviceTime <= now; ++endedCalls)
            answer(calls[endedCalls].id.value());
    }
    void answerHealthCalls()
    {
        for (; endedHealthCalls < healthCalls.size(); ++endedHealthCalls) {
            std::optional<BackendHealth> health;
            if (isHealthAnswered)
                health = { server, isHealthStated ? std::optional(warmUpLeft()) : std::nullopt };
            process(HealthResult { healthCalls[endedHealthCalls].id, std::move(health) });
        }
        for (BackendHealth &health : std::exchange(healths, {}))
            feed(std::move(health));
    }
};

class UnaskedServerFixture : public TurnsColdFixture
{
protected:
    UnaskedServerFixture() : TurnsColdFixture(std::nullopt) { }
};

// Guards against a server that turns cold by itself just after an announcement and gets the load of
// a warm one until the next announcement.
TEST_CASE_METHOD(TurnsColdFixture, "Health_serverTurnsColdByItself_isLimitedFromItsNextAnswerOn")
{
    const int phase = GENERATE(range(0, 400, 37));
    run(seconds(3) + milliseconds(1) + milliseconds(phase));
    REQUIRE(maxStartsSince(now - seconds(2)) > 3 * coldPerSecond);
    coldUntil = now + seconds(5);
    const TimePoint turnedColdAt = now;
    nextHeartbeat = now + heartbeat;
    run(interval + serviceTime); // the request waits for a slot
    CHECK(gate.isLimitedByColdStart());
    const TimePoint limitedAt = now;
    run(seconds(4));
    CHECK(maxStartsSince(turnedColdAt) <= toleratedPerSecond);
    CHECK(maxStartsSince(limitedAt) <= coldPerSecond);
}

// Guards against health requests where no settings ask for them.
TEST_CASE_METHOD(UnaskedServerFixture, "Health_withoutInterval_serverIsNotAsked")
{
    run(seconds(3));
    CHECK(healthCalls.empty());
}

// Guards against health requests that are paid for although a cold server would bear the load.
TEST_CASE_METHOD(TurnsColdFixture, "Health_loadThatAColdServerTolerates_serverIsNotAsked")
{
    announce();
    pass(seconds(2)); // a gate that has just started does not know what it sent before
    for (int i = 0; i < 40; ++i) {
        send(nextRequest());
        answer(calls.back().id.value());
        pass(Duration(seconds(1)) / coldPerSecond);
    }
    CHECK(healthCalls.empty());
}

// Guards against answers without the header that change anything.
TEST_CASE_METHOD(TurnsColdFixture, "Health_answerStatesNoWarmUp_serverStaysAsAnnounced")
{
    isHealthStated = false;
    run(seconds(3) + milliseconds(1));
    REQUIRE(endedHealthCalls > 0);
    coldUntil = now + seconds(5);
    nextHeartbeat = now + heartbeat;
    run(heartbeat - step);
    CHECK_FALSE(gate.isLimitedByColdStart());
    run(2 * step);
    CHECK(gate.isLimitedByColdStart());
}

// Guards against a service whose configuration names no path and that is asked at an empty one.
TEST_CASE_METHOD(TurnsColdFixture, "Health_serviceWithoutPath_serverIsNotAsked")
{
    configure("");
    run(seconds(3));
    CHECK(healthCalls.empty());
}

// Guards against an announcement that was sent before the health answer, arrives after it, and
// lifts the limit; and against a wrong health answer that no announcement can correct.
TEST_CASE_METHOD(TurnsColdFixture, "Health_announcementSentBeforeTheAnswer_limitStaysUntilTheNext")
{
    run(seconds(2));
    BackendAnnouncement late = announcement();
    REQUIRE(late.warmUpLeft == Duration::zero());
    coldUntil = now + seconds(5);
    run(interval + serviceTime, false);
    REQUIRE(gate.isLimitedByColdStart());
    late.slots = 5; // so that it is published
    feed(late);
    CHECK(gate.isLimitedByColdStart());
    coldUntil = {};
    announce();
    CHECK_FALSE(gate.isLimitedByColdStart());
}

// Guards against the answer of another process at the server's address.
TEST_CASE_METHOD(TurnsColdFixture, "Health_answerOfAnotherServer_isIgnored")
{
    run(seconds(2));
    const InstanceId other = GENERATE(InstanceId("i-2"), InstanceId());
    server = other;
    coldUntil = now + seconds(5);
    run(seconds(1), false);
    CHECK_FALSE(gate.isLimitedByColdStart());
}

// Guards against a slot that a server without health answers loses for good.
TEST_CASE_METHOD(TurnsColdFixture, "Health_serverDoesNotAnswer_isAskedLessOften")
{
    isHealthAnswered = false;
    run(seconds(60));
    CHECK(healthCalls.size() <= 60 / 8 + 6);
    isHealthAnswered = true;
    run(seconds(9));
    const std::size_t before = healthCalls.size();
    run(seconds(4));
    CHECK(healthCalls.size() >= before + 6);
}

// Guards against more work at a server than it has slots.
TEST_CASE_METHOD(TurnsColdFixture, "Health_requestUnderWay_occupiesASlot")
{
    run(seconds(2));
    isHealthAnswered = false;
    const std::size_t before = healthCalls.size();
    while (healthCalls.size() == before) {
        send(nextRequest());
        answer(calls[endedCalls++].id.value());
        now += milliseconds(10);
    }
    for (int i = 0; i < 10; ++i)
        send(nextRequest());
    CHECK(calls.size() - endedCalls == 5);
    CHECK(gate.load().running == 6);
    process(HealthResult { healthCalls.back().id, std::nullopt });
    CHECK(calls.size() - endedCalls == 6);
}

// Guards against a late result that ends a newer request.
TEST_CASE("HealthMonitor_lateResult_isNotTheOneUnderWay")
{
    HealthMonitor monitor(interval);
    const TimePoint now { seconds(100) };
    CHECK(monitor.isDue(now));
    monitor.onSent(CallId(1), now);
    CHECK_FALSE(monitor.isDue(now + interval));
    CHECK_FALSE(monitor.onEnded(CallId(7), true));
    CHECK(monitor.onEnded(CallId(1), true));
    CHECK_FALSE(monitor.isDue(now + interval - step));
    CHECK(monitor.isDue(now + interval));
}

} // namespace
} // namespace camphorreach
