// Tests of the promises about keys and quotas with real nodes on loopback.
#include "fakestore.h"
#include "sidecarprocess.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;
using tcp = boost::asio::ip::tcp;

// Nodes with a backend server each, a store that each node reaches by its own door, and two
// organisations, "north" with "key-1" and "south" with "key-2".
class SidecarOrganisationsFixture
{
protected:
    explicit SidecarOrganisationsFixture(std::size_t nodeCount)
        : store(nodeCount),
          server([this](LoopbackServer &self, impl::ExchangeId id, impl::HttpRequest &&request) {
              runs.record(request.body);
              self.respond(id, signedResponse(request));
          }),
          settings(nodeCount), nodes(nodeCount)
    {
        const std::vector<NetAddress> addresses = freeAddresses(4 * nodeCount);
        for (std::size_t i = 0; i < nodeCount; ++i) {
            SidecarSettings &node = settings[i];
            node.instance = InstanceId("node-" + std::to_string(i + 1));
            node.domain = FailureDomain("arima");
            node.clientAddress = addresses[4 * i];
            node.peerAddress = addresses[4 * i + 1];
            node.readyAddress = addresses[4 * i + 2];
            node.announceAddress = addresses[4 * i + 3];
            node.backendServer = { server.address(), ServiceName("orders") };
            node.platform = store.address(i);
            node.organisations.revocation = revocation;
        }
        client.start();
        announcements.start();
        store.setOrganisations(std::string(north) + "," + south);
        announcer = std::jthread([this](const std::stop_token &stop) { announce(stop); });
    }
    ~SidecarOrganisationsFixture()
    {
        announcer.request_stop();
        announcer.join();
        announcements.stop();
        client.stop();
    }

    void startAll()
    {
        for (std::size_t i = 0; i < nodes.size(); ++i)
            start(i);
    }
    void start(std::size_t node)
    {
        nodes[node].reset(); // ends the former run
        nodes[node] = std::make_unique<SidecarProcess>(settings[node]);
    }

    void announce(const std::stop_token &stop)
    {
        for (std::uint64_t sequence = 1; !stop.stop_requested(); ++sequence) {
            for (std::size_t i = 0; i < settings.size(); ++i) {
                (void)callOnce(announcements, settings[i].announceAddress,
                               announcementOf("i-" + std::to_string(i + 1), server.address(),
                                              sequence, "ready"));
            }
            std::this_thread::sleep_for(milliseconds(200));
        }
    }

    static impl::HttpRequest keyedRequest(const std::string &key, const std::string &id,
                                          const std::string &target = "/bags/1")
    {
        impl::HttpRequest request = requestOf(id, "POST", target, id);
        if (!key.empty())
            request.headers.push_back({ "X-Camphorreach-Credential", key });
        return request;
    }
    int send(std::size_t node, const std::string &key, const std::string &id,
             const std::string &target = "/bags/1")
    {
        return callOnce(client, settings[node].clientAddress, keyedRequest(key, id, target)).status;
    }
    // Sends until a response has the status. The limit ends a test that hangs.
    [[nodiscard]] bool waitForStatus(std::size_t node, const std::string &key, int status)
    {
        const auto limit = Clock::now() + seconds(60);
        for (int i = 0; Clock::now() < limit; ++i) {
            if (send(node, key, "wait-" + key + "-" + std::to_string(i)) == status)
                return true;
            std::this_thread::sleep_for(milliseconds(20));
        }
        return false;
    }
    // Takes "key-2" away. Returns a time at which the store had acknowledged it.
    Clock::time_point withdrawSecondKey()
    {
        store.setOrganisations(north);
        return Clock::now();
    }
    [[nodiscard]] bool hasRun(const std::string &id) const { return runs.all().contains(id); }

    static constexpr Duration revocation = seconds(3);
    static constexpr const char *north = R"(["north",["key-1"],1,0,0])";
    static constexpr const char *south = R"(["south",["key-2"],1,0,0])";
    RunCounts runs;
    impl::IoThread client;
    impl::IoThread announcements;
    FakeStore store;
    LoopbackServer server;
    std::vector<SidecarSettings> settings;
    std::vector<std::unique_ptr<SidecarProcess>> nodes;
    std::jthread announcer;
};

class LoneSidecarFixture : public SidecarOrganisationsFixture
{
protected:
    LoneSidecarFixture() : SidecarOrganisationsFixture(1) { }

