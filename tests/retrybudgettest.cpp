// Tests of the retry budget.
#include <camphorreach/random.h>
#include <camphorreach/retrybudget.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

class RetryBudgetFixture
{
protected:
    int takeAll(std::uint8_t depth, const OrganisationName &organisation = {})
    {
        int taken = 0;
        while (budget.tryTake(orders, CallDepth(depth), organisation, now))
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
        budget.deposit(orders, CallDepth(0), {}, Share::fromFraction(0.1), now);
    CHECK(takeAll(0) == static_cast<int>(RetryBudget::Limits().maxTokens));
}

// Guards against one level of a call chain spending the retries of another.
TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget_spentAtOneDepth_remainsAtOthers")
{
    budget.deposit(orders, CallDepth(0), {}, Share::none(), now);
    budget.deposit(orders, CallDepth(1), {}, Share::none(), now);
    CHECK(takeAll(0) == static_cast<int>(RetryBudget::Limits().initialTokens));
    CHECK(takeAll(1) == static_cast<int>(RetryBudget::Limits().initialTokens));
}

TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget_serviceRemoved_dropsItsBuckets")
{
    budget.deposit(orders, CallDepth(0), {}, Share::all(), now);
    budget.retain(Snapshot {});
    CHECK(budget.size() == 0);
}

// A service with 90 requests a second of "large", all of which fail, and 2 of "small".
class SharedRetryBudgetFixture : public RetryBudgetFixture
{
protected:
    // Returns how many failures of "small", every tenth of its requests, found no token.
    int refusedToSmall(Duration time)
    {
        int refused = 0;
        int sentBySmall = 0;
        for (const TimePoint end = now + time; now < end; now += std::chrono::milliseconds(11)) {
            const bool isSmall = uniformBelow(random, 46) == 0;
            const OrganisationName &organisation = isSmall ? small : large;
            budget.deposit(orders, CallDepth(0), organisation, ratio, now);
            sentByLarge += isSmall ? 0 : 1;
            if (isSmall && ++sentBySmall % 10 != 0)
                continue;
            const bool isTaken = budget.tryTake(orders, CallDepth(0), organisation, now);
            refused += isSmall && !isTaken ? 1 : 0;
            takenByLarge += !isSmall && isTaken ? 1 : 0;
        }
        return refused;
    }

    const Share ratio = Share::fromFraction(0.1);
    const OrganisationName large { "large" };
    const OrganisationName small { "small" };
    RandomSource random { Catch::rngSeed() };
    int sentByLarge = 0;
    int takenByLarge = 0;
};

// Guards against an organisation whose requests all fail and that leaves no retry to others.
TEST_CASE_METHOD(SharedRetryBudgetFixture, "RetryBudget_oneOrganisationFails_leavesRetriesToOthers")
{
    CHECK(refusedToSmall(std::chrono::minutes(5)) == 0);
    CHECK(takenByLarge >= sentByLarge / 25); // still retries, with most of what it earns
}

// Guards against a burst of failures that takes what a large organisation and others have saved.
TEST_CASE_METHOD(SharedRetryBudgetFixture, "RetryBudget_burstOfOneOrganisation_leavesAPart")
{
    for (int i = 0; i < 1000; ++i)
        budget.deposit(orders, CallDepth(0), i % 50 == 0 ? small : large, ratio, now);
    CHECK(takeAll(0, large) >= 25);
    CHECK(takeAll(0, small) >= 3);
}

// Guards against an organisation that is the only one and gets few of the retries that it earns.
TEST_CASE_METHOD(SharedRetryBudgetFixture, "RetryBudget_onlyOneOrganisation_usesMostOfWhatItEarns")
{
    const int sent = 10'000;
    int taken = 0;
    for (int i = 0; i < sent; ++i) {
        now += std::chrono::milliseconds(20);
        budget.deposit(orders, CallDepth(0), large, ratio, now);
        taken += budget.tryTake(orders, CallDepth(0), large, now) ? 1 : 0;
    }
    CHECK(taken >= sent * 9 / 100);
}

// Guards against memory that grows with the organisations.
TEST_CASE_METHOD(SharedRetryBudgetFixture, "RetryBudget_manyOrganisations_isBoundedAndServesAll")
{
    for (int i = 0; i < 10'000; ++i)
        budget.deposit(orders, CallDepth(0), OrganisationName(std::to_string(i)), ratio, now);
    CHECK(budget.partCount() <= RetryBudget::maxParts);
    for (int i = 0; i < 10'000; ++i) {
        budget.deposit(orders, CallDepth(0), large, Share::all(), now);
        if (i % 1000 == 0)
            CHECK(budget.tryTake(orders, CallDepth(0), OrganisationName(std::to_string(i)), now));
    }
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
            budget.deposit(orders, CallDepth(0), {}, Share::fromFraction(0.07), now);
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
