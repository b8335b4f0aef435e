// An in-memory platform at the message interface, with faults that tests inject.
#pragma once

#include <camphorreach/platform.h>
#include <camphorreach/result.h>

#include <deque>
#include <initializer_list>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace camphorreach::fakes {

enum class PlatformFault : std::uint8_t {
    None,
    Down, ///< The call does not arrive.
    Throttled,
    AnswerLost, ///< The call takes effect; its answer is lost.
    RequestLost, ///< The caller can't tell this from a lost answer, but there is no effect.
    Delayed, ///< Like a lost request, but a write takes effect in deliverDelayed().
    NoReply, ///< No reply at all, not even a timeout.
};

class FakePlatform
{
public:
    /// Faults of the next calls, in order; later calls have the fault of failAlways(), if any.
    void failNext(std::initializer_list<PlatformFault> faults)
    {
        m_faults.insert(m_faults.end(), faults);
    }
    void failAlways(PlatformFault fault) { m_persistentFault = fault; }

    std::optional<PlatformReply> handle(const PlatformCall &call)
    {
        ++m_callCount;
        const auto *write = std::get_if<PlatformWrite>(&call.operation);
        switch (takeFault()) {
        case PlatformFault::None:
            return PlatformReply { call.id, perform(call.operation) };
        case PlatformFault::Down:
            return PlatformReply { call.id, PlatformNoReply { false } };
        case PlatformFault::Throttled:
            return PlatformReply { call.id,
                                   PlatformRefusal { PlatformRefusal::Reason::Throttled } };
        case PlatformFault::AnswerLost:
            (void)perform(call.operation);
            break;
        case PlatformFault::RequestLost:
            break;
        case PlatformFault::Delayed:
            if (write != nullptr)
                m_delayed.push_back(*write);
            break;
        case PlatformFault::NoReply:
            return std::nullopt;
        }
        return PlatformReply { call.id, PlatformNoReply { write != nullptr } };
    }

    void deliverDelayed()
    {
        for (const PlatformWrite &write : std::exchange(m_delayed, {}))
            (void)perform(write);
    }

    /// Every head that was ever written, oldest first.
    [[nodiscard]] const std::vector<ConfigHead> &heads() const noexcept { return m_heads; }
    [[nodiscard]] std::size_t callCount() const noexcept { return m_callCount; }

private:
    PlatformFault takeFault()
    {
        if (m_faults.empty())
            return m_persistentFault;
        const PlatformFault fault = m_faults.front();
        m_faults.pop_front();
        return fault;
    }

    PlatformResult perform(const PlatformOperation &operation)
    {
        if (const auto *write = std::get_if<PlatformWrite>(&operation))
            return performWrite(*write);
        const auto &key = std::holds_alternative<PlatformRead>(operation)
            ? std::get<PlatformRead>(operation).key
            : std::get<PlatformWatch>(operation).key;
        const auto found = m_objects.find(key);
        if (found == m_objects.end())
            return PlatformRefusal { PlatformRefusal::Reason::NotFound };
        return found->second;
    }

    PlatformResult performWrite(const PlatformWrite &write)
    {
        const auto found = m_objects.find(write.key);
        const ObjectVersion current
            = found == m_objects.end() ? ObjectVersion() : found->second.version;
        if (current != write.expected)
            return PlatformRefusal { PlatformRefusal::Reason::Conflict };
        m_lastVersion = next(m_lastVersion);
        m_objects[write.key] = { m_lastVersion, write.value };
        if (const auto *head = std::get_if<ConfigHead>(&write.value))
            m_heads.push_back(*head);
        return m_objects[write.key];
    }

    std::map<ObjectKey, PlatformObject> m_objects;
    ObjectVersion m_lastVersion;
    std::vector<ConfigHead> m_heads;
    std::vector<PlatformWrite> m_delayed;
    std::deque<PlatformFault> m_faults;
    PlatformFault m_persistentFault = PlatformFault::None;
    std::size_t m_callCount = 0;
};

} // namespace camphorreach::fakes
