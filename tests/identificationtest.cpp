// Tests of the identification of requests by their keys at an entry node.
#include <camphorreach/meshconfig.h>
#include <camphorreach/result.h>
#include <camphorreach/router.h>

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An entry node with one gate. The configuration has two organisations and an exempt route.
class IdentificationFixture
{
protected:
    static constexpr Duration revocation = seconds(5);

    explicit IdentificationFixture(std::optional<Duration> strictRevocation = std::nullopt)
        : router(FailureDomain("arima"), 100, options(strictRevocation), random)
    {
        auto table = std::make_shared<EndpointTable>();
        Endpoint endpoint;
        endpoint.instance = InstanceId("node-1");
        endpoint.peer = { "127.0.0.1", 1 };
        endpoint.domain = FailureDomain("arima");
        endpoint.service = ServiceName("orders");
        endpoint.version = BackendVersion("v1");
        endpoint.slots = 4;
        table->services[endpoint.service].push_back(endpoint);
        process(EndpointsChanged { table });
    }

    static MeshRouter::Options options(std::optional<Duration> strictRevocation)
    {
        MeshRouter::Options result;
        result.queuesForCapacity = false;
        result.revocation = strictRevocation;
        return result;
    }
    static MeshConfig config(std::uint64_t version, std::vector<Organisation> organisations)
    {
        MeshConfig result;
        result.version = ConfigVersion(version);
        for (const bool isExempt : { false, true }) {
            HostRoute route;
            route.host = "a.example";
            route.policy.name = RouteName(isExempt ? "ledger" : "bags");
            route.policy.prefix = isExempt ? "/ledger/" : "/bags/";
            route.policy.kindWeight = 2;
            route.policy.isKeyExempt = isExempt;
            route.weightedServices.push_back({ ServiceName("orders"), 1 });
            result.routes.push_back(route);
        }
        result.services.push_back({ ServiceName("orders"), 10 });
        result.organisations = std::move(organisations);
        return result;
    }
    static std::vector<Organisation> twoOrganisations()
    {
        return { { OrganisationName("ice-depot"), { ApiKey("k1"), ApiKey("k2") }, 4 },
                 { OrganisationName("quarry"), { ApiKey("k3") } } };
    }
    void apply(const MeshConfig &config)
    {
        process(SnapshotChanged { snapshotOf(config, Share::none(), 77) });
    }

    template <typename Input>
    void process(Input input)
    {
        Outbox<MeshRouter::Output> outbox;
        router.process(std::move(input), now, outbox);
        for (auto &output : outbox.take()) {
            if (auto *send = std::get_if<PeerSend>(&output))
                sends.push_back(std::get<ForwardRequest>(std::get<RequestMessage>(send->message)));
            else if (auto *answer = std::get_if<ClientResponse>(&output))
                answers.push_back(std::move(*answer));
            else if (auto *decision = std::get_if<RouterDecision>(&output))
                decisions.push_back(std::move(*decision));
        }
    }
    // Returns why the request was refused; empty if it was forwarded.
    std::optional<NotRunReason> submit(const std::string &key, const std::string &path = "/bags/1")
    {
        ClientRequest request;
        request.id = RequestId(++lastId);
        request.budget = seconds(1);
        request.attemptId = ClientAttemptId("id-" + std::to_string(lastId));
        request.content = { "POST", path, "", "x", "a.example" };
        request.apiKey = ApiKey(key);
        const std::size_t sentBefore = sends.size();
        process(std::move(request));
        if (sends.size() > sentBefore)
            return std::nullopt;
        return std::get<NotRun>(answers.back().outcome).reason;
    }

    RandomSource random { 1 };
    MeshRouter router;
    TimePoint now { seconds(100) };
    std::vector<ForwardRequest> sends;
    std::vector<ClientResponse> answers;
    std::vector<RouterDecision> decisions;
    std::uint64_t lastId = 0;
};

