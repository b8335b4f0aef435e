// Tests of when a node asks the store for evacuation orders.
#include <camphorreach/evacuationcheck.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::seconds;

class EvacuationCheckFixture
{
protected:
    EvacuationCheck check { seconds(5) };
    TimePoint now { seconds(100) };
};

// Guards against an order that comes too late, and against all nodes asking at once.
TEST_CASE_METHOD(EvacuationCheckFixture, "EvacuationCheck_staleCopy_asksByRankBeforeTheBound")
{
    CHECK(check.nextCheck(now, 0) < now + seconds(5));
    CHECK(check.nextCheck(now, 0) > now + seconds(4));
    CHECK(check.nextCheck(now, 2) > check.nextCheck(now, 1));
}

// Guards against questions without pause to a store that fails.
TEST_CASE_METHOD(EvacuationCheckFixture, "EvacuationCheck_checkedWithoutAnswer_pausesByRank")
{
    check.onChecked(0, now);
    CHECK(check.nextCheck(now - seconds(60), 0) == now + seconds(1));
    check.onChecked(30, now);
    CHECK(check.nextCheck(now - seconds(60), 30) == now + seconds(11));
}

} // namespace
} // namespace camphorreach
