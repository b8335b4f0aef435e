// Tests of what a gate knows of its backend server.
#include <camphorreach/backendstate.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

class BackendStateFixture
{
protected:
    static BackendAnnounced announcement(const char *server)
    {
        return { InstanceId(server), ServiceName("orders"), BackendVersion("v2"), 4, true, {} };
    }

    static ForwardRequest request(const char *version)
    {
        ForwardRequest result;
        result.service = ServiceName("orders");
        result.version = BackendVersion(version);
        return result;
    }

    BackendState state { 2, ServiceName("orders"), true };
};

// Guards against requests for a backend server whose version is unknown, and for another version.
TEST_CASE_METHOD(BackendStateFixture, "BackendState_announcement_acceptsRequestsOfItsVersion")
{
    CHECK(state.refusal(request("v2")) == NotRunReason::Draining);
    CHECK_FALSE(state.mayStart());

    CHECK(state.onAnnounced(announcement("a")));
    CHECK_FALSE(state.onAnnounced(announcement("a")));
    CHECK(state.slots() == 4);
    CHECK(state.mayStart());
    CHECK_FALSE(state.refusal(request("v2")));
    CHECK(state.refusal(request("v1")) == NotRunReason::Draining);
}

// Guards against a new process that gets no requests because the one before it was leaving.
TEST_CASE_METHOD(BackendStateFixture, "BackendState_newProcess_isNotLeaving")
{
    CHECK(state.onAnnounced(announcement("a")));
    state.setLeaving(true);
    CHECK(state.refusal(request("v2")) == NotRunReason::Draining);
    CHECK(state.onAnnounced(announcement("b")));
    CHECK_FALSE(state.isLeaving());

    state.setLeaving(true);
    CHECK_FALSE(state.setReachable(true)); // it was reachable before
    CHECK(state.isLeaving());
    CHECK_FALSE(state.setReachable(false));
    CHECK(state.setReachable(true));
    CHECK_FALSE(state.isLeaving());
}

// Guards against starts at a backend server that is evacuated or cannot be reached.
TEST_CASE_METHOD(BackendStateFixture, "BackendState_evacuatedOrUnreachable_startsNothing")
{
    CHECK(state.onAnnounced(announcement("a")));
    state.setEvacuated(true);
    CHECK(state.refusal(request("v2")) == NotRunReason::Draining);
    CHECK_FALSE(state.mayStart());
    state.setEvacuated(false);
    (void)state.setReachable(false);
    CHECK(state.refusal(request("v2")) == NotRunReason::Unreachable);
    CHECK_FALSE(state.mayStart());
}

} // namespace
} // namespace camphorreach
