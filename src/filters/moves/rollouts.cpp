// Evidence, shares and verdicts of roll-outs.
#include <camphorreach/rollouts.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(200);
// Two nodes lead, so that the loss of one stops nothing.
constexpr std::size_t leaders = 2;
// A node that hears nothing from a leading one keeps the share that it has, for as long as this;
// after it, an unproved version falls back to its trial.
constexpr Duration directiveLifetime = std::chrono::seconds(2);
constexpr std::size_t maxRoutes = 1024;
constexpr double smoothing = 0.1; // weight of a new latency in the usual one
constexpr double toleratedRiseUs = 15'000; // below this, scheduling explains the difference
constexpr Duration firstWriteRetry = std::chrono::milliseconds(300);
// From the last step on, requests that were placed before it have left the old versions.
constexpr Duration settleTime = std::chrono::milliseconds(1500);
// The second leading node gives the first one time to write.
constexpr Duration deputyDelay = std::chrono::milliseconds(400);

double rate(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
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
            [&](RequestSample &sample) { onSample(sample, now); },
            [&](PeerReceived<RolloutMessage> &received) { onMessage(received.message, now); },
            [&](EndpointsChanged &changed) { onEndpoints(changed); },
            [&](StoreReply &reply) { onReply(reply, now); },
        },
        input);
    publish(outbox);
}

