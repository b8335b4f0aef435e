// Tests of the settings of a node that reads the platform's store.
#include <camphorreach/sidecarsettings.h>

#include <catch2/catch.hpp>

#include <string>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;

class SidecarSettingsFixture
{
protected:
    // Valid settings with these lines in the tables "instance" and "retries".
    static std::string settingsWith(const std::string &instance, const std::string &retries)
    {
        return "[instance]\nname = \"n1\"\nfailure-domain = \"arima\"\n" + instance
            + "\n[listen]\nguest = \"127.0.0.1:1\"\npeer = \"127.0.0.1:2\"\n"
              "ready = \"127.0.0.1:3\"\nannouncements = \"127.0.0.1:4\"\n"
              "[backend-server]\naddress = \"127.0.0.1:5\"\nservice = \"orders\"\n"
              "[platform]\naddress = \"127.0.0.1:6\"\n[peers]\nseeds = []\n[retries]\n"
            + retries + "\n";
    }

    static std::string findingsOf(const std::string &text)
    {
        const auto settings = parseSidecarSettings(text, "node.toml");
        return isOk(settings) ? "" : toText(errorOf(settings).findings);
    }
};

TEST_CASE_METHOD(SidecarSettingsFixture, "SidecarSettings_onlyRequiredKeys_takesDefaults")
{
    const auto settings = parseSidecarSettings(settingsWith("", ""), "node.toml");
    REQUIRE(isOk(settings));
    CHECK(valueOf(settings).stopGrace == std::chrono::seconds(6));
    CHECK(valueOf(settings).retries.limit == Share::fromFraction(0.2));
}

TEST_CASE_METHOD(SidecarSettingsFixture, "SidecarSettings_numbersWithAndWithoutFraction_areRead")
{
    const auto settings
        = parseSidecarSettings(settingsWith("stop-grace-s = 4.5\nmemory-mb = 160\nlink-mbps = 11.5",
                                            "ratio = 0.07\nlimit = 1\nextra = 64\nwindow-s = 10"),
                               "node.toml");
    REQUIRE(isOk(settings));
    const SidecarSettings &read = valueOf(settings);
    CHECK(read.stopGrace == milliseconds(4500));
    CHECK(read.memoryMb == 160);
    CHECK(read.linkMbps == 11.5);
    CHECK(read.retries.ratio == Share::fromFraction(0.07));
    CHECK(read.retries.limit == Share::all());
    CHECK(read.retries.extra == 64);
    CHECK(read.retries.window == std::chrono::seconds(10));
}

// Guards against health requests that nobody asked for: each takes a slot and is priced.
TEST_CASE_METHOD(SidecarSettingsFixture, "SidecarSettings_healthInterval_isReadWhereItIsStated")
{
    std::string text = settingsWith("", "");
    CHECK_FALSE(valueOf(parseSidecarSettings(text, "node.toml")).healthInterval);
    const std::string line = "service = \"orders\"\n";
    text.insert(text.find(line) + line.size(), "health-check-ms = 400\n");
    CHECK(valueOf(parseSidecarSettings(text, "node.toml")).healthInterval == milliseconds(400));
}

// Guards against a misspelt key or a number of another unit that is accepted silently.
TEST_CASE_METHOD(SidecarSettingsFixture, "SidecarSettings_wrongValues_areAllReported")
{
    const std::string findings = findingsOf(settingsWith(
        "stop-grace-s = true\nlink-mbps = -1", "ratio = 1.5\nlimit = nan\nwindow-ms = 10"));
    CHECK(findings.find("instance.stop-grace-s") != std::string::npos);
    CHECK(findings.find("instance.link-mbps") != std::string::npos);
    CHECK(findings.find("retries.ratio") != std::string::npos);
    CHECK(findings.find("retries.limit") != std::string::npos);
    CHECK(findings.find("retries.window-ms") != std::string::npos);
}

// Guards against strictness that nobody asked for, and against settings that are ignored.
TEST_CASE_METHOD(SidecarSettingsFixture, "SidecarSettings_organisations_areReadWhereTheyAreStated")
{
    const auto defaults = parseSidecarSettings(settingsWith("", ""), "node.toml");
    REQUIRE(isOk(defaults));
    CHECK_FALSE(valueOf(defaults).organisations.revocation);
    const auto settings = parseSidecarSettings(
        settingsWith("", "")
            + "[organisations]\nrevocation-ms = 5000\nquota-window-s = 4\nquota-excess = 0.2\n"
              "quota-slack = 30\n",
        "node.toml");
    REQUIRE(isOk(settings));
    const OrganisationSettings &read = valueOf(settings).organisations;
    CHECK(read.revocation == std::chrono::seconds(5));
    CHECK(read.quotaWindow == std::chrono::seconds(4));
    CHECK(read.quotaExcess == Share::fromFraction(0.2));
    CHECK(read.quotaSlack == 30);
    const std::string text
        = findingsOf(settingsWith("", "") + "[organisations]\nrevocation = 5\nquota-excess = 2\n");
    CHECK(text.find("revocation") != std::string::npos);
    CHECK(text.find("quota-excess") != std::string::npos);
}

// Guards against a placement that changes for deployments that did not ask for it.
TEST_CASE_METHOD(SidecarSettingsFixture, "SidecarSettings_placementPolicy_isReadAndChecked")
{
    const auto placementOf = [](const std::string &table) {
        const auto settings = parseSidecarSettings(settingsWith("", "") + table, "node.toml");
        REQUIRE(isOk(settings));
        return valueOf(settings).placement;
    };
    CHECK(placementOf("") == PlacementKind::LeastOccupied);
    CHECK(placementOf("[placement]\npolicy = \"least-occupied\"\n")
          == PlacementKind::LeastOccupied);
    CHECK(placementOf("[placement]\npolicy = \"expected-completion\"\n")
          == PlacementKind::ExpectedCompletion);
    CHECK(findingsOf(settingsWith("", "") + "[placement]\npolicy = \"fastest\"\n")
              .find("placement.policy")
          != std::string::npos);
}

} // namespace
} // namespace camphorreach
