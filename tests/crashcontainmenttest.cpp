// Tests of suspicion, proof and quarantine.
#include <camphorreach/crashcontainment.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

class CrashContainmentFixture
{
protected:
    using Standing = CrashContainment::Standing;

    static std::set<Digest> digests(std::initializer_list<std::uint64_t> values)
    {
        std::set<Digest> result;
        for (const std::uint64_t value : values)
            result.insert(Digest(value));
        return result;
    }

    [[nodiscard]] Standing standing(std::uint64_t value) const
    {
        return containment.standingOf(Digest(value), now);
    }

    void prove(std::uint64_t value)
    {
        (void)containment.onCrash(digests({ value, value + 1'000'000 }), std::nullopt, now);
        (void)containment.onCrash(digests({ value }), Digest(value), now);
        containment.onSurvived(Digest(value + 1'000'000));
    }

    TimePoint now { seconds(1000) };
    CrashContainment containment { {} };
};

TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_crash_suspectsAllInFlightAndProvesNone")
{
    const auto verdict = containment.onCrash(digests({ 1, 2 }), std::nullopt, now);
    CHECK(verdict.proved.empty());
    CHECK_FALSE(verdict.isExplained);
    CHECK(verdict.entries.size() == 2);
    CHECK(standing(1) == Standing::Suspect);
    CHECK(standing(2) == Standing::Suspect);
    CHECK(standing(3) == Standing::Normal);
}

// Guards against an innocent request that is refused because it ran beside the cause.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_runsAlone_provesTheCauseClearsTheRest")
{
    (void)containment.onCrash(digests({ 1, 2 }), std::nullopt, now);
    containment.onSurvived(Digest(2));
    const auto verdict = containment.onCrash(digests({ 1 }), Digest(1), now);
    CHECK(verdict.proved == std::vector { Digest(1) });
    CHECK(verdict.isExplained);
    CHECK(standing(1) == Standing::Quarantined);
    CHECK(standing(2) == Standing::Normal);
}

TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_timePassed_liftsSuspicionAndQuarantine")
{
    (void)containment.onCrash(digests({ 1, 2 }), std::nullopt, now);
    (void)containment.onCrash(digests({ 1 }), Digest(1), now);
    now += minutes(5);
    CHECK(standing(1) == Standing::Quarantined);
    CHECK(standing(2) == Standing::Normal);
    now += minutes(5);
    CHECK(standing(1) == Standing::Normal);
}

// Guards against a crash at every gate of the service before each has its own proof.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_noticeFromAnotherGate_isInForceHere")
{
    const QuarantineNotice notice { ServiceName("orders"),
                                    { { Digest(1), minutes(10), true },
                                      { Digest(2), minutes(5), false },
                                      { Digest(3), std::chrono::milliseconds(10), true } } };
    CHECK(containment.learn(notice, now).size() == 2);
    CHECK(standing(1) == Standing::Quarantined);
    CHECK(standing(2) == Standing::Suspect);
    CHECK(standing(3) == Standing::Normal);
    CHECK(containment.learn(notice, now).empty());
}

// Guards against a quarantine without end, renewed by gates that tell it to each other.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_noticeWithHugeTime_isLimited")
{
    (void)containment.learn({ ServiceName("orders"), { { Digest(1), minutes(1000), true } } }, now);
    now += minutes(10);
    CHECK(standing(1) == Standing::Normal);
}

