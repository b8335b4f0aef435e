// Callers over Boost.Beast, and the schedule of events.
#include "soakfixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <future>
#include <random>

namespace camphorreach {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using impl::HttpRequest;
using impl::HttpResponse;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

// Bound only a test that would otherwise hang.
constexpr auto answerLimit = seconds(15);
constexpr auto exitLimit = seconds(30);

std::uint64_t seedFromEnvironment()
{
    const char *text = std::getenv("CAMPHORREACH_SOAK_SEED");
    return text != nullptr ? std::stoull(text) : 1;
}

void pause(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// The service time of "/bags/MS".
milliseconds serviceTime(const std::string &target)
{
    return milliseconds(std::stoi(target.substr(target.rfind('/') + 1)));
}

// A caller's kept-alive connection.
class KeptConnection
{
public:
    explicit KeptConnection(const NetAddress &address) : m_stream(m_io)
    {
        beast::error_code error;
        m_stream.connect({ asio::ip::make_address(address.host), address.port }, error);
        m_isOpen = !error;
    }

    [[nodiscard]] bool isOpen() const { return m_isOpen; }
    // Bytes have come that belong to no answer.
    [[nodiscard]] bool hasExtraBytes() const { return m_buffer.size() > 0; }

    // Waits for the answer; status 0 when the connection ended without a whole one.
    HttpResponse ask(const HttpRequest &asked)
    {
        http::request<http::string_body> request(http::string_to_verb(asked.method), asked.target,
                                                 11);
        for (const auto &header : asked.headers)
            request.set(header.name, header.value);
        request.body() = asked.body;
        request.prepare_payload();
        http::response<http::string_body> answer;
        beast::error_code error;
        const auto done = [&](beast::error_code result, std::size_t) { error = result; };
        m_stream.expires_after(answerLimit);
        http::async_write(m_stream, request, done);
        runAll();
        // An answer may have come although not all could be written.
        http::async_read(m_stream, m_buffer, answer, done);
        runAll();
        m_isOpen = !error && answer.keep_alive();
        if (error)
            return { 0, {}, "" };
        HttpResponse result { static_cast<std::uint16_t>(answer.result_int()), {}, answer.body() };
        for (const auto &field : answer)
            result.headers.push_back(
                { std::string(field.name_string()), std::string(field.value()) });
        return result;
    }

private:
    void runAll()
    {
        m_io.restart();
        m_io.run();
    }

    asio::io_context m_io;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_isOpen = false;
};

} // namespace

/// Choices that are the same for the same seed.
class Dice
{
public:
    Dice(std::uint64_t seed, std::uint64_t stream) : m_engine(seed * 1000 + stream) { }