void Rollouts::onOrder(const RolloutOrder &order, TimePoint now)
{
    const auto running = m_running.find(order.service);
    const bool isEnd
        = order.state == RolloutState::Completed || order.state == RolloutState::RolledBack;
    if (isEnd) {
        if (running != m_running.end())
            m_running.erase(running);
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
    if (running != m_running.end() && running->second.order.target == order.target) {
        running->second.order = order;
        return;
    }
    Running started;
    started.order = order;
    started.startedAt = now;
    started.share = m_policy.trial;
    m_running.insert_or_assign(order.service, std::move(started));
    m_hasChanged = true;
    if (!m_nextTick)
        m_nextTick = now;
}

// Only answers count: a lost connection or a refusal says more about the machine than about the
// version, and the version's own failures are answers.
void Rollouts::onSample(const RequestSample &sample, TimePoint now)
{
    const auto found = m_running.find(sample.service);
    if (found == m_running.end() || sample.isCrashSuspect)
        return;
    const bool isAnswer = sample.result == SampleResult::Success
        || (sample.result == SampleResult::Failure && sample.isAnswered)
        || sample.result == SampleResult::Timeout;
    if (!isAnswer)
        return;
    Running &running = found->second;
    const bool isCandidate = sample.version == running.order.target;
    RolloutCounts &counts = isCandidate ? running.candidate : running.established;
    ++counts.requests;
    const auto latency = static_cast<double>(sample.latency.count());
    const auto usual = running.usualUs.find(sample.route);
    const bool isSlow = usual != running.usualUs.end()
        && latency > m_policy.slowFactor * usual->second + toleratedRiseUs;
    counts.slow += isSlow || sample.result == SampleResult::Timeout ? 1 : 0;
    counts.failures += sample.result == SampleResult::Failure ? 1 : 0;
    if (!isCandidate && sample.result == SampleResult::Success) {
        if (usual != running.usualUs.end())
            usual->second += smoothing * (latency - usual->second);
        else if (running.usualUs.size() < maxRoutes)
            running.usualUs.emplace(sample.route, latency);
    }
    // The own evidence stops the own requests at once, whoever leads.
    if (isCandidate && !running.isBad && looksBad(running.established, running.candidate)) {
        running.isBad = true;
        running.share = Share::none();
        m_hasChanged = true;
        m_nextTick = now;
    }
}

bool Rollouts::looksBad(const RolloutCounts &established, const RolloutCounts &candidate) const
{
    const auto exceeds = [&](std::uint64_t bad, std::uint64_t usualBad, double tolerated) {
        const double usual = rate(usualBad, established.requests);
        return bad >= m_policy.leastFailures
            && rate(bad, candidate.requests) > std::max(tolerated, 2.0 * usual + tolerated / 2);
    };
    return exceeds(candidate.failures, established.failures, m_policy.toleratedFailures)
        || exceeds(candidate.slow, established.slow, m_policy.toleratedSlow);
}

void Rollouts::onMessage(const RolloutMessage &message, TimePoint now)
{
    std::visit(
        Overloaded {
            [&](const RolloutReport &report) {
                const auto found = m_running.find(report.service);
                if (found == m_running.end() || found->second.order.target != report.target)
                    return;
                found->second.startedAt = std::min(found->second.startedAt, now - report.elapsed);
                found->second.reports.insert_or_assign(report.node, report);
            },
            [&](const RolloutDirective &directive) {
                const auto found = m_running.find(directive.service);
                if (found == m_running.end() || found->second.order.target != directive.target)
                    return;
                Running &running = found->second;
                running.heardAt = now;
                running.startedAt = std::min(running.startedAt, now - directive.elapsed);
                running.isBad = running.isBad || directive.isBad;
                const Share share = running.isBad ? Share::none() : directive.share;
                m_hasChanged = m_hasChanged || running.share != share;
                running.share = share;
            },
        },
        message);
}

void Rollouts::onReply(const StoreReply &reply, TimePoint now)
{
    for (auto &[service, running] : m_running) {
        if (running.write != reply.id)
            continue;
        running.write.reset();
        if (const auto *written = std::get_if<StoreWritten>(&reply.result))
            running.order.version = std::max(running.order.version, written->version);
        else
            running.nextWrite = now + firstWriteRetry; // the follower brings the current version
        return;
    }
}

void Rollouts::onEndpoints(const EndpointsChanged &changed)
{
    m_members.clear();
    for (const auto &[service, endpoints] : changed.table->services)
        m_members.insert(m_members.end(), endpoints.begin(), endpoints.end());
    // Those that are stopping lead only when nobody else is there.
    std::ranges::sort(m_members, {}, [](const Endpoint &member) {
        return std::pair(member.state != EndpointState::Ready, member.instance);
    });
}

bool Rollouts::isLeading() const
{
    const auto end
        = m_members.begin() + static_cast<std::ptrdiff_t>(std::min(leaders, m_members.size()));
    return std::any_of(m_members.begin(), end, [this](const Endpoint &member) {
        return member.instance == m_self.instance;
    });
}

void Rollouts::advance(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_nextTick || now < *m_nextTick)
        return;
    for (auto &[service, running] : m_running)
        tick(running, now, outbox);
    m_nextTick = m_running.empty() ? std::nullopt : std::optional(now + tickInterval);
    publish(outbox);
}

void Rollouts::tick(Running &running, TimePoint now, Outbox<Output> &outbox)
{
    if (isLeading()) {
        lead(running, now, outbox);
        return;
    }
    report(running, now, outbox);
    const bool isStale = now - running.heardAt > directiveLifetime;
    if (isStale && running.share > m_policy.trial && running.share != Share::all()) {
        running.share = m_policy.trial;
        m_hasChanged = true;
    }
}

void Rollouts::lead(Running &running, TimePoint now, Outbox<Output> &outbox)
{
    RolloutCounts established = running.established;
    RolloutCounts candidate = running.candidate;
    for (const auto &[node, report] : running.reports) {
        established += report.established;
        candidate += report.candidate;
    }
    running.isBad = running.isBad || looksBad(established, candidate);
    const Share share = plannedShare(running, candidate, now);
    if (share != running.share) {
        running.share = share;
        m_hasChanged = true;
    }
    if (share != Share::all())
        running.wholeSince.reset();
    else if (!running.wholeSince)
        running.wholeSince = now;
    direct(running, now, outbox);
    const bool isDue = now - running.startedAt >= scaled(running.order.ramp, m_policy.completedAt);
    if (running.isBad)
        writeState(running, RolloutState::RolledBack, now, outbox);
    else if (isDue && running.wholeSince && now - *running.wholeSince >= settleTime)
        writeState(running, RolloutState::Completed, now, outbox);
    else if (running.order.state == RolloutState::Requested)
        writeState(running, RolloutState::Running, now, outbox);
}

