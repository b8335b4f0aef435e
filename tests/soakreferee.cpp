// Judgement of runs and answers, and the text of what was seen.
#include "soakreferee.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace camphorreach {

using impl::HttpResponse;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

// So long after a kill or a freeze, requests at the node are not judged for loss.
constexpr auto calmTime = seconds(5);
constexpr auto routeTimeout = milliseconds(900); // the store stand-in's, less what is on the way

} // namespace

std::string serverId(std::size_t side)
{
    return "i-" + std::to_string(side);
}

bool promisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

void Referee::note(Kind kind, std::size_t side, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    const Time now = steady_clock::now();
    m_lines.push_back({ now, kind, timeText(now) + " node-" + std::to_string(side) + " " + text });
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
    const int status = answer.status;
    ++m_answers[{ ask.isRunOnce, status }];
    const bool hasRun = m_attempts.contains(ask.id);
    if (const auto id = answer.header(attemptIdHeader); !id.empty() && id != ask.id)
        failLocked("MIXED " + ask.id + " gets the answer to " + std::string(id), now);
    if (status == 200) {
        if (!isOwnAnswer(ask, answer))
            failLocked("MIXED " + ask.id + " gets " + answer.body.substr(0, 60), now);
    } else if (promisesNotRun(status) && ask.isRunOnce) {
        if (hasRun)
            failLocked("REFUSED " + ask.id + " has run", now);
        m_attempts[ask.id].isRefused = true;
    } else if (promisesNotRun(status)) {
        m_lateRefusals += hasRun ? 1 : 0;
    } else if (status == 0 || status == 502 || status == 504) {
        // At the route's timeout, an answer of the node's own is due.
        if (status != 504 || now - ask.sentAt < routeTimeout)
            m_unanswered.push_back({ ask, now, status });
    } else {
        failLocked("STATUS " + ask.id + " gets " + std::to_string(status), now);
    }
}

bool Referee::isOwnAnswer(const Ask &ask, const HttpResponse &answer) const
{
    const auto attempt = m_attempts.find(ask.id);
    const std::string head = ask.request.method + " " + ask.request.target + " ";
    return attempt != m_attempts.end() && answer.header(attemptIdHeader) == ask.id
        && answer.header("X-Camphorreach-Response-Seal") == "seal"
        && std::ranges::any_of(attempt->second.sides, [&](std::size_t side) {
               return answer.body == head + serverId(side) + " " + ask.request.body;
           });
}

void Referee::settle()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[ask, to, status] : m_unanswered) {
        std::vector<std::size_t> sides = m_attempts[ask.id].sides;
        if (sides.empty())
            continue; // not run
        const std::string where = serverId(sides.back());
        sides.push_back(ask.side);
        if (std::ranges::all_of(sides, [&, from = ask.sentAt, end = to](std::size_t side) {
                return isCalm(side, from, end);
            }))
            failLocked("LOST " + ask.id + " sent " + timeText(ask.sentAt) + ", run by " + where
                           + ", ends with status " + std::to_string(status),
                       to);
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

int Referee::servedCount(bool isRunOnce) const
{
    const auto found = m_answers.find({ isRunOnce, 200 });
    return found != m_answers.end() ? found->second : 0;
}

std::string Referee::summary() const
{
    std::ostringstream text;
    for (const auto &[key, count] : m_answers)
        text << (key.first ? "run-once " : "idempotent ") << key.second << ": " << count << ", ";
    text << "run, unanswered and harmed: " << m_runAndClosed
         << ", idempotent refused after a run: " << m_lateRefusals;
    return text.str();
}

void Referee::writeTimeline(const std::string &file) const
{
    std::ofstream out(file);
    out << summary() << "\n" << failures();
    for (const Line &line : m_lines)
        out << line.text << "\n";
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

bool Referee::isCalm(std::size_t side, Time from, Time to) const
{
    return std::ranges::none_of(m_harms, [&](const Harm &harm) {
        return harm.side == side && harm.from <= to
            && (harm.to == Time::max() || harm.to + calmTime >= from);
    });
}

std::string Referee::eventsBefore(Time at) const
{
    int left = 10;
    std::string text;
    for (auto line = m_lines.rbegin(); line != m_lines.rend() && left > 0; ++line) {
        if (line->kind != Kind::Event || line->at > at)
            continue;
        text.insert(0, "    " + line->text + "\n");
        --left;
    }
    return text;
}

std::string Referee::timeText(Time at) const
{
    const auto ms = std::chrono::duration_cast<milliseconds>(at - m_start).count();
    return std::to_string(ms) + "ms";
}

} // namespace camphorreach
