// Execution of requests, timeouts and crashes of the fake backend server.
#include "fakebackend.h"

#include <utility>

namespace camphorreach::scenario {

void FakeBackend::connect(ResultSink onResult, ReachableSink onReachable)
{
    m_onResult = std::move(onResult);
    m_onReachable = std::move(onReachable);
    m_onReachable({ m_isUp });
}

void FakeBackend::disconnect()
{
    ++m_generation;
    m_running.clear();
    m_onResult = [](BackendResult &&) {};
    m_onReachable = [](BackendReachable) {};
}

void FakeBackend::call(const BackendCall &call)
{
    if (!m_isUp) {
        m_onResult({ call.id, BackendFailure::NotSent });
        return;
    }
    m_onRun(call.request);
    m_running.emplace(call.id, call.request);
    const std::string &crashOn = behaviour.crashOn;
    const bool causesCrash
        = !crashOn.empty() && call.request.content.body.find(crashOn) != std::string::npos;
    m_events.scheduleAfter(behaviour.latency,
                           [this, id = call.id, generation = m_generation, causesCrash] {
                               if (generation != m_generation)
                                   return;
                               if (causesCrash)
                                   crash();
                               else
                                   finish(id, generation);
                           });
    const CallId id = call.id;
    m_events.scheduleAfter(call.request.budget, [this, id, generation = m_generation] {
        if (generation == m_generation && m_running.erase(id) > 0)
            m_onResult({ id, BackendFailure::TimedOut });
    });
}

void FakeBackend::finish(CallId id, std::uint64_t)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    const std::string body = found->second.content.body;
    m_running.erase(found);
    const bool isFailure = uniformFraction(m_random) < behaviour.failureRatio;
    m_onResult(
        { id, Answered { static_cast<std::uint16_t>(isFailure ? 500 : 200), "text/plain", body } });
}

void FakeBackend::cancel(const BackendCancel &cancel)
{
    if (m_running.erase(cancel.id) > 0)
        m_onResult({ cancel.id, BackendFailure::ConnectionLost });
}

void FakeBackend::crash()
{
    ++m_generation;
    m_isUp = false;
    for (const auto &[id, request] : std::exchange(m_running, {}))
        m_onResult({ id, BackendFailure::ConnectionLost });
    m_onReachable({ false });
    m_events.scheduleAfter(behaviour.restartAfter, [this] {
        m_isUp = true;
        m_onReachable({ true });
    });
}

} // namespace camphorreach::scenario
