// Tests of the catalog: listing and watching the platform's store, and exchange with peers.
#include <camphorreach/catalog.h>
#include <camphorreach/result.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CatalogFixture
{
protected:
    static Endpoint endpoint(const std::string &name, std::uint16_t port)
    {
        Endpoint result;
        result.instance = InstanceId(name);
        result.peer = { "127.0.0.1", port };
        result.domain = FailureDomain("arima");
        result.service = ServiceName("orders");
        return result;
    }
    static std::shared_ptr<const MeshConfig> config(std::uint64_t version)
    {
        MeshConfig result;
        result.version = ConfigVersion(version);
        HostRoute route;
        route.host = "a.example";
        route.policy.prefix = "/stock/";
        route.weightedServices.push_back({ ServiceName("orders"), 1 });
        result.routes.push_back(route);
        result.services.push_back({ ServiceName("orders"), 10 });
        return std::make_shared<const MeshConfig>(std::move(result));
    }
    // The update that a peer sends to a node without a configuration.
    static CatalogUpdate update(std::uint64_t version, Duration staleness = {})
    {
        VersionedConfig sender;
        (void)sender.apply(*config(version));
        return { { ConfigVersion(version), {} }, sender.deltaSince({}), {}, staleness };
    }
    static CatalogDigest digest(std::uint64_t version, Duration staleness = {})
    {
        return { { ConfigVersion(version), {} }, staleness, false };
    }
    static StoreEntries entries(StoreValue value, std::uint64_t at)
    {
        return { { { "main", ObjectVersion(at), false, std::move(value) } }, ObjectVersion(at) };
    }

    explicit CatalogFixture(std::uint16_t port = 1) : catalog(endpoint("a", port), {}, random)
    {
        auto table = std::make_shared<EndpointTable>();
        table->services[ServiceName("orders")] = { endpoint("a", 1), endpoint("b", 2) };
        process(EndpointsChanged { table });
    }

    template <typename Input>
    void process(Input input)
    {
        Outbox<Catalog::Output> outbox;
        catalog.process(std::move(input), now, outbox);
        collect(outbox);
    }
    void advance(Duration step)
    {
        now += step;
        Outbox<Catalog::Output> outbox;
        catalog.advance(now, outbox);
        collect(outbox);
    }
    void collect(Outbox<Catalog::Output> &outbox)
    {
        for (auto &output : outbox.take()) {
            std::visit(Overloaded {
                           [&](StoreCall &call) { calls.push_back(call); },
                           [&](PeerSend &send) { sends.push_back(std::move(send)); },
                           [&](SnapshotChanged &changed) {
                               versions.push_back(changed.snapshot->version.value());
                           },
                           [&](OrdersChanged &changed) { orders = changed.orders; },
                           [&](JoinPeers &join) { joined = join.peers; },
                           [&](ConfigurationReceived &event) { received.push_back(event); },
                           [&](DeparturesRestored &event) { restored = event.departures; },
                           [&](DeparturesStored &event) { stored = event.departures; },
                           [](EvacuationsChanged &) {}, // evacuationtest.cpp
                           [&](ConfigurationRefused &event) { refused.push_back(event); },
                           [&](ConfigurationProven &event) { proven = event; },
                           [&](NewerConfigurationKnown &event) { newerKnown = event.version; },
                       },
                       output);
        }
    }
    // The latest call with this operation on a kind of object.
    template <typename Operation>
    [[nodiscard]] const StoreCall *lastCall(StoreKind kind) const
    {
        for (auto call = calls.rbegin(); call != calls.rend(); ++call) {
            const auto *operation = std::get_if<Operation>(&call->operation);
            if (operation != nullptr && operation->kind == kind)
                return &*call;
        }
        return nullptr;
    }
    void answer(const StoreCall *call, StoreResult result)
    {
        REQUIRE(call != nullptr);
        process(StoreReply { call->id, std::move(result) });
    }
    // The latest message of this type that was sent to a peer.
    template <typename Message>
    [[nodiscard]] const Message *lastSent() const
    {
        for (auto send = sends.rbegin(); send != sends.rend(); ++send) {
            const auto *catalogMessage = std::get_if<CatalogMessage>(&send->message);
            const auto *found
                = catalogMessage != nullptr ? std::get_if<Message>(catalogMessage) : nullptr;
            if (found != nullptr)
                return found;
        }
        return nullptr;
    }

    RandomSource random { 1 };
    Catalog catalog;
    TimePoint now { seconds(100) };
    std::vector<StoreCall> calls;
    std::vector<PeerSend> sends;
    std::vector<std::uint64_t> versions;
    std::vector<RolloutOrder> orders;
    std::vector<NetAddress> joined;
    std::vector<ConfigurationReceived> received;
    std::optional<DepartedRuns> restored;
    DepartedRuns stored;
    std::vector<ConfigurationRefused> refused;
    std::optional<ConfigurationProven> proven;
    ConfigVersion newerKnown;
};

