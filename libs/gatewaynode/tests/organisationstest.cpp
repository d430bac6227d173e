#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "fakestore.h"
#include "gatewaynode/gatewaynode.h"
#include "transport/transport.h"

namespace arbutusgrade {

using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

std::uint16_t freePort()
{
    boost::asio::io_context context;
    Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint().port();
}

GatewaySettings testSettings()
{
    GatewaySettings settings;
    settings.m_node = "n1";
    settings.m_dataCentre = "a";
    settings.m_callers = {"127.0.0.1", freePort()};
    settings.m_readiness = {"127.0.0.1", freePort()};
    settings.m_store = {"127.0.0.1", 1};
    settings.m_metricsPort = freePort();
    return settings;
}

//! @brief A configuration is the text of its version and a key, such as "2 secret"; without a key,
//! it has no organisations.
Checked<RoutingTable> decodeTestRouting(std::string_view text)
{
    RoutingTable table;
    std::string key;
    std::istringstream(std::string(text)) >> table.m_version >> key;
    if (!key.empty()) {
        Organisation acme;
        acme.m_name = "acme";
        addOrganisation(table, acme, std::vector<std::string>{key});
    }
    Route &route = table.m_routes.emplace_back();
    route.m_name = "r";
    route.m_host = "h";
    route.m_prefix = "/";
    route.m_idempotent = true;
    route.m_timeout = 1s;
    route.m_latencyTarget = 1s;
    route.m_services = {WeightedService{"s", 1.0}};
    table.m_connectionLimits["s"] = 4;
    return table;
}

//! @brief A node with a target that runs in the test.
class OrganisationsTest : public testing::Test
{
protected:
    OrganisationsTest()
        : m_settings(testSettings()), m_logFile(testing::TempDir() + "organisations.log"),
          m_log(openLog()), m_targetServer(m_context, HttpServerOptions{}),
          m_node(m_context, m_settings, createFormat(), m_store, m_log), m_caller(m_context)
    {
        m_targetServer.setFallback(
            [this](const HttpRequest &request, const HttpResponder &responder) {
                m_received.push_back(request.m_headers);
                HttpResponse response;
                response.m_headers = {{"X-Receipt", "r"},
                                      {"X-Id", std::string(request.header("X-Id"))}};
                responder(response);
            });
        m_targetServer.listen("127.0.0.1", 0);
        m_store.m_items["targets/t1"] = "entry";
    }

    LogOptions openLog() const
    {
        std::filesystem::remove(m_logFile);
        return LogOptions{"n1", m_logFile};
    }

    DeploymentFormat createFormat()
    {
        DeploymentFormat format;
        format.m_headers = {"X-Id",      "X-Time",  "X-Target", "X-Receipt",
                            "X-Not-Run", "X-Parts", "X-Lacks",  "X-Org"};
        format.m_readinessPath = "/ready";
        format.m_configurationKey = "config";
        format.m_targetPrefix = "targets/";
        format.m_writablePrefix = "own/";
        format.m_decodeRouting = decodeTestRouting;
        format.m_decodeTarget = [this](std::string_view id, std::string_view /*text*/) {
            TargetEntry entry;
            entry.m_id = id;
            entry.m_service = "s";
            entry.m_dataCentre = "a";
            entry.m_address = "127.0.0.1";
            entry.m_port = m_targetServer.port();
            entry.m_slots = 4;
            return Checked<TargetEntry>(entry);
        };
        return format;
    }

    void startNode(const std::string &configuration)
    {
        m_store.m_items["config"] = configuration;
        ASSERT_EQ(m_node.start(), "");
        m_caller.connect(
            Tcp::endpoint(boost::asio::ip::address_v4::loopback(), m_settings.m_callers.m_port));
        m_caller.non_blocking(true);
    }

    static std::string exchange(boost::asio::io_context &context, Tcp::socket &socket,
                                const std::string &text)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
        runFor(context, 100ms);
        std::array<char, 65536> bytes{};
        boost::system::error_code error;
        const std::size_t count = socket.read_some(boost::asio::buffer(bytes), error);
        return std::string(bytes.data(), count);
    }

