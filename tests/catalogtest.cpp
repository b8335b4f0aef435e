// Tests of a node that follows the platform's store.
#include <camphorreach/catalog.h>
#include <camphorreach/result.h>

#include <algorithm>
#include <catch2/catch.hpp>

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
        route.parts.push_back({ ServiceName("orders"), 1 });
        result.routes.push_back(route);
        result.services.push_back({ ServiceName("orders"), 10 });
        return std::make_shared<const MeshConfig>(std::move(result));
    }
    // What another node sends to one that holds nothing.
    static CatalogUpdate update(std::uint64_t version, Duration age = {})
    {
        VersionedConfig held;
        (void)held.take(*config(version));
        return { { ConfigVersion(version), {} }, held.changesSince({}), {}, age };
    }
    static CatalogAdvert advert(std::uint64_t version, Duration age = {})
    {
        return { { ConfigVersion(version), {} }, age, false };
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
    void pass(Duration step)
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
                           [&](ConfigurationHeard &origin) { heard.push_back(origin); },
                       },
                       output);
        }
    }
    // The latest call of a kind of operation.
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
    // The answer to the latest update or advert that was sent to a peer.
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
    std::vector<ConfigurationHeard> heard;
};

// Guards against a node that lists the store again and again, or misses what changes after the
// list.
TEST_CASE_METHOD(CatalogFixture, "Catalog_configurationListed_isFollowedFromThere")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    CHECK(versions == std::vector<std::uint64_t> { 3 });
    const StoreCall *follow = lastCall<StoreFollow>(StoreKind::Configuration);
    REQUIRE(follow != nullptr);
    CHECK(std::get<StoreFollow>(follow->operation).since == ObjectVersion(40));
    // 3 s until in touch and 2 s to be in force, less the call's timeout of 1.5 s: a watch that
    // hangs in a silent store must have ended by then.
    CHECK(std::get<StoreFollow>(follow->operation).wait <= milliseconds(3500));
    answer(follow, entries(config(7), 44));
    CHECK(versions == std::vector<std::uint64_t> { 3, 7 });
}

// Guards against an older version that comes late, from the store or from a peer.
TEST_CASE_METHOD(CatalogFixture, "Catalog_olderConfiguration_isNeverInForce")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(7), 44));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, update(5) });
    answer(lastCall<StoreFollow>(StoreKind::Configuration), entries(config(6), 45));
    CHECK(versions == std::vector<std::uint64_t> { 7 });
    CHECK(catalog.version() == ConfigVersion(7));
}

// Guards against a node that stays behind because the history it followed is gone.
TEST_CASE_METHOD(CatalogFixture, "Catalog_historyGone_listsAgainAtOnce")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    const std::size_t before = calls.size();
    answer(lastCall<StoreFollow>(StoreKind::Configuration),
           StoreRefusal { StoreRefusal::Reason::HistoryGone });
    REQUIRE(calls.size() == before + 1);
    CHECK(std::holds_alternative<StoreList>(calls.back().operation));
}

// Guards against a storm of calls while the store turns this node away.
TEST_CASE_METHOD(CatalogFixture, "Catalog_storeUnavailable_callsBackOff")
{
    std::size_t answered = 0;
    for (int i = 0; i < 100; ++i) {
        while (answered < calls.size())
            process(StoreReply { calls[answered++].id, StoreSilence {} });
        pass(milliseconds(100));
    }
    // Two kinds and the registration in ten seconds, each at most every 600 ms once it backs off.
    CHECK(calls.size() < 3 * 25);
    CHECK(catalog.failedCalls() > 0);
}

// Guards against nodes that are cut off from the store and hear of nothing.
TEST_CASE_METHOD(CatalogFixture, "Catalog_peerHasLess_isToldAndSentWhatItAsksFor")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(7), 44));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, advert(3) });
    const auto *told = lastSent<CatalogAdvert>();
    REQUIRE(told != nullptr);
    CHECK(told->isAnswer);
    CHECK(told->extent.config == ConfigVersion(7));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 },
                                           CatalogPull { { ConfigVersion(3), {} } } });
    const auto *update = lastSent<CatalogUpdate>();
    REQUIRE(update != nullptr);
    REQUIRE(update->config);
    CHECK(update->config->version == ConfigVersion(7));
    CHECK(update->config->isComplete()); // what changed since version 3 is not known here
}

