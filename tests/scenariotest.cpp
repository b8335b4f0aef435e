// Runs every script under tests/scenarios on the real filters of simulated nodes.
#include "scenario/script.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace camphorreach::scenario {
namespace {

class ScenarioFixture
{
protected:
    static std::vector<std::filesystem::path> scripts()
    {
        std::vector<std::filesystem::path> paths;
        for (const auto &entry : std::filesystem::directory_iterator(CAMPHORREACH_SCENARIOS))
            paths.push_back(entry.path());
        std::ranges::sort(paths);
        return paths;
    }

    static std::string read(const std::filesystem::path &path)
    {
        std::stringstream text;
        text << std::ifstream(path).rdbuf();
        return text.str();
    }
};

// The first line of every script states the failure that it guards against.
TEST_CASE_METHOD(ScenarioFixture, "Scenario_everyScript_meetsItsExpectationsAndBreaksNoInvariant",
                 "[scenario]")
{
    for (const auto &path : scripts()) {
        DYNAMIC_SECTION(path.stem().string())
        {
            const ScriptResult result = runScript(read(path), path.filename().string());
            for (const std::string &failure : result.failures)
                UNSCOPED_INFO(failure);
            CHECK(result.failures.empty());
        }
    }
}

TEST_CASE_METHOD(ScenarioFixture, "Scenario_unknownStep_reportsItsLine", "[scenario]")
{
    const ScriptResult result = runScript("seed 1\nfly n1\n", "script");
    REQUIRE_FALSE(result.failures.empty());
    CHECK(result.failures.front() == "script:2: fly: unknown step");
}

} // namespace
} // namespace camphorreach::scenario