    // Sends a request whose response is read later.
    std::unique_ptr<tcp::socket> sendOnly(const std::string &key, const std::string &id)
    {
        auto socket = std::make_unique<tcp::socket>(io);
        const NetAddress &to = settings[0].clientAddress;
        socket->connect({ boost::asio::ip::make_address(to.host), to.port });
        const std::string text = "POST /bags/1 HTTP/1.1\r\nHost: a.example\r\n"
                                 "X-Camphorreach-Attempt-Id: "
            + id + "\r\nX-Camphorreach-Credential: " + key
            + "\r\nConnection: close\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n"
            + id;
        boost::asio::write(*socket, boost::asio::buffer(text));
        return socket;
    }
    static std::string responseOf(tcp::socket &socket)
    {
        std::string response;
        boost::system::error_code atEnd;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), atEnd);
        return response;
    }

    boost::asio::io_context io;
};

// Guards against a process that takes what it received before a pause for news: a reply of the
// store that waited in the socket, or a key that was held before.
TEST_CASE_METHOD(LoneSidecarFixture, "Sidecar_keyWithdrawnDuringAPause_runsNothingSentLater")
{
    startAll();
    REQUIRE(waitForStatus(0, "key-2", 200));
    nodes[0]->send(SIGSTOP);
    const auto acknowledged = withdrawSecondKey();
    std::this_thread::sleep_until(acknowledged + revocation + milliseconds(1));
    std::vector<std::unique_ptr<tcp::socket>> requests;
    requests.reserve(8);
    for (int i = 0; i < 8; ++i)
        requests.push_back(sendOnly("key-2", "late-" + std::to_string(i)));
    nodes[0]->send(SIGCONT);
    for (int i = 0; i < 8; ++i) {
        const std::string response = responseOf(*requests[static_cast<std::size_t>(i)]);
        CHECK_FALSE(response.starts_with("HTTP/1.1 200"));
        CHECK_FALSE(hasRun("late-" + std::to_string(i)));
    }
    int status = 0;
    for (int i = 0; status != 401; ++i) {
        const std::string id = "resumed-" + std::to_string(i);
        status = send(0, "key-2", id);
        CHECK_FALSE(hasRun(id));
        REQUIRE(Clock::now() < acknowledged + seconds(60));
    }
    CHECK(waitForStatus(0, "key-1", 200));
}

// Guards against a node that goes on by a configuration that nobody confirms, and against one that
// refuses more than it must or for longer.
TEST_CASE_METHOD(LoneSidecarFixture, "Sidecar_keyWithdrawnBehindASilentStore_endsWithinTheTime")
{
    startAll();
    REQUIRE(waitForStatus(0, "key-2", 200));
    store.setSilent(0, true);
    const auto acknowledged = withdrawSecondKey();
    std::vector<std::string> late;
    for (int i = 0; late.size() < 20; ++i) {
        const std::string id = "silent-" + std::to_string(i);
        if (Clock::now() > acknowledged + revocation)
            late.push_back(id);
        (void)send(0, "key-2", id);
        std::this_thread::sleep_for(milliseconds(20));
    }
    for (const std::string &id : late)
        CHECK_FALSE(hasRun(id));
    CHECK(send(0, "key-1", "unproven") == 503);
    CHECK(send(0, "", "exempt", "/open/1") == 200);
    store.setSilent(0, false);
    CHECK(waitForStatus(0, "key-2", 401));
    CHECK(waitForStatus(0, "key-1", 200));
}

class SidecarPairFixture : public SidecarOrganisationsFixture
{
protected:
    SidecarPairFixture() : SidecarOrganisationsFixture(2) { }
};

// Guards against a node that takes contact with other nodes for proof, and against one that can't
// use their proof when the store does not answer it.
TEST_CASE_METHOD(SidecarPairFixture, "Sidecar_storeSilentForOneOfTwo_learnsFromTheOther")
{
    startAll();
    REQUIRE(waitForStatus(0, "key-2", 200));
    REQUIRE(waitForStatus(1, "key-2", 200));
    store.setSilent(1, true);
    const auto acknowledged = withdrawSecondKey();
    std::vector<std::string> late;
    int status = 0;
    for (int i = 0; late.size() < 20 || status != 401; ++i) {
        const std::string id = "apart-" + std::to_string(i);
        if (Clock::now() > acknowledged + revocation)
            late.push_back(id);
        status = send(1, "key-2", id);
        REQUIRE(Clock::now() < acknowledged + seconds(60));
        std::this_thread::sleep_for(milliseconds(20));
    }
    for (const std::string &id : late)
        CHECK_FALSE(hasRun(id));
    CHECK(waitForStatus(1, "key-1", 200));
}

