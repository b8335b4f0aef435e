// Functions of the request path that do not depend on a dialect.
#include <camphorreach/impl/requestpath.h>

#include <boost/json.hpp>
#include <chrono>
#include <random>

namespace camphorreach::impl {

namespace json = boost::json;

namespace {

template <typename R>
json::value routerState(const R &router)
{
    const typename R::Counts &counts = router.counts();
    const Identification::Counts &keys = router.identification().counts();
    const auto provenAsOf = router.identification().provenAsOf();
    const auto proofAgeMs = [&]() -> json::value {
        if (!provenAsOf)
            return nullptr;
        const Duration age = SteadyClock().now() - *provenAsOf;
        return std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    }();
    json::object state { { "config_version", router.configVersion().value() },
                         { "in_flight", router.inFlight() },
                         { "waiting", router.waiting() },
                         { "waited_for_server", router.startWaits() },
                         { "shed", counts.shed },
                         { "cancelled", counts.cancelled },
                         { "requests", counts.requests },
                         { "answered", counts.answered },
                         { "not_run", counts.notRun },
                         { "unknown", counts.unknown },
                         { "retries", counts.retries },
                         { "evacuated_domains", router.placement().evacuatedDomainCount() },
                         { "unmatched_answers", counts.unmatchedAnswers },
                         { "keys_identified", keys.identified },
                         { "keys_unknown", keys.unknownKey },
                         { "keys_unproven", keys.keyUnproven },
                         { "proof_age_ms", proofAgeMs } };
    if (const Quotas *quotas = router.quotas()) {
        const QuotaLedger::Counts &requests = quotas->counts();
        state["quotas"] = { { "admitted", requests.admitted },
                            { "waited", requests.waited },
                            { "over_quota", requests.overQuota },
                            { "borrowed", requests.borrowed },
                            { "expired", requests.expired },
                            { "refunds", requests.refunds },
                            { "lent", quotas->lent() } };
    }
    return state;
}

} // namespace

std::string toText(const DrainRemainder &unfinished)
{
    std::string text;
    const auto add = [&text](bool isUnfinished, const char *name) {
        if (isUnfinished)
            text += (text.empty() ? "" : ",") + std::string(name);
    };
    add(unfinished.hasClients, "guests");
    add(unfinished.hasWork, "work");
    add(unfinished.hasLinks, "links");
    return text;
}

Endpoint endpointOf(const ProcessSettings &settings, const ServiceName &service)
{
    Endpoint self;
    self.instance = settings.instance;
    self.peer = settings.peerAddress;
    self.domain = settings.domain;
    self.region = settings.region;
    self.service = service;
    self.incarnation = Incarnation(static_cast<std::uint64_t>(wallTimeNow().value()));
    return self;
}

RandomSource seededRandom(const ProcessSettings &settings, std::uint64_t stage)
{
    const std::uint64_t seed
        = settings.randomSeed != 0 ? settings.randomSeed : std::random_device {}();
    return RandomSource(seed * 31 + stage);
}

json::value dumpOf(const Router &router)
{
    return routerState(router);
}

json::value dumpOf(const MeshRouter &router)
{
    return routerState(router);
}

json::value dumpOf(const Gate &gate)
{
    const GateLoad load = gate.load();
    const Gate::Counts &counts = gate.counts();
    const RemainingWork &remaining = gate.remainingWork();
    return { { "running", load.running },
             { "queued", load.queued },
             { "slots", load.slots },
             { "received", counts.received },
             { "handed_over", counts.dispatched },
             { "refused", counts.refused },
             { "shed", counts.shed },
             { "egress_refused", counts.egressRefused },
             { "cold_refused", counts.coldRefused },
             { "health_calls", counts.healthCalls },
             { "is_evacuated", gate.isEvacuated() },
             { "is_limited_by_cold_start", gate.isLimitedByColdStart() },
             { "late_results", counts.lateResults },
             { "key_hits", counts.keyHits },
             { "stored_results", gate.results().size() },
             { "evicted_results", gate.results().evictions() },
             { "crashes", counts.crashes },
             { "isolated_runs", counts.isolatedRuns },
             { "suspects", gate.containment().suspectCount() },
             { "quarantined", gate.containment().quarantinedCount() },
             { "expected_start_us", load.expectedStart.count() },
             { "pace", remaining.pace() },
             { "cost_classes", remaining.costs().classCount() },
             { "cost_samples", remaining.counts().samples },
             { "cost_expected_us", remaining.counts().expected.count() },
             { "cost_actual_us", remaining.counts().actual.count() },
             { "is_backend_reachable", gate.isReachable() } };
}

json::value dumpOf(const Membership &membership)
{
    json::array members;
    for (const Endpoint &endpoint : membership.members()) {
        members.push_back({ { "instance", endpoint.instance.value() },
                            { "peer", toText(endpoint.peer) },
                            { "failure_domain", endpoint.domain.value() },
                            { "service", endpoint.service.value() },
                            { "version", endpoint.version.value() },
                            { "is_ready", endpoint.state == EndpointState::Ready } });
    }
    return members;
}

} // namespace camphorreach::impl
