// Tests of planned stops of real nodes under load.
#include "nodefixture.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

namespace camphorreach {
namespace {

class NodeDrainFixture : public NodeFixture
{
protected:
    NodeDrainFixture() : NodeFixture(5) { }

    struct Tally
    {
        std::vector<std::string> answered;
        int refused = 0; // "not run", and retried at another node
        int lost = 0; // ended without a response, or with an unknown outcome
        int reconnected = 0; // after the node closed the connection
        int mismatched = 0; // received the response to another order
    };

    // Sends orders one at a time until `isOver`, and completes the last one.
    Tally load(std::size_t client, const std::atomic<bool> &isStopping) const
    {
        Tally tally;
        std::size_t target = client;
        std::unique_ptr<ClientConnection> connection;
        for (int number = 0; !isStopping; ++number) {
            const std::string id = "order-" + std::to_string(client) + "-" + std::to_string(number);
            for (bool isPending = true; isPending;) {
                while (!connection || !connection->isOpen()) {
                    tally.reconnected += connection ? 1 : 0;
                    const NetAddress &address = settings[target++ % settings.size()].clientAddress;
                    connection = std::make_unique<ClientConnection>(address);
                }
                const OrderResponse response = connection->order(id);
                isPending = response.outcome == "not-run";
                if (isPending) {
                    ++tally.refused;
                } else if (response.status != 200) {
                    ++tally.lost;
                } else if (response.body != "ran " + id) {
                    ++tally.mismatched;
                } else {
                    tally.answered.push_back(id);
                }
            }
        }
        return tally;
    }
};

// Guards against an order that a planned stop interrupts, loses or runs twice.
TEST_CASE_METHOD(NodeDrainFixture, "NodeDrain_severalNodesStopUnderLoad_losesAndRepeatsNoOrder")
{
    REQUIRE(waitUntilReady());
    constexpr std::size_t clients = 12;
    std::atomic<bool> isStopping = false;
    std::vector<Tally> tallies(clients);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < clients; ++i)
        threads.emplace_back([&, i] { tallies[i] = load(i, isStopping); });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));

    std::vector<std::thread> stops;
    for (std::size_t i = 0; i < 3; ++i)
        stops.emplace_back([&, i] { nodes[i]->drainAndStop(std::chrono::seconds(20)); });
    for (std::thread &stop : stops)
        stop.join();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    isStopping = true;
    for (std::thread &thread : threads)
        thread.join();

    const std::map<std::string, int> counts = runs.all();
    std::size_t answered = 0;
    int refused = 0;
    int reconnected = 0;
    for (const Tally &tally : tallies) {
        CHECK(tally.lost == 0);
        CHECK(tally.mismatched == 0);
        answered += tally.answered.size();
        refused += tally.refused;
        reconnected += tally.reconnected;
    }
    int repeated = 0;
    for (const auto &[id, count] : counts)
        repeated += count > 1 ? 1 : 0;
    CHECK(repeated == 0);
    CHECK(counts.size() == answered);
    CHECK(answered > 100);
    INFO("answered " << answered << ", not run and retried " << refused);
    CHECK(reconnected > 0); // clients were sending during the stops
}

// Guards against a request that is lost because it arrives on an idle connection during the drain.
TEST_CASE_METHOD(NodeDrainFixture, "NodeDrain_idleConnection_answersOneMoreRequestAndCloses")
{
    REQUIRE(waitUntilReady());
    ClientConnection connection(settings[0].clientAddress);
    REQUIRE(connection.order("first").status == 200);
    std::thread stop([this] { nodes[0]->drainAndStop(std::chrono::seconds(20)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    const OrderResponse response = connection.order("second");
    CHECK(response.outcome == "answered");
    CHECK(response.isClosing);
    stop.join();
    CHECK_FALSE(ClientConnection(settings[0].clientAddress).isOpen());
}

} // namespace
} // namespace camphorreach
