// Objects, history and watches of the store's stand-in.
#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

namespace json = boost::json;

constexpr std::string_view prefix = "/camphorreach/objects/";
constexpr Millis history = std::chrono::seconds(20);
constexpr std::size_t maxItems = 500;
constexpr std::size_t maxListBytes = 1'000'000;
constexpr Millis idleTime = std::chrono::seconds(60);

std::string parameter(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const std::size_t start = at + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

std::string answerOf(int status, const std::string &body)
{
    return response(status, { { "Content-Type", "application/json" } }, body);
}

} // namespace

void Store::start(std::uint16_t port)
{
    const int listener = listenOn(port);
    std::thread([this, listener] {
        serve(listener, [this](Connection connection) { handle(std::move(connection)); });
    }).detach();
}

void Store::setAnswerTime(Millis time)
{
    const std::lock_guard lock(m_mutex);
    m_answerTime = time;
}

void Store::delay()
{
    std::unique_lock lock(m_mutex);
    const Millis time = m_answerTime;
    lock.unlock();
    std::this_thread::sleep_for(time);
}

void Store::put(const std::string &kind, const std::string &name, const json::object &spec)
{
    delay();
    const std::lock_guard lock(m_mutex);
    change({ kind, name }, "spec", spec);
}

std::string Store::stateOf(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find({ kind, name });
    if (found == m_objects.end() || !found->second.at("status").is_object())
        return {};
    const json::value *state = found->second.at("status").as_object().if_contains("state");
    return state == nullptr ? std::string() : std::string(state->as_string());
}

void Store::change(const Key &key, const char *field, const json::value &value)
{
    ++m_revision;
    auto [found, isNew] = m_objects.try_emplace(key);
    json::object &object = found->second;
    if (isNew) {
        object["metadata"] = json::object { { "name", key.second },
                                            { "created", m_revision },
                                            { "finalizers", json::array() },
                                            { "deletion_pending", false } };
        object["spec"] = nullptr;
        object["status"] = nullptr;
    }
    object["metadata"].as_object()["revision"] = m_revision;
    object[field] = value;
    const Clock::time_point now = Clock::now();
    m_history.push_back({ m_revision, now, key.first,
                          R"({"removed":false,"object":)" + json::serialize(object) + "}" });
    while (!m_history.empty() && now - m_history.front().at > history) {
        m_oldest = m_history.front().revision;
        m_history.pop_front();
    }
    m_changed.notify_all();
}

void Store::handle(Connection connection)
{
    while (true) {
        const ReadResult result = connection.read(idleTime);
        if (result.end != ReadEnd::Complete)
            return;
        delay();
        if (!connection.send(answer(result.message)))
            return;
    }
}

std::string Store::answer(const Message &request)
{
    const std::string method = request.word(0);
    const std::string target = request.word(1);
    const std::size_t query = target.find('?');
    std::string path = target.substr(0, query);
    if (!path.starts_with(prefix))
        return answerOf(404, "{}");
    path.erase(0, prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    if (slash == std::string::npos) {
        if (method == "POST")
            return create(request, kind);
        const std::string since = parameter(target, "watch");
        if (since.empty())
            return list(kind, parameter(target, "after"));
        const Millis wait(std::atoll(parameter(target, "wait_ms").c_str()));
        return watch(kind, std::strtoull(since.c_str(), nullptr, 10), wait);
    }
    std::string name = path.substr(slash + 1);
    const bool isStatus = name.ends_with("/status");
    if (isStatus)
        name.resize(name.size() - std::string_view("/status").size());
    const Key key(kind, name);
    if (method == "PUT")
        return write(request, key, isStatus);
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? answerOf(404, "{}")
                                    : answerOf(200, json::serialize(found->second));
}

std::string Store::list(const std::string &kind, const std::string &after)
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    std::size_t count = 0;
    bool hasMore = false;
    for (const auto &[key, object] : m_objects) {
        if (key.first != kind || key.second <= after)
            continue;
        if (count == maxItems || items.size() >= maxListBytes) {
            hasMore = true;
            break;
        }
        items += (count++ == 0 ? "" : ",") + json::serialize(object);
    }
    return answerOf(200,
                    R"({"items":[)" + items + R"(],"has_more":)" + (hasMore ? "true" : "false")
                        + R"(,"at_rev":)" + std::to_string(m_revision) + "}");
}

std::string Store::watch(const std::string &kind, std::uint64_t since, Millis wait)
{
    std::unique_lock lock(m_mutex);
    if (since < m_oldest)
        return answerOf(410, "{}");
    const auto isNew
        = [&](const Event &event) { return event.kind == kind && event.revision > since; };
    m_changed.wait_for(lock, wait,
                       [&] { return std::any_of(m_history.begin(), m_history.end(), isNew); });
    std::string events;
    for (const Event &event : m_history) {
        if (isNew(event))
            events += (events.empty() ? "" : ",") + event.json;
    }
    return answerOf(
        200, R"({"events":[)" + events + R"(],"at_rev":)" + std::to_string(m_revision) + "}");
}

std::string Store::create(const Message &request, const std::string &kind)
{
    const json::object body = json::parse(request.body).as_object();
    const Key key(kind, std::string(body.at("metadata").as_object().at("name").as_string()));
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find(key);
    if (found != m_objects.end())
        return answerOf(409, json::serialize(found->second));
    change(key, "spec", body.at("spec"));
    return answerOf(201, json::serialize(m_objects.at(key)));
}

std::string Store::write(const Message &request, const Key &key, bool isStatus)
{
    const json::object body = json::parse(request.body).as_object();
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
        return answerOf(404, "{}");
    const json::value *revision = body.at("metadata").as_object().if_contains("revision");
    const std::uint64_t held
        = found->second.at("metadata").as_object().at("revision").to_number<std::uint64_t>();
    if (revision != nullptr && revision->to_number<std::uint64_t>() != held)
        return answerOf(409, json::serialize(found->second));
    const char *field = isStatus ? "status" : "spec";
    if (found->second.at(field) != body.at(field))
        change(key, field, body.at(field));
    return answerOf(200, json::serialize(m_objects.at(key)));
}

} // namespace review
