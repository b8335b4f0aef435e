// Tests of the bounded ring.
#include <camphorreach/ring.h>

#include <catch2/catch.hpp>
#include <thread>

namespace camphorreach {
namespace {

class RingFixture
{
protected:
    Ring<int> ring { 4, 2 };
};

// Guards against a request in a slot that is reserved for answers.
TEST_CASE_METHOD(RingFixture, "Ring_fullUpToReserve_rejectsUnreservedPush")
{
    REQUIRE(ring.tryPush(1));
    REQUIRE(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    CHECK(ring.pushReserved(3));
    CHECK(ring.pushReserved(4));
    CHECK_FALSE(ring.pushReserved(5));
}

// Guards against messages that are lost or reordered between threads.
TEST_CASE_METHOD(RingFixture, "Ring_producerFasterThanConsumer_keepsOrderAndLosesNothing")
{
    constexpr int count = 10'000;
    std::thread producer([this] {
        for (int i = 0; i < count; ++i)
            ring.push(i);
        ring.close();
    });
    int expected = 0;
    while (const auto item = ring.pop(std::nullopt)) {
        if (*item != expected)
            break;
        ++expected;
    }
    producer.join();
    CHECK(expected == count);
}

// Guards against a consumer that misses a message because it was not woken.
TEST_CASE_METHOD(RingFixture, "Ring_pushIntoEmptyRing_wakesConsumerOnce")
{
    int wakeUps = 0;
    ring.setWakeUp([&wakeUps] { ++wakeUps; });
    REQUIRE(ring.tryPush(1));
    REQUIRE(ring.tryPush(2));
    CHECK(wakeUps == 1);
    CHECK(ring.tryPop() == 1);
    CHECK(ring.tryPop() == 2);
    CHECK_FALSE(ring.tryPop().has_value());
    REQUIRE(ring.tryPush(3));
    CHECK(wakeUps == 2);
}

TEST_CASE_METHOD(RingFixture, "Ring_closedWithMessages_returnsThemThenEnds")
{
    REQUIRE(ring.tryPush(1));
    ring.close();
    CHECK_FALSE(ring.push(2));
    CHECK(ring.pop(std::nullopt) == 1);
    CHECK_FALSE(ring.pop(std::nullopt).has_value());
}

} // namespace
} // namespace camphorreach
