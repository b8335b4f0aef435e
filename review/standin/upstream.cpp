// Requests and heartbeats of an upstream's stand-in.
#include "upstream.h"

#include "http.h"
#include "mesh.h"

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <thread>

static std::atomic<bool> isLeaving { false };

namespace review {
namespace {

constexpr Millis idleTime = std::chrono::seconds(10);
constexpr unsigned queuedPerSlot = 4;

struct Settings
{
    std::uint16_t port = 0;
    std::uint16_t control = 0;
    std::string id;
    std::string service;
    std::string zone;
    unsigned slots = 0;
    std::string record;
    Millis late {}; // of the first heartbeat
    std::int64_t born = 0;
    Millis heartbeat {};
};

class Upstream
{
public:
    explicit Upstream(Settings settings) : m_settings(std::move(settings)) { }

    void run()
    {
        std::thread([this] { sendHeartbeats(); }).detach();
        serve(listenOn(m_settings.port),
              [this](Connection connection) { handle(std::move(connection)); });
    }

private:
    void sendHeartbeats() const
    {
        std::this_thread::sleep_for(m_settings.late);
        for (std::uint64_t sequence = 1;; ++sequence) {
            auto connection = Connection::open(m_settings.control);
            if (connection && !::isLeaving
                && connection->send(heartbeat(m_settings.port, m_settings.service, m_settings.zone,
                                              m_settings.id, m_settings.slots, m_settings.born,
                                              sequence)))
                (void)connection->read(std::chrono::seconds(1));
            std::this_thread::sleep_for(m_settings.heartbeat);
        }
    }

    void handle(Connection connection)
    {
        while (true) {
            const ReadResult result = connection.read(idleTime);
            if (result.end != ReadEnd::Complete || !answer(connection, result.message))
                return;
        }
    }

    bool answer(const Connection &connection, const Message &message)
    {
        const std::string target = message.word(1);
        const Header instance { "X-Camphorreach-Instance-Id", m_settings.id };
        if (target == "/health")
            return connection.send(response(200, { instance }, ""));
        const std::string id = message.header("X-Camphorreach-Attempt-Id");
        const Header attempt { "X-Camphorreach-Attempt-Id", id };
        const Header notRun { "X-Camphorreach-Not-Executed", "1" };
        if (id.empty())
            return connection.send(response(400, { notRun }, ""));
        const std::string expected = message.header("X-Camphorreach-Target-Instance");
        if (!expected.empty() && expected != m_settings.id)
            return connection.send(response(421, { attempt, instance, notRun }, ""));
        if (!takeSlot())
            return connection.send(response(503, { attempt, notRun }, ""));
        const bool isSent = runRequest(connection, message, attempt);
        releaseSlot();
        return isSent;
    }

    bool runRequest(const Connection &connection, const Message &message, const Header &attempt)
    {
        const std::string target = message.word(1);
        appendTo(m_settings.record,
                 "run " + attempt.value + " " + message.word(0) + " " + target + " on "
                     + m_settings.id
                     + " caller=" + message.header("X-Camphorreach-Caller-Service"));
        if (target.find("/poison") != std::string::npos) {
            appendTo(m_settings.record, "crash " + attempt.value + " on " + m_settings.id);
            ::_exit(1);
        }
        const std::size_t at = target.find("/w");
        const Millis work(at == std::string::npos ? 0 : std::atoi(target.c_str() + at + 2));
        const Header seal { "X-Camphorreach-Response-Seal", "seal." + attempt.value };
        const std::string body = bodyOf(attempt.value);
        std::this_thread::sleep_for(work);
        if (message.word(0) == "HEAD")
            return connection.send("HTTP/1.1 200 OK\r\n" + attempt.name + ": " + attempt.value
                                   + "\r\n" + seal.name + ": " + seal.value + "\r\nContent-Length: "
                                   + std::to_string(body.size()) + "\r\n\r\n");
        return connection.send(response(200, { attempt, seal }, body));
    }

    bool takeSlot()
    {
        std::unique_lock lock(m_mutex);
        if (m_waiting >= m_settings.slots * queuedPerSlot)
            return false;
        ++m_waiting;
        m_freed.wait(lock, [this] { return m_running < m_settings.slots; });
        --m_waiting;
        ++m_running;
        return true;
    }

    void releaseSlot()
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_freed.notify_one();
    }

    const Settings m_settings;
    std::mutex m_mutex;
    std::condition_variable m_freed;
    unsigned m_running = 0;
    unsigned m_waiting = 0;
};

} // namespace

std::string bodyOf(const std::string &id)
{
    constexpr std::size_t fillerBytes = 2000;
    return "begin " + id + " " + std::string(fillerBytes, '.') + " end " + id;
}

int runUpstream(const std::vector<std::string> &arguments)
{
    std::signal(SIGUSR1, [](int) { ::isLeaving = true; });
    if (arguments.size() != 10)
        return 2;
    const auto number = [&](std::size_t index) { return std::stoul(arguments[index]); };
    Upstream({ static_cast<std::uint16_t>(number(0)), static_cast<std::uint16_t>(number(1)),
               arguments[2], arguments[3], arguments[4], static_cast<unsigned>(number(5)),
               arguments[6], Millis(number(7)), std::stoll(arguments[8]), Millis(number(9)) })
        .run();
    return 0;
}

} // namespace review
