// Counts, shares and verdicts of rollouts.
#include <camphorreach/rollouts.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

constexpr Duration updateInterval = std::chrono::milliseconds(200);
// Two leaders, so that rollouts continue when one is lost.
constexpr std::size_t leaderCount = 2;
// A node that receives no directive keeps its share for this long. Then a candidate that does not
// have all traffic yet falls back to its trial share.
constexpr Duration directiveLifetime = std::chrono::seconds(2);
// A member whose latest report is older than this counts as not reporting.
constexpr Duration reportLifetime = std::chrono::seconds(2);
constexpr Duration writeRetryDelay = std::chrono::milliseconds(300);
// Time for requests that were routed before the last step to leave the old versions.
constexpr Duration drainTime = std::chrono::milliseconds(1500);
// The second leader waits this long for the first one to write.
constexpr Duration standbyDelay = std::chrono::milliseconds(400);

double ratio(std::uint64_t count, std::uint64_t total)
{
    return total == 0 ? 0.0 : static_cast<double>(count) / static_cast<double>(total);
}

} // namespace

Rollouts::Rollouts(Endpoint self, RolloutPolicy policy)
    : m_self(std::move(self)), m_policy(policy), m_members { m_self }
{ }

void Rollouts::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    std::visit(
        Overloaded {
            [&](OrdersChanged &changed) {
                for (const RolloutOrder &order : changed.orders)
                    onOrder(order, now);
            },
            [&](AttemptStarted &started) { onStarted(started); },
            [&](RequestSample &sample) { onSample(sample, now); },
            [&](AttemptAbandoned &abandoned) { onAbandoned(abandoned); },
            [&](AttemptsLost &) { onAttemptsLost(); },
            [&](PeerReceived<RolloutMessage> &received) { onMessage(received.message, now); },
            [&](EndpointsChanged &changed) { onEndpoints(changed); },
            [&](StoreReply &reply) { onReply(reply, now); },
        },
        input);
    publish(outbox);
}

void Rollouts::onOrder(const RolloutOrder &order, TimePoint now)
{
    const auto rollout = m_rollouts.find(order.service);
    if (order.isTakenBack()) {
        m_hasChanged = m_rollouts.erase(order.service) > 0 || m_hasChanged;
        m_hasChanged = m_ended.erase(order.service) > 0 || m_hasChanged;
        return;
    }
    const bool hasEnded
        = order.state == RolloutState::Completed || order.state == RolloutState::RolledBack;
    if (hasEnded) {
        if (rollout != m_rollouts.end())
            m_rollouts.erase(rollout);
        ServiceShares &ended = m_ended[order.service];
        ended = {};
        if (order.state == RolloutState::Completed) {
            ended.candidate = order.target;
            ended.candidateShare = Share::all();
        } else {
            ended.banned.insert(order.target);
        }
        m_hasChanged = true;
        return;
    }
    if (rollout != m_rollouts.end() && rollout->second.order.target == order.target) {
        rollout->second.order = order;
        return;
    }
    ActiveRollout started(m_policy.slowFactor);
    started.order = order;
    started.startedAt = now;
    started.share = m_policy.trialShare;
    m_rollouts.insert_or_assign(order.service, std::move(started));
    m_hasChanged = true;
    if (!m_nextUpdate)
        m_nextUpdate = now;
}

void Rollouts::onStarted(const AttemptStarted &started)
{
    const auto found = m_rollouts.find(started.service);
    if (found != m_rollouts.end())
        found->second.latency.onStarted(started, started.version == found->second.order.target);
}

void Rollouts::onAbandoned(const AttemptAbandoned &abandoned)
{
    const auto found = m_rollouts.find(abandoned.service);
    if (found != m_rollouts.end())
        found->second.latency.onAbandoned(abandoned.attempt);
}

void Rollouts::onAttemptsLost()
{
    for (auto &[service, rollout] : m_rollouts)
        rollout.latency.onLost();
}

// Only responses and timeouts count. A lost connection or a refusal depends on the machine rather
// than on the version, and failures of the version itself are responses.
void Rollouts::onSample(const RequestSample &sample, TimePoint now)
{
    const auto found = m_rollouts.find(sample.service);
    if (found == m_rollouts.end())
        return;
    ActiveRollout &rollout = found->second;
    const bool isCounted = sample.result == SampleResult::Success
        || (sample.result == SampleResult::Failure && sample.isAnswered)
        || sample.result == SampleResult::Timeout;
    if (!isCounted || sample.isCrashSuspect)
        return rollout.latency.onAbandoned(sample.attempt);
    const bool isCandidate = sample.version == rollout.order.target;
    RolloutCounts &counts = isCandidate ? rollout.candidate : rollout.baseline;
    ++counts.requests;
    counts.failures += sample.result == SampleResult::Failure ? 1 : 0;
    rollout.latency.onEnded(sample, isCandidate);
    if (isCandidate)
        stopIfRegression(rollout, now);
}

