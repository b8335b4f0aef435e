// Fake backend server at the message interface.
#pragma once

#include "eventqueue.h"

#include <camphorreach/random.h>
#include <camphorreach/request.h>

#include <functional>
#include <map>
#include <string>

namespace camphorreach::scenario {

struct BackendBehaviour
{
    Duration latency = std::chrono::milliseconds(5);
    double failureRatio = 0;
    std::string crashOn; ///< A request whose body contains this text crashes the server.
    Duration restartAfter = std::chrono::seconds(2);
};

class FakeBackend
{
public:
    using ResultSink = std::function<void(BackendResult &&)>;
    using ReachableSink = std::function<void(BackendReachable)>;
    /// Called whenever the backend server starts to run a request.
    using RunSink = std::function<void(const ForwardRequest &)>;

    FakeBackend(EventQueue &events, RandomSource &random, RunSink onRun)
        : m_events(events), m_random(random), m_onRun(std::move(onRun))
    { }

    BackendBehaviour behaviour;

    void connect(ResultSink onResult, ReachableSink onReachable);
    /// Cancels the calls of a node whose process has ended, and reports nothing to it any more.
    void disconnect();
    void call(const BackendCall &call);
    void cancel(const BackendCancel &cancel);
    void crash();

private:
    void finish(CallId id, std::uint64_t generation);

    EventQueue &m_events;
    RandomSource &m_random;
    RunSink m_onRun;
    ResultSink m_onResult;
    ReachableSink m_onReachable;
    std::map<CallId, ForwardRequest> m_running;
    std::uint64_t m_generation = 1; // changes with a crash or disconnect; older timers are ignored
    bool m_isUp = true;
};

} // namespace camphorreach::scenario
