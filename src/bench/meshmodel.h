// Simulates a mesh around the real routers and gates under a virtual clock, for benchmarks of their
// decisions.
#pragma once

#include <camphorreach/gate.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>
#include <camphorreach/router.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace camphorreach::bench {

/// Runs actions in order of virtual time; actions at the same time run in order of insertion.
class EventLoop
{
public:
    using Action = std::function<void()>;

    [[nodiscard]] TimePoint now() const noexcept { return m_now; }

    void at(TimePoint time, Action action)
    {
        m_events.push({ std::max(time, m_now), m_nextSequence++, std::move(action) });
    }
    void after(Duration delay, Action action) { at(m_now + delay, std::move(action)); }

    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        TimePoint time {};
        std::uint64_t sequence = 0;
        Action action;

        friend bool operator<(const Event &a, const Event &b) noexcept
        {
            return std::tie(b.time, b.sequence) < std::tie(a.time, a.sequence);
        }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_nextSequence = 0;
    TimePoint m_now { std::chrono::hours(1) };
};

/// Runs a filter and its timers in an event loop, and passes its outputs to a handler.
template <Filter F>
class Runner
{
public:
    using OutputHandler = std::function<void(typename F::Output &&)>;

    template <typename... Arguments>
    Runner(EventLoop &loop, OutputHandler handler, Arguments &&...arguments)
        : m_loop(loop), m_outputHandler(std::move(handler)),
          m_filter(std::forward<Arguments>(arguments)...)
    { }

    [[nodiscard]] const F &filter() const noexcept { return m_filter; }

    void process(typename F::Input input)
    {
        m_filter.process(std::move(input), m_loop.now(), m_outbox);
        runTimers();
    }

private:
    void runTimers()
    {
        auto next = m_filter.nextDeadline();
        while (next && *next <= m_loop.now()) {
            m_filter.advance(m_loop.now(), m_outbox);
            next = m_filter.nextDeadline();
        }
        for (auto &output : m_outbox.take())
            m_outputHandler(std::move(output));
        if (next && (m_timerAt <= m_loop.now() || *next < m_timerAt)) {
            m_timerAt = *next;
            m_loop.at(*next, [this] { runTimers(); });
        }
    }

    EventLoop &m_loop;
    OutputHandler m_outputHandler;
    F m_filter;
    Outbox<typename F::Output> m_outbox;
    TimePoint m_timerAt {};
};

/// Simulated backend servers behind real gates, called through real routers of type \a R.
template <Filter R>
class MeshModel
{
public:
    static constexpr Duration networkLatency = std::chrono::microseconds(500);

    using ResultCallback = std::function<void(BackendResult &&)>;
    /// Runs one call at backend server \a index and invokes \a done once, at any time.
    using Backend
        = std::function<void(std::size_t index, const BackendCall &call, ResultCallback done)>;
    using OutcomeCallback = std::function<void(Outcome &&)>;

    MeshModel(EventLoop &loop, std::uint64_t seed, Backend backend)
        : m_loop(loop), m_seed(seed), m_backend(std::move(backend))
    { }

    /// Limits of the gates that are added from now on.
    void setGateLimits(const Gate::Limits &limits) { m_gateLimits = limits; }

    /// \a options are those of the router, if it has any.
    template <typename... Options>
    std::size_t addRouter(const FailureDomain &domain, std::size_t maxInFlight,
                          const Options &...options)
    {
        const std::size_t index = m_routers.size();
        m_randoms.push_back(std::make_unique<RandomSource>(m_seed * 1000 + index));
        m_routers.push_back(std::make_unique<Runner<R>>(
            m_loop,
            [this, index](typename R::Output &&output) {
                onRouterOutput(index, std::move(output));
            },
            domain, maxInFlight, options..., *m_randoms.back()));
        return index;
    }

    void addServer(const ServiceName &service, const BackendVersion &version,
                   const FailureDomain &domain, std::uint32_t slots)
    {
        const std::size_t index = m_gates.size();
        Endpoint endpoint;
        endpoint.instance = InstanceId("instance-" + std::to_string(index));
        endpoint.peer = { "127.0.0.1", static_cast<std::uint16_t>(index + 1) };
        endpoint.domain = domain;
        endpoint.region = "region";
        endpoint.service = service;
        endpoint.version = version;
        endpoint.slots = slots;
        m_table.services[service].push_back(endpoint);
        m_randoms.push_back(std::make_unique<RandomSource>(m_seed * 1000 + 500 + index));
        Gate::Limits limits = m_gateLimits;
        limits.slots = slots;
        m_gates.push_back(std::make_unique<Runner<Gate>>(
            m_loop,
            [this, index](Gate::Output &&output) { onGateOutput(index, std::move(output)); },
            limits, service, endpoint.peer, *m_randoms.back()));
    }