// Guards against a node that lists the store repeatedly, or misses changes after the list.
TEST_CASE_METHOD(CatalogFixture, "Catalog_configurationListed_isWatchedFromListVersion")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    CHECK(versions == std::vector<std::uint64_t> { 3 });
    const StoreCall *watch = lastCall<StoreWatch>(StoreKind::Configuration);
    REQUIRE(watch != nullptr);
    CHECK(std::get<StoreWatch>(watch->operation).since == ObjectVersion(40));
    // 3 s to count as connected and 2 s for a change to be active, less 1.5 s for the call's own
    // timeout: a watch on a store that does not respond must have ended by then.
    CHECK(std::get<StoreWatch>(watch->operation).wait <= milliseconds(3500));
    answer(watch, entries(config(7), 44));
    CHECK(versions == std::vector<std::uint64_t> { 3, 7 });
}

// Guards against activating an older version that arrives late, from the store or from a peer.
TEST_CASE_METHOD(CatalogFixture, "Catalog_olderConfiguration_isNeverActive")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(7), 44));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, update(5) });
    answer(lastCall<StoreWatch>(StoreKind::Configuration), entries(config(6), 45));
    CHECK(versions == std::vector<std::uint64_t> { 7 });
    CHECK(catalog.version() == ConfigVersion(7));
}

// Guards against a node that stays behind because the store dropped the history that it watched.
TEST_CASE_METHOD(CatalogFixture, "Catalog_historyGone_listsAgainAtOnce")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    const std::size_t before = calls.size();
    answer(lastCall<StoreWatch>(StoreKind::Configuration),
           StoreRefusal { StoreRefusal::Reason::HistoryGone });
    REQUIRE(calls.size() == before + 1);
    CHECK(std::holds_alternative<StoreList>(calls.back().operation));
}

// Guards against a watch that is sent again although its reply, which holds every version since
// then, was too large to be read.
TEST_CASE_METHOD(CatalogFixture, "Catalog_watchReplyTooLarge_listsAtOnce")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    const std::size_t before = calls.size();
    answer(lastCall<StoreWatch>(StoreKind::Configuration), StoreReplyTooLarge {});
    REQUIRE(calls.size() == before + 1);
    CHECK(std::holds_alternative<StoreList>(calls.back().operation));
    answer(&calls.back(), entries(config(9), 50));
    CHECK(versions == std::vector<std::uint64_t> { 3, 9 });
}

// Guards against a watch that returns all the versions that were stored while the store did not
// respond.
TEST_CASE_METHOD(CatalogFixture, "Catalog_watchGetsNoReply_listsNext")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    answer(lastCall<StoreWatch>(StoreKind::Configuration), StoreNoReply {});
    const std::size_t before = calls.size();
    advance(seconds(1));
    REQUIRE(calls.size() > before);
    CHECK(std::ranges::none_of(calls.begin() + static_cast<std::ptrdiff_t>(before), calls.end(),
                               [](const StoreCall &call) {
                                   const auto *watch = std::get_if<StoreWatch>(&call.operation);
                                   return watch != nullptr
                                       && watch->kind == StoreKind::Configuration;
                               }));
}

// Guards against a flood of calls for an object that is too large to be read at all.
TEST_CASE_METHOD(CatalogFixture, "Catalog_listReplyTooLarge_callsBackOff")
{
    std::size_t answered = 0;
    for (int i = 0; i < 100; ++i) {
        while (answered < calls.size())
            process(StoreReply { calls[answered++].id, StoreReplyTooLarge {} });
        advance(milliseconds(100));
    }
    CHECK(calls.size() < 3 * 25); // as in Catalog_storeUnavailable_callsBackOff
}

