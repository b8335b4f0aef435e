// Referee of the fault soak: judges the promises from what callers and backend servers see.
#pragma once

#include <camphorreach/impl/http.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace camphorreach {

inline constexpr const char *attemptIdHeader = "X-Camphorreach-Attempt-Id";

/// The backend server beside the node \a side.
[[nodiscard]] std::string serverId(std::size_t side);
/// Whether an answer promises that the request has not run and never will.
[[nodiscard]] bool promisesNotRun(int status);

/// One request of a caller beside the node \a side.
struct Ask
{
    std::string id;
    std::size_t side = 0;
    bool isRunOnce = true;
    impl::HttpRequest request;
    std::chrono::steady_clock::time_point sentAt;
};

/// Judges the promises from what callers and backend servers see. Used by all threads.
class Referee
{
public:
    using Time = std::chrono::steady_clock::time_point;

    enum class Kind : std::uint8_t { Event, Log };
    void note(Kind kind, std::size_t side, const std::string &text);
    /// A kill or a freeze of a node begins; it ends when the node runs again.
    void beginHarm(std::size_t side);
    void endHarm(std::size_t side);

    /// The server beside \a side begins to run a request.
    void onRun(std::size_t side, const std::string &id, bool isRunOnce);
    /// Status 0: the connection ended without a whole answer.
    void onAnswer(const Ask &ask, const impl::HttpResponse &answer);
    void fail(const std::string &what);

    /// Judges what could not be judged before the end. Call when all threads have ended.
    void settle();
    [[nodiscard]] std::string failures() const;
    [[nodiscard]] std::string summary() const;
    [[nodiscard]] int servedCount(bool isRunOnce) const;
    /// Writes all events and logs with their times.
    void writeTimeline(const std::string &file) const;

private:
    struct Attempt
    {
        std::vector<std::size_t> sides; ///< Where it has run, each run once.
        bool isRefused = false;
    };
    struct Harm
    {
        std::size_t side = 0;
        Time from;
        Time to = Time::max();
    };
    struct Unanswered
    {
        Ask ask;
        Time to;
        int status = 0;
    };
    struct Line
    {
        Time at;
        Kind kind = Kind::Event;
        std::string text;
    };

    void failLocked(const std::string &what, Time at);
    [[nodiscard]] bool isOwnAnswer(const Ask &ask, const impl::HttpResponse &answer) const;
    [[nodiscard]] bool isCalm(std::size_t side, Time from, Time to) const;
    [[nodiscard]] std::string eventsBefore(Time at) const;
    [[nodiscard]] std::string timeText(Time at) const;

    const Time m_start = std::chrono::steady_clock::now();
    mutable std::mutex m_mutex; // guards all below until the threads have ended
    std::map<std::string, Attempt> m_attempts; // by attempt id; only those that ran or were refused
    std::vector<Harm> m_harms; // in order of their begin; at most one of a side is open
    std::vector<Unanswered> m_unanswered; // judged by settle()
    std::vector<Line> m_lines; // in order of time
    std::vector<std::string> m_failures;
    std::map<std::pair<bool, int>, int> m_answers; // by whether it was run-once, and status
    int m_lateRefusals = 0; // idempotent requests that had run and were refused
    int m_runAndClosed = 0; // found harmed, and so not judged
};

} // namespace camphorreach
