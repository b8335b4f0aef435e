// Reads, watches, conditional writes and faults of the fake platform.
#include "fakeplatform.h"

#include <camphorreach/result.h>

namespace camphorreach::scenario {
namespace {

// Timeout of a platform call, the same as in the platform endpoint.
constexpr Duration callTimeout = std::chrono::seconds(2);

} // namespace

void FakePlatform::call(const PlatformOperation &operation, Callback done)
{
    ++m_callCount;
    const bool isWrite = std::holds_alternative<PlatformWrite>(operation);
    if (m_isDown) {
        m_events.scheduleAfter(m_delay,
                               [done = std::move(done)] { done(PlatformNoReply { false }); });
        return;
    }
    m_events.scheduleAfter(
        m_delay / 2, [this, operation, isWrite, done = std::move(done)]() mutable {
            if (m_delay > callTimeout) {
                m_events.scheduleAfter(callTimeout,
                                       [isWrite, done] { done(PlatformNoReply { isWrite }); });
                done = [](PlatformResult &&) {};
            }
            serve(operation, std::move(done));
        });
}

void FakePlatform::serve(const PlatformOperation &operation, Callback done)
{
    std::visit(Overloaded {
                   [&](const PlatformRead &call) { read(call.key, done); },
                   [&](const PlatformWatch &call) { watch(call, std::move(done)); },
                   [&](const PlatformWrite &call) { write(call, done); },
               },
               operation);
}

void FakePlatform::reply(const Callback &done, PlatformResult result)
{
    m_events.scheduleAfter(
        m_delay / 2, [done, result = std::move(result)]() mutable { done(std::move(result)); });
}

void FakePlatform::read(const ObjectKey &key, const Callback &done)
{
    const PlatformObject *object = find(key);
    if (object != nullptr)
        reply(done, *object);
    else
        reply(done, PlatformRefusal { PlatformRefusal::Reason::NotFound });
}

void FakePlatform::watch(const PlatformWatch &watch, Callback done)
{
    const PlatformObject *object = find(watch.key);
    const ObjectVersion version = object != nullptr ? object->version : ObjectVersion();
    if (version != watch.known) {
        read(watch.key, done);
        return;
    }
    const std::uint64_t id = m_nextWatchId++;
    m_watches.push_back({ watch.key, std::move(done), id });
    m_events.scheduleAfter(watch.wait, [this, id] {
        for (auto entry = m_watches.begin(); entry != m_watches.end(); ++entry) {
            if (entry->id != id)
                continue;
            read(entry->key, entry->done);
            m_watches.erase(entry);
            return;
        }
    });
}

void FakePlatform::write(const PlatformWrite &write, const Callback &done)
{
    const PlatformObject *object = find(write.key);
    const ObjectVersion version = object != nullptr ? object->version : ObjectVersion();
    if (version != write.expected) {
        reply(done, PlatformRefusal { PlatformRefusal::Reason::Conflict });
        return;
    }
    overwrite(write.key, write.value);
    if (m_losesAnswers)
        m_events.scheduleAfter(callTimeout, [done] { done(PlatformNoReply { true }); });
    else
        reply(done, *find(write.key));
}

void FakePlatform::overwrite(const ObjectKey &key, PlatformValue value)
{
    m_objects[key] = { ObjectVersion(++m_lastVersion), std::move(value) };
    completeWatches(key);
}

void FakePlatform::completeWatches(const ObjectKey &key)
{
    for (auto entry = m_watches.begin(); entry != m_watches.end();) {
        if (entry->key == key) {
            read(key, entry->done);
            entry = m_watches.erase(entry);
        } else {
            ++entry;
        }
    }
}

void FakePlatform::setDown(bool isDown)
{
    m_isDown = isDown;
    if (!isDown)
        return;
    for (const Watch &watch : m_watches)
        reply(watch.done, PlatformNoReply { false });
    m_watches.clear();
}

const PlatformObject *FakePlatform::find(const ObjectKey &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

} // namespace camphorreach::scenario