// Guards against memory that grows with the number of crashes and of hostile notices.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_manyEntries_keepsTablesBounded")
{
    for (std::uint64_t i = 0; i < 3000; ++i) {
        (void)containment.learn(
            { ServiceName("orders"),
              { { Digest(i), minutes(10), true }, { Digest(100'000 + i), minutes(5), false } } },
            now);
    }
    CHECK(containment.quarantinedCount() <= 1024);
    CHECK(containment.suspectCount() <= 1024);
}

// Guards against a bad version that hides behind a quarantine of everything it was sent.
TEST_CASE_METHOD(CrashContainmentFixture,
                 "CrashContainment_crashesWithoutCommonRequest_blameVersion")
{
    for (std::uint64_t i = 0; i < 8; ++i)
        (void)containment.onCrash(digests({ 10 * i, 10 * i + 1 }), std::nullopt, now);
    CHECK(containment.isVersionSuspect(now));
    const auto verdict = containment.onCrash(digests({ 0 }), Digest(0), now);
    CHECK(verdict.proved.empty());
    CHECK_FALSE(verdict.isExplained);
    now += minutes(2);
    CHECK_FALSE(containment.isVersionSuspect(now));
}

// Guards against several crash-causing requests at once that are taken for a bad version.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_severalCausesAtOnce_provesEach")
{
    for (std::uint64_t value = 1; value <= 5; ++value)
        prove(value);
    CHECK_FALSE(containment.isVersionSuspect(now));
    for (std::uint64_t value = 1; value <= 5; ++value)
        CHECK(standing(value) == Standing::Quarantined);
}

// Guards against a version that crashes on every request and gets all of them quarantined.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_everyRequestCrashes_stopsProving")
{
    for (std::uint64_t value = 1; value <= 20; ++value)
        prove(value);
    CHECK(containment.isVersionSuspect(now));
    CHECK(containment.quarantinedCount() <= 9);
}

// Guards against a standstill of all gates after one failure of many backend servers.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_twoCrashesNeeded_oneChangesNothing")
{
    CrashContainment::Limits limits;
    limits.crashesToSuspect = 2;
    CrashContainment careful(limits);
    (void)careful.onCrash(digests({ 1, 2 }), std::nullopt, now);
    CHECK(careful.standingOf(Digest(1), now) == Standing::Normal);
    careful.onSurvived(Digest(2));
    now += seconds(5);
    (void)careful.onCrash(digests({ 1, 2 }), std::nullopt, now);
    CHECK(careful.standingOf(Digest(1), now) == Standing::Suspect);
    CHECK(careful.standingOf(Digest(2), now) == Standing::Normal);
}

// Guards against a cause that has crashed several servers, each of them only once.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_crashAtAnotherGate_countsOnceHere")
{
    CrashContainment::Limits limits;
    limits.crashesToSuspect = 2;
    CrashContainment careful(limits);
    const QuarantineNotice notice { ServiceName("orders"),
                                    { { Digest(1), minutes(5), false, 1 } } };
    CHECK(careful.learn(notice, now).size() == 1);
    CHECK(careful.learn(notice, now).empty());
    CHECK(careful.standingOf(Digest(1), now) == Standing::Normal);
    const auto verdict = careful.onCrash(digests({ 1 }), std::nullopt, now);
    CHECK(careful.standingOf(Digest(1), now) == Standing::Suspect);
    REQUIRE(verdict.entries.size() == 1);
    CHECK(verdict.entries.front().crashes == 2);
    CrashContainment other(limits);
    CHECK(other.learn({ ServiceName("orders"), verdict.entries }, now).size() == 1);
    CHECK(other.standingOf(Digest(1), now) == Standing::Suspect);
}

// Guards against gates that tell each other of a cleared request without end.
TEST_CASE_METHOD(CrashContainmentFixture, "CrashContainment_noticeOfClearedRequest_isNoNews")
{
    const QuarantineNotice notice { ServiceName("orders"),
                                    { { Digest(1), minutes(5), false, 1 } } };
    CHECK(containment.learn(notice, now).size() == 1);
    containment.onSurvived(Digest(1));
    CHECK(containment.learn(notice, now).empty());
    CHECK(standing(1) == Standing::Normal);
    (void)containment.onCrash(digests({ 1 }), std::nullopt, now);
    CHECK(standing(1) == Standing::Suspect);
}

} // namespace
} // namespace camphorreach
