// Lists and watches one kind of object in the platform's store.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/store.h>
#include <camphorreach/units.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace camphorreach {

/// Decides when the store is called next and what the call reads: the beginning of a list, its
/// continuation, or changes. Lists again after failures and lost history. A call that the store
/// does not respond to is not given up, because a store that is only slow still replies to it;
/// another call shows when a store that does not respond to anything is back.
class StoreInformer
{
public:
    static constexpr std::size_t maxOverdueCalls = 3;

    enum class Read : std::uint8_t { List, NextPage, Watch };

    struct Call
    {
        StoreCallId id;
        Read read = Read::List;
        TimePoint sentAt {};
        TimePoint overdueAt {}; ///< If no reply has begun until then, the store is not responding.
        TimePoint provesFrom {}; ///< Sending time of the call for the first page.
        ConfigVersion heldAtStart {}; ///< The configuration when it was sent.
        std::optional<ObjectVersion> since {}; ///< Of a watch.
    };

    explicit StoreInformer(StoreKind kind) noexcept : m_kind(kind) { }

    [[nodiscard]] StoreKind kind() const noexcept { return m_kind; }
    /// When the store held nothing newer; empty until a list has ended.
    [[nodiscard]] std::optional<TimePoint> freshAsOf() const noexcept { return m_freshAsOf; }

    [[nodiscard]] bool isDue(TimePoint now) const;
    /// When a call is due or the pending one is overdue; empty when neither.
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;
    [[nodiscard]] bool isScheduled() const noexcept { return m_nextCall.has_value(); }
    [[nodiscard]] bool isPending() const noexcept { return m_pending.has_value(); }
    /// Number of consecutive failures and overdue calls, as far as it lengthens the next delay.
    [[nodiscard]] std::uint32_t failures() const noexcept { return m_failures; }
    /// The version that a watch may begin from; empty when the objects are to be listed first.
    [[nodiscard]] std::optional<ObjectVersion> watchFrom() const noexcept
    {
        return m_resourceVersion;
    }

    void callAt(TimePoint time) noexcept { m_nextCall = time; }
    void stop() noexcept { m_nextCall.reset(); } ///< While other nodes watch.
    void startWatching(TimePoint now);
    void resetFailures() noexcept { m_failures = 0; }
    /// Peers have sent changes newer than watchFrom(). A watch from there would return every
    /// version that they have sent already.
    void supersede() noexcept { m_isSuperseded = true; }
    /// The next call lists, whatever was read.
    void requireList() noexcept { m_resourceVersion.reset(); }

    // These begin a call. None may be pending; \a held is the configuration of this node.
    [[nodiscard]] StoreList startList(StoreCallId id, bool mayBeStale, ConfigVersion held,
                                      TimePoint now);
    [[nodiscard]] StoreWatch startWatch(StoreCallId id, Duration wait, ConfigVersion held,
                                        TimePoint now);

    [[nodiscard]] bool isPending(StoreCallId id) const;
    [[nodiscard]] bool isOverdue(StoreCallId id) const;
    [[nodiscard]] bool isReplyOverdue(TimePoint now) const; ///< To the pending call.
    void onReplyBegun() noexcept; ///< The endpoint limits the rest.
    [[nodiscard]] Call takePending();
    [[nodiscard]] Call takeOverdue(StoreCallId id);
    /// Whichever call is answered first counts, and the replies to the others are ignored.
    void dropOtherCalls();
    /// The pending call is overdue. The next one lists.
    void onOverdue();
    void restartList();
    /// Delays the next call by \a delay, and counts a failure.
    void retryAfter(Duration delay, TimePoint now);

    /// A page of a list or the changes of a watch were read. Returns whether pages follow.
    [[nodiscard]] bool onPage(const StoreEntries &entries, TimePoint now);
    /// The list or watch has ended, after \a versions of the configuration, with a newer one than
    /// was held if \a isNewer. Pages were read up to \a resourceVersion.
    void onLastPage(ObjectVersion resourceVersion, std::size_t versions, bool isNewer,
                    TimePoint now);
    /// A watch returns every version in full. When a reply holds more than one, the node lists
    /// instead, which returns only the newest, until a list returns nothing newer. That way it is
    /// never behind by more than the transfer time of one version.
    [[nodiscard]] bool isCatchingUp() const noexcept { return m_isCatchingUp; }
    /// Collects the pages of a list. Returns the whole list, as of its first page, with the last.
    [[nodiscard]] std::optional<StoreEntries> collect(Read read, const StoreEntries &entries,
                                                      bool hasMore);
    /// The copy is as stale as a call that was sent at \a sentAt, or as \a before.
    void limitFreshness(std::optional<TimePoint> before, TimePoint sentAt);

private:
    const StoreKind m_kind;
    std::optional<ObjectVersion> m_resourceVersion; // to watch from; empty: list first
    std::string m_cursor; // name after which the next page of the list begins
    std::optional<Call> m_pending;
    std::deque<Call> m_overdue; // may still get a reply; at most maxOverdueCalls
    std::optional<TimePoint> m_nextCall = TimePoint {}; // empty while other nodes watch
    std::uint32_t m_failures = 0; // consecutive; at most StoreBackoff::maxDoublings
    bool m_isSuperseded = false;
    bool m_isCatchingUp = false;
    std::optional<TimePoint> m_freshAsOf;
    TimePoint m_listStartedAt {}; // sending time of the call for the first page of a list
    std::optional<StoreEntries> m_collected; // of the list being read; empty when none was begun
};

} // namespace camphorreach
