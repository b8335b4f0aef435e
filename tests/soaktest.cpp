// Fault soak: signals, changes of settings, kills, freezes and restarts of real nodes under load.
#include "soakfixture.h"

#include <catch2/catch.hpp>

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

} // namespace
} // namespace camphorreach
