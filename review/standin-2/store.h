// A stand-in of the platform's store: objects by kind and name, with revisions, lists and watches.
#pragma once

#include "net.h"

#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace review {

struct StoreOptions
{
    /// The answer to a POST of an object that exists: its status alone, or with the object as well.
    /// The pages promise the object only for a revision that does not match.
    bool sendsObjectAfterPost = true;
};

class Store
{
public:
    explicit Store(StoreOptions options);

    [[nodiscard]] Address address() const { return m_listener.address(); }
    void serve()
    {
        m_listener.serve([this](Connection &connection) { onConnection(connection); });
    }

    /// A silent store takes calls and never answers them, also not later.
    void setSilent(bool isSilent) { m_isSilent = isSilent; }
    /// Writes as the operator does. Replaces what is there.
    void put(const std::string &kind, const std::string &name, const boost::json::value &spec);

private:
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        boost::json::object object;
    };

    void onConnection(Connection &connection);
    [[nodiscard]] std::string respond(const Message &request);
    [[nodiscard]] std::string list(const std::string &kind);
    [[nodiscard]] std::string watch(const std::string &kind, std::uint64_t since,
                                    std::int64_t waitMs);
    [[nodiscard]] std::string write(const Message &request, const std::string &kind,
                                    const std::string &path);
    // Call with m_mutex held.
    void store(const std::string &kind, boost::json::object object);

    const StoreOptions m_options;
    std::atomic<bool> m_isSilent { false };
    Listener m_listener;
    std::mutex m_mutex; // guards all below
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, boost::json::object>> m_objects;
    std::deque<Event> m_events;
    std::uint64_t m_revision = 10;
};

} // namespace review