// Guards against a flood of calls while the store is unavailable.
TEST_CASE_METHOD(CatalogFixture, "Catalog_storeUnavailable_callsBackOff")
{
    std::size_t answered = 0;
    for (int i = 0; i < 100; ++i) {
        while (answered < calls.size())
            process(StoreReply { calls[answered++].id, StoreNoReply {} });
        advance(milliseconds(100));
    }
    // Two kinds and the registration in ten seconds, each at most every 600 ms after backing off.
    CHECK(calls.size() < 3 * 25);
    CHECK(catalog.failedCalls() > 0);
}

// Guards against nodes that cannot reach the store and miss changes.
TEST_CASE_METHOD(CatalogFixture, "Catalog_peerIsBehind_getsDigestAndRequestedUpdate")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(7), 44));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, digest(3) });
    const auto *reply = lastSent<CatalogDigest>();
    REQUIRE(reply != nullptr);
    CHECK(reply->isAnswer);
    CHECK(reply->versions.config == ConfigVersion(7));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 },
                                           CatalogPull { { ConfigVersion(3), {} } } });
    const auto *update = lastSent<CatalogUpdate>();
    REQUIRE(update != nullptr);
    REQUIRE(update->config);
    CHECK(update->config->version == ConfigVersion(7));
    CHECK(update->config->isComplete()); // the changes since version 3 are not recorded
}

TEST_CASE_METHOD(CatalogFixture, "Catalog_peerIsAhead_isPulledFrom")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, digest(9) });
    const auto *pull = lastSent<CatalogPull>();
    REQUIRE(pull != nullptr);
    CHECK(pull->versions.config == ConfigVersion(3));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, update(9) });
    CHECK(versions == std::vector<std::uint64_t> { 3, 9 });
}

// Guards against a starting node that gets the configuration twice, from the store and from peers.
TEST_CASE_METHOD(CatalogFixture, "Catalog_noConfiguration_pullsFromPeersOnlyWhenStoreIsSlow")
{
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, digest(9) });
    CHECK(lastSent<CatalogPull>() == nullptr);
    advance(seconds(1));
    CHECK(lastSent<CatalogPull>() != nullptr);
}

// Guards against failures on unreadable objects of other writers.
TEST_CASE_METHOD(CatalogFixture, "Catalog_unreadableObject_changesNothing")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(std::monostate {}, 40));
    CHECK(versions.empty());
    CHECK(lastCall<StoreWatch>(StoreKind::Configuration) != nullptr);
}

// Guards against logs that do not show who sent a late configuration, and how often.
TEST_CASE_METHOD(CatalogFixture, "Catalog_configurationReceived_isReportedWithItsOrigin")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(7), 44));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, update(5) });
    REQUIRE(received.size() == 2);
    CHECK(received[0].version == ConfigVersion(7));
    CHECK_FALSE(received[0].from);
    CHECK(received[1].version == ConfigVersion(5));
    CHECK(received[1].activeVersion == ConfigVersion(7));
    CHECK(received[1].from == NetAddress { "127.0.0.1", 2 });
}

// Guards against a restarted node that cannot register because its record exists.
TEST_CASE_METHOD(CatalogFixture, "Catalog_ownRecordExists_isReplaced")
{
    const auto isRegister = [](const StoreCall &call) {
        return std::holds_alternative<StoreRegister>(call.operation);
    };
    const auto found = std::find_if(calls.begin(), calls.end(), isRegister);
    REQUIRE(found != calls.end());
    process(StoreReply { found->id, StoreRefusal { StoreRefusal::Reason::Conflict } });
    CHECK(std::holds_alternative<StoreReplace>(calls.back().operation));
    process(StoreReply { calls.back().id, StoreWritten { ObjectVersion(50) } });
    advance(seconds(1));
    answer(lastCall<StoreList>(StoreKind::Nodes),
           entries(NodeRecord { InstanceId("c"), { "127.0.0.1", 3 } }, 51));
    CHECK(joined == std::vector<NetAddress> { { "127.0.0.1", 3 } });
}

