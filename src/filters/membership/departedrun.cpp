// Bounded set of departed runs.
#include <camphorreach/departedrun.h>

#include <algorithm>

namespace camphorreach {

bool DepartedRuns::add(const DepartedRun &run)
{
    if (contains(run))
        return false;
    std::erase_if(m_runs, [&](const DepartedRun &held) { return held.server == run.server; });
    if (m_runs.size() == maxRuns)
        m_runs.erase(m_runs.begin());
    m_runs.push_back(run);
    return true;
}

bool DepartedRuns::add(const DepartedRuns &other)
{
    bool hasChanged = false;
    for (const DepartedRun &run : other.m_runs)
        hasChanged = add(run) || hasChanged;
    return hasChanged;
}

bool DepartedRuns::contains(const DepartedRun &run) const
{
    return std::ranges::any_of(m_runs, [&](const DepartedRun &held) {
        return held.server == run.server && run.startTime <= held.startTime;
    });
}

} // namespace camphorreach
