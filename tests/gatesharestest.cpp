// Replays of a gate's load in which organisations compete for its slots.
#include "../src/bench/meshmodel.h"

#include <camphorreach/result.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorreach {
namespace {

using bench::EventLoop;
using bench::Runner;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t slots = 9;
constexpr Duration meanServiceTime = milliseconds(160);
constexpr double capacity = slots / 0.160; // requests per second

struct Source
{
    std::string organisation; // empty for calls of backend servers
    double rate = 0; // requests per second
    bool repeatsAtOnce = false;
    std::string route = "status";
    Duration serviceTime = meanServiceTime;
    Duration target = milliseconds(500);
};

struct Tally
{
    std::size_t offered = 0;
    std::size_t inTime = 0; // since the client's first attempt
    std::size_t started = 0;

    Tally &operator+=(const Tally &other)
    {
        offered += other.offered;
        inTime += other.inTime;
        started += other.started;
        return *this;
    }
    [[nodiscard]] double share() const
    {
        return offered == 0 ? 0.0 : static_cast<double>(inTime) / static_cast<double>(offered);
    }
};

// A gate, its backend server and its clients in virtual time.
class GateReplay
{
public:
    GateReplay()
    {
        Gate::Limits limits;
        limits.needsAnnouncement = true;
        limits.rejectsEarly = true;
        limits.queue.isFair = true;
        m_gate = std::make_unique<Runner<Gate>>(
            m_loop, [this](Gate::Output &&output) { onOutput(output); }, limits,
            ServiceName("orders"), NetAddress { "127.0.0.1", 1 }, m_random);
        m_gate->process(BackendAnnounced {
            InstanceId("i-1"), ServiceName("orders"), BackendVersion("v1"), slots, true, {} });
    }

    // Poisson arrivals from all of them; the first three seconds are not counted.
    void replay(const std::vector<Source> &sources, Duration time)
    {
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->version = ConfigVersion(1);
        for (const Source &source : sources) {
            if (!source.organisation.empty())
                snapshot->organisations.push_back({ OrganisationName(source.organisation), {} });
        }
        m_gate->process(SnapshotChanged { snapshot });
        m_countsFrom = m_loop.now() + seconds(3);
        const TimePoint end = m_countsFrom + time;
        for (const Source &source : sources)
            generate(source, end);
        m_loop.runUntil(end + seconds(2));
    }

    [[nodiscard]] const Tally &of(const std::string &organisation)
    {
        return m_tallies[organisation];
    }

private:
    struct Client
    {
        Source source;
        TimePoint first {}; // arrival of its first attempt
        std::uint32_t attempts = 1;
        bool isCounted = false;
    };

    void generate(const Source &source, TimePoint end)
    {
        if (m_loop.now() >= end)
            return;
        Client client { source, m_loop.now() };
        client.isCounted = m_loop.now() >= m_countsFrom;
        m_tallies[source.organisation].offered += client.isCounted ? 1 : 0;
        send(client);
        const double gap = -std::log(1.0 - uniformFraction(m_random)) / source.rate;
        m_loop.after(scaled(seconds(1), gap), [this, source, end] { generate(source, end); });
    }

    void send(const Client &client)
    {
        const Duration passed = m_loop.now() - client.first;
        ForwardRequest request;
        request.id = RequestId(++m_lastId);
        request.service = ServiceName("orders");
        request.version = BackendVersion("v1");
        request.route = RouteName(client.source.route);
        request.isIdempotent = true;
        request.budget = milliseconds(1500) - passed;
        request.targetBudget = client.source.target; // entry nodes do not know the first attempt
        request.content = { "GET", "/", "", std::to_string(m_lastId) };
        request.organisation = OrganisationName(client.source.organisation);
        m_clients.emplace(request.id, client);
        m_gate->process(ForwardReceived { LinkId(1), std::move(request) });
    }

    void onOutput(Gate::Output &output)
    {
        if (const auto *call = std::get_if<BackendCall>(&output)) {
            const Client &client = m_clients.at(call->request.id);
            m_tallies[client.source.organisation].started += client.isCounted ? 1 : 0;
            m_loop.after(scaled(client.source.serviceTime, 0.5 + uniformFraction(m_random)),
                         [this, id = call->id] {
                             m_gate->process(BackendResult { id, Answered {} });
                         });
        } else if (const auto *reply = std::get_if<ForwardReply>(&output)) {
            const auto found = m_clients.find(reply->answer.id);
            Client client = found->second;
            m_clients.erase(found);
            if (const auto *notRun = std::get_if<NotRun>(&reply->answer.outcome))
                comeBack(client, notRun->retryAfter);
            else if (client.isCounted && m_loop.now() - client.first <= client.source.target)
                ++m_tallies[client.source.organisation].inTime;
        }
    }

