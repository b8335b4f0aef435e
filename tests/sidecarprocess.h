// Runs camphorreach-sidecar as a child process.
#pragma once

#include <camphorreach/sidecarsettings.h>
#include <camphorreach/units.h>

#include <boost/process/child.hpp>
#include <boost/process/pipe.hpp>

#include <filesystem>
#include <optional>
#include <string>

namespace camphorreach {

/// A child process with its own settings file. The destructor removes the file, and kills the
/// process if it is still running.
class SidecarProcess
{
public:
    explicit SidecarProcess(const SidecarSettings &settings);
    ~SidecarProcess();
    SidecarProcess(const SidecarProcess &) = delete;
    SidecarProcess &operator=(const SidecarProcess &) = delete;

    /// Reads the log until a line contains \a text. Returns false when the log ends first.
    [[nodiscard]] bool waitForLog(const std::string &text);
    /// The next line of the log, or std::nullopt when it has ended. Another thread may call send()
    /// meanwhile.
    [[nodiscard]] std::optional<std::string> nextLine();
    void send(int signal);
    [[nodiscard]] int id() const { return m_process.id(); }
    /// Replaces the settings file by the original text with \a added at the end. The default, a
    /// comment, changes no setting.
    void touchSettings(const std::string &added = "# changed\n") const;
    /// Waits until the process has exited. Returns its exit code, or std::nullopt when a signal
    /// killed it.
    [[nodiscard]] std::optional<int> exitCode();

private:
    const std::filesystem::path m_file;
    const std::string m_settingsText;
    boost::process::ipstream m_log;
    boost::process::child m_process;
};

} // namespace camphorreach
