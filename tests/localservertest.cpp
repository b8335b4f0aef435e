// Tests of the announcements of a backend server to its node.
#include <camphorreach/localserver.h>
#include <camphorreach/result.h>

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>

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
            if (auto *changed = std::get_if<DeparturesChanged>(&output)) {
                departures = changed->departures;
                continue;
            }
            if (auto *changed = std::get_if<LocalServiceChanged>(&output)) {
                service = changed->service;
                continue;
            }
            latest = std::get<BackendAnnounced>(output);
            ++published;
        }
    }
    [[nodiscard]] bool isAccepting() const { return latest && latest->isAccepting; }

    // A process that is the first one of its node, or has read what earlier ones stored.
    LocalServerFixture() { process(DeparturesRestored {}); }
    explicit LocalServerFixture(std::nullptr_t) { advance({}); }

    LocalServer local { { { "127.0.0.1", 80 }, ServiceName("orders") }, seconds(6) };
    TimePoint now { seconds(100) };
    std::optional<BackendAnnounced> latest;
    DepartedRuns departures;
    ServiceName service { "orders" }; // of the machine
    int published = 0;
};

// A process that has not yet read what earlier processes of its node stored.
class RestartedLocalServerFixture : protected LocalServerFixture
{
protected:
    RestartedLocalServerFixture() : LocalServerFixture(nullptr) { }

