// Order of the responses on a connection whose client sends requests ahead.
#pragma once

#include <camphorreach/units.h>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace camphorreach {

/// Returns responses in the order of their requests (HTTP/1.1 pipelining, RFC 9112, section 9.3.2).
/// A response that is ready waits for those of earlier requests. Load pattern: clients that send
/// several requests at once, of which the first may be the slowest, and clients that send without
/// reading.
template <typename Id, typename Response>
class ResponseOrder
{
public:
    struct Limits
    {
        std::size_t requests = 16; ///< Without a response that has been taken.
        /// Of the requests under way and the responses that wait. One request or response may
        /// exceed it.
        ByteCount bytes { 1024 * 1024 };
    };

    explicit ResponseOrder(Limits limits = {}) : m_limits(limits) { }

    /// Whether another request may be admitted. With nothing under way, the first always may.
    [[nodiscard]] bool mayAdmit() const noexcept
    {
        return m_entries.empty()
            || (m_entries.size() < m_limits.requests && m_bytes < m_limits.bytes.value());
    }

    void admit(Id id, ByteCount requestSize)
    {
        m_bytes += requestSize.value();
        m_entries.push_back({ std::move(id), requestSize.value(), std::nullopt });
    }

    /// Stores the response to \a id. Returns false when that request is not under way, or already
    /// has a response.
    bool complete(const Id &id, Response response, ByteCount responseSize)
    {
        for (Entry &entry : m_entries) {
            if (entry.id != id || entry.response)
                continue;
            m_bytes += responseSize.value() - entry.bytes;
            entry.bytes = responseSize.value();
            entry.response = std::move(response);
            return true;
        }
        return false;
    }

    /// The response to the oldest request, if it is ready. The request then counts as ended.
    [[nodiscard]] std::optional<Response> takeNext()
    {
        if (m_entries.empty() || !m_entries.front().response)
            return std::nullopt;
        std::optional<Response> response = std::move(m_entries.front().response);
        m_bytes -= m_entries.front().bytes;
        m_entries.pop_front();
        return response;
    }

    /// Forgets all requests, and returns those without a response.
    [[nodiscard]] std::vector<Id> takeUnanswered()
    {
        std::vector<Id> ids;
        for (Entry &entry : m_entries) {
            if (!entry.response)
                ids.push_back(std::move(entry.id));
        }
        m_entries.clear();
        m_bytes = 0;
        return ids;
    }

    /// Whether a request is under way that has no response yet.
    [[nodiscard]] bool hasUnanswered() const
    {
        return std::ranges::any_of(m_entries, [](const Entry &entry) { return !entry.response; });
    }
    [[nodiscard]] bool isEmpty() const noexcept { return m_entries.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    /// Of the requests under way and the responses that wait.
    [[nodiscard]] ByteCount bytes() const noexcept { return ByteCount(m_bytes); }

private:
    struct Entry
    {
        Id id;
        std::uint64_t bytes = 0; // of the request, then of its response
        std::optional<Response> response;
    };

    const Limits m_limits;
    std::deque<Entry> m_entries; // in the order of the requests
    std::uint64_t m_bytes = 0; // sum over m_entries
};

} // namespace camphorreach
