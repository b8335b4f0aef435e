// Tests of the settings of a node process.
#include <camphorreach/nodesettings.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

class NodeSettingsFixture
{
protected:
    // The full text with the line of one key replaced.
    static std::string with(const std::string &line, const std::string &replacement)
    {
        std::string text = fullText;
        const std::size_t at = text.find(line);
        REQUIRE(at != std::string::npos);
        return text.replace(at, line.size(), replacement);
    }

    static std::string findings(const std::string &text)
    {
        const auto settings = parseNodeSettings(text, "node.toml");
        return isOk(settings) ? "" : toText(errorOf(settings).findings);
    }

    static constexpr const char *fullText = R"(random-seed = 7
[instance]
name = "orders-0"
failure-domain = "arima"
region = "tt-north"
[listen]
guest = "127.0.0.1:7200"
peer = "127.0.0.1:7300"
admin = "127.0.0.1:7400"
[backend-server]
address = "127.0.0.1:7100"
service = "orders"
version = "v1"
slots = 20
connections = 110
[platform]
address = "[::1]:7000"
[peers]
seeds = ["127.0.0.1:7301", "127.0.0.1:7302"]
[log]
level = "warning"
)";
};

TEST_CASE_METHOD(NodeSettingsFixture, "NodeSettings_fullText_isRead")
{
    const auto result = parseNodeSettings(fullText, "node.toml");
    REQUIRE(isOk(result));
    const NodeSettings &settings = valueOf(result);
    CHECK(settings.randomSeed == 7);
    CHECK(settings.instance == InstanceId("orders-0"));
    CHECK(settings.domain == FailureDomain("arima"));
    CHECK(settings.region == "tt-north");
    CHECK(settings.peerAddress == NetAddress { "127.0.0.1", 7300 });
    CHECK(settings.platform == NetAddress { "::1", 7000 });
    CHECK(settings.backendServer.slots == 20);
    CHECK(settings.backendServer.connections == 110);
    CHECK(settings.seeds.size() == 2);
    CHECK(settings.logLevel == LogLevel::Warning);
}

// Guards against a misspelt key that silently leaves a default in force.
TEST_CASE_METHOD(NodeSettingsFixture, "NodeSettings_unknownKeyInEachTable_isFinding")
{
    for (const char *table :
         { "[instance]", "[listen]", "[backend-server]", "[platform]", "[peers]", "[log]" }) {
        INFO(table);
        CHECK(findings(with(table, std::string(table) + "\nunknown = 1")).find("is not a known key")
              != std::string::npos);
    }
    CHECK(findings("unknown = 1\n" + std::string(fullText))
          == "node.toml:1:11: unknown: is not a known key\n");
}

// Guards against a value of the wrong type that is silently converted.
TEST_CASE_METHOD(NodeSettingsFixture, "NodeSettings_wrongTypeOfEachKey_isFinding")
{
    const std::vector<std::pair<std::string, std::string>> lines {
        { "random-seed = 7", "random-seed" },
        { "name = \"orders-0\"", "instance.name" },
        { "failure-domain = \"arima\"", "instance.failure-domain" },
        { "region = \"tt-north\"", "instance.region" },
        { "guest = \"127.0.0.1:7200\"", "listen.guest" },
        { "peer = \"127.0.0.1:7300\"", "listen.peer" },
        { "admin = \"127.0.0.1:7400\"", "listen.admin" },
        { "address = \"127.0.0.1:7100\"", "backend-server.address" },
        { "service = \"orders\"", "backend-server.service" },
        { "version = \"v1\"", "backend-server.version" },
        { "slots = 20", "backend-server.slots" },
        { "connections = 110", "backend-server.connections" },
        { "address = \"[::1]:7000\"", "platform.address" },
        { "seeds = [\"127.0.0.1:7301\", \"127.0.0.1:7302\"]", "peers.seeds" },
        { "level = \"warning\"", "log.level" },
    };
    for (const auto &[line, key] : lines) {
        INFO(key);
        const std::string wrong = line.substr(0, line.find('=')) + "= 1.5";
        CHECK(findings(with(line, wrong)).find(key + ": must be") != std::string::npos);
    }
}

// Guards against a node that starts with values out of range.
TEST_CASE_METHOD(NodeSettingsFixture, "NodeSettings_valueOutOfRange_isFinding")
{
    CHECK(findings(with("slots = 20", "slots = 0")).find("must be from 1 to 100000")
          != std::string::npos);
    CHECK(findings(with("connections = 110", "connections = 100001")).find("must be from 1")
          != std::string::npos);
    CHECK(findings(with("random-seed = 7", "random-seed = -1")).find("must be from 0")
          != std::string::npos);
    CHECK(findings(with("level = \"warning\"", "level = \"loud\"")).find("log.level: must be debug")
          != std::string::npos);
    for (const char *address : { "localhost:7200", "127.0.0.1", "127.0.0.1:65536", "" }) {
        INFO(address);
        CHECK(findings(with("127.0.0.1:7200", address)).find("listen.guest") != std::string::npos);
    }
}

// Guards against a node that calls itself instead of its backend server.
TEST_CASE_METHOD(NodeSettingsFixture, "NodeSettings_clashingValues_areFindings")
{
    CHECK(findings(with("127.0.0.1:7300", "127.0.0.1:7200")).find("is used twice")
          != std::string::npos);
    CHECK(findings(with("127.0.0.1:7100", "127.0.0.1:7200"))
          == "node.toml:11:11: backend-server.address: 127.0.0.1:7200 is an address of the node "
             "itself\n");
    CHECK(
        findings(with("connections = 110", "connections = 19")).find("must not be less than slots")
        != std::string::npos);
}

// Guards against reporting only one missing table at a time.
TEST_CASE_METHOD(NodeSettingsFixture, "NodeSettings_emptyText_reportsEverythingMissing")
{
    const std::string all = findings("");
    for (const char *key :
         { "instance.name", "instance.failure-domain", "listen.guest", "listen.peer",
           "listen.admin", "backend-server.address", "backend-server.service",
           "backend-server.version", "platform.address", "peers" }) {
        INFO(key);
        CHECK(all.find(std::string(key) + ": is missing") != std::string::npos);
    }
}

} // namespace
} // namespace camphorreach
