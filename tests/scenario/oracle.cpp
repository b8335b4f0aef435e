// Invariants that the oracle checks.
#include "oracle.h"

#include <camphorreach/result.h>

#include <algorithm>

namespace camphorreach::scenario {
namespace {

// Time after which a draining backend server must get no new requests: "a few seconds".
constexpr Duration drainGrace = std::chrono::seconds(3);

} // namespace

void Oracle::addViolation(const std::string &text)
{
    constexpr std::size_t maxViolations = 20;
    if (m_violations.size() < maxViolations)
        m_violations.push_back(text);
}

void Oracle::onAccepted(ConfigVersion version, Digest digest, bool isGood)
{
    m_accepted[version] = { digest, isGood };
}

void Oracle::onSnapshot(const InstanceId &instance, const Snapshot &snapshot, TimePoint)
{
    const std::string where
        = instance.value() + " at version " + std::to_string(snapshot.version.value());
    ConfigVersion &highest = m_versions[instance];
    if (snapshot.version < highest)
        addViolation(where + " regressed from version " + std::to_string(highest.value()));
    highest = std::max(highest, snapshot.version);
    const auto accepted = m_accepted.find(snapshot.version);
    if (accepted == m_accepted.end())
        addViolation(where + " activated a version that was never accepted");
    else if (!accepted->second.isGood)
        addViolation(where + " activated a bad version");
    else if (accepted->second.digest != snapshot.digest)
        addViolation(where + " activated only part of the version, or different content");
    for (const auto &[name, service] : snapshot.services) {
        std::uint64_t sum = 0;
        for (const auto &[version, weight] : service.weights)
            sum += weight.millionths();
        if (sum != Share::whole || service.name != name)
            addViolation(where + " has service " + name.value()
                         + " with a wrong name or weights that do not add up");
    }
}

void Oracle::onSent(const std::string &key, const std::string &service, const std::string &path,
                    bool isRunOnce)
{
    ++m_totals.sent;
    // A client that resends its request expects a new outcome.
    Request &request = m_requests[key];
    request.service = service;
    request.path = path;
    request.isRunOnce = isRunOnce;
    request.hasEnded = false;
    request.wasReportedNotRun = false;
    request.runsAtSend = request.runs;
}

void Oracle::onRun(const InstanceId &instance, const ForwardRequest &request, TimePoint now)
{
    ++m_totals.runsByVersion[request.version];
    Request &record = m_requests[request.content.body];
    ++record.runs;
    if (record.isRunOnce && record.runs > 1)
        addViolation("run-once request " + request.content.body + " ran more than once");
    if (record.wasReportedNotRun)
        addViolation("request " + request.content.body + " ran after its client got \"not run\"");
    const auto draining = m_drainingSince.find(instance);
    if (draining != m_drainingSince.end() && now > draining->second + drainGrace)
        addViolation(instance.value() + " got a new request while draining");
}

void Oracle::onOutcome(const std::string &key, const Outcome &outcome)
{
    Request &request = m_requests[key];
    if (request.hasEnded)
        addViolation("request " + key + " got two outcomes");
    request.hasEnded = true;
    std::visit(Overloaded {
                   [&](const Answered &answered) {
                       ++(answered.status >= 500 ? m_totals.failed : m_totals.answered);
                       if (answered.body != key)
                           addViolation("request " + key + " got the response to " + answered.body);
                   },
                   [&](const NotRun &) {
                       ++m_totals.notRun;
                       request.wasReportedNotRun = true;
                       // An earlier attempt of the same client may have run.
                       if (request.runs > request.runsAtSend)
                           addViolation("request " + key + " ran, but its client got \"not run\"");
                   },
                   [&](const OutcomeUnknown &) {
                       ++m_totals.unknown;
                       addUnresolved(key);
                   },
               },
               outcome);
}

void Oracle::onConnectionLost(const std::string &key)
{
    m_requests[key].hasEnded = true;
    ++m_totals.lost;
    addUnresolved(key);
}

void Oracle::addUnresolved(const std::string &key)
{
    const Request &request = m_requests[key];
    if (request.isRunOnce)
        m_unresolved.push_back({ key, request.service, request.path });
}

void Oracle::onDraining(const InstanceId &instance, TimePoint now)
{
    m_drainingSince[instance] = now;
}

void Oracle::onStarted(const InstanceId &instance)
{
    m_drainingSince.erase(instance);
}

std::uint64_t Oracle::pendingCount() const noexcept
{
    return static_cast<std::uint64_t>(std::ranges::count_if(
        m_requests, [](const auto &entry) { return !entry.second.hasEnded; }));
}

} // namespace camphorreach::scenario