// The evidence of this node stops its own requests at once, without a directive.
void Rollouts::stopIfRegression(ActiveRollout &rollout, TimePoint now)
{
    if (rollout.isBad || !isRegression(rollout.baseline, rollout.candidate))
        return;
    rollout.isBad = true;
    rollout.share = Share::none();
    m_hasChanged = true;
    m_nextUpdate = now;
}

bool Rollouts::isRegression(const RolloutCounts &baseline, const RolloutCounts &candidate) const
{
    const auto exceeds
        = [&](std::uint64_t adverse, double rate, double baselineRate, double limit) {
              return adverse >= m_policy.minAdverse
                  && rate > std::max(limit, 2.0 * baselineRate + limit / 2);
          };
    return exceeds(candidate.failures, ratio(candidate.failures, candidate.requests),
                   ratio(baseline.failures, baseline.requests), m_policy.maxFailureRate)
        || exceeds(candidate.slow, ratio(candidate.slow, candidate.settled),
                   ratio(baseline.slow, baseline.settled), m_policy.maxSlowRate);
}

void Rollouts::onMessage(const RolloutMessage &message, TimePoint now)
{
    std::visit(
        Overloaded {
            [&](const RolloutReport &report) {
                const auto found = m_rollouts.find(report.service);
                if (found == m_rollouts.end() || found->second.order.target != report.target)
                    return;
                found->second.startedAt = std::min(found->second.startedAt, now - report.elapsed);
                found->second.reports.insert_or_assign(report.node, ReceivedReport { report, now });
            },
            [&](const RolloutDirective &directive) {
                const auto found = m_rollouts.find(directive.service);
                if (found == m_rollouts.end() || found->second.order.target != directive.target)
                    return;
                ActiveRollout &rollout = found->second;
                rollout.directiveAt = now;
                rollout.startedAt = std::min(rollout.startedAt, now - directive.elapsed);
                rollout.isBad = rollout.isBad || directive.isBad;
                const Share share = rollout.isBad ? Share::none() : directive.share;
                m_hasChanged = m_hasChanged || rollout.share != share;
                rollout.share = share;
            },
        },
        message);
}

void Rollouts::onReply(const StoreReply &reply, TimePoint now)
{
    for (auto &[service, rollout] : m_rollouts) {
        if (rollout.write != reply.id)
            continue;
        rollout.write.reset();
        if (const auto *written = std::get_if<StoreWritten>(&reply.result))
            rollout.order.version = std::max(rollout.order.version, written->version);
        else
            rollout.nextWrite = now + writeRetryDelay; // the catalog delivers the current version
        return;
    }
}

void Rollouts::onEndpoints(const EndpointsChanged &changed)
{
    m_members.clear();
    for (const auto &[service, endpoints] : changed.table->services)
        m_members.insert(m_members.end(), endpoints.begin(), endpoints.end());
    // Members that are stopping lead only if there are no others.
    std::ranges::sort(m_members, {}, [](const Endpoint &member) {
        return std::pair(member.state != EndpointState::Ready, member.instance);
    });
}

bool Rollouts::isLeading() const
{
    const auto end
        = m_members.begin() + static_cast<std::ptrdiff_t>(std::min(leaderCount, m_members.size()));
    return std::any_of(m_members.begin(), end, [this](const Endpoint &member) {
        return member.instance == m_self.instance;
    });
}

bool Rollouts::hasReportsOfMost(const ActiveRollout &rollout, TimePoint now) const
{
    std::size_t others = 0;
    std::size_t reporting = 0;
    for (const Endpoint &member : m_members) {
        if (member.instance == m_self.instance)
            continue;
        ++others;
        const auto found = rollout.reports.find(member.instance);
        const bool isReporting
            = found != rollout.reports.end() && now - found->second.receivedAt <= reportLifetime;
        reporting += isReporting ? 1 : 0;
    }
    return 2 * reporting > others;
}

void Rollouts::advance(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_nextUpdate || now < *m_nextUpdate)
        return;
    for (auto &[service, rollout] : m_rollouts)
        update(rollout, now, outbox);
    m_nextUpdate = m_rollouts.empty() ? std::nullopt : std::optional(now + updateInterval);
    publish(outbox);
}

void Rollouts::update(ActiveRollout &rollout, TimePoint now, Outbox<Output> &outbox)
{
    rollout.latency.settle(rollout.baseline, rollout.candidate);
    stopIfRegression(rollout, now);
    if (isLeading()) {
        updateAsLeader(rollout, now, outbox);
        return;
    }
    sendReports(rollout, now, outbox);
    expireDirective(rollout, now);
}

void Rollouts::expireDirective(ActiveRollout &rollout, TimePoint now)
{
    const bool isStale = now - rollout.directiveAt > directiveLifetime;
    if (isStale && rollout.share > m_policy.trialShare && rollout.share != Share::all()) {
        rollout.share = m_policy.trialShare;
        m_hasChanged = true;
    }
}

