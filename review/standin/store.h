// Stand-in of the platform's metadata store, as PROTOCOL.md describes it.
#pragma once

#include "http.h"

#include <boost/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace review {

/// Keeps objects by kind and name, with revisions, watches and a history of 20
/// s.
class Store
{
public:
    /// Serves on a loopback port, on threads of its own, until the process ends.
    void start(std::uint16_t port);
    /// How long each call takes before it is carried out.
    void setAnswerTime(Millis time);
    /// The operator's write of a whole object. Returns when the store
    /// acknowledges it.
    void put(const std::string &kind, const std::string &name, const boost::json::object &spec);
    /// The state in an object's status, or an empty text.
    [[nodiscard]] std::string stateOf(const std::string &kind, const std::string &name);

private:
    using Key = std::pair<std::string, std::string>; // kind and name
    struct Event
    {
        std::uint64_t revision = 0;
        Clock::time_point at;
        std::string kind;
        std::string json;
    };

    void handle(Connection connection);
    [[nodiscard]] std::string answer(const Message &request);
    [[nodiscard]] std::string list(const std::string &kind, const std::string &after);
    [[nodiscard]] std::string watch(const std::string &kind, std::uint64_t since, Millis wait);
    [[nodiscard]] std::string write(const Message &request, const Key &key, bool isStatus);
    [[nodiscard]] std::string create(const Message &request, const std::string &kind);
    void change(const Key &key, const char *field, const boost::json::value &value);
    void delay();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, boost::json::object> m_objects;
    std::deque<Event> m_history;
    std::uint64_t m_revision = 10;
    std::uint64_t m_oldest = 0; // revisions up to this one are no longer in the history
    Millis m_answerTime { 4 };
};

} // namespace review