class CatalogDepartureFixture : protected CatalogFixture
{
protected:
    static DepartedRuns runs(const std::string &server, std::int64_t startTime)
    {
        DepartedRuns result;
        result.add({ InstanceId(server), BackendStartTime(startTime) });
        return result;
    }
    static StoreRefusal conflict(const DepartedRuns &departures, std::uint64_t at)
    {
        const NodeRecord record { InstanceId("a"), { "127.0.0.1", 1 }, departures };
        return { StoreRefusal::Reason::Conflict,
                 StoreEntry { "a", ObjectVersion(at), false, record } };
    }
    template <typename Operation>
    [[nodiscard]] const StoreCall &lastWrite() const
    {
        const auto found = std::find_if(calls.rbegin(), calls.rend(), [](const StoreCall &call) {
            return std::holds_alternative<Operation>(call.operation);
        });
        REQUIRE(found != calls.rend());
        return *found;
    }
    [[nodiscard]] StoreReplace lastReplace() const
    {
        return std::get<StoreReplace>(lastWrite<StoreReplace>().operation);
    }
};

// Guards against departures that are forgotten when the process of the node is killed (review/4).
TEST_CASE_METHOD(CatalogDepartureFixture, "Catalog_recordOfEarlierProcess_departuresAreRestored")
{
    CHECK_FALSE(restored);
    process(StoreReply { lastWrite<StoreRegister>().id, conflict(runs("i-1", 100), 40) });
    REQUIRE(restored);
    CHECK(*restored == runs("i-1", 100));
    CHECK(lastReplace().record.departures == runs("i-1", 100));
    CHECK(lastReplace().expected == ObjectVersion(40));
}

TEST_CASE_METHOD(CatalogDepartureFixture, "Catalog_noRecord_noDeparturesAreRestored")
{
    process(StoreReply { lastWrite<StoreRegister>().id, StoreWritten { ObjectVersion(40) } });
    REQUIRE(restored);
    CHECK(restored->runs().empty());
}

// Guards against a departure that is acknowledged before the store holds it, or never written.
TEST_CASE_METHOD(CatalogDepartureFixture, "Catalog_departureWhileRegistering_isStoredNext")
{
    process(DeparturesChanged { runs("i-1", 100) });
    process(StoreReply { lastWrite<StoreRegister>().id, StoreWritten { ObjectVersion(40) } });
    CHECK(stored.runs().empty());
    CHECK(lastReplace().expected == ObjectVersion(40));
    process(StoreReply { lastWrite<StoreReplace>().id, StoreNoReply { true } });
    CHECK(stored.runs().empty());
    advance(seconds(2));
    process(StoreReply { lastWrite<StoreReplace>().id, conflict(runs("i-1", 100), 41) });
    CHECK(lastReplace().expected == ObjectVersion(41));
    process(StoreReply { lastWrite<StoreReplace>().id, StoreWritten { ObjectVersion(41) } });
    CHECK(stored == runs("i-1", 100));
}

// Guards against a process that overwrites what another one of the same node has stored.
TEST_CASE_METHOD(CatalogDepartureFixture, "Catalog_recordChangedMeanwhile_departuresAreMerged")
{
    process(StoreReply { lastWrite<StoreRegister>().id, StoreWritten { ObjectVersion(40) } });
    process(DeparturesChanged { runs("i-2", 200) });
    process(StoreReply { lastWrite<StoreReplace>().id, conflict(runs("i-1", 100), 45) });
    CHECK(stored == runs("i-1", 100)); // not the one that was to be written
    DepartedRuns both = runs("i-2", 200);
    both.add(runs("i-1", 100));
    CHECK(lastReplace().record.departures == both);
    CHECK(lastReplace().expected == ObjectVersion(45));
}

class CatalogOrderFixture : protected CatalogFixture
{
protected:
    CatalogOrderFixture()
    {
        answer(lastCall<StoreList>(StoreKind::Rollouts), listOf({ order }, 40));
        REQUIRE(orders == std::vector<RolloutOrder> { order });
    }

    static StoreEntries listOf(const std::vector<RolloutOrder> &stored, std::uint64_t at)
    {
        StoreEntries result { {}, ObjectVersion(at) };
        for (const RolloutOrder &item : stored)
            result.entries.push_back({ item.service.value(), item.version, false, item });
        return result;
    }

    static RolloutOrder takenBack(std::uint64_t at)
    {
        return RolloutOrder::takenBack("orders", ObjectVersion(at));
    }