class StrictIdentificationFixture : protected IdentificationFixture
{
protected:
    StrictIdentificationFixture() : IdentificationFixture(revocation)
    {
        apply(config(3, twoOrganisations()));
    }
};

// Guards against a request that runs without or with a wrong organisation.
TEST_CASE_METHOD(IdentificationFixture, "Identification_keyIsHeld_organisationIsForwarded")
{
    apply(config(3, twoOrganisations()));
    CHECK_FALSE(submit("k2"));
    CHECK(sends.back().organisation == OrganisationName("ice-depot"));
    CHECK_FALSE(submit("k3"));
    CHECK(sends.back().organisation == OrganisationName("quarry"));
    CHECK(router.identification().counts().identified == 2);
}

// Guards against a request that runs with a key that no configuration holds, or with none.
TEST_CASE_METHOD(IdentificationFixture, "Identification_keyIsUnknown_isRefusedAndRecorded")
{
    apply(config(3, twoOrganisations()));
    for (const std::string key : { "k4", "", "K1" })
        CHECK(submit(key) == NotRunReason::UnknownKey);
    CHECK(router.identification().counts().unknownKey == 3);
    REQUIRE(decisions.size() == 3);
    CHECK(decisions.front().attempt == ClientAttemptId("id-1"));
    CHECK(std::string(decisions.front().reason) == "unknown-key");
}

// Guards against calls of backend servers, which have no key, that are refused; and against a
// deployment without organisations that notices anything.
TEST_CASE_METHOD(IdentificationFixture, "Identification_noKeyNeeded_isForwardedWithoutOrganisation")
{
    apply(config(3, twoOrganisations()));
    CHECK_FALSE(submit("", "/ledger/1"));
    CHECK(sends.back().organisation == OrganisationName());
    apply(config(4, {}));
    CHECK_FALSE(submit(""));
    CHECK_FALSE(submit("k9"));
    CHECK(sends.back().organisation == OrganisationName());
    CHECK(router.identification().counts().unknownKey == 0);
}

// Guards against an organisation whose priority has no effect.
TEST_CASE_METHOD(IdentificationFixture,
                 "Identification_organisationHasWeight_precedesThatOfTheRoute")
{
    apply(config(3, twoOrganisations()));
    REQUIRE_FALSE(submit("k1"));
    CHECK(sends.back().kindWeight == 4);
    REQUIRE_FALSE(submit("k3"));
    CHECK(sends.back().kindWeight == 2);
}

// Guards against a final refusal (401) of a key that a newer version, known to others, may hold.
TEST_CASE_METHOD(IdentificationFixture, "Identification_newerVersionIsKnown_unknownKeyIsNotFinal")
{
    apply(config(3, twoOrganisations()));
    process(NewerConfigurationKnown { ConfigVersion(4) });
    CHECK(submit("new") == NotRunReason::KeyUnproven);
    CHECK(std::get<NotRun>(answers.back().outcome).retryAfter > Duration::zero());
    CHECK_FALSE(submit("k1"));
    std::vector<Organisation> added = twoOrganisations();
    added.back().keys.emplace_back("new");
    apply(config(4, added));
    CHECK_FALSE(submit("new"));
    CHECK(submit("newer") == NotRunReason::UnknownKey);
}

// Guards against a version that does not exist, named by a faulty node, which makes clients retry
// with unknown keys without end.
TEST_CASE_METHOD(IdentificationFixture, "Identification_newerVersionNeverArrives_isForgotten")
{
    apply(config(3, twoOrganisations()));
    process(NewerConfigurationKnown { ConfigVersion(4) });
    now += seconds(11);
    CHECK(submit("new") == NotRunReason::UnknownKey);
}

