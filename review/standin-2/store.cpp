// Lists, watches and conditional writes of the stand-in store.
#include "store.h"

#include <chrono>
#include <cstdlib>

namespace review {
namespace {

namespace json = boost::json;

constexpr std::int64_t idleMs = 60'000;
const std::string objectsPath = "/camphorreach/objects/";

std::uint64_t parameter(const std::string &query, const std::string &name, std::uint64_t otherwise)
{
    const std::string key = name + "=";
    for (std::size_t at = query.find(key); at != std::string::npos; at = query.find(key, at + 1)) {
        if (at == 0 || query[at - 1] == '&')
            return std::strtoull(query.c_str() + at + key.size(), nullptr, 10);
    }
    return otherwise;
}

std::string jsonResponse(int status, const json::value &value)
{
    return responseText(status, { { "Content-Type", "application/json" } }, json::serialize(value));
}

} // namespace

Store::Store(StoreOptions options) : m_options(options), m_listener(Address {}) { }

void Store::put(const std::string &kind, const std::string &name, const json::value &spec)
{
    const std::lock_guard lock(m_mutex);
    json::object object = m_objects[kind][name];
    object["metadata"] = json::object { { "name", name } };
    object["spec"] = spec;
    store(kind, std::move(object));
}

void Store::store(const std::string &kind, json::object object)
{
    json::object &metadata = object["metadata"].as_object();
    const std::string name(metadata.at("name").as_string());
    const json::object &current = m_objects[kind][name];
    metadata["created"]
        = current.contains("metadata") ? current.at("metadata").at("created") : m_revision + 1;
    metadata["revision"] = ++m_revision;
    metadata["finalizers"] = json::array();
    metadata["deletion_pending"] = false;
    if (!object.contains("status"))
        object["status"] = nullptr;
    m_objects[kind][name] = object;
    m_events.push_back({ m_revision, kind, std::move(object) });
    m_changed.notify_all();
}

void Store::onConnection(Connection &connection)
{
    bool isLost = false; // a connection on which an answer is lost returns nothing further
    while (auto request = connection.read(idleMs)) {
        isLost = isLost || m_isSilent;
        if (isLost)
            continue;
        const std::string response = respond(*request);
        isLost = m_isSilent;
        if (!isLost && !connection.write(response))
            return;
    }
}

std::string Store::respond(const Message &request)
{
    const std::string target = request.target();
    if (!target.starts_with(objectsPath))
        return jsonResponse(404, json::object());
    const std::size_t question = target.find('?');
    const std::string path = target.substr(objectsPath.size(), question - objectsPath.size());
    const std::string query = question == std::string::npos ? "" : target.substr(question + 1);
    const std::string kind = path.substr(0, path.find('/'));
    if (request.method() != "GET")
        return write(request, kind, path);
    const std::uint64_t since = parameter(query, "watch", 0);
    if (since > 0)
        return watch(kind, since, static_cast<std::int64_t>(parameter(query, "wait_ms", 0)));
    return list(kind);
}

std::string Store::list(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    json::array items;
    for (const auto &[name, object] : m_objects[kind])
        items.push_back(object);
    return jsonResponse(
        200, json::object { { "items", items }, { "has_more", false }, { "at_rev", m_revision } });
}

std::string Store::watch(const std::string &kind, std::uint64_t since, std::int64_t waitMs)
{
    std::unique_lock lock(m_mutex);
    json::array events;
    const auto collect = [&] {
        for (const Event &event : m_events) {
            if (event.kind == kind && event.revision > since)
                events.push_back(json::object { { "object", event.object }, { "removed", false } });
        }
        return !events.empty();
    };
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
    return jsonResponse(200, json::object { { "events", events }, { "at_rev", m_revision } });
}

std::string Store::write(const Message &request, const std::string &kind, const std::string &path)
{
    boost::system::error_code error;
    const json::value value = json::parse(request.body, error);
    if (error || !value.is_object())
        return jsonResponse(400, json::object());
    const json::object &body = value.as_object();
    const json::object &metadata = body.at("metadata").as_object();
    const std::string name(metadata.at("name").as_string());
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    const bool exists = found != m_objects[kind].end();
    if (request.method() == "POST" && exists)
        return m_options.sendsObjectAfterPost ? jsonResponse(409, found->second)
                                              : jsonResponse(409, json::object());
    if (request.method() == "PUT" && !exists)
        return jsonResponse(404, json::object());
    const json::value *expected = metadata.if_contains("revision");
    if (exists && expected != nullptr
        && expected->to_number<std::uint64_t>()
            != found->second.at("metadata").at("revision").to_number<std::uint64_t>())
        return jsonResponse(409, found->second);
    json::object object = exists ? found->second : json::object();
    const char *part = path.ends_with("/status") ? "status" : "spec";
    object["metadata"] = json::object { { "name", name } };
    object[part] = body.at(part);
    store(kind, std::move(object));
    return jsonResponse(request.method() == "POST" ? 201 : 200, m_objects[kind][name]);
}

} // namespace review
