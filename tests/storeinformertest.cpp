// Tests of when one kind of object is listed or watched.
#include <camphorreach/storeinformer.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StoreInformerFixture
{
protected:
    static StoreEntries entries(const std::string &name, bool hasMore)
    {
        return { { { name, ObjectVersion(4), false, {} } }, ObjectVersion(4), hasMore };
    }

    StoreList list(std::uint64_t id) { return informer.startList(StoreCallId(id), false, {}, now); }

    StoreInformer informer { StoreKind::Rollouts };
    TimePoint now { seconds(100) };
};

// Guards against calls without bound to a store that takes calls and does not respond.
TEST_CASE_METHOD(StoreInformerFixture, "StoreInformer_storeDoesNotRespond_overdueCallsAreBounded")
{
    for (std::uint64_t id = 0; id < StoreInformer::maxOverdueCalls; ++id) {
        CHECK(informer.isDue(now));
        (void)list(id);
        CHECK(informer.nextDeadline() == now + milliseconds(400));
        now += milliseconds(400);
        CHECK(informer.isReplyOverdue(now));
        informer.onOverdue();
        informer.retryAfter(milliseconds(100), now);
        now += milliseconds(100);
    }
    CHECK_FALSE(informer.isDue(now));
    CHECK_FALSE(informer.nextDeadline());

    (void)informer.takeOverdue(StoreCallId(1));
    CHECK(informer.isDue(now));
    CHECK_FALSE(informer.isOverdue(StoreCallId(1)));
    CHECK(informer.isOverdue(StoreCallId(2)));
}

// Guards against a proof that counts from a later page, and against a list without end.
TEST_CASE_METHOD(StoreInformerFixture, "StoreInformer_listOfSeveralPages_countsFromTheFirst")
{
    const TimePoint begin = now;
    CHECK(list(1).after.empty());
    (void)informer.takePending();
    CHECK(informer.onPage(entries("b", true), now));
    CHECK_FALSE(informer.collect(StoreInformer::Read::List, entries("b", true), true));

    now += seconds(1);
    CHECK(list(2).after == "b");
    const auto call = informer.takePending();
    CHECK(call.read == StoreInformer::Read::NextPage);
    CHECK(call.provesFrom == begin);
    CHECK_FALSE(informer.onPage(entries("b", true), now)); // nothing after the cursor
    const auto whole = informer.collect(call.read, entries("c", false), false);
    REQUIRE(whole);
    CHECK(whole->entries.size() == 2);
    CHECK(list(3).after.empty());
}

// Guards against a node that falls behind because each watch returns many versions in full.
TEST_CASE_METHOD(StoreInformerFixture,
                 "StoreInformer_severalVersionsInReply_listsUntilNothingNewer")
{
    informer.onLastPage(ObjectVersion(4), 2, true, now);
    CHECK(informer.isCatchingUp());
    CHECK_FALSE(informer.watchFrom());
    informer.onLastPage(ObjectVersion(5), 1, true, now);
    CHECK_FALSE(informer.watchFrom());
    informer.onLastPage(ObjectVersion(5), 1, false, now);
    CHECK(informer.watchFrom() == ObjectVersion(5));
}

// Guards against a watch that returns every version that peers have sent already.
TEST_CASE_METHOD(StoreInformerFixture, "StoreInformer_watchAfterPeersSentNewer_listsFirst")
{
    informer.onLastPage(ObjectVersion(4), 1, true, now);
    informer.stop();
    informer.startWatching(now);
    CHECK(informer.watchFrom() == ObjectVersion(4));
    CHECK(informer.isDue(now));
    informer.supersede();
    informer.startWatching(now);
    CHECK_FALSE(informer.watchFrom());
}

} // namespace
} // namespace camphorreach