TEST_CASE_METHOD(CatalogFixture, "Catalog_peerHasMore_isAsked")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, advert(9) });
    const auto *pull = lastSent<CatalogPull>();
    REQUIRE(pull != nullptr);
    CHECK(pull->extent.config == ConfigVersion(3));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, update(9) });
    CHECK(versions == std::vector<std::uint64_t> { 3, 9 });
}

// Guards against a node that starts and takes everything twice, from the store and from others.
TEST_CASE_METHOD(CatalogFixture, "Catalog_nothingHeld_asksOthersOnlyWhenTheStoreIsSlow")
{
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, advert(9) });
    CHECK(lastSent<CatalogPull>() == nullptr);
    pass(seconds(1));
    CHECK(lastSent<CatalogPull>() != nullptr);
}

// Guards against unreadable objects of other writers.
TEST_CASE_METHOD(CatalogFixture, "Catalog_unreadableObject_changesNothing")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(std::monostate {}, 40));
    CHECK(versions.empty());
    CHECK(lastCall<StoreFollow>(StoreKind::Configuration) != nullptr);
}

// Guards against a late configuration of which nobody can tell who brought it, and how often.
TEST_CASE_METHOD(CatalogFixture, "Catalog_configurationHeard_isReportedWithItsOrigin")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(7), 44));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, update(5) });
    REQUIRE(heard.size() == 2);
    CHECK(heard[0].version == ConfigVersion(7));
    CHECK_FALSE(heard[0].from);
    CHECK(heard[1].version == ConfigVersion(5));
    CHECK(heard[1].held == ConfigVersion(7));
    CHECK(heard[1].from == NetAddress { "127.0.0.1", 2 });
}

// Guards against a restarted node that cannot enter itself because its record exists.
TEST_CASE_METHOD(CatalogFixture, "Catalog_ownRecordExists_isReplaced")
{
    const auto isRegister = [](const StoreCall &call) {
        return std::holds_alternative<StoreRegister>(call.operation);
    };
    const auto found = std::find_if(calls.begin(), calls.end(), isRegister);
    REQUIRE(found != calls.end());
    process(StoreReply { found->id, StoreRefusal { StoreRefusal::Reason::Conflict } });
    CHECK(std::holds_alternative<StoreRefresh>(calls.back().operation));
    process(StoreReply { calls.back().id, StoreWritten { ObjectVersion(50) } });
    pass(seconds(1));
    answer(lastCall<StoreList>(StoreKind::Nodes),
           entries(NodeRecord { InstanceId("b"), { "127.0.0.1", 2 } }, 51));
    CHECK(joined == std::vector<NetAddress> { { "127.0.0.1", 2 } });
}

// Guards against a node that reads the same page again and again because the last entry of it has
// no name that can be read.
TEST_CASE_METHOD(CatalogFixture, "Catalog_pageEndsWithAnOddEntry_listGoesOn")
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
    CHECK(lastCall<StoreFollow>(StoreKind::Rollouts) != nullptr);
}

class LargeDomainCatalogFixture : public CatalogFixture
{
protected:
    // This node is the fifth of its failure domain.
    LargeDomainCatalogFixture() : CatalogFixture(5)
    {
        auto table = std::make_shared<EndpointTable>();
        for (std::uint16_t port = 1; port <= 9; ++port)
            table->services[ServiceName("orders")].push_back(
                endpoint("n" + std::to_string(port), port));
        process(EndpointsChanged { table });
        hear(0);
    }

    // An advert of another node with this version.
    void hear(std::uint64_t version, std::uint16_t from = 1, Duration age = {})
    {
        process(PeerReceived<CatalogMessage> { { "127.0.0.1", from }, advert(version, age) });
    }

