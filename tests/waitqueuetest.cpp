// Tests of the queue of requests that wait for a target.
#include <camphorreach/waitqueue.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::seconds;

class WaitQueueFixture
{
protected:
    static WaitQueue::Entry entry(std::uint64_t id, std::uint32_t weight, int deadline,
                                  TimePoint notBefore = {}, const std::string &service = "orders")
    {
        return { RequestId(id), ServiceName(service), weight, TimePoint(seconds(deadline)),
                 notBefore };
    }

    const ServiceName orders { "orders" };
    WaitQueue queue { 3 };
};

TEST_CASE_METHOD(WaitQueueFixture, "WaitQueue_severalWeights_ordersByWeightThenDeadline")
{
    REQUIRE_FALSE(queue.push(entry(1, 1, 5)));
    REQUIRE_FALSE(queue.push(entry(2, 9, 8)));
    REQUIRE_FALSE(queue.push(entry(3, 9, 7)));
    CHECK(queue.ready(orders, TimePoint {}, 9)
          == std::vector { RequestId(3), RequestId(2), RequestId(1) });
    CHECK(queue.push(entry(4, 5, 1)) == RequestId(1));
    CHECK(queue.push(entry(5, 1, 1)) == RequestId(5));
    CHECK(queue.size() == 3);
}

TEST_CASE_METHOD(WaitQueueFixture, "WaitQueue_entryInBackoff_isReadyAfterIt")
{
    const TimePoint end { seconds(2) };
    REQUIRE_FALSE(queue.push(entry(1, 1, 5, end)));
    CHECK(queue.ready(orders, TimePoint(seconds(1)), 9).empty());
    CHECK(queue.nextBackoffEnd() == end);
    CHECK(queue.takeDueServices(end) == std::vector { orders });
    CHECK(queue.nextBackoffEnd() == std::nullopt);
    CHECK(queue.ready(orders, end, 9).size() == 1);
}

TEST_CASE_METHOD(WaitQueueFixture, "WaitQueue_entryErased_leavesNothingBehind")
{
    REQUIRE_FALSE(queue.push(entry(1, 1, 5, TimePoint(seconds(2)))));
    queue.erase(RequestId(1));
    queue.erase(RequestId(1));
    CHECK(queue.size() == 0);
    CHECK(queue.services().empty());
    CHECK(queue.nextBackoffEnd() == std::nullopt);
    CHECK_FALSE(queue.nextToShed().has_value());
}

} // namespace
} // namespace camphorreach
