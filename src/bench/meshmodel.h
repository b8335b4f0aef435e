// Routers and gates joined by a virtual clock, for benchmarks of their decisions.
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

/// Runs actions in the order of their virtual times.
class EventLoop
{
public:
    using Action = std::function<void()>;

    [[nodiscard]] TimePoint now() const noexcept { return m_now; }

    void at(TimePoint time, Action action)
    {
        m_events.push({ std::max(time, m_now), m_next++, std::move(action) });
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
        std::uint64_t number = 0;
        Action action;

        friend bool operator<(const Event &a, const Event &b) noexcept
        {
            return std::tie(b.time, b.number) < std::tie(a.time, a.number);
        }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_next = 0;
    TimePoint m_now { std::chrono::hours(1) };
};

/// Runs one filter's timers and hands its outputs on.
template <Filter F>
class Runner
{
public:
    using Outlet = std::function<void(typename F::Output &&)>;

    template <typename... Arguments>
    Runner(EventLoop &loop, Outlet outlet, Arguments &&...arguments)
        : m_loop(loop), m_outlet(std::move(outlet)), m_filter(std::forward<Arguments>(arguments)...)
    { }

    [[nodiscard]] const F &filter() const noexcept { return m_filter; }

    void give(typename F::Input input)
    {
        m_filter.process(std::move(input), m_loop.now(), m_outbox);
        settle();
    }

private:
    void settle()
    {
        auto next = m_filter.nextDeadline();
        while (next && *next <= m_loop.now()) {
            m_filter.advance(m_loop.now(), m_outbox);
            next = m_filter.nextDeadline();
        }
        for (auto &output : m_outbox.take())
            m_outlet(std::move(output));
        if (next && (m_wakeAt <= m_loop.now() || *next < m_wakeAt)) {
            m_wakeAt = *next;
            m_loop.at(*next, [this] { settle(); });
        }
    }

    EventLoop &m_loop;
    Outlet m_outlet;
    F m_filter;
    Outbox<typename F::Output> m_outbox;
    TimePoint m_wakeAt {};
};

/// Backend servers behind real gates, reached through real routers of type \a R.
template <Filter R>
class MeshModel
{
public:
    static constexpr Duration transit = std::chrono::microseconds(500);

    using Done = std::function<void(BackendResult &&)>;
    /// Runs one call at backend server \a number and reports its end once, at any time.
    using Backend = std::function<void(std::size_t number, const BackendCall &call, Done done)>;
    using GuestDone = std::function<void(Outcome &&)>;

    MeshModel(EventLoop &loop, std::uint64_t seed, Backend backend)
        : m_loop(loop), m_seed(seed), m_backend(std::move(backend))
    { }

    std::size_t addRouter(const FailureDomain &domain, std::size_t maxInFlight)
    {
        const std::size_t number = m_routers.size();
        m_randoms.push_back(std::make_unique<RandomSource>(m_seed * 1000 + number));
        m_routers.push_back(std::make_unique<Runner<R>>(
            m_loop,
            [this, number](typename R::Output &&output) { onRouter(number, std::move(output)); },
            domain, maxInFlight, *m_randoms.back()));
        return number;
    }

    void addServer(const ServiceName &service, const BackendVersion &version,
                   const FailureDomain &domain, std::uint32_t slots)
    {
        const std::size_t number = m_gates.size();
        Endpoint endpoint;
        endpoint.instance = InstanceId("instance-" + std::to_string(number));
        endpoint.peer = { "127.0.0.1", static_cast<std::uint16_t>(number + 1) };
        endpoint.domain = domain;
        endpoint.region = "region";
        endpoint.service = service;
        endpoint.version = version;
        endpoint.slots = slots;
        m_table.services[service].push_back(endpoint);
        m_randoms.push_back(std::make_unique<RandomSource>(m_seed * 1000 + 500 + number));
        Gate::Limits limits;
        limits.slots = slots;
        m_gates.push_back(std::make_unique<Runner<Gate>>(
            m_loop, [this, number](Gate::Output &&output) { onGate(number, std::move(output)); },
            limits, service, endpoint.peer, *m_randoms.back()));
    }

