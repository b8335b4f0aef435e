// Process events: signals, and changes of the settings file, for the whole life of a process.
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

enum class ProcessEvent : std::uint8_t { StopAsked, SettingsChanged };

/// What tells one state of a file from another.
struct FileStamp
{
    ::timespec modified {};
    ::off_t size = 0;
    ::ino_t inode = 0;

    friend bool operator==(const FileStamp &a, const FileStamp &b);
};

/// Takes SIGINT, SIGTERM and SIGHUP from its construction until the process exits, so that none of
/// them ends a process that still serves, and ignores SIGPIPE. main() owns the only one: it is
/// constructed before anything that serves and destroyed after it. Its thread waits for signals and
/// looks at the settings file.
class ProcessEvents
{
public:
    ProcessEvents();
    /// No signal is delivered to the calling thread afterwards. All other threads have ended.
    ~ProcessEvents();
    ProcessEvents(const ProcessEvents &) = delete;
    ProcessEvents &operator=(const ProcessEvents &) = delete;

    /// Reports changes of this file from now on. Call before the file is read, and before start().
    void watch(std::string settingsFile);
    /// Starts the thread. Signals that came earlier are reported too.
    void start();
    /// Waits for the next event. A stop is reported once, and nothing after it: signals and changes
    /// during a stop are only logged.
    [[nodiscard]] ProcessEvent next();

private:
    void listen();
    void onSignal(int number);
    void checkLater();
    void checkSettings();
    void report(ProcessEvent event, std::string_view cause);

    const Log m_log { "process" };
    IoThread m_thread;
    boost::asio::signal_set m_signals; // registered until the destructor has blocked its signals
    boost::asio::steady_timer m_checkTimer;
    std::string m_settingsFile; // empty: not watched
    std::optional<FileStamp>
        m_stamp; // of the state that was last reported, or that was there first
    bool m_isStopping = false; // never becomes false again; used by the thread
    // One place for each kind of event: a change that waits to be read stands for later ones.
    Ring<ProcessEvent> m_events { 2, 1 };
};

} // namespace camphorreach::impl
