// Instances, settings tree, client requests and the event loop of the simulation.
#include "world.h"

#include <camphorreach/confighead.h>
#include <camphorreach/settingstree.h>

#include <stdexcept>
#include <utility>

namespace camphorreach::scenario {

World::World(std::uint64_t seed)
    : m_random(seed), m_network(m_events, m_random), m_platform(m_events)
{ }

void World::addNode(const std::string &domain, const std::string &service,
                    const std::string &version, std::uint32_t slots)
{
    const std::string name = "n" + std::to_string(m_instances.size() + 1);
    WorldInstance &added = m_instances[name];
    Endpoint &self = added.settings.self;
    self.instance = InstanceId(name);
    self.peer = { "10.0.0.1", m_nextPort++ };
    self.domain = FailureDomain(domain);
    self.service = ServiceName(service);
    self.version = BackendVersion(version);
    self.slots = slots;
    added.settings.slots = slots;
    for (const auto &[other, instance] : m_instances) {
        constexpr std::size_t seedCount = 3;
        if (other != name && added.settings.seeds.size() < seedCount)
            added.settings.seeds.push_back(instance.settings.self.peer);
    }
    added.backend = std::make_unique<FakeBackend>(
        m_events, m_random, [this, id = self.instance](const ForwardRequest &request) {
            m_oracle.onRun(id, request, m_events.now());
        });
    start(name);
}

WorldInstance &World::instance(const std::string &name)
{
    const auto found = m_instances.find(name);
    if (found == m_instances.end())
        throw std::invalid_argument("there is no instance " + name);
    return found->second;
}

void World::start(const std::string &name)
{
    WorldInstance &started = instance(name);
    if (started.node)
        return;
    started.isDraining = false;
    started.drainedSince.reset();
    started.settings.self.incarnation = next(started.settings.self.incarnation);
    m_oracle.onStarted(started.settings.self.instance);
    SimNode::Observer observer {
        [this](RequestId id, Outcome &&outcome) { onRequestEnded(id, std::move(outcome)); },
        [this, id = started.settings.self.instance](const Snapshot &snapshot) {
            m_oracle.onSnapshot(id, snapshot, m_events.now());
        },
    };
    started.node = std::make_unique<SimNode>(started.settings, m_events, m_network, m_platform,
                                             *started.backend, m_random, std::move(observer));
}

void World::kill(const std::string &name)
{
    WorldInstance &killed = instance(name);
    killed.node.reset();
    killed.isDraining = false;
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        if (entry->second.instance == name) {
            m_oracle.onConnectionLost(entry->second.key);
            entry = m_pending.erase(entry);
        } else {
            ++entry;
        }
    }
}

void World::drain(const std::string &name)
{
    WorldInstance &drained = instance(name);
    if (!drained.node || drained.isDraining)
        return;
    drained.isDraining = true;
    m_oracle.onDraining(drained.settings.self.instance, m_events.now());
    drained.node->drain();
}

std::string World::treeText() const
{
    std::string text;
    for (const auto &[path, value] : m_tree)
        text += path + " = " + value + "\n";
    return text;
}

void World::accept(const std::map<std::string, std::string> &changes, bool isGood)
{
    const auto before = m_tree;
    for (const auto &[path, value] : changes)
        m_tree[path] = value;
    m_version = next(m_version);
    const std::string text = treeText();
    const auto tree = parseTree(text, "scenario");
    m_oracle.onAccepted(m_version, isOk(tree) ? digestOf(valueOf(tree)) : Digest(), isGood);
    if (isGood)
        m_goodVersion = m_version;
    else
        m_tree = before;
    const OperationId operation("operation-" + std::to_string(m_version.value()));
    m_platform.overwrite(configHeadKey(), ConfigHead { m_version, { operation }, text });
}

void World::send(const std::string &name, const std::string &service, const std::string &path,
                 bool isRunOnce, const std::string &key, Duration budget)
{
    m_oracle.onSent(key, service, path, isRunOnce);
    WorldInstance &entry = instance(name);
    if (!entry.node || entry.isDraining) {
        m_oracle.onOutcome(key, NotRun { NotRunReason::Unreachable }); // the client cannot connect
        return;
    }
    ClientRequest request;
    request.id = RequestId(m_nextRequest++);
    request.service = ServiceName(service);
    request.budget = budget;
    request.content = { isRunOnce ? "POST" : "GET", path, "text/plain", key };
    if (isRunOnce) {
        request.key = IdempotencyKey(key);
        request.isFreshKey = m_usedKeys.insert(key).second;
    }
    m_pending[request.id] = { name, key };
    entry.node->send(std::move(request));
}

void World::onRequestEnded(RequestId id, Outcome &&outcome)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const std::string key = found->second.key;
    m_pending.erase(found);
    m_oracle.onOutcome(key, outcome);
}

// A drained node stops after a delay: before it ends, it closes its links together with its peers,
// and until then it still responds on them.
void World::stopDrained()
{
    constexpr Duration linkCloseTime = std::chrono::seconds(1);
    for (auto &[name, drained] : m_instances) {
        if (!drained.isDraining || !drained.node)
            continue;
        if (!drained.node->isDrained())
            drained.drainedSince.reset();
        else if (!drained.drainedSince)
            drained.drainedSince = m_events.now();
        else if (m_events.now() >= *drained.drainedSince + linkCloseTime) {
            drained.node->leave();
            kill(name);
        }
    }
}

void World::run(Duration time)
{
    // Too many rounds at the same time mean that a filter's deadline stays in the past.
    constexpr int maxRoundsWithoutProgress = 1000;
    int rounds = 0;
    const TimePoint end = m_events.now() + time;
    while (true) {
        std::optional<TimePoint> next = m_events.nextTime();
        for (const auto &[name, instance] : m_instances) {
            const auto deadline = instance.node ? instance.node->nextDeadline() : std::nullopt;
            if (deadline && (!next || *deadline < *next))
                next = deadline;
        }
        if (!next || *next > end)
            break;
        rounds = *next > m_events.now() ? 0 : rounds + 1;
        if (rounds > maxRoundsWithoutProgress)
            throw std::logic_error(
                "virtual time does not advance: the deadline of a filter stays in the past");
        m_events.advanceTo(*next);
        for (auto &[name, instance] : m_instances) {
            if (instance.node)
                instance.node->advance();
        }
        while (m_events.nextTime() && *m_events.nextTime() <= m_events.now())
            m_events.runNext();
        stopDrained();
    }
    m_events.advanceTo(end);
}

} // namespace camphorreach::scenario
