// Tests of which configurations of the store take effect.
#include <camphorreach/configintake.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

class ConfigIntakeFixture
{
protected:
    static StoreEntry entry(const std::string &name, StoreValue value)
    {
        return { name, ObjectVersion(1), false, std::move(value) };
    }
    static StoreEntry config(std::uint64_t version, bool isValid = true)
    {
        MeshConfig result;
        result.version = ConfigVersion(version);
        HostRoute route;
        route.host = "a.example";
        route.policy.prefix = "/stock/";
        route.weightedServices.push_back({ ServiceName("orders"), 1 });
        result.routes.push_back(route);
        result.services.push_back({ ServiceName("orders"), 10 });
        if (!isValid)
            result.organisations.push_back(
                { OrganisationName("ice-depot"), { ApiKey("k1"), ApiKey("k1") } });
        return entry("main", std::make_shared<const MeshConfig>(std::move(result)));
    }
    ConfigIntake::Page read(std::vector<StoreEntry> entries) { return intake.read(entries); }

    ConfigIntake intake;
};

// Guards against an older version of a reply that takes effect, and against a missed catch-up.
TEST_CASE_METHOD(ConfigIntakeFixture, "ConfigIntake_severalVersions_newestIsTaken")
{
    const auto page = read({ config(2), config(3), config(1) });
    REQUIRE(page.newest);
    CHECK(page.newest->version == ConfigVersion(3));
    CHECK(page.configurations == 3);
    CHECK(page.isEveryAccepted);
}

// Guards against a report with each list of an invalid version.
TEST_CASE_METHOD(ConfigIntakeFixture, "ConfigIntake_newestIsInvalid_isReportedOnce")
{
    const auto page = read({ config(2), config(3, false) });
    REQUIRE(page.newest);
    CHECK(page.newest->version == ConfigVersion(2));
    CHECK_FALSE(page.isEveryAccepted);
    REQUIRE(page.refused.size() == 1);
    CHECK(page.refused[0].version == ConfigVersion(3));

    const auto again = read({ config(3, false) });
    CHECK_FALSE(again.isEveryAccepted);
    CHECK(again.refused.empty());
}

// Guards against an unreadable configuration that counts as none, and against entries of other
// writers that prevent a proof for ever.
TEST_CASE_METHOD(ConfigIntakeFixture, "ConfigIntake_unreadableEntry_countsUnlessItIsAnother")
{
    CHECK_FALSE(read({ entry("other", {}) }).isEveryAccepted); // the name is not known yet
    CHECK(read({ config(2), entry("other", {}) }).isEveryAccepted);
    CHECK_FALSE(read({ entry("main", {}) }).isEveryAccepted);
    CHECK_FALSE(read({ entry("", {}) }).isEveryAccepted);
}

} // namespace
} // namespace camphorreach