    [[nodiscard]] std::size_t callCount(StoreKind kind) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(calls, [kind](const StoreCall &call) {
            const auto *list = std::get_if<StoreList>(&call.operation);
            const auto *follow = std::get_if<StoreFollow>(&call.operation);
            return (list != nullptr && list->kind == kind)
                || (follow != nullptr && follow->kind == kind);
        }));
    }
};

// Guards against calls to the store that grow with the number of nodes.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_othersAreUpToDate_storeIsNotCalled")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    answer(lastCall<StoreList>(StoreKind::Rollouts), StoreEntries { {}, ObjectVersion(40) });
    const std::size_t before = callCount(StoreKind::Configuration);
    for (int i = 0; i < 60; ++i) {
        pass(milliseconds(500));
        hear(3, 1, milliseconds(500));
    }
    CHECK(callCount(StoreKind::Configuration) == before);
    CHECK(lastCall<StoreFollow>(StoreKind::Configuration) == nullptr);
}

// Guards against a node that trusts others which are as stale as itself: those that watch fall
// silent or are turned away, and everybody goes on hearing from everybody.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_othersAreStale_watchesTheStore")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    answer(lastCall<StoreList>(StoreKind::Rollouts), StoreEntries { {}, ObjectVersion(40) });
    Duration age {};
    for (int i = 0; i < 14; ++i) {
        pass(milliseconds(500));
        age += milliseconds(500);
        hear(3, 1, age);
    }
    const StoreCall *follow = lastCall<StoreFollow>(StoreKind::Configuration);
    REQUIRE(follow != nullptr);
    CHECK(std::get<StoreFollow>(follow->operation).since == ObjectVersion(40));
}

// Guards against a watch that brings, whole, each version that others have brought already.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_beginsToWatchAfterNewsOfOthers_listsFirst")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    process(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, update(9) });
    const std::size_t before = callCount(StoreKind::Configuration);
    pass(seconds(7));
    REQUIRE(callCount(StoreKind::Configuration) == before + 1);
    const StoreCall *list = lastCall<StoreList>(StoreKind::Configuration);
    CHECK_FALSE(std::get<StoreList>(list->operation).mayBeStale);
    CHECK(lastCall<StoreFollow>(StoreKind::Configuration) == nullptr);
}

// Guards against counting on watchers that are stopping.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_watchersStop_nextOnesWatch")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    REQUIRE(lastCall<StoreFollow>(StoreKind::Configuration) == nullptr);
    auto table = std::make_shared<EndpointTable>();
    for (std::uint16_t port = 1; port <= 9; ++port) {
        table->services[ServiceName("orders")].push_back(
            endpoint("n" + std::to_string(port), port));
        if (port <= 3)
            table->services[ServiceName("orders")].back().state = EndpointState::Draining;
    }
    process(EndpointsChanged { table });
    CHECK(lastCall<StoreFollow>(StoreKind::Configuration) != nullptr);
}

// Guards against a node that is cut off from the others and misses what changes.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_othersFallSilent_watchesTheStore")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    REQUIRE(lastCall<StoreFollow>(StoreKind::Configuration) == nullptr);
    pass(seconds(4));
    const StoreCall *follow = lastCall<StoreFollow>(StoreKind::Configuration);
    REQUIRE(follow != nullptr);
    CHECK(std::get<StoreFollow>(follow->operation).since == ObjectVersion(40));
}

// Guards against news that reaches the nodes which do not watch only with the next adverts.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_news_isToldToSomeNodesAtOnce")
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

// Guards against one change that is sent whole by everyone who tells of it.
TEST_CASE_METHOD(LargeDomainCatalogFixture, "Catalog_severalTellOfTheSameNews_asksOne")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    sends.clear();
    hear(4, 2);
    hear(4, 3);
    CHECK(sends.size() == 1);
    pass(milliseconds(300)); // the one that was asked may have ended
    REQUIRE(sends.size() == 2);
    CHECK(std::holds_alternative<CatalogPull>(std::get<CatalogMessage>(sends[1].message)));
    CHECK(sends[0].to != sends[1].to);
}

} // namespace
} // namespace camphorreach
