// Tests of the retry budget.
#include <camphorreach/retrybudget.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

class RetryBudgetFixture
{
protected:
    int takeAll(std::uint8_t depth)
    {
        int taken = 0;
        while (budget.tryTake(orders, CallDepth(depth), now))
            ++taken;
        return taken;
    }

    const ServiceName orders { "orders" };
    TimePoint now { std::chrono::seconds(1000) };
    RetryBudget budget;
};

TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget_manyFirstAttempts_isBoundedBurst")
{
    for (int i = 0; i < 100'000; ++i)
        budget.deposit(orders, CallDepth(0), Share::fromFraction(0.1), now);
    CHECK(takeAll(0) == static_cast<int>(RetryBudget::Limits().maxTokens));
}

// Guards against one level of a call chain spending the retries of another.
TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget_spentAtOneDepth_remainsAtOthers")
{
    budget.deposit(orders, CallDepth(0), Share::none(), now);
    budget.deposit(orders, CallDepth(1), Share::none(), now);
    CHECK(takeAll(0) == static_cast<int>(RetryBudget::Limits().initialTokens));
    CHECK(takeAll(1) == static_cast<int>(RetryBudget::Limits().initialTokens));
}

TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget_serviceRemoved_dropsItsBuckets")
{
    budget.deposit(orders, CallDepth(0), Share::all(), now);
    budget.retain(Snapshot {});
    CHECK(budget.size() == 0);
}

class FleetRetryBudgetFixture : public RetryBudgetFixture
{
protected:
    FleetRetryBudgetFixture()
    {
        RetryBudget::Limits limits { 2.0, 4.0, RetryBudget::FleetLimit {} };
        limits.fleet->ratio = Share::fromFraction(0.2);
        limits.fleet->extra = 56;
        budget = RetryBudget(limits);
    }

    // Records first attempts at equal intervals over the given time.
    void depositAttempts(int count, Duration time)
    {
        for (int i = 0; i < count; ++i) {
            now += time / count;
            budget.deposit(orders, CallDepth(0), Share::fromFraction(0.07), now);
        }
    }
};

// Guards against a large fleet in which the retry bursts of all nodes together exceed the limit.
TEST_CASE_METHOD(FleetRetryBudgetFixture, "RetryBudget_manyNodesWithFewRequests_shareExtraRetries")
{
    budget.setNodeCount(1400);
    depositAttempts(1, std::chrono::milliseconds(1));
    CHECK(takeAll(0) == 0);
    budget.setNodeCount(28);
    depositAttempts(100, std::chrono::minutes(10));
    CHECK(takeAll(0) == 2);
    budget.setNodeCount(1);
    depositAttempts(100, std::chrono::minutes(10));
    CHECK(takeAll(0) == 4);
}

// Guards against a busy node that cannot retry because the fleet is large.
TEST_CASE_METHOD(FleetRetryBudgetFixture, "RetryBudget_busyNodeOfLargeFleet_mayRetry")
{
    budget.setNodeCount(1400);
    depositAttempts(1000, std::chrono::seconds(10));
    CHECK(takeAll(0) == 4);
    now += std::chrono::minutes(2);
    depositAttempts(1, std::chrono::milliseconds(1));
    CHECK(takeAll(0) == 0);
}

} // namespace
} // namespace camphorreach