    // Two more attempts after the time that the gate named, or fifty with a pause of 5 ms.
    void comeBack(Client client, Duration retryAfter)
    {
        const Duration pause = client.source.repeatsAtOnce
            ? milliseconds(5)
            : std::max<Duration>(milliseconds(60), retryAfter);
        const std::uint32_t maxAttempts = client.source.repeatsAtOnce ? 51 : 3;
        if (client.attempts >= maxAttempts
            || m_loop.now() + pause - client.first >= milliseconds(1400))
            return;
        ++client.attempts;
        m_loop.after(pause, [this, client] { send(client); });
    }

    EventLoop m_loop;
    RandomSource m_random { 5 };
    std::unique_ptr<Runner<Gate>> m_gate;
    std::map<std::string, Tally> m_tallies; // by organisation
    std::map<RequestId, Client> m_clients;
    TimePoint m_countsFrom {};
    std::uint64_t m_lastId = 0;
};

class GateSharesFixture
{
protected:
    // Nine organisations at their usual, and one at a multiple of it.
    static std::vector<Source> tenOrganisations(double usual, double hotFactor)
    {
        std::vector<Source> sources { { "hot", hotFactor * usual } };
        for (int i = 0; i < 9; ++i)
            sources.push_back({ "calm-" + std::to_string(i), usual });
        return sources;
    }
    static Tally calmOf(GateReplay &world)
    {
        Tally sum;
        for (int i = 0; i < 9; ++i)
            sum += world.of("calm-" + std::to_string(i));
        return sum;
    }

    GateReplay world;
    GateReplay baseline;
};

// Guards against an organisation that takes the room of the others with more requests: these are to
// be served as often as if it sent its usual.
TEST_CASE_METHOD(GateSharesFixture, "GateShares_oneSendsSevenTimesItsUsual_othersAreServedAsBefore")
{
    const double ofCapacity = GENERATE(1.0, 1.6);
    const double usual = ofCapacity * capacity / 16;
    baseline.replay(tenOrganisations(usual, 1), seconds(60));
    world.replay(tenOrganisations(usual, 7), seconds(60));
    const Tally calm = calmOf(world);
    INFO("load " << ofCapacity << " calm in time " << calm.share() << ", before "
                 << calmOf(baseline).share() << "; hot in time " << world.of("hot").inTime << " of "
                 << world.of("hot").offered << ", started " << world.of("hot").started);
    CHECK(calm.share() >= calmOf(baseline).share() - 0.02);
    // What the others leave is used.
    CHECK(static_cast<double>(world.of("hot").started)
          >= 0.85 * std::min(7 * usual, capacity - 9 * usual) * 60);
}

// Guards against an organisation of few requests that is served less often than large ones.
TEST_CASE_METHOD(GateSharesFixture, "GateShares_smallAmongLarge_isServedAtLeastAsOften")
{
    world.replay({ { "a", 0.5 * capacity },
                   { "b", 0.5 * capacity },
                   { "c", 0.6 * capacity },
                   { "small", 1.0 } },
                 seconds(60));
    const double small = world.of("small").share();
    for (const char *large : { "a", "b", "c" }) {
        INFO(large << " " << world.of(large).share() << " small " << small);
        CHECK(small >= world.of(large).share());
    }
    CHECK(small >= 0.97);
}

// Guards against clients that get more by repeating at once than others that wait as they are told.
TEST_CASE_METHOD(GateSharesFixture, "GateShares_clientsRepeatAtOnce_getNoMoreThanThoseThatWait")
{
    world.replay({ { "patient", 0.8 * capacity }, { "pressing", 0.8 * capacity, true } },
                 seconds(30));
    INFO("started: patient " << world.of("patient").started << " pressing "
                             << world.of("pressing").started);
    CHECK(static_cast<double>(world.of("pressing").started)
          <= 1.05 * static_cast<double>(world.of("patient").started));
}

// Guards against calls of running requests that share the room as if they were one organisation
// among many.
TEST_CASE_METHOD(GateSharesFixture,
                 "GateShares_manyOrganisationsWait_callsOfRunningRequestsGoFirst")
{
    std::vector<Source> sources { { "", capacity, false, "lookup", milliseconds(40),
                                    milliseconds(150) } };
    for (int i = 0; i < 40; ++i)
        sources.push_back({ "o-" + std::to_string(i), 1.2 * capacity / 40 });
    world.replay(sources, seconds(30));
    INFO("calls in time " << world.of("").inTime << " of " << world.of("").offered);
    CHECK(world.of("").share() >= 0.97);
}

// Guards against calls that starve new requests at a service which calls alone overload.
TEST_CASE_METHOD(GateSharesFixture, "GateShares_callsExceedCapacity_newRequestsAreNotStarved")
{
    world.replay({ { "", 6 * capacity, false, "lookup", milliseconds(40), milliseconds(150) },
                   { "a", 0.4 * capacity },
                   { "b", 0.4 * capacity } },
                 seconds(30));
    for (const char *organisation : { "a", "b" }) {
        INFO(organisation << " started " << world.of(organisation).started << " of "
                          << world.of(organisation).offered);
        CHECK(static_cast<double>(world.of(organisation).started) >= 0.08 * capacity * 30);
    }
}

} // namespace
} // namespace camphorreach
