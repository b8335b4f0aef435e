// A camphorreach-sidecar as a process of its own.
#pragma once

#include <camphorreach/sidecarsettings.h>
#include <camphorreach/units.h>

#include <boost/process/child.hpp>
#include <boost/process/pipe.hpp>

#include <filesystem>
#include <optional>
#include <string>

namespace camphorreach {

/// Starts with a settings file of its own, which goes when the object does. A process that still
/// runs then is killed.
class SidecarProcess
{
public:
    explicit SidecarProcess(const SidecarSettings &settings);
    ~SidecarProcess();
    SidecarProcess(const SidecarProcess &) = delete;
    SidecarProcess &operator=(const SidecarProcess &) = delete;

    /// Reads the log until a line holds \a text. False when the log ends before.
    [[nodiscard]] bool waitForLog(const std::string &text);
    /// The next line of the log, or nothing when it has ended. Another thread may send signals.
    [[nodiscard]] std::optional<std::string> nextLine();
    void send(int signal);
    /// Replaces the settings file by one with \a added at its end; a comment keeps its meaning.
    void touchSettings(const std::string &added = "# changed\n") const;
    /// Waits until the process has ended by itself. Its exit code, or nothing when a signal ended
    /// it.
    [[nodiscard]] std::optional<int> exitCode();

private:
    const std::filesystem::path m_file;
    const std::string m_settingsText;
    boost::process::ipstream m_log;
    boost::process::child m_process;
};

} // namespace camphorreach
