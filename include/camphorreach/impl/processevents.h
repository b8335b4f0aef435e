// Process events: signals, and changes of the settings file.
#pragma once

#include <camphorreach/impl/iothread.h>
#include <camphorreach/log.h>
#include <camphorreach/ring.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/stat.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorreach::impl {

enum class ProcessEvent : std::uint8_t { StopRequested, SettingsChanged };

/// Identifies one state of a file, to detect changes.
struct FileStamp
{
    ::timespec modified {};
    ::off_t size = 0;
    ::ino_t inode = 0;

    friend bool operator==(const FileStamp &a, const FileStamp &b);
};

/// Handles SIGINT, SIGTERM and SIGHUP from construction until the process exits, so that none of
/// them kills a process that is still serving, and ignores SIGPIPE. main() owns the only object,
/// which is constructed before and destroyed after everything that serves. Its thread waits for
/// signals and polls the settings file.
class ProcessEvents
{
public:
    ProcessEvents();
    /// Blocks the signals in the calling thread. All other threads must have ended.
    ~ProcessEvents();
    ProcessEvents(const ProcessEvents &) = delete;
    ProcessEvents &operator=(const ProcessEvents &) = delete;

    /// Reports changes of this file from now on. Call before the file is read, and before start().
    void watch(std::string settingsFile);
    /// Starts the thread. Signals that arrived earlier are reported too.
    void start();
    /// Waits for the next event. A stop is reported once, and nothing after it: signals and changes
    /// during a stop are only logged.
    [[nodiscard]] ProcessEvent next();

private:
    void waitForSignal();
    void onSignal(int number);
    void scheduleCheck();
    void checkSettings();
    void report(ProcessEvent event, std::string_view cause);

    const Log m_log { "process" };
    IoThread m_thread;
    boost::asio::signal_set m_signals; // registered until the destructor has blocked its signals
    boost::asio::steady_timer m_checkTimer;
    std::string m_settingsFile; // empty: not watched
    std::optional<FileStamp> m_stamp; // last reported state, initially that at watch()
    bool m_isStopping = false; // never reset; used by the thread
    // One slot per kind of event: a queued SettingsChanged also covers later changes.
    Ring<ProcessEvent> m_events { 2, 1 };
};

} // namespace camphorreach::impl