    /// Makes the snapshot and all servers known to all routers.
    void publish(const Snapshot &snapshot)
    {
        const auto held = std::make_shared<const Snapshot>(snapshot);
        const auto table = std::make_shared<const EndpointTable>(m_table);
        for (auto &router : m_routers) {
            router->give(SnapshotChanged { held });
            router->give(EndpointsChanged { table });
        }
    }

    void ask(std::size_t router, GuestRequest request, GuestDone done)
    {
        request.id = RequestId(++m_lastRequest);
        m_guests.emplace(request.id, std::move(done));
        m_routers[router]->give(std::move(request));
    }

    [[nodiscard]] const R &router(std::size_t number) const { return m_routers[number]->filter(); }
    /// How many contents the gates hold to be causes of crashes, or suspect.
    [[nodiscard]] std::size_t containedContents() const
    {
        std::size_t count = 0;
        for (const auto &gate : m_gates) {
            const CrashContainment &containment = gate->filter().containment();
            count += containment.suspectCount() + containment.quarantinedCount();
        }
        return count;
    }

private:
    void onRouter(std::size_t number, typename R::Output &&output)
    {
        if (auto *answer = std::get_if<GuestAnswer>(&output)) {
            const auto found = m_guests.find(answer->id);
            const GuestDone done = std::move(found->second);
            m_guests.erase(found);
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
            transit,
            [this, number, gate, message = std::get<RequestMessage>(std::move(send->message))] {
                const LinkId link(number);
                if (const auto *forward = std::get_if<ForwardRequest>(&message))
                    m_gates[gate]->give(ForwardReceived { link, *forward });
                else if (const auto *cancel = std::get_if<ForwardCancel>(&message))
                    m_gates[gate]->give(CancelReceived { link, cancel->id });
            });
    }

    void onGate(std::size_t number, Gate::Output &&output)
    {
        if (auto *reply = std::get_if<ForwardReply>(&output)) {
            m_loop.after(transit, [this, number, reply = std::move(*reply)] {
                const NetAddress from { "127.0.0.1", static_cast<std::uint16_t>(number + 1) };
                m_routers[reply.link.value()]->give(
                    PeerReceived<ForwardAnswer> { from, reply.answer });
            });
        } else if (const auto *call = std::get_if<BackendCall>(&output)) {
            const CallId id = call->id;
            // The HTTP client gives up when the budget of the call has passed.
            m_loop.after(call->request.budget, [this, number, id] {
                end(number, { id, BackendFailure::TimedOut });
            });
            m_running[number].insert(id);
            m_backend(number, *call,
                      [this, number](BackendResult &&result) { end(number, std::move(result)); });
        } else if (const auto *cancel = std::get_if<BackendCancel>(&output)) {
            const CallId id = cancel->id;
            m_loop.after({}, [this, number, id] { end(number, { id, BackendFailure::Lost }); });
        }
    }

    // The first end of a call counts; a server that goes on after that is not modelled.
    void end(std::size_t number, BackendResult &&result)
    {
        if (m_running[number].erase(result.id) > 0)
            m_gates[number]->give(std::move(result));
    }

    EventLoop &m_loop;
    const std::uint64_t m_seed;
    Backend m_backend;
    EndpointTable m_table;
    std::vector<std::unique_ptr<RandomSource>> m_randoms; // one for each router
    std::vector<std::unique_ptr<Runner<R>>> m_routers;
    std::vector<std::unique_ptr<Runner<Gate>>> m_gates;
    std::unordered_map<std::size_t, std::set<CallId>> m_running; // by gate
    std::unordered_map<RequestId, GuestDone> m_guests; // requests without an outcome
    std::uint64_t m_lastRequest = 0;
};

} // namespace camphorreach::bench
