// Tests of the catalog: listing and watching the platform's store.
#include "catalogfixture.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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

} // namespace
} // namespace camphorreach
