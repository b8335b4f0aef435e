// Fault soak: signals, changes of settings, kills, freezes and restarts of real nodes under load;
// and its referee.
#include "soakfixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdlib>

namespace camphorreach {
namespace {

std::string fromEnvironment(const char *variable, const char *otherwise)
{
    const char *value = std::getenv(variable);
    return value != nullptr ? value : otherwise;
}

// Guards against promises that hold for one event and break where events meet.
TEST_CASE_METHOD(SoakFixture, "Soak_signalsAndRestartsUnderLoad_keepEveryPromise")
{
    run(std::stoi(fromEnvironment("CAMPHORREACH_SOAK_ROUNDS", "8")));
    referee.settle();
    if (const std::string file = fromEnvironment("CAMPHORREACH_SOAK_LOG", ""); !file.empty())
        referee.writeTimeline(file);
    INFO("CAMPHORREACH_SOAK_SEED=" << seed << "\n" << referee.summary());
    CHECK(referee.failures() == "");
    CHECK(referee.servedCount(true) > 0);
    CHECK(referee.servedCount(false) > 0);
}

// One request that the server beside node 0 has run.
class RefereeFixture
{
protected:
    RefereeFixture() { referee.onRun(0, ask.id, ask.isRunOnce); }

    [[nodiscard]] bool hasFailure(const std::string &rule) const
    {
        return referee.failures().find(rule + " " + ask.id) != std::string::npos;
    }

    const Ask ask { "a-1", 1, true, requestOf("a-1", "POST", "/bags/1", "bags"),
                    std::chrono::steady_clock::now() };
    const impl::HttpResponse own { 200,
                                   { { "X-Camphorreach-Attempt-Id", "a-1" },
                                     { "X-Camphorreach-Response-Seal", "seal" } },
                                   "POST /bags/1 i-0 bags" };
    Referee referee;
};

// Guards against a soak that passes because its referee sees nothing.
TEST_CASE_METHOD(RefereeFixture, "Referee_brokenPromise_isAFailure")
{
    referee.onAnswer(ask, own);
    REQUIRE(referee.failures() == "");
    referee.onRun(1, ask.id, true);
    CHECK(hasFailure("TWICE"));
    referee.onAnswer(ask, { 503, {}, "" });
    CHECK(hasFailure("REFUSED"));
    impl::HttpResponse cut = own;
    cut.body.pop_back();
    referee.onAnswer(ask, cut);
    CHECK(hasFailure("MIXED"));
    referee.onAnswer(ask, { 0, {}, "" });
    referee.settle();
    CHECK(hasFailure("LOST"));
}

// Guards against failures that a kill or a freeze excuses.
TEST_CASE_METHOD(RefereeFixture, "Referee_closedAroundAKill_isNoFailure")
{
    const std::size_t harmed = GENERATE(0U, 1U); // the server's node, the caller's node
    referee.beginHarm(harmed);
    referee.onAnswer(ask, { 0, {}, "" });
    referee.endHarm(harmed);
    referee.settle();
    CHECK(referee.failures() == "");
}

} // namespace
} // namespace camphorreach
