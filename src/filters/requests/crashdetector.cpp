// Crash detection from lost calls and the end of the process.
#include <camphorreach/crashdetector.h>

namespace camphorreach {
namespace {

// Maximum time between a lost call and the end of the process that make up a crash. Calls are lost
// as soon as the process ends. The reachability monitor sees a refused connection within its
// maximum interval of 0.5 s, and a busy machine may take as long again.
constexpr Duration crashEvidenceWindow = std::chrono::seconds(1);
constexpr std::size_t maxLostCalls = 256;

} // namespace

void CrashDetector::onCallLost(Digest fingerprint, bool wasIsolated, TimePoint now)
{
    if (m_lostCalls.size() == maxLostCalls)
        m_lostCalls.pop_front();
    m_lostCalls.push_back({ fingerprint, now, wasIsolated });
}

std::optional<CrashDetector::Crash> CrashDetector::detect(const std::vector<RunningCall> &running,
                                                          TimePoint now)
{
    std::erase_if(m_lostCalls,
                  [now](const LostCall &lost) { return now - lost.time > crashEvidenceWindow; });
    if (m_lostCalls.empty() || !m_processEndedAt || now - *m_processEndedAt > crashEvidenceWindow)
        return std::nullopt;
    m_processEndedAt.reset();
    Crash crash;
    for (const LostCall &lost : m_lostCalls) {
        crash.inFlight.insert(lost.fingerprint);
        if (lost.wasIsolated)
            crash.isolated = lost.fingerprint;
    }
    // Calls that started after the first loss met a process that had already ended; they are not
    // among the causes.
    m_crashCalls.clear();
    for (const RunningCall &call : running) {
        if (call.started > m_lostCalls.front().time)
            continue;
        m_crashCalls.insert(call.id);
        crash.inFlight.insert(call.fingerprint);
    }
    m_lostCalls.clear();
    return crash;
}

} // namespace camphorreach