    const RolloutOrder order { ServiceName("orders"), BackendVersion("v2"), seconds(12),
                               RolloutState::Running, ObjectVersion(30) };
};

// Guards against an order that the operator has removed and that stays in force.
TEST_CASE_METHOD(CatalogOrderFixture, "Catalog_orderRemoved_isTakenBackHereAndAtPeers")
{
    answer(lastCall<StoreWatch>(StoreKind::Rollouts),
           StoreEntries { { { "orders", ObjectVersion(30), true, {} } }, ObjectVersion(45) });
    CHECK(orders == std::vector<RolloutOrder> { takenBack(45) });
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 },
                                           CatalogPull { { {}, ObjectVersion(40) } } });
    const auto *sent = lastSent<CatalogUpdate>();
    REQUIRE(sent != nullptr);
    CHECK(sent->orders == std::vector<RolloutOrder> { takenBack(45) });
    // A message from before the removal does not renew it.
    process(PeerReceived<CatalogMessage> {
        { "127.0.0.1", 2 }, CatalogUpdate { { {}, ObjectVersion(30) }, std::nullopt, { order } } });
    CHECK(orders == std::vector<RolloutOrder> { takenBack(45) });
    RolloutOrder again = order;
    again.version = ObjectVersion(46);
    answer(lastCall<StoreWatch>(StoreKind::Rollouts), listOf({ again }, 46));
    CHECK(orders == std::vector<RolloutOrder> { again });
}

// Guards against an order that was removed while the store was not watched.
TEST_CASE_METHOD(CatalogOrderFixture, "Catalog_orderMissingInWholeList_isTakenBack")
{
    answer(lastCall<StoreWatch>(StoreKind::Rollouts),
           StoreRefusal { StoreRefusal::Reason::HistoryGone });
    RolloutOrder other = order;
    other.service = ServiceName("trucks");
    other.version = ObjectVersion(50);
    StoreEntries first = listOf({ other }, 60);
    first.hasMore = true;
    answer(lastCall<StoreList>(StoreKind::Rollouts), std::move(first));
    CHECK(orders == std::vector<RolloutOrder> { order }); // it may be on a later page
    answer(lastCall<StoreList>(StoreKind::Rollouts), listOf({}, 61));
    CHECK(orders == std::vector<RolloutOrder> { takenBack(60), other });
}

// Guards against an unreadable entry that takes back every order.
TEST_CASE_METHOD(CatalogOrderFixture, "Catalog_listHasUnreadableOrder_nothingIsTakenBack")
{
    answer(lastCall<StoreWatch>(StoreKind::Rollouts),
           StoreRefusal { StoreRefusal::Reason::HistoryGone });
    answer(lastCall<StoreList>(StoreKind::Rollouts),
           StoreEntries { { { "", ObjectVersion(), false, {} } }, ObjectVersion(60) });
    CHECK(orders == std::vector<RolloutOrder> { order });
}

// Guards against a node that stays alone after a restart, because the first names that the store
// lists belong to machines that are gone.
TEST_CASE_METHOD(CatalogFixture, "Catalog_mostListedNodesAreGone_allAreTriedWhileAlone")
{
    auto table = std::make_shared<EndpointTable>();
    table->services[ServiceName("orders")] = { endpoint("a", 1) };
    process(EndpointsChanged { table });
    const auto registration = std::ranges::find_if(calls, [](const StoreCall &call) {
        return std::holds_alternative<StoreRegister>(call.operation);
    });
    REQUIRE(registration != calls.end());
    process(StoreReply { registration->id, StoreWritten { ObjectVersion(9) } });
    advance(milliseconds(200));
    constexpr std::uint16_t pageSize = 500;
    std::set<NetAddress> tried;
    for (std::uint16_t page = 0; page < 2; ++page) {
        StoreEntries list { {}, ObjectVersion(9), page == 0 };
        for (std::uint16_t i = 0; i < pageSize; ++i) {
            const auto port = static_cast<std::uint16_t>(1000 + page * pageSize + i);
            const std::string name = "n" + std::to_string(port);
            list.entries.push_back({ name, ObjectVersion(5), false,
                                     NodeRecord { InstanceId(name), { "127.0.0.1", port } } });
        }
        answer(lastCall<StoreList>(StoreKind::Nodes), std::move(list));
    }
    const std::size_t lists = calls.size();
    for (int step = 0; step < 50; ++step) {
        CHECK(joined.size() <= 64);
        tried.insert(joined.begin(), joined.end());
        joined.clear();
        advance(milliseconds(100));
    }
    CHECK(tried.size() == 2 * pageSize);
    CHECK(std::count_if(calls.begin() + static_cast<std::ptrdiff_t>(lists), calls.end(),
                        [](const StoreCall &call) {
                            const auto *list = std::get_if<StoreList>(&call.operation);
                            return list != nullptr && list->kind == StoreKind::Nodes;
                        })
          <= 1);
}