void Rollouts::updateAsLeader(ActiveRollout &rollout, TimePoint now, Outbox<Output> &outbox)
{
    RolloutCounts baseline = rollout.baseline;
    RolloutCounts candidate = rollout.candidate;
    for (const auto &[node, received] : rollout.reports) {
        baseline += received.report.baseline;
        candidate += received.report.candidate;
    }
    rollout.isBad = rollout.isBad || isRegression(baseline, candidate);
    if (!rollout.isBad && !hasReportsOfMost(rollout, now)) {
        sendReports(rollout, now, outbox);
        expireDirective(rollout, now);
        return;
    }
    const Share share = plannedShare(rollout, candidate, now);
    if (share != rollout.share) {
        rollout.share = share;
        m_hasChanged = true;
    }
    if (share != Share::all())
        rollout.fullShareSince.reset();
    else if (!rollout.fullShareSince)
        rollout.fullShareSince = now;
    sendDirectives(rollout, now, outbox);
    const bool isDue
        = now - rollout.startedAt >= scaled(rollout.order.ramp, m_policy.completionFraction);
    if (rollout.isBad)
        writeState(rollout, RolloutState::RolledBack, now, outbox);
    else if (isDue && rollout.fullShareSince && now - *rollout.fullShareSince >= drainTime)
        writeState(rollout, RolloutState::Completed, now, outbox);
    else if (rollout.order.state == RolloutState::Requested)
        writeState(rollout, RolloutState::Running, now, outbox);
}

Share Rollouts::plannedShare(const ActiveRollout &rollout, const RolloutCounts &candidate,
                             TimePoint now) const
{
    if (rollout.isBad)
        return Share::none();
    const double progress = ratio(static_cast<std::uint64_t>((now - rollout.startedAt).count()),
                                  static_cast<std::uint64_t>(rollout.order.ramp.count()));
    Share share = m_policy.trialShare;
    if (candidate.settled < m_policy.minSettled)
        return share;
    for (std::size_t step = 0; step < m_policy.stepFractions.size(); ++step) {
        if (progress >= m_policy.stepFractions[step])
            share = Share::fromFraction(m_policy.stepShares[step]);
    }
    return share;
}

void Rollouts::writeState(ActiveRollout &rollout, RolloutState state, TimePoint now,
                          Outbox<Output> &outbox)
{
    const bool isFirst = m_members.empty() || m_members.front().instance == m_self.instance;
    if (rollout.nextWrite == TimePoint {} && !isFirst) {
        rollout.nextWrite = now + standbyDelay;
        return;
    }
    if (rollout.write || now < rollout.nextWrite)
        return;
    rollout.write = StoreCallId(m_nextCall++);
    rollout.nextWrite = now + writeRetryDelay;
    StoreCall call;
    call.id = *rollout.write;
    call.operation.emplace<StoreUpdateStatus>(StoreUpdateStatus { rollout.order, state });
    outbox.emit(std::move(call));
}

void Rollouts::sendReports(const ActiveRollout &rollout, TimePoint now,
                           Outbox<Output> &outbox) const
{
    const RolloutReport report { m_self.instance,      rollout.order.service,
                                 rollout.order.target, now - rollout.startedAt,
                                 rollout.baseline,     rollout.candidate };
    for (std::size_t i = 0; i < std::min(leaderCount, m_members.size()); ++i) {
        if (m_members[i].instance != m_self.instance)
            outbox.emit(
                PeerSend { m_members[i].peer, Transport::Datagram, RolloutMessage(report) });
    }
}

void Rollouts::sendDirectives(const ActiveRollout &rollout, TimePoint now,
                              Outbox<Output> &outbox) const
{
    const RolloutDirective directive { rollout.order.service, rollout.order.target, rollout.share,
                                       rollout.isBad, now - rollout.startedAt };
    for (const Endpoint &member : m_members) {
        if (member.instance != m_self.instance)
            outbox.emit(PeerSend { member.peer, Transport::Datagram, RolloutMessage(directive) });
    }
    // The other leader decides on the same counts.
    sendReports(rollout, now, outbox);
}

void Rollouts::publish(Outbox<Output> &outbox)
{
    if (!std::exchange(m_hasChanged, false))
        return;
    auto shares = std::make_shared<MoveShares>();
    shares->services = m_ended;
    for (const auto &[service, rollout] : m_rollouts) {
        ServiceShares &entry = shares->services[service];
        entry.candidate = rollout.order.target;
        entry.candidateShare = rollout.share;
        entry.isObserved = true;
        if (rollout.isBad)
            entry.banned.insert(rollout.order.target);
    }
    outbox.emit(MoveSharesChanged { std::move(shares) });
}

std::optional<TimePoint> Rollouts::nextDeadline() const
{
    return m_nextUpdate;
}

std::optional<Share> Rollouts::shareOf(const ServiceName &service) const
{
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() ? std::nullopt : std::optional(found->second.share);
}

bool Rollouts::isBanned(const ServiceName &service) const
{
    const auto found = m_rollouts.find(service);
    if (found != m_rollouts.end())
        return found->second.isBad;
    const auto ended = m_ended.find(service);
    return ended != m_ended.end() && !ended->second.banned.empty();
}

} // namespace camphorreach
