// Fake platform at the message interface: conditional writes, watches, outages, slow and lost
// replies.
#pragma once

#include "eventqueue.h"

#include <camphorreach/platform.h>

#include <functional>
#include <list>
#include <map>

namespace camphorreach::scenario {

class FakePlatform
{
public:
    using Callback = std::function<void(PlatformResult &&)>;

    explicit FakePlatform(EventQueue &events) : m_events(events) { }

    void call(const PlatformOperation &operation, Callback done);
    /// Writes unconditionally, like an operator's tool that skips all checks.
    void overwrite(const ObjectKey &key, PlatformValue value);
    [[nodiscard]] const PlatformObject *find(const ObjectKey &key) const;

    void setDown(bool isDown);
    void setDelay(Duration delay) { m_delay = delay; }
    void setLosesAnswers(bool losesAnswers) { m_losesAnswers = losesAnswers; }
    [[nodiscard]] std::uint64_t callCount() const noexcept { return m_callCount; }

private:
    struct Watch
    {
        ObjectKey key;
        Callback done;
        std::uint64_t id = 0;
    };

    void serve(const PlatformOperation &operation, Callback done);
    void read(const ObjectKey &key, const Callback &done);
    void watch(const PlatformWatch &watch, Callback done);
    void write(const PlatformWrite &write, const Callback &done);
    void reply(const Callback &done, PlatformResult result);
    void completeWatches(const ObjectKey &key);

    EventQueue &m_events;
    std::map<ObjectKey, PlatformObject> m_objects;
    std::list<Watch> m_watches;
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_nextWatchId = 1;
    std::uint64_t m_callCount = 0;
    Duration m_delay = std::chrono::milliseconds(2);
    bool m_isDown = false;
    bool m_losesAnswers = false;
};

} // namespace camphorreach::scenario
