// Fixture of the router tests: one service with its endpoints and a manual clock.
#pragma once

#include <camphorreach/clock.h>
#include <camphorreach/router.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace camphorreach {

class RouterFixture
{
protected:
    static constexpr Duration deadline = std::chrono::seconds(1);

    RouterFixture()
    {
        policy.name = ServiceName("orders");
        policy.weights[BackendVersion("v1")] = Share::all();
        policy.routes = {
            RoutePolicy { RouteName("stock"), "/stock", KindName("lookup"), 2, true, deadline, 3 },
            RoutePolicy { RouteName("bags"), "/bags", KindName("order"), 5, false, deadline, 3 }
        };
    }

    static Endpoint endpoint(int number, const std::string &version = "v1",
                             const std::string &domain = "arima", std::uint32_t slots = 4)
    {
        Endpoint result;
        result.instance = InstanceId("orders-" + std::to_string(number));
        result.peer = { "127.0.0.1", static_cast<std::uint16_t>(9000 + number) };
        result.domain = FailureDomain(domain);
        result.region = "tt-north";
        result.service = ServiceName("orders");
        result.version = BackendVersion(version);
        result.incarnation = Incarnation(1);
        result.slots = slots;
        return result;
    }

    void deliver(Router::Input input)
    {
        router.process(std::move(input), clock.now(), outbox);
        collect();
    }

    void applyConfiguration()
    {
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->version = ConfigVersion(++configVersion);
        snapshot->services[policy.name] = policy;
        deliver(SnapshotChanged { snapshot });
    }

    void setEndpoints(std::vector<Endpoint> endpoints)
    {
        auto table = std::make_shared<EndpointTable>();
        table->services[ServiceName("orders")] = std::move(endpoints);
        deliver(EndpointsChanged { table });
    }

    void setMoveShares(std::map<BackendVersion, Share> shares, std::set<BackendVersion> banned = {})
    {
        auto move = std::make_shared<MoveShares>();
        move->services[ServiceName("orders")] = { std::move(shares), std::move(banned) };
        deliver(MoveSharesChanged { move });
    }

    // As while a rollout of the service is under way.
    void observe()
    {
        auto move = std::make_shared<MoveShares>();
        move->services[ServiceName("orders")].isObserved = true;
        deliver(MoveSharesChanged { move });
    }

    RequestId submit(const std::string &target, const std::string &key = "", Duration budget = {},
                     std::uint8_t depth = 0, std::uint8_t callerAttempt = 0)
    {
        ClientRequest request;
        request.id = RequestId(++lastId);
        request.service = ServiceName("orders");
        request.budget = budget;
        request.key = IdempotencyKey(key);
        request.depth = CallDepth(depth);
        request.callerAttempt = Attempt(callerAttempt);
        request.content.method = "POST";
        request.content.target = target;
        deliver(request);
        return RequestId(lastId);
    }

    struct Sent
    {
        NetAddress to;
        ForwardRequest request;
    };

    void answer(const Sent &attempt, Outcome outcome)
    {
        deliver(PeerReceived<ForwardResponse> { attempt.to,
                                                { attempt.request.id, std::move(outcome), {} } });
    }

    // Advances the clock and runs every timer that becomes due, at its own time.
    void runFor(Duration time)
    {
        const TimePoint end = clock.now() + time;
        for (auto next = router.nextDeadline(); next && *next <= end;
             next = router.nextDeadline()) {
            clock.set(std::max(clock.now(), *next));
            router.advance(clock.now(), outbox);
            collect();
        }
        clock.set(end);
    }

    const Outcome *outcomeOf(RequestId id) const
    {
        const auto found = std::ranges::find(answers, id, &ClientResponse::id);
        return found == answers.end() ? nullptr : &found->outcome;
    }

    // Without an outcome, all three return false.
    bool isNotRun(RequestId id, NotRunReason reason) const
    {
        const Outcome *outcome = outcomeOf(id);
        return outcome != nullptr && *outcome == Outcome(NotRun { reason });
    }
    bool isUnknown(RequestId id, UnknownReason reason) const
    {
        const Outcome *outcome = outcomeOf(id);
        return outcome != nullptr && *outcome == Outcome(OutcomeUnknown { reason });
    }
    bool isAnswered(RequestId id, std::uint16_t status = 200) const
    {
        const Outcome *outcome = outcomeOf(id);
        const auto *answered = outcome != nullptr ? std::get_if<Answered>(outcome) : nullptr;
        return answered != nullptr && answered->status == status;
    }

    RandomSource random { 7 };
    ManualClock clock;
    ServicePolicy policy;
    std::uint64_t configVersion = 0;
    std::uint64_t lastId = 0;
    Outbox<Router::Output> outbox;
    std::vector<Sent> sent;
    std::vector<ForwardCancel> cancels;
    std::vector<ClientResponse> answers;
    std::vector<RequestSample> samples;
    std::vector<AttemptStarted> started;
    std::vector<AttemptAbandoned> abandoned;
    Router router { FailureDomain("arima"), 8, random };

private:
    void collect()
    {
        for (Router::Output &output : outbox.take())
            std::visit(Overloaded {
                           [this](ClientResponse &item) { answers.push_back(std::move(item)); },
                           [this](RequestSample &item) { samples.push_back(std::move(item)); },
                           [this](AttemptStarted &item) { started.push_back(std::move(item)); },
                           [this](AttemptAbandoned &item) { abandoned.push_back(item); },
                           [](RouterDecision &) {},
                           [this](PeerSend &send) { collect(send); },
                       },
                       output);
    }

    void collect(PeerSend &send)
    {
        auto &message = std::get<RequestMessage>(send.message);
        if (auto *forward = std::get_if<ForwardRequest>(&message))
            sent.push_back({ send.to, std::move(*forward) });
        else if (const auto *cancel = std::get_if<ForwardCancel>(&message))
            cancels.push_back(*cancel);
    }
};

} // namespace camphorreach
