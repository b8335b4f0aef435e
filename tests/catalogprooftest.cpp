// Tests of the catalog: proof that the configuration is the newest one.
#include "catalogfixture.h"

#include <string>
#include <utility>
#include <vector>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StrictCatalogFixture : protected CatalogFixture
{
protected:
    StrictCatalogFixture()
        : strict(endpoint("a", 1), { Share::fromFraction(0.1), false, seconds(5) }, random)
    {
        auto table = std::make_shared<EndpointTable>();
        table->services[ServiceName("orders")] = { endpoint("a", 1), endpoint("b", 2) };
        calls.clear();
        sends.clear();
        send(EndpointsChanged { table });
    }

    template <typename Input>
    void send(Input input)
    {
        Outbox<Catalog::Output> outbox;
        strict.process(std::move(input), now, outbox);
        collect(outbox);
    }
    void replyAfter(Duration delay, const StoreCall *call, StoreResult result)
    {
        REQUIRE(call != nullptr);
        const StoreCallId id = call->id;
        now += delay;
        send(StoreReply { id, std::move(result) });
    }
    static std::shared_ptr<const MeshConfig> configWithKeys(std::uint64_t version,
                                                            std::vector<std::string> keys)
    {
        MeshConfig result = *config(version);
        Organisation organisation { OrganisationName("ice-depot"), {} };
        for (std::string &key : keys)
            organisation.keys.emplace_back(std::move(key));
        result.organisations.push_back(std::move(organisation));
        return std::make_shared<const MeshConfig>(std::move(result));
    }

    Catalog strict;
};

// Guards against a proof that counts from the arrival of a reply, of a list or of a watch.
TEST_CASE_METHOD(StrictCatalogFixture, "Catalog_strictRevocation_proofCountsFromTheCall")
{
    const TimePoint listedAt = now;
    replyAfter(milliseconds(300), lastCall<StoreList>(StoreKind::Configuration),
               entries(config(3), 40));
    REQUIRE(proven);
    CHECK(proven->asOf == listedAt);
    CHECK(proven->version == ConfigVersion(3));
    const TimePoint watchedAt = now;
    const auto *watch = lastCall<StoreWatch>(StoreKind::Configuration);
    REQUIRE(watch != nullptr);
    CHECK(std::get<StoreWatch>(watch->operation).wait <= milliseconds(600));
    replyAfter(milliseconds(600), watch, StoreEntries { {}, ObjectVersion(40) });
    CHECK(proven->asOf == watchedAt);
}

// Guards against a store that answers with an older state after it has lost its newest.
TEST_CASE_METHOD(StrictCatalogFixture, "Catalog_storeAnswersWithOlderState_provesNothing")
{
    replyAfter({}, lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    const TimePoint provenAsOf = proven->asOf;
    replyAfter(milliseconds(600), lastCall<StoreWatch>(StoreKind::Configuration),
               StoreEntries { {}, ObjectVersion(39) });
    CHECK(proven->asOf == provenAsOf);
    replyAfter({}, lastCall<StoreWatch>(StoreKind::Configuration),
               StoreRefusal { StoreRefusal::Reason::HistoryGone });
    replyAfter(milliseconds(5), lastCall<StoreList>(StoreKind::Configuration),
               entries(config(2), 38));
    CHECK(proven->asOf == provenAsOf);
    CHECK(versions == std::vector<std::uint64_t> { 3 });
}

// Guards against a version that takes a key away and is not applied, while watches from there on
// prove that nothing has changed.
TEST_CASE_METHOD(StrictCatalogFixture, "Catalog_newestVersionIsInvalidOrUnreadable_provesNothing")
{
    replyAfter(milliseconds(50), lastCall<StoreList>(StoreKind::Configuration),
               entries(configWithKeys(3, { "k1" }), 40));
    const TimePoint provenAsOf = proven->asOf;
    const bool isInvalid = GENERATE(true, false);
    const StoreValue value
        = isInvalid ? StoreValue(configWithKeys(4, { "k2", "k2" })) : std::monostate {};
    replyAfter(milliseconds(100), lastCall<StoreWatch>(StoreKind::Configuration),
               entries(value, 41));
    CHECK(refused.size() == (isInvalid ? 1 : 0));
    const std::size_t callsBefore = calls.size();
    now += seconds(2);
    Outbox<Catalog::Output> outbox;
    strict.advance(now, outbox);
    collect(outbox);
    REQUIRE(calls.size() > callsBefore);
    replyAfter({}, lastCall<StoreList>(StoreKind::Configuration), entries(value, 41));
    CHECK(proven->asOf == provenAsOf);
    CHECK(refused.size() == (isInvalid ? 1 : 0));
    CHECK(versions == std::vector<std::uint64_t> { 3 });
    now += seconds(2);
    strict.advance(now, outbox);
    collect(outbox);
    replyAfter({}, lastCall<StoreList>(StoreKind::Configuration),
               entries(configWithKeys(5, { "k2" }), 42));
    CHECK(proven->asOf == now);
    CHECK(versions == std::vector<std::uint64_t> { 3, 5 });
}

// Guards against extra calls and messages where revocation is not strict.
TEST_CASE_METHOD(CatalogFixture, "Catalog_revocationIsNotStrict_provesAndAsksNothing")
{
    answer(lastCall<StoreList>(StoreKind::Configuration), entries(config(3), 40));
    const auto *watch = lastCall<StoreWatch>(StoreKind::Configuration);
    REQUIRE(watch != nullptr);
    CHECK(std::get<StoreWatch>(watch->operation).wait >= milliseconds(1600));
    for (int i = 0; i < 100; ++i)
        advance(milliseconds(100));
    CHECK_FALSE(proven);
    CHECK(lastSent<CatalogProofRequest>() == nullptr);
}

// Guards against keys of a newer version that are refused for good by a node that lacks it.
TEST_CASE_METHOD(StrictCatalogFixture, "Catalog_peerNamesNewerVersion_isReportedOnce")
{
    replyAfter({}, lastCall<StoreList>(StoreKind::Configuration),
               entries(configWithKeys(3, { "k1" }), 40));
    send(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, CatalogMessage(digest(3)) });
    CHECK(newerKnown == ConfigVersion());
    send(PeerReceived<CatalogMessage> { { "127.0.0.1", 2 }, CatalogMessage(digest(7)) });
    CHECK(newerKnown == ConfigVersion(7));
}

} // namespace
} // namespace camphorreach
