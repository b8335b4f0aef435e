// Fixture with a gate under a virtual clock, which collects the gate's outputs.
#pragma once

#include <camphorreach/gate.h>
#include <camphorreach/result.h>

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

namespace camphorreach {

class GateFixture
{
protected:
    static Gate::Limits defaultLimits()
    {
        Gate::Limits limits;
        limits.slots = 2;
        limits.queue.count = 4;
        limits.results.mayFollowRestart = false;
        return limits;
    }

    explicit GateFixture(Gate::Limits limits = defaultLimits())
        : gate(limits, ServiceName("orders"), NetAddress { "127.0.0.1", 1 }, random)
    { }

    template <typename Input>
    void process(Input input)
    {
        gate.process(std::move(input), now, outbox);
        collect();
    }

    // Advances the clock and runs the timers that are due.
    void pass(Duration step)
    {
        now += step;
        if (const auto deadline = gate.nextDeadline(); deadline && *deadline <= now)
            gate.advance(now, outbox);
        collect();
    }

    static ForwardRequest request(std::uint64_t id, const std::string &body = "")
    {
        ForwardRequest result;
        result.id = RequestId(id);
        result.route = RouteName("bags");
        result.isIdempotent = true;
        result.budget = std::chrono::seconds(1);
        result.content = { "POST", "/bags", "", body.empty() ? std::to_string(id) : body };
        return result;
    }

    static ForwardRequest order(std::uint64_t id, const std::string &key = "",
                                const std::string &body = "12 bags")
    {
        ForwardRequest result = request(id, body);
        result.isIdempotent = false;
        result.key = IdempotencyKey(key);
        return result;
    }

    void send(ForwardRequest item, std::uint64_t link = 1)
    {
        process(ForwardReceived { LinkId(link), std::move(item) });
    }

    void answer(std::uint64_t call, const std::string &body = "done")
    {
        process(BackendResult { CallId(call), Answered { 200, "", body } });
    }

    void fail(std::uint64_t call, BackendFailure failure)
    {
        process(BackendResult { CallId(call), failure });
    }

    // "answered BODY", "not-run REASON", "unknown REASON", or "none" for the last reply to `id`.
    [[nodiscard]] std::string outcomeOf(std::uint64_t id) const
    {
        std::string text = "none";
        for (const ForwardReply &reply : replies) {
            if (reply.answer.id != RequestId(id))
                continue;
            text = nameOf(reply.answer.outcome);
            if (const auto *answered = std::get_if<Answered>(&reply.answer.outcome))
                text += " " + answered->body;
            if (const auto *notRun = std::get_if<NotRun>(&reply.answer.outcome))
                text += std::string(" ") + toText(notRun->reason);
            if (const auto *unknown = std::get_if<OutcomeUnknown>(&reply.answer.outcome))
                text += std::string(" ") + toText(unknown->reason);
        }
        return text;
    }

    [[nodiscard]] bool isMarkedSuspect(std::uint64_t id) const
    {
        for (const ForwardReply &reply : replies) {
            if (reply.answer.id == RequestId(id) && reply.answer.isCrashSuspect)
                return true;
        }
        return false;
    }

    // Ids of the dispatched requests, in order.
    [[nodiscard]] std::vector<std::uint64_t> dispatchedIds() const
    {
        std::vector<std::uint64_t> ids;
        for (const BackendCall &call : calls)
            ids.push_back(call.request.id.value());
        return ids;
    }

    using Ids = std::vector<std::uint64_t>;

    RandomSource random { 1 };
    TimePoint now { std::chrono::seconds(1000) };
    Gate gate;
    Outbox<Gate::Output> outbox;
    std::vector<ForwardReply> replies;
    std::vector<BackendCall> calls;
    std::vector<BackendCancel> cancels;
    std::vector<PeerSend> sent;
    std::vector<HealthCall> healthCalls;
    std::vector<BackendHealth> healths;
    int drainReports = 0;

private:
    void collect()
    {
        for (Gate::Output &output : outbox.take()) {
            std::visit(Overloaded {
                           [this](ForwardReply &reply) { replies.push_back(std::move(reply)); },
                           [this](BackendCall &call) { calls.push_back(std::move(call)); },
                           [this](BackendCancel &cancel) { cancels.push_back(cancel); },
                           [this](PeerSend &send) { sent.push_back(std::move(send)); },
                           [this](GateDrained &) { ++drainReports; },
                           [](GateDecision &) {},
                           [this](HealthCall &call) { healthCalls.push_back(std::move(call)); },
                           [this](BackendHealth &health) { healths.push_back(std::move(health)); },
                       },
                       output);
        }
    }
};

} // namespace camphorreach
