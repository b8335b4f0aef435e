// Baseline for configuration distribution: every node watches the head object in the platform.
#pragma once

#include "fakeplatform.h"
#include "virtualtime.h"

#include <camphorreach/impl/platformcodec.h>
#include <camphorreach/random.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace camphorreach::bench {

/// Counts the bytes that the platform sends when every node has its own watch.
class WatchAll
{
public:
    WatchAll(VirtualTime &time, std::size_t nodes)
        : platform(time), m_time(time), m_knownVersions(nodes), m_inForceAt(nodes)
    { }

    void start()
    {
        for (std::size_t i = 0; i < m_knownVersions.size(); ++i)
            watch(i);
    }
    [[nodiscard]] std::uint64_t bytes() const noexcept { return m_bytes; }
    /// Time at which each node received its newest version.
    [[nodiscard]] const std::vector<TimePoint> &inForceAt() const noexcept { return m_inForceAt; }

    FakePlatform platform;

private:
    void watch(std::size_t i)
    {
        const PlatformWatch watch { configHeadKey(), m_knownVersions[i], std::chrono::seconds(25) };
        platform.call({ PlatformCallId(1), watch },
                      [this, i](const PlatformReply &reply) { onReply(i, reply); });
    }

    void onReply(std::size_t i, const PlatformReply &reply)
    {
        const auto *object = std::get_if<PlatformObject>(&reply.result);
        if (object == nullptr) {
            m_time.after(std::chrono::seconds(1), [this, i] { watch(i); });
            return;
        }
        // A watch that times out without a change is also answered with the whole object.
        if (m_encodedVersion != object->version) {
            m_encodedVersion = object->version;
            m_encodedSize = impl::encodeValue(object->value).size();
        }
        m_bytes += m_encodedSize;
        if (object->version != m_knownVersions[i])
            m_inForceAt[i] = m_time.now();
        m_knownVersions[i] = object->version;
        watch(i);
    }

    VirtualTime &m_time;
    std::vector<ObjectVersion> m_knownVersions; // version known to each node
    std::vector<TimePoint> m_inForceAt;
    std::uint64_t m_bytes = 0;
    ObjectVersion m_encodedVersion; // whose size is m_encodedSize
    std::size_t m_encodedSize = 0;
};

} // namespace camphorreach::bench
