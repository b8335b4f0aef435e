// Judgement of what was seen, callers over Boost.Beast, and the schedule of events.
#include "soakfixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <future>
#include <sstream>

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

// So long after a kill or a freeze, requests at the node are not judged for loss.
constexpr auto calmTime = seconds(5);
// Bound only a test that would otherwise hang.
constexpr auto answerLimit = seconds(15);
constexpr auto exitLimit = seconds(30);

constexpr const char *idHeader = "X-Camphorreach-Attempt-Id";

std::uint64_t seedFromEnvironment()
{
    const char *text = std::getenv("CAMPHORREACH_SOAK_SEED");
    return text != nullptr ? std::stoull(text) : 1;
}

void pause(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

bool promisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

std::string serverId(std::size_t side)
{
    return "i-" + std::to_string(side);
}

// The service time of "/bags/MS".
milliseconds serviceTime(const std::string &target)
{
    return milliseconds(std::stoi(target.substr(target.rfind('/') + 1)));
}

} // namespace

void Referee::noteEvent(std::size_t side, const std::string &what)
{
    const std::lock_guard lock(m_mutex);
    const Time now = steady_clock::now();
    m_events.emplace_back(now, timeText(now) + " node-" + std::to_string(side) + " " + what);
    addLocked(side, what);
}

void Referee::noteLog(std::size_t side, const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    addLocked(side, "log " + line);
}

void Referee::beginHarm(std::size_t side)
{
    const std::lock_guard lock(m_mutex);
    m_harms.push_back({ side, steady_clock::now() });
}

void Referee::endHarm(std::size_t side)
{
    const std::lock_guard lock(m_mutex);
    for (Harm &harm : m_harms) {
        if (harm.side == side)
            harm.to = std::min(harm.to, steady_clock::now());
    }
}

void Referee::onRun(std::size_t side, const std::string &id, bool isRunOnce)
{
    const std::lock_guard lock(m_mutex);
    Attempt &attempt = m_attempts[id];
    attempt.sides.push_back(side);
    if (isRunOnce && attempt.sides.size() > 1)
        failLocked("TWICE " + id + " runs again, at " + serverId(side), steady_clock::now());
    if (isRunOnce && attempt.isRefused)
        failLocked("REFUSED " + id + " runs after its refusal", steady_clock::now());
}

void Referee::onAnswer(const Ask &ask, const HttpResponse &answer)
{
    const std::lock_guard lock(m_mutex);
    const Time now = steady_clock::now();
    ++m_statuses[answer.status];
    const auto found = m_attempts.find(ask.id);
    const bool hasRun = found != m_attempts.end();
    if (const auto id = answer.header(idHeader); !id.empty() && id != ask.id)
        failLocked("MIXED " + ask.id + " gets the answer to " + std::string(id), now);
    if (answer.status == 200) {
        checkSuccess(ask, answer);
    } else if (promisesNotRun(answer.status)) {
        if (ask.isRunOnce) {
            if (hasRun)
                failLocked("REFUSED " + ask.id + " has run", now);
            m_attempts[ask.id].isRefused = true;
        } else if (hasRun) {
            ++m_lateRefusals;
        }
    } else if (answer.status == 502 || answer.status == 504) {
        // At the route's timeout, an answer of the node's own is due.
        if (answer.status == 502 || now - ask.sentAt < milliseconds(900))
            m_unanswered.push_back(
                { ask.id, ask.side, ask.sentAt, now, "answered " + std::to_string(answer.status) });
    } else {
        failLocked("STATUS " + ask.id + " gets " + std::to_string(answer.status), now);
    }
}

void Referee::checkSuccess(const Ask &ask, const HttpResponse &answer)
{
    const Attempt &attempt = m_attempts[ask.id];
    const std::string head = ask.request.method + " " + ask.request.target + " ";
    const bool isOwn = answer.header(idHeader) == ask.id
        && answer.header("X-Camphorreach-Response-Seal") == "seal"
        && std::ranges::any_of(attempt.sides, [&](std::size_t side) {
                           return answer.body == head + serverId(side) + " " + ask.request.body;
                       });
    if (!isOwn)
        failLocked("MIXED " + ask.id + " gets " + std::to_string(answer.body.size())
                       + " bytes: " + answer.body.substr(0, 60),
                   steady_clock::now());
    ++m_served[ask.isRunOnce];
}

