// Signals, and changes of the settings file.
#include <camphorreach/impl/processevents.h>

#include <chrono>
#include <csignal>
#include <cstring>
#include <utility>

namespace camphorreach::impl {
namespace {

// The settings file may change without a signal; no setting is urgent.
constexpr auto checkInterval = std::chrono::seconds(1);

std::optional<FileStamp> stampOf(const std::string &path)
{
    struct ::stat status = {};
    if (::stat(path.c_str(), &status) != 0)
        return std::nullopt;
    return FileStamp { status.st_mtim, status.st_size, status.st_ino };
}

} // namespace

bool operator==(const FileStamp &a, const FileStamp &b)
{
    return a.modified.tv_sec == b.modified.tv_sec && a.modified.tv_nsec == b.modified.tv_nsec
        && a.size == b.size && a.inode == b.inode;
}

ProcessEvents::ProcessEvents()
    : m_signals(m_thread.io(), SIGINT, SIGTERM, SIGHUP), m_checkTimer(m_thread.io())
{
    std::signal(SIGPIPE, SIG_IGN); // standard output may be a pipe whose reader has exited
}

// Without the mask, a signal between the deregistration and the exit would kill the process by its
// default action.
ProcessEvents::~ProcessEvents()
{
    m_thread.stop();
    ::sigset_t handled;
    ::sigemptyset(&handled);
    for (const int number : { SIGINT, SIGTERM, SIGHUP })
        ::sigaddset(&handled, number);
    ::pthread_sigmask(SIG_BLOCK, &handled, nullptr);
}

void ProcessEvents::watch(std::string settingsFile)
{
    m_settingsFile = std::move(settingsFile);
    m_stamp = stampOf(m_settingsFile);
}

void ProcessEvents::start()
{
    waitForSignal();
    if (!m_settingsFile.empty())
        scheduleCheck();
    m_thread.start();
}

ProcessEvent ProcessEvents::next()
{
    // Empty only when closed.
    return m_events.pop(std::nullopt).value_or(ProcessEvent::StopRequested);
}

void ProcessEvents::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int number) {
        if (error)
            return;
        onSignal(number);
        waitForSignal();
    });
}

void ProcessEvents::onSignal(int number)
{
    const std::string cause = std::string("SIG") + ::sigabbrev_np(number);
    if (number != SIGHUP)
        return report(ProcessEvent::StopRequested, cause);
    if (!m_settingsFile.empty())
        m_stamp = stampOf(m_settingsFile); // before the file is read, so that no change is missed
    report(ProcessEvent::SettingsChanged, cause);
}

void ProcessEvents::scheduleCheck()
{
    m_checkTimer.expires_after(checkInterval);
    m_checkTimer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        checkSettings();
        scheduleCheck();
    });
}

void ProcessEvents::checkSettings()
{
    const std::optional<FileStamp> current = stampOf(m_settingsFile);
    if (!current || current == m_stamp)
        return;
    m_stamp = current;
    report(ProcessEvent::SettingsChanged, "file");
}

void ProcessEvents::report(ProcessEvent event, std::string_view cause)
{
    const bool isIgnored = m_isStopping;
    m_log.info("event=process-event cause=" + std::string(cause)
               + (isIgnored ? " ignored=stopping" : ""));
    if (isIgnored)
        return;
    if (event == ProcessEvent::StopRequested) {
        m_isStopping = true;
        // Sent only once, so its slot is free.
        (void)m_events.pushReserved(ProcessEvent::StopRequested);
    } else {
        (void)m_events.tryPush(ProcessEvent::SettingsChanged);
    }
}

} // namespace camphorreach::impl