    static DeparturesRestored restored(std::int64_t startTime)
    {
        DeparturesRestored result;
        result.departures.add({ InstanceId("i-1"), BackendStartTime(startTime) });
        return result;
    }
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

// Guards against a server that never gets requests because the clock stepped back before its start.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_clockStepsBackBeforeNextRun_isBelievedInTheEnd")
{
    process(announcement(7, 200));
    BackendAnnouncement next = announcement(1, 150);
    next.server = InstanceId("i-2");
    for (std::uint64_t i = 1; i <= 6; ++i) {
        advance(seconds(1));
        next.sequence = AnnouncementSequence(i);
        process(next);
        CHECK((!latest || latest->server == InstanceId("i-1")));
    }
    CHECK_FALSE(isAccepting());
    advance(seconds(1));
    next.sequence = AnnouncementSequence(7);
    process(next);
    REQUIRE(isAccepting());
    CHECK(latest->server == InstanceId("i-2"));
    process(announcement(8, 200)); // late, of the run before
    CHECK(latest->server == InstanceId("i-2"));
}

// Guards against an ended run that is believed again because its announcements are late.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_lateAnnouncementsOfEndedRun_areNeverBelieved")
{
    process(announcement(1, 100));
    process(announcement(1, 200));
    for (std::uint64_t i = 2; i <= 30; ++i) { // the run of 200 is silent, and has ended as well
        advance(seconds(1));
        process(announcement(i, 100));
    }
    CHECK_FALSE(isAccepting());
}

// Guards against a single announcement, one repeated, several at once or some far apart that are
// taken for a run that is still there.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_fewAnnouncementsOfEarlierRun_areNotBelieved")
{
    process(announcement(1, 200));
    advance(seconds(10));
    for (std::uint64_t i = 1; i <= 20; ++i)
        process(announcement(i, 100));
    CHECK_FALSE(isAccepting());
    for (const std::uint64_t i : { 20, 21, 21, 22 }) {
        advance(seconds(10));
        process(announcement(i, 100));
    }
    CHECK_FALSE(isAccepting());
}

// Guards against two servers that replace each other while both announce themselves.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_latestRunStillAnnounces_earlierOneIsNotBelieved")
{
    BackendAnnouncement other = announcement(1, 100);
    other.server = InstanceId("i-2");
    for (std::uint64_t i = 1; i <= 20; ++i) {
        process(announcement(i, 200));
        advance(seconds(3));
        other.sequence = AnnouncementSequence(i);
        process(other);
        CHECK(latest->server == InstanceId("i-1"));
    }
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

// Guards against a server that becomes cold again during its warm-up and gets the load of a warm
// one when the first warm-up would have ended.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_coldAgainDuringWarmUp_isPublishedAtOnce")
{
    BackendAnnouncement warmingUp = announcement(1);
    warmingUp.warmUpLeft = seconds(3);
    process(warmingUp);
    now += seconds(2);
    warmingUp.sequence = AnnouncementSequence(2);
    process(warmingUp); // three seconds are left again
    CHECK(published == 2);
    CHECK(latest->warmUpLeft == seconds(3));
    now += seconds(1);
    BackendAnnouncement leaving = draining(3);
    leaving.warmUpLeft = seconds(2);
    process(leaving);
    CHECK(latest->warmUpLeft == seconds(2)); // what is left, not what was left when it began
}

// Guards against a restart under the same id that a gate never hears of: it has seen the new
// process accept connections, takes it as cold, and waits for its announcement.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_newRunInTheSameState_isPublished")
{
    process(announcement(9));
    process(announcement(10));
    REQUIRE(published == 1);
    process(announcement(1, 200));
    CHECK(published == 2);
    process(announcement(2, 200));
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

// Guards against a node that forgets a departure that it has acknowledged when it is killed, and
// accepts requests again after a heartbeat that was sent before (review/4).
TEST_CASE_METHOD(RestartedLocalServerFixture, "LocalServer_lateHeartbeatAfterRestart_isNotAccepted")
{
    process(announcement(3));
    CHECK_FALSE(latest);
    process(restored(100));
    process(announcement(4));
    advance(seconds(10));
    process(announcement(5));
    CHECK_FALSE(latest);
    process(announcement(1, 200));
    CHECK(isAccepting());
}

// Guards against a node that drops heartbeats which it has acknowledged before it knew what earlier
// processes had stored.
TEST_CASE_METHOD(RestartedLocalServerFixture, "LocalServer_departuresRestored_heldHeartbeatApplies")
{
    process(announcement(3, 101));
    CHECK_FALSE(latest);
    process(restored(100));
    CHECK(isAccepting());
}

// Guards against a backend server that gets no requests for as long as the store is away, and
// against late heartbeats that are accepted meanwhile.
TEST_CASE_METHOD(RestartedLocalServerFixture,
                 "LocalServer_storeAway_onlyLaterHeartbeatsAreAccepted")
{
    process(announcement(3));
    advance(seconds(2));
    CHECK_FALSE(latest);
    process(announcement(4));
    CHECK(isAccepting());
    process(restored(100));
    CHECK_FALSE(isAccepting());
}

// Guards against departures that only this process knows.
TEST_CASE_METHOD(LocalServerFixture, "LocalServer_serverLeaves_departureIsPublished")
{
    process(announcement(1));
    CHECK(departures.runs().empty());
    process(draining(2));
    CHECK(departures.contains({ InstanceId("i-1"), BackendStartTime(100) }));
    process(BackendDeparture { InstanceId("i-2"), BackendStartTime(300) });
    CHECK(departures.contains({ InstanceId("i-2"), BackendStartTime(300) }));
    CHECK(departures.runs().size() == 2);
}

// The settings name another service than that of the server that was announced before.
class ReplacedServerFixture : protected LocalServerFixture
{
protected:
    ReplacedServerFixture()
    {
        process(announcement(1));
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->services[ServiceName("orders")] = {};
        snapshot->services[ServiceName("trucks")] = {};
        process(SnapshotChanged { snapshot });
        process(settings("trucks", 500));
    }

    static LocalServerSettings settings(const std::string &name, std::int64_t readAt)
    {
        return { { "127.0.0.1", 80 }, ServiceName(name), BackendStartTime(readAt) };
    }
    static BackendAnnouncement truckAnnouncement(std::uint64_t sequence, std::int64_t startTime)
    {
        BackendAnnouncement result = announcement(sequence, startTime);
        result.server = InstanceId("i-2");
        result.service = ServiceName("trucks");
        return result;
    }
};

// Guards against requests with the service of a server that has ended as their caller, until the
// first heartbeat of the next server (review/3), and against requests to the one that has ended.
TEST_CASE_METHOD(ReplacedServerFixture, "LocalServer_settingsNameOtherService_isServiceAtOnce")
{
    CHECK(service == ServiceName("trucks"));
    CHECK_FALSE(isAccepting());
    process(truckAnnouncement(1, 490));
    CHECK(isAccepting());
    CHECK(service == ServiceName("trucks"));
}

// Guards against a late heartbeat that brings the service of a server that has ended back.
TEST_CASE_METHOD(ReplacedServerFixture, "LocalServer_lateHeartbeatOfOtherService_isIgnored")
{
    process(announcement(2));
    process(announcement(1, 450));
    CHECK(service == ServiceName("trucks"));
    CHECK_FALSE(isAccepting());
}

// Guards against settings that hide a server which was announced before they were changed for it,
// or which started after they were.
TEST_CASE_METHOD(ReplacedServerFixture, "LocalServer_serverStartsAfterSettings_isBelieved")
{
    process(announcement(1, 600));
    CHECK(service == ServiceName("orders"));
    CHECK(isAccepting());
    process(settings("trucks", 700));
    CHECK(service == ServiceName("orders")); // not changed by settings that name the same as before
    CHECK(isAccepting());
}

// Guards against a running server that gets no requests for good because settings were late.
TEST_CASE_METHOD(ReplacedServerFixture, "LocalServer_serverStaysAfterTimeout_isBelieved")
{
    advance(seconds(6));
    process(announcement(5));
    CHECK(service == ServiceName("orders"));
    CHECK(isAccepting());
}

TEST_CASE_METHOD(ReplacedServerFixture, "LocalServer_settingsNameServiceOfRunningServer_isAccepted")
{
    process(settings("orders", 600));
    process(announcement(2));
    CHECK(service == ServiceName("orders"));
    CHECK(isAccepting());
}

// Guards against a set that grows with every server that has run beside a node.
TEST_CASE("DepartedRuns_manyServers_latestAreKept")
{
    DepartedRuns departures;
    for (std::int64_t i = 0; i < 100; ++i)
        CHECK(departures.add({ InstanceId("i-" + std::to_string(i)), BackendStartTime(i) }));
    CHECK(departures.runs().size() == DepartedRuns::maxRuns);
    CHECK(departures.contains({ InstanceId("i-99"), BackendStartTime(98) }));
    CHECK_FALSE(departures.contains({ InstanceId("i-99"), BackendStartTime(100) }));
}

} // namespace
} // namespace camphorreach
