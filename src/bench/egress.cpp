// Benchmark "egress": what a machine serves when long responses ask for more than its bandwidth.
#include "benchcommands.h"
#include "meshmodel.h"

#include <camphorreach/egresspacer.h>

#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <cxxopts.hpp>
#include <deque>
#include <iostream>

namespace camphorreach::bench {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ByteRate bandwidth { 1'375'000 }; // 11 Mbit/s
constexpr ByteRate usableBandwidth { 1'168'750 }; // the part that a node of the mesh uses
constexpr std::uint32_t slots = 12;
constexpr Duration runTime = seconds(60);
constexpr Duration probeInterval = milliseconds(50);
constexpr ByteCount probeSize { 200 };
constexpr std::array demands { 0.8, 1.1, 1.5, 3.0 }; // of long responses, relative to the bandwidth

struct RequestKind
{
    const char *route = "";
    ByteCount size; // mean of the response
    Duration serviceTime; // mean
    Duration target;
    Duration deadline;
    double worth = 1.0; // within the target
    double lateWorth = 0.3;
};

constexpr RequestKind longKind {
    "export", ByteCount(90'000), milliseconds(100), milliseconds(800), milliseconds(2500), 1.0, 0.3
};
constexpr RequestKind shortKind {
    "read", ByteCount(5'000), milliseconds(50), milliseconds(300), milliseconds(1200), 2.0, 0.6
};
constexpr double shortPerSecond = 25;

struct Served
{
    std::uint64_t sent = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    double worth = 0.0; // earned
    double owed = 0.0;
};

struct Results
{
    Served longResponses;
    Served shortResponses;
    Duration probeP99 {};
};

// One machine: a gate, its backend server, and a network that sends bytes in the order in which
// they are handed over. Without `isManaged`, the gate knows no bandwidth and nothing is paced.
class Machine
{
public:
    Machine(std::uint64_t seed, double demand, bool isManaged)
        : m_isManaged(isManaged), m_random(seed), m_gateRandom(seed + 1),
          m_pacer(isManaged ? usableBandwidth : ByteRate()),
          m_gate(
              m_loop, [this](Gate::Output &&output) { onGateOutput(std::move(output)); },
              gateLimits(isManaged), ServiceName("ledger"), NetAddress { "127.0.0.1", 1 },
              m_gateRandom),
          m_longPerSecond(demand * static_cast<double>(bandwidth.value())
                          / static_cast<double>(longKind.size.value()))
    { }

    Results run()
    {
        const TimePoint end = m_loop.now() + runTime;
        generate(longKind, m_longPerSecond, m_results.longResponses, end);
        generate(shortKind, shortPerSecond, m_results.shortResponses, end);
        probe(end);
        m_loop.runUntil(end + longKind.deadline);
        std::ranges::sort(m_probeWaits);
        if (!m_probeWaits.empty())
            m_results.probeP99 = m_probeWaits[m_probeWaits.size() * 99 / 100];
        return m_results;
    }

private:
    struct Pending
    {
        const RequestKind *kind = nullptr;
        Served *served = nullptr;
        TimePoint sentAt {};
    };
    struct LongMessage
    {
        RequestId id;
        std::uint64_t unwritten = 0;
    };

    static Gate::Limits gateLimits(bool isManaged)
    {
        Gate::Limits limits;
        limits.slots = slots;
        limits.rejectsEarly = true;
        limits.queue.isFair = true;
        limits.results.mayFollowRestart = false;
        if (isManaged)
            limits.egress.rate = usableBandwidth;
        return limits;
    }

    double exponential() { return -std::log(1.0 - uniformFraction(m_random)); }

    // Poisson arrivals.
    void generate(const RequestKind &kind, double perSecond, Served &served, TimePoint end)
    {
        if (m_loop.now() >= end)
            return;
        m_loop.after(Duration(std::llround(exponential() / perSecond * 1e6)),
                     [this, &kind, perSecond, &served, end] {
                         send(kind, served);
                         generate(kind, perSecond, served, end);
                     });
    }

    void send(const RequestKind &kind, Served &served)
    {
        ++served.sent;
        served.owed += kind.worth;
        ForwardRequest request;
        request.id = RequestId(m_nextId++);
        request.route = RouteName(kind.route);
        request.isIdempotent = true;
        request.budget = kind.deadline;
        request.targetBudget = kind.target;
        request.content.body = std::to_string(request.id.value());
        m_pending.emplace(request.id, Pending { &kind, &served, m_loop.now() });
        m_gate.process(ForwardReceived { LinkId(1), std::move(request) });
    }

    void probe(TimePoint end)
    {
        if (m_loop.now() >= end)
            return;
        m_probeWaits.push_back(std::max(Duration::zero(), m_networkIdleAt - m_loop.now()));
        handOver(probeSize.value());
        m_loop.after(probeInterval, [this, end] { probe(end); });
    }

    void onGateOutput(Gate::Output &&output)
    {
        if (const auto *call = std::get_if<BackendCall>(&output))
            run(*call);
        else if (const auto *reply = std::get_if<ForwardReply>(&output))
            onReply(reply->answer);
    }

    void run(const BackendCall &call)
    {
        const RequestKind &kind = *m_pending.at(call.request.id).kind;
        const double factor = 0.5 + exponential() / 2;
        const auto serviceTime = scaled(kind.serviceTime, factor);
        const auto size = static_cast<std::size_t>(static_cast<double>(kind.size.value())
                                                   * (0.5 + exponential() / 2));
        m_loop.after(serviceTime, [this, id = call.id, size] {
            m_gate.process(BackendResult { id, Answered { 200, "", std::string(size, 'x') } });
        });
    }

    void onReply(const ForwardResponse &response)
    {
        const auto *answered = std::get_if<Answered>(&response.outcome);
        if (answered == nullptr) {
            const auto found = m_pending.find(response.id);
            found->second.served->refused
                += std::holds_alternative<NotRun>(response.outcome) ? 1 : 0;
            m_pending.erase(found);
            return;
        }
        const std::uint64_t size = answered->body.size();
        if (!m_isManaged || size < longMessageSize.value()) {
            deliver(response.id, handOver(size));
            return;
        }
        m_longMessages.push_back({ response.id, size });
        m_waitingBytes += size;
        reportBacklog();
        writePieces();
    }

    void writePieces()
    {
        while (!m_longMessages.empty() && m_pacer.nextPiece() <= m_loop.now()) {
            LongMessage &message = m_longMessages.front();
            const std::uint64_t size = std::min(message.unwritten, m_pacer.pieceSize().value());
            const TimePoint sentAt = handOver(size);
            message.unwritten -= size;
            m_waitingBytes -= size;
            if (message.unwritten > 0)
                continue;
            deliver(message.id, sentAt);
            m_longMessages.pop_front();
            reportBacklog();
        }
        if (!m_longMessages.empty() && !std::exchange(m_isTimerSet, true))
            m_loop.at(m_pacer.nextPiece(), [this] {
                m_isTimerSet = false;
                writePieces();
            });
    }

    // Returns when the bytes have been sent.
    TimePoint handOver(std::uint64_t bytes)
    {
        m_pacer.onWritten(ByteCount(bytes), m_loop.now());
        m_networkIdleAt
            = std::max(m_networkIdleAt, m_loop.now()) + transferTime(ByteCount(bytes), bandwidth);
        return m_networkIdleAt;
    }

    void deliver(RequestId id, TimePoint arrival)
    {
        const Pending pending = m_pending.at(id);
        m_pending.erase(id);
        const Duration elapsed = arrival - pending.sentAt;
        if (elapsed <= pending.kind->target) {
            ++pending.served->inTime;
            pending.served->worth += pending.kind->worth;
        } else if (elapsed <= pending.kind->deadline) {
            ++pending.served->late;
            pending.served->worth += pending.kind->lateWorth;
        }
    }

    void reportBacklog()
    {
        const Duration drainTime = m_pacer.drainTime(ByteCount(m_waitingBytes), m_loop.now());
        m_loop.after(Duration::zero(),
                     [this, drainTime] { m_gate.process(EgressBacklogChanged { drainTime }); });
    }

    const bool m_isManaged;
    EventLoop m_loop;
    RandomSource m_random;
    RandomSource m_gateRandom;
    EgressPacer m_pacer;
    Runner<Gate> m_gate;
    const double m_longPerSecond;
    std::unordered_map<RequestId, Pending> m_pending;
    std::deque<LongMessage> m_longMessages;
    std::uint64_t m_waitingBytes = 0; // unwritten bytes of m_longMessages
    bool m_isTimerSet = false;
    TimePoint m_networkIdleAt {};
    std::vector<Duration> m_probeWaits;
    std::uint64_t m_nextId = 1;
    Results m_results;
};

json::object toJson(const Served &served)
{
    const auto part = [&](std::uint64_t count) {
        return served.sent == 0 ? 0.0
                                : static_cast<double>(count) / static_cast<double>(served.sent);
    };
    return { { "sent", served.sent },
             { "in_time", part(served.inTime) },
             { "late", part(served.late) },
             { "refused", part(served.refused) },
             { "worth", served.owed == 0.0 ? 0.0 : served.worth / served.owed } };
}

json::object toJson(const Results &results)
{
    return { { "long", toJson(results.longResponses) },
             { "short", toJson(results.shortResponses) },
             { "probe_p99_ms",
               std::chrono::duration<double, std::milli>(results.probeP99).count() } };
}

} // namespace

int runEgress(int argc, char **argv)
{
    cxxopts::Options options("camphorreach-bench egress",
                             "Measures what a machine serves when its bandwidth is full.");
    options.add_options()("seed", "random seed",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "print JSON")("h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const auto seed = arguments["seed"].as<std::uint64_t>();
    json::array rows;
    for (const double demand : demands) {
        for (const bool isManaged : { false, true }) {
            json::object row = toJson(Machine(seed, demand, isManaged).run());
            row["demand"] = demand;
            row["is_managed"] = isManaged;
            rows.emplace_back(std::move(row));
        }
    }
    if (arguments.count("json") > 0) {
        std::cout << json::serialize(json::object { { "seed", seed }, { "rows", rows } }) << "\n";
        return 0;
    }
    for (const json::value &row : rows)
        std::cout << json::serialize(row) << "\n";
    return 0;
}

} // namespace camphorreach::bench
