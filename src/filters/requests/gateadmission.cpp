// Admission of requests at a gate: early refusal, queueing, and review of what is queued.
#include <camphorreach/gate.h>

#include <camphorreach/fingerprint.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

// Network time of a request and its response: two hops between failure domains at 0.5 ms each.
constexpr Duration hopAllowance = std::chrono::milliseconds(1);

} // namespace

void Gate::onReceived(ForwardReceived &&received, TimePoint now, Outbox<Output> &outbox)
{
    ++m_counts.received;
    const TimePoint answerDeadline = now + received.request.budget - hopAllowance;
    const bool hasTarget
        = m_limits.rejectsEarly && received.request.targetBudget > Duration::zero();
    const TimePoint target = hasTarget ? now + received.request.targetBudget : answerDeadline;
    // A request that leaves the queue must have enough time left to run elsewhere or to be refused.
    const Duration assumedRun = m_limits.rejectsEarly
        ? assumedServiceTime(received.request.targetBudget, received.request.budget)
        : Duration::zero();
    const Duration minTime = m_limits.rejectsEarly
        ? m_completion.minTimeLeft(received.request.route, assumedRun)
        : Duration::zero();
    const Digest fingerprint = fingerprintOf(received.request.content);
    const CostClass costClass = m_remainingWork.classOf(received.request);
    admit({ received.link,
            std::move(received.request),
            answerDeadline - minTime,
            fingerprint,
            answerDeadline,
            target,
            {},
            {},
            {},
            assumedRun,
            {},
            costClass },
          now, outbox);
}

void Gate::admit(GateWork &&work, TimePoint now, Outbox<Output> &outbox)
{
    // Checked before any refusal: a retry of a request that ran must not be reported as not run.
    if (ResultStore::appliesTo(work.request)) {
        auto decision = m_results.admit(work, now);
        if (std::holds_alternative<ResultStore::Joined>(decision)) {
            ++m_counts.keyHits;
            return;
        }
        if (auto *outcome = std::get_if<Outcome>(&decision)) {
            if (std::holds_alternative<NotRun>(*outcome))
                ++m_counts.refused;
            else
                ++m_counts.keyHits;
            return reply(work, std::move(*outcome), false, outbox);
        }
    }
    if (const auto notRun = refusal(work, now))
        return refuse(work, *notRun, now, outbox);
    m_completion.reserve(work);
    enqueue(std::move(work), now, outbox);
}

// The reason to refuse the request, or nullopt when it may be queued.
std::optional<NotRun> Gate::refusal(const GateWork &work, TimePoint now)
{
    if (m_isDraining)
        return NotRun { NotRunReason::Draining };
    if (const auto reason = m_backend.refusal(work.request))
        return NotRun { *reason };
    const ForwardRequest &request = work.request;
    if (request.bodyTime > Duration::zero() && work.answerDeadline - now <= request.bodyTime) {
        ++m_counts.egressRefused; // of the sender's link
        return NotRun { NotRunReason::EgressFull };
    }
    if (!m_completion.canFinish(work, now))
        return NotRun { NotRunReason::DeadlinePassed };
    const Duration wait = expectedWait(work, now);
    const Duration egressWait = m_completion.egressWait(work, wait, now);
    if (m_completion.isEgressWaitTooLong(egressWait)) {
        ++m_counts.egressRefused;
        return NotRun { NotRunReason::EgressFull, egressWait };
    }
    if (m_completion.missesDeadline(work, wait, egressWait, now))
        return overloaded(wait + egressWait);
    // A late response is better than a refusal, as long as late requests do not delay the others.
    if (!m_completion.missesTarget(work, wait, now))
        return std::nullopt;
    // At the rate of a cold server, late requests would wait behind the others until they expire.
    const bool waitsForRate = m_coldStart.isLimiting() && wait > Duration::zero();
    // Between organisations, reviewDisplaced() chooses the one that is turned away.
    if (waitsForRate || (m_queues.lateCount() >= m_backend.slots() && !m_shares.isActive()))
        return overloaded(wait);
    return std::nullopt;
}