// Guards against a node that reads the same page repeatedly because its last entry has no readable
// name.
TEST_CASE_METHOD(CatalogFixture, "Catalog_pageEndsWithUnnamedEntry_listContinues")
{
    const auto page = [](std::vector<std::string> names) {
        StoreEntries result { {}, ObjectVersion(9), true };
        for (std::string &name : names)
            result.entries.push_back({ std::move(name), ObjectVersion(5), false, {} });
        return result;
    };
    const auto after = [&] {
        return std::get<StoreList>(lastCall<StoreList>(StoreKind::Rollouts)->operation).after;
    };
    answer(lastCall<StoreList>(StoreKind::Rollouts), page({ "a", "b", "" }));
    CHECK(after() == "b");
    answer(lastCall<StoreList>(StoreKind::Rollouts), page({ "", "c" }));
    CHECK(after() == "c");
    answer(lastCall<StoreList>(StoreKind::Rollouts), page({ "" }));
    CHECK(lastCall<StoreWatch>(StoreKind::Rollouts) != nullptr);
}

class LargeDomainCatalogFixture : public CatalogFixture
{
protected:
    // This node has the fifth lowest address of its failure domain, so it is not a watcher.
    LargeDomainCatalogFixture() : CatalogFixture(5)
    {
        auto table = std::make_shared<EndpointTable>();
        for (std::uint16_t port = 1; port <= 9; ++port)
            table->services[ServiceName("orders")].push_back(
                endpoint("n" + std::to_string(port), port));
        process(EndpointsChanged { table });
        receiveDigest(0);
    }

    // Delivers a peer's digest with this version.
    void receiveDigest(std::uint64_t version, std::uint16_t from = 1, Duration staleness = {})
    {
        process(PeerReceived<CatalogMessage> { { "127.0.0.1", from }, digest(version, staleness) });
    }

    [[nodiscard]] std::size_t callCount(StoreKind kind) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(calls, [kind](const StoreCall &call) {
            const auto *list = std::get_if<StoreList>(&call.operation);
            const auto *watch = std::get_if<StoreWatch>(&call.operation);
            return (list != nullptr && list->kind == kind)
                || (watch != nullptr && watch->kind == kind);
        }));
    }
};

// Guards against a number of store calls that grows with the number of nodes.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_peersAreUpToDate_storeIsNotCalled")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    answer(lastCall<StoreList>(StoreKind::Rollouts), StoreEntries { {}, ObjectVersion(40) });
    const std::size_t before = callCount(StoreKind::Configuration);
    for (int i = 0; i < 60; ++i) {
        advance(milliseconds(500));
        receiveDigest(3, 1, milliseconds(500));
    }
    CHECK(callCount(StoreKind::Configuration) == before);
    CHECK(lastCall<StoreWatch>(StoreKind::Configuration) == nullptr);
}

// Guards against a node that relies on peers as stale as itself: the watchers stop or are refused
// by the store, while all nodes still receive digests from each other.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_peersAreStale_watchesTheStore")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    answer(lastCall<StoreList>(StoreKind::Rollouts), StoreEntries { {}, ObjectVersion(40) });
    Duration staleness {};
    for (int i = 0; i < 14; ++i) {
        advance(milliseconds(500));
        staleness += milliseconds(500);
        receiveDigest(3, 1, staleness);
    }
    const StoreCall *watch = lastCall<StoreWatch>(StoreKind::Configuration);
    REQUIRE(watch != nullptr);
    CHECK(std::get<StoreWatch>(watch->operation).since == ObjectVersion(40));
}

