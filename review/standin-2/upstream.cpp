// Requests and heartbeats of the stand-in of a backend server.
#include "upstream.h"

#include <atomic>
#include <boost/json.hpp>
#include <fcntl.h>
#include <thread>
#include <unistd.h>

namespace review {
namespace {

constexpr std::int64_t idleMs = 60'000;
constexpr std::int64_t beatAnswerMs = 1000;
constexpr int crashCode = 3;

class Upstream
{
public:
    explicit Upstream(const UpstreamOptions &options)
        : m_options(options), m_listener(options.listen)
    { }

    void run()
    {
        if (m_options.beatMs > 0)
            std::thread([this] { beat(); }).detach();
        m_listener.serve([this](Connection &connection) { onConnection(connection); });
    }

private:
    void beat() const
    {
        const std::int64_t born = wallMs();
        for (std::uint64_t sequence = 1;; ++sequence) {
            const std::string body = heartbeatBody(m_options, born, sequence, "ready");
            (void)callOnce(m_options.control,
                           requestText("PUT", "/camphorreach/instances/" + m_options.id,
                                       { { "Host", m_options.control.text() },
                                         { "Content-Type", "application/json" },
                                         { "Connection", "close" } },
                                       body),
                           beatAnswerMs);
            sleepMs(m_options.beatMs);
        }
    }

    void onConnection(Connection &connection)
    {
        while (auto request = connection.read(idleMs)) {
            if (!connection.write(respond(*request)))
                return;
        }
    }

    std::string respond(const Message &request)
    {
        const std::string attempt = request.field("x-camphorreach-attempt-id");
        if (request.target() == "/health")
            return responseText(200, { { "X-Camphorreach-Instance-Id", m_options.id } }, "");
        const std::string wanted = request.field("x-camphorreach-target-instance");
        if (!wanted.empty() && wanted != m_options.id)
            return responseText(421, { { "X-Camphorreach-Instance-Id", m_options.id } }, "");
        if (m_busy.fetch_add(1) >= m_options.slots) {
            --m_busy;
            return responseText(503,
                                { { "X-Camphorreach-Not-Executed", "1" },
                                  { "X-Camphorreach-Attempt-Id", attempt } },
                                "");
        }
        appendEvent(m_options.events,
                    "run id=" + attempt + " request=" + request.method() + ":" + request.target()
                        + " at=" + m_options.id);
        if (!m_options.crashPath.empty() && request.target() == m_options.crashPath) {
            sleepMs(m_options.crashAfterMs);
            appendEvent(m_options.events, "crash id=" + attempt + " at=" + m_options.id);
            ::_exit(crashCode);
        }
        sleepMs(m_options.workMs);
        --m_busy;
        return responseText(200,
                            { { "X-Camphorreach-Attempt-Id", attempt },
                              { "X-Camphorreach-Response-Seal", "seal." + m_options.id } },
                            "done " + request.target());
    }

    const UpstreamOptions m_options;
    Listener m_listener;
    std::atomic<int> m_busy { 0 };
};

} // namespace

void appendEvent(const std::string &file, const std::string &line)
{
    const std::string text = std::to_string(nowMs()) + " " + line + "\n";
    const int output = ::open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    if (output < 0)
        return;
    (void)!::write(output, text.data(), text.size());
    ::close(output);
}

std::string heartbeatBody(const UpstreamOptions &options, std::int64_t born, std::uint64_t sequence,
                          const std::string &state)
{
    return boost::json::serialize(boost::json::object {
        { "address", options.listen.text() },
        { "born", born },
        { "server_info",
          { { "service", options.service },
            { "version", "v1" },
            { "zone", options.zone },
            { "slots", options.slots } } },
        { "status", { { "state", state }, { "sequence", sequence }, { "warmup_left_ms", 0 } } } });
}

void runUpstream(const UpstreamOptions &options)
{
    Upstream(options).run();
}

} // namespace review
