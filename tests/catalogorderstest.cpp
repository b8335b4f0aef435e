// Tests of the catalog: rollout orders that are given and taken back.
#include "catalogfixture.h"

#include <utility>
#include <vector>

namespace camphorreach {
namespace {

using std::chrono::seconds;

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

} // namespace
} // namespace camphorreach