// Guards against a watch that returns, in full, every version that peers have already sent.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_startsToWatchAfterPeerUpdate_listsFirst")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, update(9) });
    const std::size_t before = callCount(StoreKind::Configuration);
    advance(seconds(7));
    REQUIRE(callCount(StoreKind::Configuration) == before + 1);
    const StoreCall *list = lastCall<StoreList>(StoreKind::Configuration);
    CHECK_FALSE(std::get<StoreList>(list->operation).mayBeStale);
    CHECK(lastCall<StoreWatch>(StoreKind::Configuration) == nullptr);
}

// Guards against relying on watchers that are draining.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_watchersDrain_nextRanksWatch")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    REQUIRE(lastCall<StoreWatch>(StoreKind::Configuration) == nullptr);
    auto table = std::make_shared<EndpointTable>();
    for (std::uint16_t port = 1; port <= 9; ++port) {
        table->services[ServiceName("orders")].push_back(
            endpoint("n" + std::to_string(port), port));
        if (port <= 3)
            table->services[ServiceName("orders")].back().state = EndpointState::Draining;
    }
    process(EndpointsChanged { table });
    CHECK(lastCall<StoreWatch>(StoreKind::Configuration) != nullptr);
}

// Guards against a node that is cut off from its peers and misses changes.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_peersSilent_watchesTheStore")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    REQUIRE(lastCall<StoreWatch>(StoreKind::Configuration) == nullptr);
    advance(seconds(4));
    const StoreCall *watch = lastCall<StoreWatch>(StoreKind::Configuration);
    REQUIRE(watch != nullptr);
    CHECK(std::get<StoreWatch>(watch->operation).since == ObjectVersion(40));
}

// Guards against changes that reach nodes which do not watch only with the next periodic digests.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_newConfiguration_digestIsPushedAtOnce")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    CHECK(sends.size() == 3);
    sends.clear();
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, update(5) });
    CHECK(versions.back() == 5);
    CHECK(sends.size() == 3);
    sends.clear();
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 3 }, update(5) });
    CHECK(sends.empty());
}

// Guards against pulling the same change from every node whose digest shows it.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_severalPeersAreAhead_pullsFromOne")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    sends.clear();
    receiveDigest(4, 2);
    receiveDigest(4, 3);
    CHECK(sends.size() == 1);
    advance(milliseconds(300)); // the node that was asked may have stopped
    REQUIRE(sends.size() == 2);
    CHECK(std::holds_alternative<CatalogPull>(std::get<CatalogMessage>(sends[1].message)));
    CHECK(sends[0].to != sends[1].to);
}

class StrictCatalogFixture : protected CatalogFixture
{
protected:
    StrictCatalogFixture()
        : strict(endpoint("a", 1), { Share::fromFraction(0.1), false, seconds(5) }, random)
    {
        auto table = std::make_shared<EndpointTable>();
        table->services[ServiceName("orders")] = { endpoint("a", 1), endpoint("b", 2) };
        calls.clear();
        sends.clear();
        send(EndpointsChanged { table });
    }

    template <typename Input>
    void send(Input input)
    {
        Outbox<Catalog::Output> outbox;
        strict.process(std::move(input), now, outbox);
        collect(outbox);
    }
    void replyAfter(Duration delay, const StoreCall *call, StoreResult result)
    {
        REQUIRE(call != nullptr);
        const StoreCallId id = call->id;
        now += delay;
        send(StoreReply { id, std::move(result) });
    }
    static std::shared_ptr<const MeshConfig> configWithKeys(std::uint64_t version,
                                                            std::vector<std::string> keys)
    {
        MeshConfig result = *config(version);
        Organisation organisation { OrganisationName("ice-depot"), {} };
        for (std::string &key : keys)
            organisation.keys.emplace_back(std::move(key));
        result.organisations.push_back(std::move(organisation));
        return std::make_shared<const MeshConfig>(std::move(result));
    }

    Catalog strict;
};

