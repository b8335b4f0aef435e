// Simulates many nodes under virtual time: their membership and configuration filters, the network
// between them and the platform.
#pragma once

#include "fakeplatform.h"
#include "virtualtime.h"

#include <camphorreach/configuration.h>
#include <camphorreach/impl/wire.h>
#include <camphorreach/membership.h>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace camphorreach::bench {

struct FleetOptions
{
    std::size_t nodes = 20;
    std::size_t domains = 5;
    double loss = 0; ///< Probability that a datagram is lost.
    std::size_t fanOut = 4;
    std::uint64_t seed = 1;
};

class Fleet
{
public:
    using Options = FleetOptions;

    struct Traffic
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0; // encoded messages, without network headers
    };

    struct Node
    {
        Endpoint self;
        RandomSource random;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<Configuration> configuration;
        std::shared_ptr<const EndpointTable> table; ///< As sent to the router.
        std::vector<std::pair<ConfigVersion, TimePoint>> inForceHistory; ///< With start times.
        Traffic sent;
        Traffic received;
        std::size_t maxDatagramSize = 0;
        std::uint64_t generation = 0; // incremented by a start or crash, which drops older events
        TimePoint timer = TimePoint::max();
        bool isUp = false;
        bool isPaused = false;
        std::vector<std::function<void()>> deferredEvents; // while the process is paused
    };

    explicit Fleet(Options options)
        : platform(time), m_options(options), m_random(options.seed), m_nodes(options.nodes)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            Endpoint &self = m_nodes[i].self;
            self.instance = InstanceId("instance-" + std::to_string(i));
            self.peer = { "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250), 7300 };
            self.domain = FailureDomain("domain-" + std::to_string(i % options.domains));
            self.region = "nordsjaelland";
            self.service = ServiceName("service-" + std::to_string(i / 12));
            self.version = BackendVersion("v1");
            self.incarnation = Incarnation(1);
            m_byAddress[self.peer] = i;
        }
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_nodes.size(); }
    [[nodiscard]] Node &node(std::size_t i) { return m_nodes[i]; }

    /// Starts a process without any state of an earlier run.
    void start(std::size_t i)
    {
        Node &node = m_nodes[i];
        ++node.generation;
        node.isUp = true;
        node.isPaused = false;
        node.deferredEvents.clear();
        const auto ms = time.now().time_since_epoch() / std::chrono::milliseconds(1);
        node.self.incarnation = Incarnation(1 + static_cast<std::uint64_t>(ms));
        node.random.seed(m_options.seed * 1'000'003 + i * 1009 + node.generation);
        std::vector<NetAddress> seeds;
        for (std::size_t seed = 0; seed < seedCount && seed < m_nodes.size(); ++seed)
            seeds.push_back(m_nodes[seed].self.peer);
        node.membership = std::make_unique<Membership>(node.self, seeds, node.random);
        node.configuration = std::make_unique<Configuration>(
            node.self, Configuration::Options { m_options.fanOut }, node.random);
        node.timer = TimePoint::max();
        runTimers(i, node.generation);
    }
    void startAll()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            start(i);
    }
    void crash(std::size_t i)
    {
        m_nodes[i].isUp = false;
        ++m_nodes[i].generation;
    }
    /// Pauses a process; resume() runs the events that arrived in the meantime.
    void pause(std::size_t i) { m_nodes[i].isPaused = true; }
    void resume(std::size_t i)
    {
        m_nodes[i].isPaused = false;
        for (auto &event : std::exchange(m_nodes[i].deferredEvents, {}))
            event();
        runTimers(i, m_nodes[i].generation);
    }
    void drain(std::size_t i) { sendToMembership(i, DrainStarted {}); }
    void leave(std::size_t i) { sendToMembership(i, NodeLeaving {}); }

    /// Drops all messages from one failure domain to another, in this direction only.
    void cut(const FailureDomain &from, const FailureDomain &to) { m_cuts.insert({ from, to }); }
    /// Cuts a failure domain off from the others and from the platform.
    void isolate(const FailureDomain &domain)
    {
        m_domainsWithoutPlatform.insert(domain);
        for (const Node &node : m_nodes) {
            if (node.self.domain == domain)
                continue;
            cut(domain, node.self.domain);
            cut(node.self.domain, domain);
        }
    }
    void heal()
    {
        m_cuts.clear();
        m_domainsWithoutPlatform.clear();
    }

    /// Number of running nodes with at least this version in force.
    [[nodiscard]] std::size_t countInForce(ConfigVersion version) const
    {
        std::size_t count = 0;
        for (const Node &node : m_nodes)
            count += node.isUp && node.configuration->version() >= version ? 1 : 0;
        return count;
    }
    /// Minimum and maximum member count over all running nodes, each including itself.
    [[nodiscard]] std::pair<std::size_t, std::size_t> memberCounts() const
    {
        std::pair<std::size_t, std::size_t> counts(m_nodes.size() + 1, 0);
        for (const Node &node : m_nodes) {
            if (!node.isUp)
                continue;
            counts.first = std::min(counts.first, node.membership->memberCount());
            counts.second = std::max(counts.second, node.membership->memberCount());
        }
        return counts;
    }
    void resetTraffic()
    {
        for (Node &node : m_nodes) {
            node.sent = {};
            node.received = {};
        }
        m_filterTime = {};
    }
    /// Wall-clock time spent in filters and encoding since the last reset.
    [[nodiscard]] std::chrono::nanoseconds filterTime() const noexcept { return m_filterTime; }
    [[nodiscard]] bool hasVersionDecreased() const noexcept { return m_hasVersionDecreased; }

    VirtualTime time;
    FakePlatform platform;