// Guards against a withdrawn key that is used by a node that cannot know of its withdrawal.
TEST_CASE_METHOD(StrictIdentificationFixture, "Identification_proofIsMissingOrOld_keysAreRefused")
{
    CHECK(submit("k1") == NotRunReason::KeyUnproven);
    CHECK(submit("k9") == NotRunReason::KeyUnproven);
    process(ConfigurationProven { now, ConfigVersion(3) });
    now += scaled(revocation, 0.6);
    CHECK_FALSE(submit("k1"));
    CHECK(submit("k9") == NotRunReason::UnknownKey);
    now += milliseconds(1);
    CHECK(submit("k1") == NotRunReason::KeyUnproven);
    const Duration retryAfter = std::get<NotRun>(answers.back().outcome).retryAfter;
    CHECK(retryAfter >= milliseconds(200));
    CHECK(retryAfter <= milliseconds(600));
    CHECK_FALSE(submit("", "/ledger/1")); // exempt routes go on
    CHECK(router.identification().counts().keyUnproven == 3);
}

// Guards against a proof that is used with an older configuration than the one it is about, and
// against one that an older message replaces.
TEST_CASE_METHOD(StrictIdentificationFixture,
                 "Identification_proofIsOfNewerVersionOrLate_isNotUsed")
{
    process(ConfigurationProven { now, ConfigVersion(4) });
    CHECK(submit("k1") == NotRunReason::KeyUnproven);
    apply(config(4, twoOrganisations()));
    CHECK_FALSE(submit("k1"));
    process(ConfigurationProven { now - seconds(4), ConfigVersion(3) });
    CHECK_FALSE(submit("k1"));
}

// Guards against requests that wait for the first configuration and then run unidentified.
TEST_CASE("Identification_requestWaitsForConfiguration_isIdentifiedWithIt")
{
    RandomSource random { 1 };
    MeshRouter router { FailureDomain("arima"), 100, random };
    const TimePoint now { seconds(100) };
    Outbox<MeshRouter::Output> outbox;
    for (const std::uint64_t id : { 1, 2 }) {
        ClientRequest request;
        request.id = RequestId(id);
        request.content = { "GET", "/bags/1", "", "", "a.example" };
        request.apiKey = ApiKey(id == 1 ? "k1" : "k9");
        router.process(std::move(request), now, outbox);
    }
    (void)outbox.take();
    MeshConfig config;
    config.version = ConfigVersion(1);
    HostRoute route;
    route.host = "a.example";
    route.policy.prefix = "/bags/";
    route.weightedServices.push_back({ ServiceName("orders"), 1 });
    config.routes.push_back(route);
    config.services.push_back({ ServiceName("orders"), 10 });
    config.organisations.push_back({ OrganisationName("ice-depot"), { ApiKey("k1") } });
    router.process(SnapshotChanged { snapshotOf(config, Share::none()) }, now, outbox);
    std::vector<ClientResponse> answers;
    for (auto &output : outbox.take()) {
        if (auto *answer = std::get_if<ClientResponse>(&output))
            answers.push_back(std::move(*answer));
    }
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().id == RequestId(2));
    CHECK(std::get<NotRun>(answers.front().outcome).reason == NotRunReason::UnknownKey);
    CHECK(router.identification().counts().identified == 1);
}

// Guards against a key that stays in the memory of a pending request, or in its messages.
TEST_CASE("Identification_requestDecided_keyIsErased")
{
    Snapshot snapshot;
    snapshot.organisations.push_back({ OrganisationName("ice-depot"), { ApiKey("k1") } });
    snapshot.keys = KeyIndex(snapshot.organisations, 3);
    Identification identification { std::nullopt };
    RoutePolicy exempt;
    exempt.isKeyExempt = true;
    for (const RoutePolicy &route : { RoutePolicy {}, exempt }) {
        for (const char *sent : { "k1", "k9" }) {
            ApiKey key(sent);
            (void)identification.identify(snapshot, route, key, TimePoint {});
            CHECK(key == ApiKey());
        }
    }
}

} // namespace
} // namespace camphorreach