// Guards against a proof that counts from the arrival of a reply, of a list or of a watch.
TEST_CASE_METHOD(StrictCatalogFixture, "Catalog_strictRevocation_proofCountsFromTheCall")
{
    const TimePoint listedAt = now;
    replyAfter(milliseconds(300), lastCall<StoreList>(StoreKind::Configuration),
               entries(config(3), 40));
    REQUIRE(proven);
    CHECK(proven->asOf == listedAt);
    CHECK(proven->version == ConfigVersion(3));
    const TimePoint watchedAt = now;
    const auto *watch = lastCall<StoreWatch>(StoreKind::Configuration);
    REQUIRE(watch != nullptr);
    CHECK(std::get<StoreWatch>(watch->operation).wait <= milliseconds(600));
    replyAfter(milliseconds(600), watch, StoreEntries { {}, ObjectVersion(40) });
    CHECK(proven->asOf == watchedAt);
}

// Guards against a store that answers with an older state after it has lost its newest.
TEST_CASE_METHOD(StrictCatalogFixture, "Catalog_storeAnswersWithOlderState_provesNothing")
{
    replyAfter({}, lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    const TimePoint provenAsOf = proven->asOf;
    replyAfter(milliseconds(600), lastCall<StoreWatch>(StoreKind::Configuration),
               StoreEntries { {}, ObjectVersion(39) });
    CHECK(proven->asOf == provenAsOf);
    replyAfter({}, lastCall<StoreWatch>(StoreKind::Configuration),
               StoreRefusal { StoreRefusal::Reason::HistoryGone });
    replyAfter(milliseconds(5), lastCall<StoreList>(StoreKind::Configuration),
               entries(config(2), 38));
    CHECK(proven->asOf == provenAsOf);
    CHECK(versions == std::vector<std::uint64_t> { 3 });
}

// Guards against a version that takes a key away and is not applied, while watches from there on
// prove that nothing has changed.
TEST_CASE_METHOD(StrictCatalogFixture, "Catalog_newestVersionIsInvalidOrUnreadable_provesNothing")
{
    replyAfter(milliseconds(50), lastCall<StoreList>(StoreKind::Configuration),
               entries(configWithKeys(3, { "k1" }), 40));
    const TimePoint provenAsOf = proven->asOf;
    const bool isInvalid = GENERATE(true, false);
    const StoreValue value
        = isInvalid ? StoreValue(configWithKeys(4, { "k2", "k2" })) : std::monostate {};
    replyAfter(milliseconds(100), lastCall<StoreWatch>(StoreKind::Configuration),
               entries(value, 41));
    CHECK(refused.size() == (isInvalid ? 1 : 0));
    const std::size_t callsBefore = calls.size();
    now += seconds(2);
    Outbox<Catalog::Output> outbox;
    strict.advance(now, outbox);
    collect(outbox);
    REQUIRE(calls.size() > callsBefore);
    replyAfter({}, lastCall<StoreList>(StoreKind::Configuration), entries(value, 41));
    CHECK(proven->asOf == provenAsOf);
    CHECK(refused.size() == (isInvalid ? 1 : 0));
    CHECK(versions == std::vector<std::uint64_t> { 3 });
    now += seconds(2);
    strict.advance(now, outbox);
    collect(outbox);
    replyAfter({}, lastCall<StoreList>(StoreKind::Configuration),
               entries(configWithKeys(5, { "k2" }), 42));
    CHECK(proven->asOf == now);
    CHECK(versions == std::vector<std::uint64_t> { 3, 5 });
}

// Guards against extra calls and messages where revocation is not strict.
TEST_CASE_METHOD(CatalogFixture, "Catalog_revocationIsNotStrict_provesAndAsksNothing")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    const auto *watch = lastCall<StoreWatch>(StoreKind::Configuration);
    REQUIRE(watch != nullptr);
    CHECK(std::get<StoreWatch>(watch->operation).wait >= milliseconds(1600));
    for (int i = 0; i < 100; ++i)
        advance(milliseconds(100));
    CHECK_FALSE(proven);
    CHECK(lastSent<CatalogProofRequest>() == nullptr);
}

// Guards against keys of a newer version that are refused for good by a node that lacks it.
TEST_CASE_METHOD(StrictCatalogFixture, "Catalog_peerNamesNewerVersion_isReportedOnce")
{
    replyAfter({}, lastCall<StoreList>(StoreKind::Configuration),
               entries(configWithKeys(3, { "k1" }), 40));
    send(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, CatalogMessage(digest(3)) });
    CHECK(newerKnown == ConfigVersion());
    send(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, CatalogMessage(digest(7)) });
    CHECK(newerKnown == ConfigVersion(7));
}

} // namespace
} // namespace camphorreach