NotRun Gate::overloaded(Duration wait)
{
    m_counts.coldRefused += m_coldStart.isLimiting() ? 1 : 0;
    return { NotRunReason::Overloaded, wait };
}

// Expected time until the request gets a slot and may start, given the requests that would run
// before it.
Duration Gate::expectedWait(const GateWork &work, TimePoint now) const
{
    const bool isSlotFree = busySlots() < m_backend.slots();
    if (isSlotFree && !m_coldStart.isLimiting())
        return Duration::zero();
    GateWork probe;
    probe.request.kindWeight = work.request.kindWeight;
    probe.target = work.target;
    probe.deadline = work.deadline;
    probe.group = m_shares.groupOf(work.request);
    probe.tag = m_shares.nextTag(probe.group, work.request.route);
    return waitBehind(m_queues.countBefore(probe), work.assumedRun, now);
}

// Expected time until the request after \a before others gets a slot and may start.
Duration Gate::waitBehind(std::size_t before, Duration assumedRun, TimePoint now) const
{
    const Duration coldWait = m_coldStart.waitFor(before, now);
    if (busySlots() < m_backend.slots())
        return coldWait;
    const auto ahead = static_cast<Duration::rep>(before) + 1;
    return std::max(coldWait,
                    m_completion.overallServiceTime(assumedRun) * ahead
                        / static_cast<Duration::rep>(m_backend.slots()));
}

// Refuses queued requests that the backend server no longer accepts, or that it would start too
// late, so that they can run at another gate.
void Gate::reviewQueues(TimePoint now, Outbox<Output> &outbox)
{
    for (GateWork &work : m_queues.takeAll()) {
        if (const auto notRun = refusal(work, now))
            refuse(work, *notRun, now, outbox);
        else
            enqueue(std::move(work), now, outbox);
    }
}

void Gate::enqueue(GateWork &&work, TimePoint now, Outbox<Output> &outbox)
{
    const auto status = m_containment.statusOf(work.fingerprint, now);
    if (status == CrashContainment::Status::Quarantined)
        return refuse(work, NotRunReason::Quarantined, now, outbox);
    work.expectedWork = m_remainingWork.work(work.costClass);
    work.group = m_shares.groupOf(work.request);
    work.cost = m_completion.serviceTime(work.request.route);
    work.tag = m_shares.assignTag(work.group, work.request, work.cost);
    const GateQueues::Kind kind = status == CrashContainment::Status::Suspect
        ? GateQueues::Kind::Suspect
        : m_completion.missesTarget(work, expectedWait(work, now), now) ? GateQueues::Kind::Late
                                                                        : GateQueues::Kind::Timely;
    const auto shed = m_queues.push(kind, std::move(work));
    m_counts.shed += shed.size();
    refuseAll(shed, NotRunReason::Overloaded, now, outbox);
    reviewDisplaced(now, outbox);
}

// A request that goes before others takes time from the last one, which belongs to the organisation
// that is the furthest above its share. If that one can no longer meet its target, it waits with
// the late ones, or is refused while there is still time to run elsewhere.
void Gate::reviewDisplaced(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_shares.isActive())
        return;
    const auto missesTarget = [&](const GateWork &work, std::size_t before) {
        return m_completion.missesTarget(work, waitBehind(before, work.assumedRun, now), now);
    };
    const std::vector<GateWork> refused
        = m_queues.takeDisplaced(missesTarget, !m_coldStart.isLimiting(), m_backend.slots());
    m_counts.shed += refused.size();
    for (const GateWork &work : refused)
        refuse(work, overloaded(waitBehind(m_queues.timelyCount(), work.assumedRun, now)), now,
               outbox);
}

} // namespace camphorreach
