// Tests of the state that membership announces for the local backend server.
#include <camphorreach/membership.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

class MembershipReadinessFixture
{
protected:
    template <typename Input>
    EndpointState stateAfter(Input input)
    {
        Outbox<Membership::Output> outbox;
        membership.process(std::move(input), TimePoint(std::chrono::seconds(1)), outbox);
        return membership.members().front().state;
    }

    RandomSource random { 1 };
    Membership membership { Endpoint {}, {}, random };
};

// Guards against new requests to a node whose backend server is down or about to stop.
TEST_CASE_METHOD(MembershipReadinessFixture, "Membership_backendServerDownOrLeaving_isNotReady")
{
    CHECK(stateAfter(BackendReachable { true }) == EndpointState::Ready);
    CHECK(stateAfter(BackendReachable { false }) == EndpointState::Draining);
    CHECK(stateAfter(BackendReachable { true }) == EndpointState::Ready);
    CHECK(stateAfter(BackendLeaving { true }) == EndpointState::Draining);
    CHECK(stateAfter(BackendReachable { false }) == EndpointState::Draining);
    CHECK(stateAfter(BackendReachable { true }) == EndpointState::Ready);
}

// Guards against a draining node that accepts requests again because its backend server is
// reachable.
TEST_CASE_METHOD(MembershipReadinessFixture, "Membership_drainStarted_neverBecomesReadyAgain")
{
    CHECK(stateAfter(DrainStarted {}) == EndpointState::Draining);
    CHECK(stateAfter(BackendReachable { false }) == EndpointState::Draining);
    CHECK(stateAfter(BackendReachable { true }) == EndpointState::Draining);
}

} // namespace
} // namespace camphorreach
