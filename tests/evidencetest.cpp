// Tests of the evidence of moves and of the steps that are planned from it.
#include <camphorreach/moveplan.h>
#include <camphorreach/random.h>
#include <camphorreach/samplecollector.h>

#include <catch2/catch.hpp>
#include <cmath>

namespace camphorreach {
namespace {

class EvidenceFixture
{
protected:
    static EvidenceEntry entry(VersionRole role, std::uint8_t group, std::uint32_t requests,
                               std::uint32_t failures)
    {
        return { { FailureDomain("arima"), RouteName("bags"), KindName("order") },
                 role,
                 group,
                 { requests, { failures, 0, 0, 0 } } };
    }
    void advance(int seconds)
    {
        for (int i = 0; i < seconds; ++i)
            evidence.advance(std::chrono::seconds(1));
    }

    MoveEvidence<OddsRatioTest> evidence { std::chrono::minutes(10) };
    RandomSource random { 7 };
};

// Guards against a false positive rate above the bound when the evidence is checked after every
// window.
TEST_CASE_METHOD(EvidenceFixture,
                 "OddsRatioTest_equalRatesCheckedAfterEveryWindow_falsePositivesStayWithinBound")
{
    constexpr int trials = 2000;
    constexpr double rate = 0.05;
    int falsePositives = 0;
    for (int trial = 0; trial < trials; ++trial) {
        OddsRatioTest test(200);
        bool isRejected = false;
        for (int window = 0; window < 200; ++window) {
            std::binomial_distribution<int> adverse(20, rate);
            test.add({ 20, 20, double(adverse(random)), double(adverse(random)) });
            isRejected = isRejected || test.logEvidence() >= std::log(20.0);
        }
        falsePositives += isRejected ? 1 : 0;
    }
    CHECK(falsePositives <= trials / 20);
}

// Guards against a rollback because of a single bad instance of the candidate.
TEST_CASE_METHOD(EvidenceFixture, "Evidence_oneCandidateInstanceFails_staysBelowThreshold")
{
    for (int second = 0; second < 60; ++second) {
        evidence.add(entry(VersionRole::Baseline, 0, 50, 0));
        evidence.add(entry(VersionRole::Candidate, 1, 10, 5));
        evidence.add(entry(VersionRole::Candidate, 2, 10, 0));
        advance(1);
    }
    CHECK(evidence.summary().logBad < std::log(1000.0));
}

// Guards against a bad candidate that is missed because one baseline instance also fails.
TEST_CASE_METHOD(EvidenceFixture, "Evidence_oneBaselineInstanceFailsToo_exceedsThreshold")
{
    for (int second = 0; second < 60; ++second) {
        evidence.add(entry(VersionRole::Baseline, 0, 20, 10));
        evidence.add(entry(VersionRole::Baseline, 3, 20, 0));
        evidence.add(entry(VersionRole::Baseline, 4, 20, 0));
        evidence.add(entry(VersionRole::Candidate, 1, 10, 3));
        evidence.add(entry(VersionRole::Candidate, 2, 10, 3));
        advance(1);
    }
    CHECK(evidence.summary().logBad > std::log(1000.0));
}

// Guards against a rollback because of an overload that affects both versions equally.
TEST_CASE_METHOD(EvidenceFixture, "Evidence_bothVersionsFailEqually_staysBelowThreshold")
{
    for (int second = 0; second < 120; ++second) {
        std::binomial_distribution<std::uint32_t> adverse(20, 0.3);
        evidence.add(entry(VersionRole::Baseline, 0, 20, adverse(random)));
        evidence.add(entry(VersionRole::Candidate, 1, 20, adverse(random)));
        evidence.add(entry(VersionRole::Candidate, 2, 20, adverse(random)));
        advance(1);
    }
    CHECK(evidence.summary().logBad < std::log(1000.0));
}

// Guards against cold starts that count as slow answers of the candidate.
TEST_CASE_METHOD(EvidenceFixture, "Evidence_slowFirstRequestsOfInstance_areNotCounted")
{
    evidence.setInstances({ 0, 1, 0, 0, 0, 0, 0, 0 });
    evidence.add(entry(VersionRole::Baseline, 0, 100, 0));
    EvidenceEntry cold = entry(VersionRole::Candidate, 1, 20, 0);
    cold.counts.adverse = { 0, 0, 0, 20 };
    evidence.add(cold);
    advance(6);
    CHECK(evidence.summary().domains.at(FailureDomain("arima")).candidateAdverse == 0);
}

// Guards against a verdict on a version because of a request that crashes every backend server.
TEST_CASE_METHOD(EvidenceFixture, "Collector_crashSuspect_isIgnored")
{
    SampleCollector collector(BackendVersion("v1"), BackendVersion("v2"));
    RequestSample sample;
    sample.version = BackendVersion("v2");
    sample.result = SampleResult::Failure;
    sample.isCrashSuspect = true;
    collector.add(sample);
    CHECK(collector.isEmpty());
}

class PlanFixture
{
protected:
    PlanFixture()
    {
        record.state = MoveState::Ramping;
        record.from = BackendVersion("v1");
        record.to = BackendVersion("v2");
        record.share = Share::fromFraction(0.05);
        record.requestedAt = WallTime(0);
        record.deadline = WallTime(600'000);
        view.evidence.requestsPerSecond = 100;
        view.reportingDomains = { FailureDomain("arima") };
        view.serviceDomains = view.reportingDomains;
    }
    void setNonInferiorityEvidence()
    {
        view.evidence.logNoExcess.fill(7.0);
        view.evidence.logNotSlow = 7.0;
    }

    MoveRecord record;
    MovePolicy policy;
    MoveView view;
};

// Guards against a step that is due by the schedule but not supported by the evidence.
TEST_CASE_METHOD(PlanFixture, "Plan_withoutEvidence_shareStaysWithinSafeShare")
{
    const auto step = planStep(record, policy, view, WallTime(590'000));
    if (step)
        CHECK(step->share.fraction() <= maxSafeShare(record, policy, view) + 1e-6);
    CHECK(maxSafeShare(record, policy, view) < 0.2);
    setNonInferiorityEvidence();
    CHECK(maxSafeShare(record, policy, view) == 1.0);
}

// Guards against an increase of the share in a failure domain that is partitioned.
TEST_CASE_METHOD(PlanFixture, "Plan_domainNotReporting_keepsItsShare")
{
    setNonInferiorityEvidence();
    view.serviceDomains.insert(FailureDomain("chaguanas"));
    const auto step = planStep(record, policy, view, WallTime(300'000));
    REQUIRE(step);
    CHECK(shareIn(*step, FailureDomain("arima")) > record.share);
    CHECK(shareIn(*step, FailureDomain("chaguanas")) == record.share);
}

TEST_CASE_METHOD(PlanFixture, "Plan_noDomainReporting_doesNotStep")
{
    setNonInferiorityEvidence();
    view.reportingDomains.clear();
    CHECK_FALSE(planStep(record, policy, view, WallTime(300'000)));
}

TEST_CASE_METHOD(PlanFixture, "Plan_evidenceAgainstVersion_rollsBackWithReason")
{
    setNonInferiorityEvidence();
    view.evidence.logBad = 8.0;
    view.evidence.reason = "more failures than the old version";
    const auto step = planStep(record, policy, view, WallTime(300'000));
    REQUIRE(step);
    CHECK(step->state == MoveState::RolledBack);
    CHECK(step->share == Share::none());
    CHECK(hasBadVerdict(*step, record.to));
    CHECK(step->explanation.find("more failures") != std::string::npos);
}

// Guards against weights that do not have the documented effect.
TEST_CASE_METHOD(PlanFixture, "Thresholds_higherRollbackWeight_rollBackSoonerAndStepLater")
{
    MovePolicy strict = policy;
    strict.rollbackWeight = 3;
    CHECK(thresholdsOf(strict).regression < thresholdsOf(policy).regression);
    CHECK(thresholdsOf(strict).nonInferiority > thresholdsOf(policy).nonInferiority);
}

} // namespace
} // namespace camphorreach