void Referee::onClosed(const Ask &ask)
{
    const std::lock_guard lock(m_mutex);
    ++m_statuses[0];
    m_unanswered.push_back({ ask.id, ask.side, ask.sentAt, steady_clock::now(), "closed" });
}

void Referee::settle()
{
    const std::lock_guard lock(m_mutex);
    for (const Unanswered &lost : m_unanswered) {
        const auto found = m_attempts.find(lost.id);
        if (found == m_attempts.end())
            continue;
        const auto &sides = found->second.sides;
        const bool isJudged = isCalm(lost.side, lost.from, lost.to)
            && std::ranges::all_of(sides, [&](std::size_t side) {
                                  return isCalm(side, lost.from, lost.to);
                              });
        if (isJudged)
            failLocked("LOST " + lost.id + " " + lost.how + " at node-" + std::to_string(lost.side)
                           + ", sent " + timeText(lost.from) + ", run by " + serverId(sides.back()),
                       lost.to);
        else
            ++m_runAndClosed;
    }
}

std::string Referee::failures() const
{
    std::string text;
    for (const std::string &failure : m_failures)
        text += failure + "\n";
    return text;
}

std::string Referee::summary() const
{
    std::ostringstream text;
    text << "run-once served " << m_served.at(true) << ", idempotent served " << m_served.at(false);
    for (const auto &[status, count] : m_statuses)
        text << ", status " << status << ": " << count;
    text << ", unanswered: " << m_unanswered.size()
         << ", of those run but harmed: " << m_runAndClosed
         << ", idempotent refused after a run: " << m_lateRefusals;
    return text.str();
}

void Referee::writeTimeline(const std::string &file) const
{
    std::ofstream out(file);
    out << summary() << "\n" << failures();
    for (const std::string &line : m_timeline)
        out << line << "\n";
}

void Referee::fail(const std::string &what)
{
    const std::lock_guard lock(m_mutex);
    failLocked(what, steady_clock::now());
}

void Referee::failLocked(const std::string &what, Time at)
{
    m_failures.push_back(timeText(at) + " " + what + "\n" + eventsBefore(at));
}

void Referee::addLocked(std::size_t side, const std::string &text)
{
    m_timeline.push_back(timeText(steady_clock::now()) + " node-" + std::to_string(side) + " "
                         + text);
}

bool Referee::isCalm(std::size_t side, Time from, Time to) const
{
    return std::ranges::none_of(m_harms, [&](const Harm &harm) {
        return harm.side == side && harm.from <= to
            && (harm.to == Time::max() || harm.to + calmTime >= from);
    });
}

std::string Referee::eventsBefore(Time at) const
{
    constexpr std::ptrdiff_t shown = 10;
    const auto end
        = std::ranges::find_if(m_events, [&](const auto &event) { return event.first > at; });
    std::string text;
    for (auto i = end - std::min(shown, end - m_events.begin()); i != end; ++i)
        text += "    " + i->second + "\n";
    return text;
}

std::string Referee::timeText(Time at) const
{
    const auto ms = std::chrono::duration_cast<milliseconds>(at - m_start).count();
    return std::to_string(ms) + "ms";
}

class KeptConnection::Impl
{
public:
    explicit Impl(const NetAddress &address) : m_stream(m_io)
    {
        beast::error_code error;
        m_stream.connect({ asio::ip::make_address(address.host), address.port }, error);
        m_isOpen = !error;
    }