    [[nodiscard]] int below(int end)
    {
        return static_cast<int>(m_engine() % static_cast<std::uint64_t>(end));
    }
    [[nodiscard]] bool isOneIn(int count) { return below(count) == 0; }

private:
    std::mt19937_64 m_engine;
};

SoakFixture::SoakFixture() : seed(seedFromEnvironment())
{
    const std::vector<NetAddress> addresses = freeAddresses(4 * sideCount);
    for (std::size_t i = 0; i < sideCount; ++i) {
        Side side { i, {}, nullptr };
        side.server = std::make_unique<LoopbackServer>(
            [this, i](LoopbackServer &server, impl::ExchangeId id, HttpRequest &&request) {
                const std::string attempt(request.header(attemptIdHeader));
                if (attempt.empty()) { // a health check
                    server.respond(id, { 200, { { "X-Camphorreach-Instance-Id", serverId(i) } } });
                } else if (request.header("X-Camphorreach-Target-Instance") != serverId(i)) {
                    server.respond(id, { 421, { { attemptIdHeader, attempt } } });
                } else {
                    referee.onRun(i, attempt, request.target.starts_with("/bags/"));
                    server.respondLater(id, signedAnswer(request), serviceTime(request.target));
                }
            });
        side.settings.instance = InstanceId("node-" + std::to_string(i));
        side.settings.domain = FailureDomain("arima");
        side.settings.guestAddress = addresses[4 * i];
        side.settings.peerAddress = addresses[4 * i + 1];
        side.settings.readyAddress = addresses[4 * i + 2];
        side.settings.announceAddress = addresses[4 * i + 3];
        side.settings.backendServer = { side.server->address(), ServiceName("orders") };
        side.settings.platform = m_store.address();
        m_sides.push_back(std::move(side));
    }
    m_announcer.start();
}

SoakFixture::~SoakFixture()
{
    m_announcer.stop();
}

void SoakFixture::run(int rounds)
{
    std::vector<std::thread> schedules;
    std::vector<std::thread> traffic;
    for (const Side &side : m_sides) {
        schedules.emplace_back([this, &side, rounds] {
            Dice dice(seed, side.number);
            for (int i = 0; i < rounds; ++i)
                runRound(side, dice);
        });
        traffic.emplace_back([this, &side] { announce(side); });
        for (std::size_t i = 0; i < callersPerSide; ++i)
            traffic.emplace_back([this, &side, i] { call(side, i); });
    }
    for (std::thread &thread : schedules)
        thread.join();
    m_isOver = true;
    for (std::thread &thread : traffic)
        thread.join();
}

void SoakFixture::runRound(const Side &side, Dice &dice)
{
    std::unique_lock starting(m_startMutex);
    SidecarProcess process(side.settings);
    starting.unlock();
    referee.note(Referee::Kind::Event, side.number, "start");
    std::promise<bool> started;
    // Reads the log until the process ends, so that its pipe never fills.
    auto ended = std::async(std::launch::async, [&] {
        bool hasStarted = false;
        while (const auto line = process.nextLine()) {
            referee.note(Referee::Kind::Log, side.number, *line);
            if (!hasStarted && line->find("event=started") != std::string::npos) {
                hasStarted = true;
                started.set_value(true);
            }
        }
        if (!hasStarted)
            started.set_value(false);
    });
    const bool isRunning = started.get_future().get();
    referee.endHarm(side.number);
    bool isKilled = false;
    if (!isRunning) {
        referee.fail("EXIT node-" + std::to_string(side.number) + " did not start");
        send(side, process, SIGKILL);
    } else {
        pause(dice.isOneIn(4) ? 0 : 1000 + dice.below(2500));
        disturb(Phase::Serving, side, process, dice);
        isKilled = side.number == harmedSide && dice.isOneIn(2);
        if (!isKilled || dice.isOneIn(2)) {
            send(side, process, dice.isOneIn(6) ? SIGINT : SIGTERM);
            disturb(Phase::Draining, side, process, dice);
        }
        if (isKilled) {
            referee.beginHarm(side.number);
            send(side, process, SIGKILL);
        }
    }
    if (ended.wait_for(exitLimit) == std::future_status::timeout) {
        referee.fail("EXIT node-" + std::to_string(side.number) + " does not stop");
        referee.beginHarm(side.number);
        send(side, process, SIGKILL);
    }
    ended.get();
    const std::optional<int> code = process.exitCode();
    referee.note(Referee::Kind::Event, side.number,
                 "ended, code " + (code ? std::to_string(*code) : "none"));
    if (!isKilled && code != 0)
        referee.fail("EXIT node-" + std::to_string(side.number) + " ends with "
                     + (code ? "code " + std::to_string(*code) : "a signal"));
    if (!dice.isOneIn(3))
        pause(dice.below(500));
}

void SoakFixture::disturb(Phase phase, const Side &side, SidecarProcess &process, Dice &dice)
{
    for (int count = dice.below(6); count > 0; --count) {
        if (!dice.isOneIn(3))
            pause(dice.isOneIn(2) ? dice.below(20) : dice.below(1200));
        const int choice = dice.below(phase == Phase::Draining ? 8 : 5);
        if (choice == 0 && side.number == harmedSide) {
            freeze(side, process, dice);
        } else if (choice == 1) {
            referee.note(Referee::Kind::Event, side.number, "settings changed");
            process.touchSettings();
        } else if (choice == 2) {
            referee.note(Referee::Kind::Event, side.number, "settings broken");
            process.touchSettings("[[[\n");
        } else if (choice == 3) {
            for (int storm = 10 + dice.below(30); storm > 0; --storm)
                process.send(SIGHUP);
            referee.note(Referee::Kind::Event, side.number, "SIGHUP storm");
        } else {
            constexpr std::array signals { SIGHUP, SIGTERM, SIGTERM, SIGINT };
            send(side, process, choice < 4 ? SIGHUP : signals.at(choice - 4U));
        }
    }
}

void SoakFixture::send(const Side &side, SidecarProcess &process, int signal)
{
    referee.note(Referee::Kind::Event, side.number, "signal " + std::to_string(signal));
    process.send(signal);
}

void SoakFixture::freeze(const Side &side, SidecarProcess &process, Dice &dice)
{
    referee.beginHarm(side.number);
    send(side, process, SIGSTOP);
    pause(dice.below(1500));
    send(side, process, SIGCONT);
    referee.endHarm(side.number);
}

// Repeats, because a node that has started again knows nothing of before.
void SoakFixture::announce(const Side &side)
{
    for (std::uint64_t sequence = 1; !m_isOver; ++sequence) {
        (void)callOnce(m_announcer, side.settings.announceAddress,
                       announcementOf(serverId(side.number), side.settings.backendServer.address,
                                      sequence, "ready"));
        pause(100);
    }
}

void SoakFixture::call(const Side &side, std::size_t caller)
{
    Dice dice(seed, 100 + side.number * callersPerSide + caller);
    std::unique_ptr<KeptConnection> connection;
    for (int i = 0; i < maxAsksPerCaller && !m_isOver; ++i) {
        if (!connection || !connection->isOpen())
            connection = std::make_unique<KeptConnection>(side.settings.guestAddress);
        if (!connection->isOpen()) {
            pause(20);
            continue;
        }
        const Ask ask = makeAsk(side, caller, i, dice);
        const HttpResponse answer = connection->ask(ask.request);
        referee.onAnswer(ask, answer);
        if (connection->hasExtraBytes())
            referee.fail("MIXED bytes follow the answer to " + ask.id);
        pause(promisesNotRun(answer.status) ? 20 : dice.isOneIn(20) ? 300 : dice.below(15));
    }
}

Ask SoakFixture::makeAsk(const Side &side, std::size_t caller, int number, Dice &dice)
{
    constexpr int longBody = 40'000;
    Ask ask;
    ask.id = "n" + std::to_string(side.number) + "c" + std::to_string(caller) + "r"
        + std::to_string(number);
    ask.side = side.number;
    ask.isRunOnce = dice.isOneIn(2);
    const int workMs = dice.isOneIn(12) ? 100 + dice.below(500) : 1 + dice.below(5);
    const auto extra = static_cast<std::size_t>(dice.isOneIn(8) ? dice.below(longBody) : 10);
    ask.request
        = requestOf(ask.id, "POST", (ask.isRunOnce ? "/bags/" : "/hats/") + std::to_string(workMs),
                    ask.id + std::string(extra, 'x'));
    ask.sentAt = steady_clock::now();
    return ask;
}

} // namespace camphorreach