private:
    static constexpr std::size_t seedCount = 3;
    static constexpr Duration networkLatency = std::chrono::microseconds(500);

    void runTimers(std::size_t i, std::uint64_t generation)
    {
        Node &node = m_nodes[i];
        if (!isRunning(i, generation) || node.isPaused)
            return;
        node.timer = TimePoint::max();
        const auto startTime = std::chrono::steady_clock::now();
        Outbox<Membership::Output> members;
        Outbox<Configuration::Output> configuration;
        const auto isDue = [&](const std::optional<TimePoint> &deadline) {
            return deadline && *deadline <= time.now();
        };
        if (isDue(node.membership->nextDeadline()))
            node.membership->advance(time.now(), members);
        if (isDue(node.configuration->nextDeadline()))
            node.configuration->advance(time.now(), configuration);
        m_filterTime += std::chrono::steady_clock::now() - startTime;
        dispatch(i, members, configuration);
    }

    void sendToMembership(std::size_t i, Membership::Input input)
    {
        Outbox<Membership::Output> outbox;
        const auto startTime = std::chrono::steady_clock::now();
        m_nodes[i].membership->process(std::move(input), time.now(), outbox);
        m_filterTime += std::chrono::steady_clock::now() - startTime;
        Outbox<Configuration::Output> none;
        dispatch(i, outbox, none);
    }

    void sendToConfiguration(std::size_t i, Configuration::Input input)
    {
        Outbox<Configuration::Output> outbox;
        const auto startTime = std::chrono::steady_clock::now();
        m_nodes[i].configuration->process(std::move(input), time.now(), outbox);
        m_filterTime += std::chrono::steady_clock::now() - startTime;
        Outbox<Membership::Output> none;
        dispatch(i, none, outbox);
    }

    void dispatch(std::size_t i, Outbox<Membership::Output> &members,
                  Outbox<Configuration::Output> &configuration)
    {
        Node &node = m_nodes[i];
        for (Membership::Output &output : members.take()) {
            if (auto *send = std::get_if<PeerSend>(&output)) {
                transmit(i, std::move(*send));
                continue;
            }
            node.table = std::get<EndpointsChanged>(output).table;
            sendToConfiguration(i, EndpointsChanged { node.table });
        }
        for (Configuration::Output &output : configuration.take()) {
            std::visit(Overloaded {
                           [&](PeerSend &send) { transmit(i, std::move(send)); },
                           [&](PlatformCall &call) { callPlatform(i, call); },
                           [&](JoinPeers &join) { sendToMembership(i, std::move(join)); },
                           [&](SnapshotChanged &changed) { recordInForce(i, changed); },
                       },
                       output);
        }
        scheduleTimers(i);
    }

    void recordInForce(std::size_t i, const SnapshotChanged &changed)
    {
        auto &inForceHistory = m_nodes[i].inForceHistory;
        if (!inForceHistory.empty() && changed.snapshot->version < inForceHistory.back().first)
            m_hasVersionDecreased = true;
        inForceHistory.emplace_back(changed.snapshot->version, time.now());
    }

    void scheduleTimers(std::size_t i)
    {
        Node &node = m_nodes[i];
        TimePoint next = TimePoint::max();
        for (const auto &deadline :
             { node.membership->nextDeadline(), node.configuration->nextDeadline() }) {
            if (deadline)
                next = std::min(next, *deadline);
        }
        if (next >= node.timer)
            return;
        node.timer = next;
        time.at(next, [this, i, next, generation = node.generation] {
            if (m_nodes[i].timer == next)
                runTimers(i, generation);
        });
    }

    void callPlatform(std::size_t i, const PlatformCall &call)
    {
        const auto answer = [this, i, generation = m_nodes[i].generation](PlatformReply reply) {
            // The reply to a watch that began before the domain was cut off is lost.
            if (m_domainsWithoutPlatform.contains(m_nodes[i].self.domain))
                reply.result = PlatformNoReply { true };
            deliver(i, generation,
                    [this, i, reply = std::move(reply)] { sendToConfiguration(i, reply); });
        };
        if (m_domainsWithoutPlatform.contains(m_nodes[i].self.domain)) {
            time.after(std::chrono::seconds(2), [answer, id = call.id] {
                answer({ id, PlatformNoReply { true } });
            });
            return;
        }
        platform.call(call, answer);
    }

    void transmit(std::size_t from, PeerSend &&send)
    {
        Node &sender = m_nodes[from];
        const bool isDatagram = send.transport == Transport::Datagram;
        const auto startTime = std::chrono::steady_clock::now();
        const std::size_t bytes = impl::encodePayload({ sender.self.peer, send.message }).size();
        m_filterTime += std::chrono::steady_clock::now() - startTime;
        sender.sent.messages += 1;
        sender.sent.bytes += bytes;
        if (isDatagram)
            sender.maxDatagramSize = std::max(sender.maxDatagramSize, bytes);
        const auto target = m_byAddress.find(send.to);
        if (target == m_byAddress.end())
            return;
        const bool isLost = isDatagram && uniformFraction(m_random) < m_options.loss;
        if (isLost || m_cuts.contains({ sender.self.domain, m_nodes[target->second].self.domain }))
            return;
        time.after(networkLatency,
                   [this, to = target->second, peer = sender.self.peer, bytes,
                    message = std::move(send.message)]() mutable {
                       receive(to, std::move(peer), bytes, std::move(message));
                   });
    }

    void receive(std::size_t to, NetAddress from, std::size_t bytes, PeerMessage message)
    {
        Node &node = m_nodes[to];
        if (!node.isUp)
            return;
        node.received.messages += 1;
        node.received.bytes += bytes;
        deliver(to, node.generation,
                [this, to, from = std::move(from), message = std::move(message)] {
                    if (const auto *members = std::get_if<MembershipMessage>(&message))
                        sendToMembership(to, PeerReceived<MembershipMessage> { from, *members });
                    else if (const auto *config = std::get_if<ConfigMessage>(&message))
                        sendToConfiguration(to, PeerReceived<ConfigMessage> { from, *config });
                });
    }

    void deliver(std::size_t i, std::uint64_t generation, std::function<void()> event)
    {
        if (!isRunning(i, generation))
            return;
        if (m_nodes[i].isPaused)
            m_nodes[i].deferredEvents.push_back(std::move(event));
        else
            event();
    }

    [[nodiscard]] bool isRunning(std::size_t i, std::uint64_t generation) const
    {
        return m_nodes[i].isUp && m_nodes[i].generation == generation;
    }

    const Options m_options;
    RandomSource m_random; // for datagram loss
    std::vector<Node> m_nodes;
    std::map<NetAddress, std::size_t> m_byAddress;
    std::set<std::pair<FailureDomain, FailureDomain>> m_cuts;
    std::set<FailureDomain> m_domainsWithoutPlatform;
    std::chrono::nanoseconds m_filterTime {};
    bool m_hasVersionDecreased = false;
};

/// A settings tree of at least \a bytes bytes. Versions differ only in \a change.
[[nodiscard]] inline std::string sampleTree(std::size_t bytes, std::uint64_t change)
{
    std::string text = "deadline = \"" + std::to_string(100 + change) + "ms\"\n"
        + "[kind.lookup]\nweight = 1\nsemantics = \"idempotent\"\n";
    for (std::size_t i = 0; text.size() < bytes || i == 0; ++i) {
        const std::string service = "service.service-" + std::to_string(i);
        text += "[" + service + ".version.v1]\nweight = 100\n[" + service
            + ".route.stock]\nkind = \"lookup\"\n";
    }
    return text;
}

} // namespace camphorreach::bench
