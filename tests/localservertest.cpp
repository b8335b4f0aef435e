// Tests of the announcements of a backend server to its node.
#include <camphorreach/localserver.h>
#include <camphorreach/result.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::seconds;

class LocalServerFixture
{
protected:
    static BackendAnnouncement announcement(std::uint64_t sequence, std::int64_t startTime = 100)
    {
        BackendAnnouncement result;
        result.server = InstanceId("i-1");
        result.startTime = BackendStartTime(startTime);
        result.sequence = AnnouncementSequence(sequence);
        result.address = { "127.0.0.1", 80 };
        result.service = ServiceName("orders");
        result.version = BackendVersion("v1");
        result.slots = 4;
        return result;
    }
    static BackendAnnouncement draining(std::uint64_t sequence, std::int64_t startTime = 100)
    {
        BackendAnnouncement result = announcement(sequence, startTime);
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
    void advance(Duration step)
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

// Guards against requests to a draining server whose state was lost in a restart of the node.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_beforeTheFirstAnnouncement_publishesNothing")
{
    advance(seconds(10));
    CHECK_FALSE(latest);
    process(announcement(1));
    CHECK(isAccepting());
    CHECK(latest->slots == 4);
}

// Guards against a late heartbeat that makes a draining server accept requests again.
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

// Guards against a heartbeat of a crashed run that arrives after the next run has registered.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_heartbeatOfEarlierRun_isIgnored")
{
    process(announcement(1, 200));
    process(draining(9, 100));
    CHECK(isAccepting());
}

// Guards against a server that departs without draining first, and is accepted again because of a
// late heartbeat.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_departure_appliesUntilTheNextRun")
{
    process(announcement(1));
    process(BackendDeparture { InstanceId("i-1"), std::nullopt, BackendStartTime(5000) });
    CHECK_FALSE(isAccepting());
    process(announcement(2));
    CHECK_FALSE(isAccepting());
    process(announcement(1, 300));
    CHECK(isAccepting());
}

// Guards against announcements by other processes.
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

// Guards against a server that sends no heartbeats but keeps receiving requests.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_heartbeatTimeout_isGoneUntilTheNextHeartbeat")
{
    process(announcement(1));
    REQUIRE(local.nextDeadline() == now + seconds(6));
    advance(seconds(6));
    CHECK_FALSE(isAccepting());
    process(announcement(2));
    CHECK(isAccepting());
}

// Guards against a published change for every heartbeat of a server that is warming up.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_sameStateAgain_publishesNothing")
{
    BackendAnnouncement warmingUp = announcement(1);
    warmingUp.warmUpLeft = seconds(3);
    process(warmingUp);
    warmingUp.sequence = AnnouncementSequence(2);
    warmingUp.warmUpLeft = seconds(2);
    process(warmingUp);
    CHECK(published == 1);
    process(announcement(3));
    CHECK(published == 2);
}

// Guards against a late announcement that reactivates a server whose departure this node had
// acknowledged before it knew the server (hunt-2585-27 of lysvaerk-mesh).
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_departureOfUnknownRun_appliesToLateAnnouncements")
{
    process(BackendDeparture { InstanceId("i-1"), std::nullopt, BackendStartTime(5000) });
    advance(seconds(2));
    process(announcement(40, 4900));
    CHECK_FALSE(latest);
    process(announcement(1, 5100)); // a new run with the same id
    CHECK(isAccepting());
}

// Guards against an acknowledged drain that is lost because the services are not known yet.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_drainingBeforeTheServicesAreKnown_appliesLater")
{
    const auto renamed = [](BackendAnnouncement result) {
        result.service = ServiceName("renamed");
        return result;
    };
    process(renamed(draining(5)));
    process(renamed(announcement(4)));
    CHECK_FALSE(latest);
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->services.emplace(ServiceName("renamed"), ServicePolicy {});
    process(SnapshotChanged { snapshot });
    REQUIRE(latest);
    CHECK_FALSE(isAccepting());
    process(renamed(announcement(6)));
    CHECK_FALSE(isAccepting());
}

} // namespace
} // namespace camphorreach
