// Tests of the gate's queue.
#include <camphorreach/gatequeue.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

class GateQueueFixture
{
protected:
    static GateWork work(std::uint64_t id, std::uint32_t weight, int deadlineMs,
                         std::size_t bodyBytes = 0, std::uint64_t link = 1)
    {
        GateWork result;
        result.link = LinkId(link);
        result.request.id = RequestId(id);
        result.request.kindWeight = weight;
        result.request.content.body = std::string(bodyBytes, 'x');
        result.deadline = TimePoint(std::chrono::milliseconds(deadlineMs));
        result.fingerprint = Digest(id);
        return result;
    }

    static std::vector<std::uint64_t> idsOf(const std::vector<GateWork> &requests)
    {
        std::vector<std::uint64_t> ids;
        ids.reserve(requests.size());
        for (const GateWork &entry : requests)
            ids.push_back(entry.request.id.value());
        return ids;
    }

    using Ids = std::vector<std::uint64_t>;

    GateQueue queue { { 3, 100'000 } };
};

// Guards against running a lookup before an order of higher weight, and a request with a later
// deadline before one with an earlier deadline.
TEST_CASE_METHOD(GateQueueFixture, "GateQueue_mixedKinds_ordersByWeightThenDeadline")
{
    REQUIRE(queue.push(work(1, 1, 10)).empty());
    REQUIRE(queue.push(work(2, 5, 90)).empty());
    REQUIRE(queue.push(work(3, 5, 50)).empty());
    CHECK(idsOf(queue.takeAll()) == Ids { 3, 2, 1 });
    CHECK(queue.bytes() == 0);
}

// Guards against shedding a request of higher weight or with an earlier deadline first.
TEST_CASE_METHOD(GateQueueFixture, "GateQueue_full_shedsLowestWeightWithLatestDeadline")
{
    REQUIRE(queue.push(work(1, 1, 10)).empty());
    REQUIRE(queue.push(work(2, 1, 90)).empty());
    REQUIRE(queue.push(work(3, 5, 99)).empty());
    CHECK(idsOf(queue.push(work(4, 5, 50))) == Ids { 2 });
    CHECK(idsOf(queue.push(work(5, 1, 20))) == Ids { 5 });
    CHECK(idsOf(queue.takeAll()) == Ids { 4, 3, 1 });
}

// Guards against unbounded memory for large bodies.
TEST_CASE_METHOD(GateQueueFixture, "GateQueue_bytesBeyondLimit_shedsUntilItFits")
{
    REQUIRE(queue.push(work(1, 1, 10, 40'000)).empty());
    REQUIRE(queue.push(work(2, 1, 20, 40'000)).empty());
    CHECK(idsOf(queue.push(work(3, 9, 30, 70'000))) == Ids { 2, 1 });
    CHECK(queue.bytes() <= 100'000);
    CHECK(idsOf(queue.push(work(4, 99, 30, 200'000))) == Ids { 3, 4 });
}

TEST_CASE_METHOD(GateQueueFixture, "GateQueue_deadlinesPassed_removesOnlyExpired")
{
    REQUIRE(queue.push(work(1, 1, 10)).empty());
    REQUIRE(queue.push(work(2, 5, 20)).empty());
    REQUIRE(queue.push(work(3, 9, 30)).empty());
    CHECK(queue.earliestDeadline() == TimePoint(std::chrono::milliseconds(10)));
    CHECK(idsOf(queue.takeExpired(TimePoint(std::chrono::milliseconds(20)))) == Ids { 1, 2 });
    CHECK(queue.size() == 1);
}

// Guards against removing another link's request with the same id.
TEST_CASE_METHOD(GateQueueFixture, "GateQueue_linkClosed_removesOnlyItsRequests")
{
    REQUIRE(queue.push(work(1, 1, 10, 0, 1)).empty());
    REQUIRE(queue.push(work(1, 1, 20, 0, 2)).empty());
    REQUIRE(queue.push(work(2, 1, 30, 0, 2)).empty());
    CHECK(idsOf(queue.takeByLink(LinkId(2), RequestId(1))) == Ids { 1 });
    CHECK(idsOf(queue.takeByLink(LinkId(2), std::nullopt)) == Ids { 2 });
    CHECK(queue.size() == 1);
}

} // namespace
} // namespace camphorreach