// Three nodes, and clients of "north", which has a quota, at each of them.
class SidecarQuotaFixture : public SidecarOrganisationsFixture
{
protected:
    SidecarQuotaFixture() : SidecarOrganisationsFixture(3)
    {
        store.setOrganisations(R"(["north",["key-1"],1,50,200])");
    }
    ~SidecarQuotaFixture() { stopClients(); }

    struct Attempt
    {
        Clock::time_point sentAt;
        Clock::time_point answeredAt;
        int status = 0;
    };

    void startClients()
    {
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            clients.emplace_back([this, node](const std::stop_token &stop) {
                for (int i = 0; !stop.stop_requested(); ++i) {
                    Attempt attempt { Clock::now(), {}, 0 };
                    attempt.status = send(node, "key-1",
                                          "load-" + std::to_string(node) + "-" + std::to_string(i));
                    attempt.answeredAt = Clock::now();
                    std::this_thread::sleep_for(milliseconds(5));
                    const std::lock_guard lock(mutex);
                    attempts.push_back(attempt);
                }
            });
        }
    }
    void stopClients() { clients.clear(); }

    [[nodiscard]] std::size_t count(int status)
    {
        const std::lock_guard lock(mutex);
        return static_cast<std::size_t>(std::ranges::count(attempts, status, &Attempt::status));
    }
    // Waits for `more` further responses with the status. The limit ends a test that hangs.
    [[nodiscard]] bool waitForMore(int status, std::size_t more)
    {
        const std::size_t wanted = count(status) + more;
        const auto limit = Clock::now() + seconds(60);
        while (count(status) < wanted && Clock::now() < limit)
            std::this_thread::sleep_for(milliseconds(20));
        return count(status) >= wanted;
    }

    // The node that has lent most.
    [[nodiscard]] std::size_t owner()
    {
        std::size_t result = 0;
        std::uint64_t most = 0;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const auto response
                = callOnce(client, settings[i].readyAddress, { "GET", "/dump", {}, "" });
            const auto lent = boost::json::parse(response.body)
                                  .at_pointer("/router/quotas/lent")
                                  .to_number<std::uint64_t>();
            if (lent > most) {
                most = lent;
                result = i;
            }
        }
        return result;
    }

    // Max requests that certainly ran within one window: sent after its start and answered before
    // its end. So delays of the machine never raise the number.
    [[nodiscard]] std::size_t worstWindow()
    {
        const std::lock_guard lock(mutex);
        std::vector<Attempt> ran = attempts;
        std::erase_if(ran, [](const Attempt &attempt) { return attempt.status != 200; });
        std::size_t worst = 0;
        for (const Attempt &first : ran) {
            worst = std::max(
                worst,
                static_cast<std::size_t>(std::ranges::count_if(ran, [&](const Attempt &attempt) {
                    return attempt.sentAt >= first.sentAt
                        && attempt.answeredAt <= first.sentAt + window;
                })));
        }
        return worst;
    }

    static constexpr Duration window = seconds(5);
    // (5 * 50 + 200) * 1.1 + 20
    static constexpr std::size_t tolerated = 515;
    std::mutex mutex; // guards attempts
    std::vector<Attempt> attempts;
    std::vector<std::jthread> clients;
};

// Guards against a restarted owner that lends again what its former run has lent.
TEST_CASE_METHOD(SidecarQuotaFixture, "Sidecar_quotaOwnerRestarted_staysWithinTheQuota")
{
    startAll();
    for (std::size_t i = 0; i < nodes.size(); ++i)
        REQUIRE(waitForStatus(i, "key-1", 200));
    std::this_thread::sleep_for(seconds(5)); // the burst is saved up
    startClients();
    REQUIRE(waitForMore(429, 50)); // the burst has been used
    const std::size_t restarted = owner();
    nodes[restarted]->send(SIGKILL);
    start(restarted);
    CHECK(waitForMore(429, 50));
    CHECK(waitForMore(200, 200));
    stopClients();
    CHECK(worstWindow() <= tolerated);
}

} // namespace
} // namespace camphorreach