    /// Sends the snapshot and the endpoints of all servers to all routers.
    void publish(const Snapshot &snapshot)
    {
        const auto sharedSnapshot = std::make_shared<const Snapshot>(snapshot);
        const auto table = std::make_shared<const EndpointTable>(m_table);
        for (auto &router : m_routers) {
            router->process(SnapshotChanged { sharedSnapshot });
            router->process(EndpointsChanged { table });
        }
    }

    void sendRequest(std::size_t router, ClientRequest request, OutcomeCallback done)
    {
        request.id = RequestId(++m_lastRequest);
        m_callbacks.emplace(request.id, std::move(done));
        m_routers[router]->process(std::move(request));
    }

    [[nodiscard]] const R &router(std::size_t index) const { return m_routers[index]->filter(); }
    /// Number of request contents that gates have quarantined, or suspect of causing crashes.
    [[nodiscard]] std::size_t containedContentCount() const
    {
        std::size_t count = 0;
        for (const auto &gate : m_gates) {
            const CrashContainment &containment = gate->filter().containment();
            count += containment.suspectCount() + containment.quarantinedCount();
        }
        return count;
    }

private:
    void onRouterOutput(std::size_t index, typename R::Output &&output)
    {
        if (auto *answer = std::get_if<ClientResponse>(&output)) {
            const auto found = m_callbacks.find(answer->id);
            const OutcomeCallback done = std::move(found->second);
            m_callbacks.erase(found);
            m_loop.after({}, [done, outcome = std::move(answer->outcome)]() mutable {
                done(std::move(outcome));
            });
            return;
        }
        auto *send = std::get_if<PeerSend>(&output);
        if (send == nullptr)
            return;
        const std::size_t gate = send->to.port - 1U;
        m_loop.after(
            networkLatency,
            [this, index, gate, message = std::get<RequestMessage>(std::move(send->message))] {
                const LinkId link(index);
                if (const auto *forward = std::get_if<ForwardRequest>(&message))
                    m_gates[gate]->process(ForwardReceived { link, *forward });
                else if (const auto *cancel = std::get_if<ForwardCancel>(&message))
                    m_gates[gate]->process(CancelReceived { link, cancel->id });
            });
    }

    void onGateOutput(std::size_t index, Gate::Output &&output)
    {
        if (auto *reply = std::get_if<ForwardReply>(&output)) {
            m_loop.after(networkLatency, [this, index, reply = std::move(*reply)] {
                const NetAddress from { "127.0.0.1", static_cast<std::uint16_t>(index + 1) };
                m_routers[reply.link.value()]->process(
                    PeerReceived<ForwardResponse> { from, reply.answer });
            });
        } else if (const auto *call = std::get_if<BackendCall>(&output)) {
            const CallId id = call->id;
            // The HTTP client of the gate times out after the budget of the call.
            m_loop.after(call->request.budget, [this, index, id] {
                completeCall(index, { id, BackendFailure::TimedOut });
            });
            m_running[index].insert(id);
            m_backend(index, *call, [this, index](BackendResult &&result) {
                completeCall(index, std::move(result));
            });
        } else if (const auto *cancel = std::get_if<BackendCancel>(&output)) {
            const CallId id = cancel->id;
            m_loop.after({}, [this, index, id] {
                completeCall(index, { id, BackendFailure::ConnectionLost });
            });
        }
    }

    // Only the first result of a call counts. That a server may still process a call after a
    // timeout or a cancellation is not modelled.
    void completeCall(std::size_t index, BackendResult &&result)
    {
        if (m_running[index].erase(result.id) > 0)
            m_gates[index]->process(std::move(result));
    }

    EventLoop &m_loop;
    const std::uint64_t m_seed;
    Backend m_backend;
    Gate::Limits m_gateLimits {};
    EndpointTable m_table;
    std::vector<std::unique_ptr<RandomSource>> m_randoms; // one per router and gate
    std::vector<std::unique_ptr<Runner<R>>> m_routers;
    std::vector<std::unique_ptr<Runner<Gate>>> m_gates;
    std::unordered_map<std::size_t, std::set<CallId>> m_running; // calls by gate
    std::unordered_map<RequestId, OutcomeCallback> m_callbacks; // of requests without an outcome
    std::uint64_t m_lastRequest = 0;
};

} // namespace camphorreach::bench
