// The real filters of one node, connected to fakes in virtual time.
#pragma once

#include "eventqueue.h"
#include "fakebackend.h"
#include "fakenetwork.h"
#include "fakeplatform.h"

#include <camphorreach/configuration.h>
#include <camphorreach/gate.h>
#include <camphorreach/membership.h>
#include <camphorreach/moves.h>
#include <camphorreach/router.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace camphorreach::scenario {

/// Settings of a node. A restart of its process changes only the incarnation of `self`.
struct SimNodeSettings
{
    Endpoint self;
    std::vector<NetAddress> seeds;
    std::uint32_t slots = 8;
};

/// One process of a node: constructed when it starts and destroyed when it ends.
class SimNode
{
public:
    struct Observer
    {
        std::function<void(RequestId, Outcome &&)> onRequestEnded;
        std::function<void(const Snapshot &)> onSnapshot;
    };

    SimNode(const SimNodeSettings &settings, EventQueue &events, FakeNetwork &network,
            FakePlatform &platform, FakeBackend &backend, RandomSource &random, Observer observer);
    ~SimNode();
    SimNode(const SimNode &) = delete;
    SimNode &operator=(const SimNode &) = delete;

    void send(ClientRequest request);
    void drain();
    [[nodiscard]] bool isDrained() const;
    /// Announces the departure to the other members, just before the process ends.
    void leave();
    /// Suspends the process, like SIGSTOP: until thaw(), input is deferred and no timer fires.
    void freeze() { m_isFrozen = true; }
    void thaw();

    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;
    void advance();

    [[nodiscard]] ConfigVersion version() const { return m_configuration.version(); }
    [[nodiscard]] bool hasRefusal() const { return m_configuration.refusal().has_value(); }

private:
    // Runs `work` now, or in thaw() if the process is frozen.
    void runOrDefer(std::function<void()> work);
    template <typename F>
    void feed(F &filter, typename F::Input input);
    template <typename F>
    void advanceFilter(F &filter);
    template <typename F>
    void dispatchAll(F &filter, Outbox<typename F::Output> &outbox);
    void onPeerEvent(impl::PeerEvent &&event);
    template <typename F>
    void callPlatform(F &filter, PlatformCall &&call);

    void dispatch(ClientResponse &&answer);
    void dispatch(PeerSend &&send);
    void dispatch(ForwardReply &&reply);
    void dispatch(BackendCall &&call);
    void dispatch(BackendCancel &&cancel);
    void dispatch(SnapshotChanged &&changed);
    void dispatch(EndpointsChanged &&changed);
    void dispatch(RequestSample &&sample);
    void dispatch(const AttemptStarted &) { }
    void dispatch(const AttemptAbandoned &) { }
    void dispatch(MoveSharesChanged &&changed);
    void dispatch(JoinPeers &&join);
    void dispatch(GateDrained &&) { }
    void dispatch(const GateDecision &) { }
    void dispatch(const HealthCall &) { } // sent only for services with a warm-up
    void dispatch(const BackendHealth &) { }
    void dispatch(const RouterDecision &) { }

    const NetAddress m_address;
    const FailureDomain m_domain;
    EventQueue &m_events;
    FakeNetwork &m_network;
    FakePlatform &m_platform;
    FakeBackend &m_backend;
    Observer m_observer;
    Router m_router;
    Gate m_gate;
    Membership m_membership;
    Configuration m_configuration;
    Moves m_moves;
    bool m_isFrozen = false;
    std::deque<std::function<void()>> m_deferred; // input that arrived while frozen
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); // checked by late callbacks
};

} // namespace camphorreach::scenario
