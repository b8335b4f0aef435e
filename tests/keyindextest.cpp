// Tests of the look-up of organisations by key.
#include <camphorreach/keyindex.h>
#include <camphorreach/meshconfig.h>

#include <catch2/catch.hpp>

#include <limits>
#include <string>

namespace camphorreach {
namespace {

class KeyIndexFixture
{
protected:
    static std::vector<Organisation> organisations(std::size_t count, std::size_t keysEach)
    {
        std::vector<Organisation> result;
        for (std::size_t i = 0; i < count; ++i) {
            Organisation organisation { OrganisationName("org-" + std::to_string(i)), {} };
            for (std::size_t j = 0; j < keysEach; ++j)
                organisation.keys.push_back(keyOf(i, j));
            result.push_back(std::move(organisation));
        }
        return result;
    }
    static ApiKey keyOf(std::size_t organisation, std::size_t number)
    {
        return ApiKey("key-" + std::to_string(organisation) + "-" + std::to_string(number));
    }
    static MeshConfig configWith(std::vector<Organisation> organisations)
    {
        MeshConfig config;
        config.version = ConfigVersion(1);
        config.organisations = std::move(organisations);
        return config;
    }
};

// Guards against a request that runs on behalf of another organisation, over all keys of a large
// configuration and for different seeds.
TEST_CASE_METHOD(KeyIndexFixture, "KeyIndex_tenThousandKeys_eachFindsItsHolder")
{
    const auto all = organisations(100, 100);
    const KeyIndex index(all, GENERATE(0, 1, std::numeric_limits<std::uint64_t>::max()));
    REQUIRE(index.size() == 10'000);
    std::size_t wrong = 0;
    for (std::size_t i = 0; i < 100; ++i) {
        for (std::size_t j = 0; j < 100; ++j)
            wrong += index.find(keyOf(i, j)) != i ? 1 : 0;
    }
    CHECK(wrong == 0);
}

// Guards against a key that is accepted because it resembles a valid one, or is empty.
TEST_CASE_METHOD(KeyIndexFixture, "KeyIndex_keyIsNotHeld_isNotFound")
{
    std::vector<Organisation> all = organisations(3, 2);
    all.front().keys.emplace_back(""); // refused by the check of the configuration
    const KeyIndex index(all, 5);
    for (const std::string key : { "", "key-0", "key-0-00", "KEY-0-0", "key-0-0 ", "key-0-2" })
        CHECK_FALSE(index.find(ApiKey(key)));
    CHECK(KeyIndex().find(keyOf(0, 0)) == std::nullopt);
}

TEST_CASE_METHOD(KeyIndexFixture, "KeyIndex_keyErased_isEmpty")
{
    ApiKey key("a-key-that-is-longer-than-the-buffer-inside-a-string");
    erase(key);
    CHECK(key == ApiKey());
}

// Guards against an invalid configuration that takes effect in part, and against a report that
// names only the first problem or shows a key.
TEST_CASE_METHOD(KeyIndexFixture, "MeshConfig_invalidOrganisations_allAreFoundWithoutKeys")
{
    std::vector<Organisation> all = organisations(4, 1);
    all[1].keys.push_back(keyOf(0, 0));
    all[2].name = OrganisationName();
    all[3].quota = RequestQuota { RequestRate(-1), RequestCount(5) };
    all.push_back({ OrganisationName("org-0"), { ApiKey("") } });
    const Findings findings = findingsOf(configWith(all));
    CHECK(findings.size() == 5);
    const std::string text = toText(findings);
    CHECK(text.find("also held by 'org-0'") != std::string::npos);
    CHECK(text.find("the name is empty") != std::string::npos);
    CHECK(text.find("negative") != std::string::npos);
    CHECK(text.find("used twice") != std::string::npos);
    CHECK(text.find("a key is empty") != std::string::npos);
    CHECK(text.find("key-0-0") == std::string::npos);
    CHECK(findingsOf(configWith(organisations(4, 2))).empty());
}

} // namespace
} // namespace camphorreach
