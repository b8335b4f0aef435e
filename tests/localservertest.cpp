// Tests of the announcements of a backend server to the node beside it.
#include <camphorreach/localserver.h>
#include <camphorreach/result.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::seconds;

class LocalServerFixture
{
protected:
    static BackendAnnouncement announcement(std::uint64_t number, std::int64_t born = 100)
    {
        BackendAnnouncement result;
        result.server = InstanceId("i-1");
        result.born = BackendBirth(born);
        result.number = AnnouncementNumber(number);
        result.address = { "127.0.0.1", 80 };
        result.service = ServiceName("orders");
        result.version = BackendVersion("v1");
        result.slots = 4;
        return result;
    }
    static BackendAnnouncement draining(std::uint64_t number, std::int64_t born = 100)
    {
        BackendAnnouncement result = announcement(number, born);
        result.isDraining = true;
        return result;
    }

    template <typename Input>
    void process(Input input)
    {
        Outbox<LocalServer::Output> outbox;
        local.process(std::move(input), now, outbox);
        collect(outbox);
    }
    void pass(Duration step)
    {
        now += step;
        Outbox<LocalServer::Output> outbox;
        local.advance(now, outbox);
        collect(outbox);
    }
    void collect(Outbox<LocalServer::Output> &outbox)
    {
        for (auto &output : outbox.take()) {
            latest = std::get<BackendAnnounced>(output);
            ++published;
        }
    }
    [[nodiscard]] bool isAccepting() const { return latest && latest->isAccepting; }

    LocalServer local { { { "127.0.0.1", 80 }, ServiceName("orders") }, seconds(6) };
    TimePoint now { seconds(100) };
    std::optional<BackendAnnounced> latest;
    int published = 0;
};

// Guards against work for a leaving server that a restarted node knows nothing of.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_beforeTheFirstAnnouncement_saysNothing")
{
    pass(seconds(10));
    CHECK_FALSE(latest);
    process(announcement(1));
    CHECK(isAccepting());
    CHECK(latest->slots == 4);
}

// Guards against a late heartbeat that revives a leaving server.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_lateHeartbeatAfterDraining_staysDraining")
{
    process(announcement(1));
    process(draining(3));
    CHECK_FALSE(isAccepting());
    process(announcement(2));
    CHECK_FALSE(isAccepting());
    process(announcement(4));
    CHECK_FALSE(isAccepting());
}

// Guards against a heartbeat of a crashed start that arrives after its successor has registered.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_heartbeatOfEarlierStart_isIgnored")
{
    process(announcement(1, 200));
    process(draining(9, 100));
    CHECK(isAccepting());
}

// Guards against a server that leaves without draining first, and is taken back by a late
// heartbeat.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_departure_bindsUntilANewStart")
{
    process(announcement(1));
    process(BackendDeparture { InstanceId("i-1"), std::nullopt, BackendBirth(5000) });
    CHECK_FALSE(isAccepting());
    process(announcement(2));
    CHECK_FALSE(isAccepting());
    process(announcement(1, 300));
    CHECK(isAccepting());
}

// Guards against announcements by other writers.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_otherAddressOrUnknownService_isIgnored")
{
    BackendAnnouncement other = announcement(1);
    other.address.port = 81;
    process(other);
    BackendAnnouncement unknown = announcement(1);
    unknown.service = ServiceName("nobody");
    process(unknown);
    CHECK_FALSE(latest);
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->services[ServiceName("nobody")] = {};
    process(SnapshotChanged { snapshot });
    process(unknown);
    CHECK(isAccepting());
}

// Guards against a silent server that keeps receiving work.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_silence_isTakenForGoneUntilItSpeaks")
{
    process(announcement(1));
    REQUIRE(local.nextDeadline() == now + seconds(6));
    pass(seconds(6));
    CHECK_FALSE(isAccepting());
    process(announcement(2));
    CHECK(isAccepting());
}

// Guards against a change for each heartbeat of a server that warms up.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_sameStateAgain_publishesNothing")
{
    BackendAnnouncement cold = announcement(1);
    cold.warmUpLeft = seconds(3);
    process(cold);
    cold.number = AnnouncementNumber(2);
    cold.warmUpLeft = seconds(2);
    process(cold);
    CHECK(published == 1);
    process(announcement(3));
    CHECK(published == 2);
}

// Guards against a late announcement that brings back a server whose leaving this node has
// acknowledged before it knew the server (hunt-2585-27 of lysvaerk-mesh).
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_departureOfUnknownStart_bindsLateAnnouncements")
{
    process(BackendDeparture { InstanceId("i-1"), std::nullopt, BackendBirth(5000) });
    pass(seconds(2));
    process(announcement(40, 4900));
    CHECK_FALSE(latest);
    process(announcement(1, 5100)); // a new start under the same id
    CHECK(isAccepting());
}

// Guards against an acknowledged leaving that is forgotten because the services are not known yet.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_drainingBeforeTheServicesAreKnown_countsLater")
{
    const auto of = [](BackendAnnouncement one) {
        one.service = ServiceName("renamed");
        return one;
    };
    process(of(draining(5)));
    process(of(announcement(4)));
    CHECK_FALSE(latest);
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->services.emplace(ServiceName("renamed"), ServicePolicy {});
    process(SnapshotChanged { snapshot });
    REQUIRE(latest);
    CHECK_FALSE(isAccepting());
    process(of(announcement(6)));
    CHECK_FALSE(isAccepting());
}

} // namespace
} // namespace camphorreach
