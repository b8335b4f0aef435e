// Tests of the stored outcomes of run-once requests.
#include <camphorreach/resultstore.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::seconds;

class ResultStoreFixture
{
protected:
    ResultStoreFixture() { store.start(now); }

    static ResultStore::Limits limits(bool mayFollowRestart = false)
    {
        ResultStore::Limits result;
        result.retention = seconds(60);
        result.keys = 3;
        result.bytes = 4000;
        result.waiters = 2;
        result.mayFollowRestart = mayFollowRestart;
        return result;
    }

    static GateWork work(const std::string &key, std::uint64_t content = 1, bool isFresh = false,
                         std::uint64_t id = 1)
    {
        GateWork result;
        result.link = LinkId(1);
        result.request.id = RequestId(id);
        result.request.key = IdempotencyKey(key);
        result.request.isFreshKey = isFresh;
        result.fingerprint = Digest(content);
        return result;
    }

    std::string admit(ResultStore &target, GateWork item) const
    {
        const auto decision = target.admit(item, now);
        if (std::holds_alternative<ResultStore::Admitted>(decision))
            return "admitted";
        if (std::holds_alternative<ResultStore::Joined>(decision))
            return "joined";
        const auto &outcome = std::get<Outcome>(decision);
        if (const auto *answered = std::get_if<Answered>(&outcome))
            return "answered " + answered->body;
        if (const auto *notRun = std::get_if<NotRun>(&outcome))
            return std::string("not-run ") + toText(notRun->reason);
        return std::string("unknown ") + toText(std::get<OutcomeUnknown>(outcome).reason);
    }

    std::string admit(GateWork item) { return admit(store, std::move(item)); }

    void run(const std::string &key, const std::string &body = "done")
    {
        REQUIRE(admit(work(key)) == "admitted");
        (void)store.complete(IdempotencyKey(key), Answered { 200, "", body }, now);
    }

    TimePoint now { seconds(1000) };
    ResultStore store { limits() };
};

// Guards against a duplicate order when a retry arrives during the first run.
TEST_CASE_METHOD(ResultStoreFixture, "ResultStore_retryWhileRunning_waitsForSameResult")
{
    REQUIRE(admit(work("k")) == "admitted");
    CHECK(admit(work("k", 1, false, 2)) == "joined");
    CHECK(admit(work("k", 1, false, 3)) == "joined");
    CHECK(admit(work("k", 1, false, 4)) == "unknown still-running");
    const auto waiters = store.complete(IdempotencyKey("k"), Answered { 200, "", "done" }, now);
    REQUIRE(waiters.size() == 2);
    CHECK(waiters[0].request.id == RequestId(2));
}

TEST_CASE_METHOD(ResultStoreFixture, "ResultStore_retryAfterCompletion_getsStoredResult")
{
    run("k", "12 bags");
    CHECK(admit(work("k")) == "answered 12 bags");
    CHECK(admit(work("k", 1, true)) == "answered 12 bags");
}

// Guards against answering with the result of another order when a key was reused by mistake.
TEST_CASE_METHOD(ResultStoreFixture, "ResultStore_sameKeyWithOtherContent_isRefused")
{
    REQUIRE(admit(work("running", 1)) == "admitted");
    CHECK(admit(work("running", 2)) == "not-run idempotency-key-reused");
    run("done");
    CHECK(admit(work("done", 2)) == "not-run idempotency-key-reused");
}

// Guards against a second run after a first run of unknown outcome.
TEST_CASE_METHOD(ResultStoreFixture, "ResultStore_firstRunOfUnknownOutcome_staysUnknown")
{
    REQUIRE(admit(work("k")) == "admitted");
    const OutcomeUnknown lost { UnknownReason::BackendServerLost };
    (void)store.complete(IdempotencyKey("k"), lost, now);
    CHECK(admit(work("k", 1, true)) == "unknown backend-server-lost");
}

// Guards against refusing a request for ever although it never ran.
TEST_CASE_METHOD(ResultStoreFixture, "ResultStore_firstAttemptNotRun_admitsRetry")
{
    REQUIRE(admit(work("k")) == "admitted");
    (void)store.complete(IdempotencyKey("k"), NotRun { NotRunReason::Overloaded }, now);
    CHECK(admit(work("k")) == "admitted");
}

// Guards against a second run when the result of the first was evicted for lack of space.
TEST_CASE_METHOD(ResultStoreFixture, "ResultStore_resultEvictedBeforeExpiry_isUnknownUntilExpiry")
{
    for (const char *key : { "a", "b", "c", "d" })
        run(key);
    CHECK(store.size() == 3);
    CHECK(store.evictions() == 1);
    CHECK(admit(work("a")) == "unknown key-holder-lost");
    CHECK(admit(work("other")) == "admitted"); // in a group without evicted results
    now += seconds(61);
    CHECK(admit(work("a")) == "admitted");
}

// Guards against unbounded memory for large responses.
TEST_CASE_METHOD(ResultStoreFixture, "ResultStore_responsesBeyondByteLimit_evictsOldest")
{
    run("a", std::string(2000, 'x'));
    run("b", std::string(2000, 'x'));
    CHECK(store.size() == 1);
    CHECK(store.bytes() <= 4000);
    CHECK(admit(work("a")) == "unknown key-holder-lost");
    run("c", std::string(9000, 'x'));
    CHECK(store.size() == 0);
    CHECK(admit(work("c")) == "unknown key-holder-lost");
}

// Guards against a second run after a restart of the gate that executed the first run.
TEST_CASE_METHOD(ResultStoreFixture, "ResultStore_justStarted_runsOnlyFreshKeys")
{
    ResultStore started(limits(true));
    started.start(now);
    CHECK(admit(started, work("old")) == "unknown key-holder-lost");
    CHECK(admit(started, work("new", 1, true)) == "admitted");
    CHECK(admit(started, work("new")) == "joined");
    now += seconds(60);
    CHECK(admit(started, work("old")) == "admitted");
}

TEST_CASE_METHOD(ResultStoreFixture, "ResultStore_retentionPassed_forgetsTheResult")
{
    run("k");
    CHECK(store.nextExpiry() == now + seconds(60));
    store.expire(now + seconds(60));
    CHECK(store.size() == 0);
    CHECK(store.bytes() == 0);
    CHECK_FALSE(store.nextExpiry().has_value());
}

} // namespace
} // namespace camphorreach