Share Rollouts::plannedShare(const Running &running, const RolloutCounts &candidate,
                             TimePoint now) const
{
    if (running.isBad)
        return Share::none();
    const double part = rate(static_cast<std::uint64_t>((now - running.startedAt).count()),
                             static_cast<std::uint64_t>(running.order.ramp.count()));
    Share share = m_policy.trial;
    if (candidate.requests < m_policy.leastAnswers)
        return share;
    for (std::size_t step = 0; step < m_policy.stepsAt.size(); ++step) {
        if (part >= m_policy.stepsAt[step])
            share = Share::fromFraction(m_policy.stepShares[step]);
    }
    return share;
}

void Rollouts::writeState(Running &running, RolloutState state, TimePoint now,
                          Outbox<Output> &outbox)
{
    const bool isFirst = m_members.empty() || m_members.front().instance == m_self.instance;
    if (running.nextWrite == TimePoint {} && !isFirst) {
        running.nextWrite = now + deputyDelay;
        return;
    }
    if (running.write || now < running.nextWrite)
        return;
    running.write = StoreCallId(m_nextCall++);
    running.nextWrite = now + firstWriteRetry;
    StoreCall call;
    call.id = *running.write;
    call.operation.emplace<StoreJudge>(StoreJudge { running.order, state });
    outbox.emit(std::move(call));
}

void Rollouts::report(const Running &running, TimePoint now, Outbox<Output> &outbox) const
{
    const RolloutReport report { m_self.instance,      running.order.service,
                                 running.order.target, now - running.startedAt,
                                 running.established,  running.candidate };
    for (std::size_t i = 0; i < std::min(leaders, m_members.size()); ++i) {
        if (m_members[i].instance != m_self.instance)
            outbox.emit(
                PeerSend { m_members[i].peer, Transport::Datagram, RolloutMessage(report) });
    }
}

void Rollouts::direct(const Running &running, TimePoint now, Outbox<Output> &outbox) const
{
    const RolloutDirective directive { running.order.service, running.order.target, running.share,
                                       running.isBad, now - running.startedAt };
    for (const Endpoint &member : m_members) {
        if (member.instance != m_self.instance)
            outbox.emit(PeerSend { member.peer, Transport::Datagram, RolloutMessage(directive) });
    }
    // The other leading node judges by the same counts.
    report(running, now, outbox);
}

void Rollouts::publish(Outbox<Output> &outbox)
{
    if (!std::exchange(m_hasChanged, false))
        return;
    auto shares = std::make_shared<MoveShares>();
    shares->services = m_ended;
    for (const auto &[service, running] : m_running) {
        ServiceShares &entry = shares->services[service];
        entry.candidate = running.order.target;
        entry.candidateShare = running.share;
        if (running.isBad)
            entry.banned.insert(running.order.target);
    }
    outbox.emit(MoveSharesChanged { std::move(shares) });
}

std::optional<TimePoint> Rollouts::nextDeadline() const
{
    return m_nextTick;
}

std::optional<Share> Rollouts::shareOf(const ServiceName &service) const
{
    const auto found = m_running.find(service);
    return found == m_running.end() ? std::nullopt : std::optional(found->second.share);
}

bool Rollouts::isBanned(const ServiceName &service) const
{
    const auto found = m_running.find(service);
    if (found != m_running.end())
        return found->second.isBad;
    const auto ended = m_ended.find(service);
    return ended != m_ended.end() && !ended->second.banned.empty();
}

} // namespace camphorreach