    [[nodiscard]] bool isOpen() const { return m_isOpen; }
    [[nodiscard]] bool hasExtraBytes() const { return m_buffer.size() > 0; }

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

KeptConnection::KeptConnection(const NetAddress &address) : m_impl(std::make_unique<Impl>(address))
{ }

KeptConnection::~KeptConnection() = default;

bool KeptConnection::isOpen() const
{
    return m_impl->isOpen();
}

HttpResponse KeptConnection::ask(const HttpRequest &request)
{
    return m_impl->ask(request);
}

bool KeptConnection::hasExtraBytes() const
{
    return m_impl->hasExtraBytes();
}

SoakFixture::SoakFixture() : seed(seedFromEnvironment())
{
    const std::vector<NetAddress> addresses = freeAddresses(4 * sideCount);
    for (std::size_t i = 0; i < sideCount; ++i) {
        Side side { i, {}, nullptr };
        side.server = std::make_unique<LoopbackServer>(
            [this, i](LoopbackServer &server, impl::ExchangeId id, HttpRequest &&request) {
                const std::string attempt(request.header(idHeader));
                if (attempt.empty()) { // a health check
                    server.respond(id, { 200, { { "X-Camphorreach-Instance-Id", serverId(i) } } });
                } else if (request.header("X-Camphorreach-Target-Instance") != serverId(i)) {
                    server.respond(id, { 421, { { idHeader, attempt } } });
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
    referee.noteEvent(side.number, "start");
    std::promise<bool> started;
    // Reads the log until the process ends, so that its pipe never fills.
    auto ended = std::async(std::launch::async, [&] {
        bool hasStarted = false;
        while (const auto line = process.nextLine()) {
            referee.noteLog(side.number, *line);
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
        disturb(side, process, dice);
        isKilled = side.number == harmedSide && dice.isOneIn(2);
        if (!isKilled || dice.isOneIn(2)) {
            send(side, process, dice.isOneIn(6) ? SIGINT : SIGTERM);
            signalsInDrain(side, process, dice);
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
    referee.noteEvent(side.number, "ended, code " + (code ? std::to_string(*code) : "none"));
    if (!isKilled && code != 0)
        referee.fail("EXIT node-" + std::to_string(side.number) + " ends with "
                     + (code ? "code " + std::to_string(*code) : "a signal"));
    if (!dice.isOneIn(3))
        pause(dice.below(500));
}

// While the node serves.
void SoakFixture::disturb(const Side &side, SidecarProcess &process, Dice &dice)
{
    pause(dice.isOneIn(4) ? 0 : 1000 + dice.below(2500));
    for (int count = dice.below(4); count > 0; --count) {
        switch (dice.below(side.number == harmedSide ? 5 : 4)) {
        case 0:
            send(side, process, SIGHUP);
            break;
        case 1:
            for (int storm = 10 + dice.below(30); storm > 0; --storm)
                send(side, process, SIGHUP);
            break;
        case 2:
            referee.noteEvent(side.number, "settings changed");
            process.touchSettings();
            break;
        case 3:
            referee.noteEvent(side.number, "settings broken");
            process.touchSettings("[[[\n");
            break;
        default:
            freeze(side, process, dice);
        }
        pause(dice.below(600));
    }
}

void SoakFixture::signalsInDrain(const Side &side, SidecarProcess &process, Dice &dice)
{
    for (int count = dice.below(7); count > 0; --count) {
        if (!dice.isOneIn(3))
            pause(dice.isOneIn(2) ? dice.below(20) : dice.below(1200));
        const int choice = dice.below(side.number == harmedSide ? 6 : 5);
        if (choice == 5) {
            freeze(side, process, dice);
        } else if (choice == 4) {
            referee.noteEvent(side.number, "settings changed");
            process.touchSettings();
        } else {
            constexpr std::array signals { SIGHUP, SIGHUP, SIGTERM, SIGINT };
            send(side, process, signals.at(static_cast<std::size_t>(choice)));
        }
    }
}

void SoakFixture::send(const Side &side, SidecarProcess &process, int signal)
{
    referee.noteEvent(side.number, "signal " + std::to_string(signal));
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
        if (answer.status == 0)
            referee.onClosed(ask);
        else
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
