#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "fakestore.h"
#include "gatewaynode/gatewaynode.h"

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
    settings.m_shutdownGrace = 2500ms;
    return settings;
}

DeploymentFormat testFormat()
{
    DeploymentFormat format;
    format.m_headers = {"X-Id",      "X-Time",  "X-Target", "X-Receipt",
                        "X-Not-Run", "X-Parts", "X-Lacks"};
    format.m_readinessPath = "/ready";
    format.m_configurationKey = "config";
    format.m_targetPrefix = "targets/";
    format.m_ownPrefix = "own/";
    format.m_decodeRouting = [](std::string_view text) -> Checked<RoutingTable> {
        if (text.empty()) {
            return std::vector<Finding>{Finding{"", 0, 0, "empty"}};
        }
        RoutingTable table;
        table.m_version = static_cast<std::uint64_t>(text.size());
        return table;
    };
    format.m_decodeTarget = [](std::string_view id, std::string_view /*text*/) {
        TargetEntry entry;
        entry.m_id = id;
        return Checked<TargetEntry>(entry);
    };
    return format;
}

class GatewayNodeTest : public testing::Test
{
protected:
    GatewayNodeTest()
        : m_settings(testSettings()), m_log(LogOptions{"n1", testing::TempDir() + "gateway.log"}),
          m_node(m_context, m_settings, testFormat(), m_store, m_log)
    {
    }

    //! @brief Sends the text to a port and returns what came back until the time is over.
    std::string exchange(std::uint16_t port, const std::string &text)
    {
        Tcp::socket socket(m_context);
        socket.connect(Tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
        boost::asio::write(socket, boost::asio::buffer(text));
        socket.non_blocking(true);
        runFor(m_context, 50ms);
        std::array<char, 4096> bytes{};
        boost::system::error_code error;
        const std::size_t count = socket.read_some(boost::asio::buffer(bytes), error);
        return std::string(bytes.data(), count);
    }

    std::string readiness()
    {
        return exchange(m_settings.m_readiness.m_port, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .substr(9, 3);
    }

    boost::asio::io_context m_context;
    FakeStore m_store;
    GatewaySettings m_settings;
    Log m_log;
    GatewayNode m_node;
};

} // namespace

// Guards against a node that takes requests before it knows the configuration, and against 404 for
// requests that a configuration may allow.
TEST_F(GatewayNodeTest, IsNotReadyWithoutAConfiguration)
{
    ASSERT_EQ(m_node.start(), "");
    EXPECT_EQ(readiness(), "503");
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n";
    EXPECT_EQ(exchange(m_settings.m_callers.m_port, request).substr(9, 3), "503");
    m_store.answerWatch(MetadataStatus::Ok, {eventOf("config", "v", 11)}, 11);
    EXPECT_EQ(readiness(), "200");
    EXPECT_EQ(exchange(m_settings.m_callers.m_port, request).substr(9, 3), "404");
}

// Guards against a leaving node that the balancer keeps, or that refuses connections before the
// balancer has noticed.
TEST_F(GatewayNodeTest, LeavesTheBalancerAndServesOn)
{
    m_store.m_items["config"] = "v";
    ASSERT_EQ(m_node.start(), "");
    EXPECT_EQ(readiness(), "200");
    bool finished = false;
    m_node.beginShutdown([&finished] { finished = true; });
    EXPECT_EQ(readiness(), "503");
    const std::string answer =
        exchange(m_settings.m_callers.m_port, "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n");
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    runFor(m_context, 2500ms);
    EXPECT_TRUE(finished);
}

// Guards against an unreadable configuration that takes the place of the one in force.
TEST_F(GatewayNodeTest, KeepsTheConfigurationWhenTheNextIsUnreadable)
{
    m_store.m_items["config"] = "v";
    ASSERT_EQ(m_node.start(), "");
    m_store.answerWatch(MetadataStatus::Ok, {eventOf("config", "", 11)}, 11);
    EXPECT_EQ(readiness(), "200");
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n";
    EXPECT_EQ(exchange(m_settings.m_callers.m_port, request).substr(9, 3), "404");
}

} // namespace arbutusgrade