    //! @brief Sends a request with further header lines on the connection that stays open.
    std::string send(const std::string &lines)
    {
        const std::string id = std::to_string(++m_lastId);
        return exchange(m_context, m_caller,
                        "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n" + lines + "\r\n");
    }

    std::string readMetrics()
    {
        Tcp::socket socket(m_context);
        socket.connect(
            Tcp::endpoint(boost::asio::ip::address_v4::loopback(), m_settings.m_metricsPort));
        socket.non_blocking(true);
        return exchange(m_context, socket, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    std::string readLog()
    {
        m_log.flush();
        std::ostringstream text;
        text << std::ifstream(m_logFile).rdbuf();
        return text.str();
    }

    boost::asio::io_context m_context;
    FakeStore m_store;
    GatewaySettings m_settings;
    std::string m_logFile;
    Log m_log;
    HttpServer m_targetServer;
    std::vector<HttpHeaders> m_received; //!< By the target.
    GatewayNode m_node;
    Tcp::socket m_caller;
    int m_lastId = 0;
};

std::string statusOf(const std::string &response)
{
    return response.size() < 12 ? std::string() : response.substr(9, 3);
}

} // namespace

// Guards against a key, valid or not, that a target, the log or the metrics show.
TEST_F(OrganisationsTest, ShowsKeysToNobody)
{
    startNode("1 secret-one");
    EXPECT_EQ(statusOf(send("Authorization: Token secret-one\r\nx-org: forged\r\n")), "200");
    const std::string refused = send("Authorization: Token secret-two\r\n");
    EXPECT_EQ(statusOf(refused), "401");
    EXPECT_NE(refused.find("\r\nWWW-Authenticate: Token\r\n"), std::string::npos);
    ASSERT_EQ(m_received.size(), 1U);
    std::vector<std::string> organisations;
    for (const std::pair<std::string, std::string> &header : m_received[0]) {
        EXPECT_EQ(header.second.find("secret"), std::string::npos) << header.first;
        if (header.first == "X-Org" || header.first == "x-org") {
            organisations.push_back(header.second);
        }
    }
    EXPECT_EQ(organisations, std::vector<std::string>{"acme"});
    const std::string log = readLog();
    EXPECT_NE(log.find("key-unknown"), std::string::npos);
    EXPECT_NE(log.find("keyHash"), std::string::npos);
    EXPECT_NE(log.find("\"organisation\":\"acme\""), std::string::npos);
    EXPECT_EQ(log.find("secret"), std::string::npos);
    const std::string metrics = readMetrics();
    EXPECT_NE(metrics.find("arbutusgrade_answers_total{kind=\"unauthorized\"} 1"),
              std::string::npos);
    EXPECT_EQ(metrics.find("secret"), std::string::npos);
}

// Guards against a revoked key that stays valid, or a new one that is not valid, on a connection
// that is open when the configuration changes.
TEST_F(OrganisationsTest, FollowsKeysOnOpenConnections)
{
    startNode("1 old-key");
    EXPECT_EQ(statusOf(send("Authorization: Token old-key\r\n")), "200");
    EXPECT_EQ(statusOf(send("Authorization: Token new-key\r\n")), "401");
    m_store.completeWatch(MetadataStatus::Ok, {makeEvent("config", "2 new-key", 11)}, 11);
    EXPECT_EQ(statusOf(send("Authorization: Token old-key\r\n")), "401");
    EXPECT_EQ(statusOf(send("Authorization: Token new-key\r\n")), "200");
    EXPECT_EQ(m_received.size(), 2U);
}

// Guards against a deployment without organisations whose targets miss headers of the callers.
TEST_F(OrganisationsTest, ForwardsBothHeadersWithoutOrganisations)
{
    startNode("1");
    EXPECT_EQ(statusOf(send("Authorization: Basic x\r\nx-org: a\r\n")), "200");
    ASSERT_EQ(m_received.size(), 1U);
    HttpRequest received;
    received.m_headers = m_received[0];
    EXPECT_EQ(received.header("authorization"), "Basic x");
    EXPECT_EQ(received.header("x-org"), "a");
}

} // namespace arbutusgrade
