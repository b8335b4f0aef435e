// In-memory fake of the platform's object service, under virtual time.
#pragma once

#include "virtualtime.h"

#include <camphorreach/platform.h>
#include <camphorreach/result.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace camphorreach::bench {

class FakePlatform
{
public:
    using ReplyCallback = std::function<void(PlatformReply)>;

    struct Rates
    {
        std::uint64_t reads = 0; ///< Includes watches.
        std::uint64_t writes = 0;
    };

    explicit FakePlatform(VirtualTime &time) : m_time(time) { }

    void setDown(bool isDown) { m_isDown = isDown; }
    void setDroppingReplies(bool dropsReplies) { m_dropsReplies = dropsReplies; }

    /// Runs \a call and invokes \a callback later, exactly once.
    void call(const PlatformCall &call, ReplyCallback callback)
    {
        const bool isWrite = std::holds_alternative<PlatformWrite>(call.operation);
        Rates &calls = m_bySecond[m_time.now().time_since_epoch() / std::chrono::seconds(1)];
        (isWrite ? calls.writes : calls.reads) += 1;
        if (m_isDown)
            return failWithTimeout(call, isWrite, std::move(callback));
        m_time.after(latency, [this, call, callback = std::move(callback)]() mutable {
            run(call, std::move(callback));
        });
    }

    /// Stores an accepted version of the configuration.
    void storeConfiguration(ConfigVersion version, std::string tree)
    {
        store(configHeadKey(), ConfigHead { version, {}, std::move(tree) });
    }
    [[nodiscard]] const PlatformObject *find(const ObjectKey &key) const
    {
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? nullptr : &found->second;
    }

    /// Highest number of reads in any second since \a from, and likewise of writes.
    [[nodiscard]] Rates peak(TimePoint from) const
    {
        Rates peak;
        for (auto it = m_bySecond.lower_bound(from.time_since_epoch() / std::chrono::seconds(1));
             it != m_bySecond.end(); ++it) {
            peak.reads = std::max(peak.reads, it->second.reads);
            peak.writes = std::max(peak.writes, it->second.writes);
        }
        return peak;
    }
    [[nodiscard]] Rates total(TimePoint from) const
    {
        Rates total;
        for (auto it = m_bySecond.lower_bound(from.time_since_epoch() / std::chrono::seconds(1));
             it != m_bySecond.end(); ++it) {
            total.reads += it->second.reads;
            total.writes += it->second.writes;
        }
        return total;
    }

private:
    static constexpr Duration latency = std::chrono::milliseconds(3);
    static constexpr Duration callTimeout = std::chrono::seconds(2);

    struct Watcher
    {
        PlatformCallId id;
        ObjectKey key;
        ReplyCallback callback;
    };

    void failWithTimeout(const PlatformCall &call, bool mayHaveTakenEffect, ReplyCallback callback)
    {
        m_time.after(callTimeout,
                     [id = call.id, mayHaveTakenEffect, callback = std::move(callback)] {
                         callback({ id, PlatformNoReply { mayHaveTakenEffect } });
                     });
    }

    void run(const PlatformCall &call, ReplyCallback callback)
    {
        std::visit(
            Overloaded {
                [&](const PlatformRead &read) { reply(call, currentObject(read.key), callback); },
                [&](const PlatformWatch &watch) { runWatch(call, watch, callback); },
                [&](const PlatformWrite &write) { runWrite(call, write, callback); },
            },
            call.operation);
    }

    void runWatch(const PlatformCall &call, const PlatformWatch &watch,
                  const ReplyCallback &callback)
    {
        const PlatformObject *object = find(watch.key);
        if (object == nullptr || object->version != watch.known)
            return reply(call, currentObject(watch.key), callback);
        const std::uint64_t watcherId = m_nextWatcherId++;
        m_watchers[watcherId] = { call.id, watch.key, callback };
        m_time.after(watch.wait, [this, watcherId] { completeWatch(watcherId); });
    }

    void completeWatch(std::uint64_t watcherId)
    {
        const auto found = m_watchers.find(watcherId);
        if (found == m_watchers.end())
            return;
        const Watcher watcher = std::move(found->second);
        m_watchers.erase(found);
        watcher.callback(
            { watcher.id,
              m_isDown ? PlatformResult(PlatformNoReply {}) : currentObject(watcher.key) });
    }

    void runWrite(const PlatformCall &call, const PlatformWrite &write,
                  const ReplyCallback &callback)
    {
        const PlatformObject *object = find(write.key);
        const ObjectVersion version = object != nullptr ? object->version : ObjectVersion();
        if (version != write.expected) {
            return reply(call, PlatformRefusal { PlatformRefusal::Reason::Conflict }, callback);
        }
        store(write.key, write.value);
        reply(call, currentObject(write.key), callback);
    }

    void reply(const PlatformCall &call, PlatformResult result, const ReplyCallback &callback)
    {
        if (m_dropsReplies)
            return failWithTimeout(call, std::holds_alternative<PlatformWrite>(call.operation),
                                   callback);
        callback({ call.id, std::move(result) });
    }

    void store(const ObjectKey &key, PlatformValue value)
    {
        PlatformObject &object = m_objects[key];
        object = { next(object.version), std::move(value) };
        std::vector<std::uint64_t> notified;
        for (const auto &[watcherId, watcher] : m_watchers) {
            if (watcher.key == key)
                notified.push_back(watcherId);
        }
        for (const std::uint64_t watcherId : notified)
            m_time.after(latency, [this, watcherId] { completeWatch(watcherId); });
    }

    [[nodiscard]] PlatformResult currentObject(const ObjectKey &key) const
    {
        const PlatformObject *object = find(key);
        if (object == nullptr)
            return PlatformRefusal { PlatformRefusal::Reason::NotFound };
        return *object;
    }

    VirtualTime &m_time;
    std::map<ObjectKey, PlatformObject> m_objects;
    std::map<std::uint64_t, Watcher> m_watchers;
    std::uint64_t m_nextWatcherId = 0;
    std::map<std::int64_t, Rates> m_bySecond;
    bool m_isDown = false;
    bool m_dropsReplies = false;
};

} // namespace camphorreach::bench
