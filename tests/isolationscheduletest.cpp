// Tests of the holds and pauses around isolated runs of suspects.
#include <camphorreach/isolationschedule.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using Step = IsolationSchedule::Step;

class IsolationScheduleFixture
{
protected:
    static TimePoint at(int ms) { return TimePoint(milliseconds(ms)); }

    Step whileBusy(int ms) { return schedule.next(false, at(ms)); }
    Step whileIdle(int ms) { return schedule.next(true, at(ms)); }

    IsolationSchedule schedule;
};

// Guards against a suspect that starts beside other calls, and against one long call that keeps all
// other requests waiting.
TEST_CASE_METHOD(IsolationScheduleFixture, "IsolationSchedule_busyServer_holdsForALimitedTime")
{
    CHECK(whileBusy(0) == Step::Hold);
    CHECK(schedule.nextChange() == at(500));
    CHECK(whileBusy(499) == Step::Hold);
    CHECK(whileBusy(500) == Step::Wait);
    CHECK_FALSE(schedule.isHolding());
    CHECK(schedule.nextChange() == at(2500));
    CHECK(whileIdle(2499) == Step::Wait);
    CHECK(whileIdle(2500) == Step::Start);
}

// Guards against suspects that take more than a fifth of the backend server's time.
TEST_CASE_METHOD(IsolationScheduleFixture, "IsolationSchedule_endedRun_pausesForHoldAndRun")
{
    CHECK(whileBusy(0) == Step::Hold);
    CHECK(whileIdle(40) == Step::Start);
    schedule.onStarted(CallId(7));
    CHECK(schedule.isRunning());
    CHECK_FALSE(schedule.onEnded(CallId(6), at(10), at(50)));
    CHECK(schedule.onEnded(CallId(7), at(40), at(100)));
    CHECK_FALSE(schedule.isRunning());
    CHECK(whileIdle(499) == Step::Wait);
    CHECK(whileIdle(500) == Step::Start);
}

// Guards against a hold that outlives the suspects that it was for, and shortens the next one.
TEST_CASE_METHOD(IsolationScheduleFixture, "IsolationSchedule_noSuspectLeft_endsTheHold")
{
    CHECK(whileBusy(0) == Step::Hold);
    schedule.endHold();
    CHECK_FALSE(schedule.isHolding());
    CHECK(whileBusy(499) == Step::Hold);
    CHECK(whileBusy(600) == Step::Hold);
}

} // namespace
} // namespace camphorreach
