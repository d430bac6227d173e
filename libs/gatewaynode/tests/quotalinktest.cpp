#include <gtest/gtest.h>

#include "details/quotalink.h"
#include "details/quotaservice.h"
#include "fakestore.h"
#include "wire/wire.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

constexpr const char *loopbackAddress = "127.0.0.1";

std::uint16_t freeUdpPort(boost::asio::io_context &context)
{
    DatagramSocket socket(context, nullptr);
    std::string error;
    return socket.open(loopbackAddress, 0, error);
}

class QuotaLinkTest : public testing::Test
{
protected:
    QuotaLinkTest() : m_nodes{makeNode("n0"), makeNode("n1")}
    {
        QuotaLink::Handlers handlers;
        handlers.m_report = [this](std::string_view node, const QuotaReport &report) {
            m_received.emplace_back(node);
            m_lastReport = report;
        };
        handlers.m_reply = [](std::string_view /*node*/, const QuotaReply & /*reply*/) {};
        m_receiver =
            std::make_unique<QuotaLink>(m_context, "n0", m_nodes[0].m_link, std::move(handlers));
        m_receiver->setNodes(m_nodes);
        EXPECT_EQ(m_receiver->open(), "");
    }

    RegisteredNode makeNode(const std::string &name)
    {
        return RegisteredNode{name, "a", {loopbackAddress, freeUdpPort(m_context), 1.0}};
    }

    //! @brief Sends a report to n0 from a link that bears the name.
    void sendReport(const std::string &name, const NodeLinkSettings &link)
    {
        QuotaLink sender(m_context, name, link, {});
        sender.setNodes(m_nodes);
        EXPECT_EQ(sender.open(), "");
        sender.send("n0", QuotaReport{1, 0, 5, 0, 0, 1, 2, {{9, 1, 0, 3}}});
        EXPECT_EQ(sender.statistics().m_sent, 1U);
        runFor(m_context, 50ms);
    }

    boost::asio::io_context m_context;
    std::vector<RegisteredNode> m_nodes;
    std::unique_ptr<QuotaLink> m_receiver;
    std::vector<std::string> m_received;
    QuotaReport m_lastReport;
};

} // namespace

// Guards against messages of registered nodes that are lost or assigned to another node.
TEST_F(QuotaLinkTest, DeliversMessagesOfRegisteredNodes)
{
    sendReport("n1", m_nodes[1].m_link);
    EXPECT_EQ(m_received, std::vector<std::string>{"n1"});
    ASSERT_EQ(m_lastReport.m_uses.size(), 1U);
    EXPECT_EQ(m_lastReport.m_uses[0].m_wanted, 3U);
}

// Guards against a process that is no node and obtains tokens.
TEST_F(QuotaLinkTest, DropsMessagesFromUnregisteredAddresses)
{
    sendReport("n1", makeNode("n1").m_link);
    EXPECT_TRUE(m_received.empty());
    EXPECT_EQ(m_receiver->statistics().m_unregistered, 1U);
}

// Guards against a node that reports in the name of another one.
TEST_F(QuotaLinkTest, DropsMessagesWithAnotherNodesName)
{
    sendReport("n0", m_nodes[1].m_link);
    sendReport("n2", m_nodes[1].m_link);
    EXPECT_TRUE(m_received.empty());
    EXPECT_EQ(m_receiver->statistics().m_wrongName, 2U);
}

// Guards against malformed datagrams that stop the link, and against ones of other releases that
// look like an attack.
TEST_F(QuotaLinkTest, CountsWhatItCannotRead)
{
    DatagramSocket sender(m_context, nullptr);
    std::string error;
    const NodeLinkSettings &own = m_nodes[1].m_link;
    ASSERT_NE(sender.open(own.m_address, own.m_port, error), 0) << error;
    for (const std::string_view bytes : {"\x01garbage", "\x02", ""}) {
        sender.send(m_nodes[0].m_link.m_address, m_nodes[0].m_link.m_port, bytes);
    }
    runFor(m_context, 50ms);
    EXPECT_EQ(m_receiver->statistics().m_malformed, 2U);
    EXPECT_EQ(m_receiver->statistics().m_otherVersion, 1U);
}

namespace {

constexpr std::uint16_t requestsToSend = 40;

//! @brief Services of two nodes, of which n0 is the coordinator because of its weight.
class QuotaServiceTest : public testing::Test
{
protected:
    QuotaServiceTest() : m_log(LogOptions{"n1", testing::TempDir() + "quota.log"})
    {
        for (const std::string name : {"n0", "n1"}) {
            m_nodes.push_back({name, "a", {loopbackAddress, freeUdpPort(m_context), 1.0}});
        }
        m_nodes[0].m_link.m_weight = 1'000.0;
        m_nodes[1].m_link.m_weight = 0.001;
    }

    std::unique_ptr<QuotaService> startService(const RegisteredNode &node, double rate)
    {
        CoordinationSettings coordination;
        coordination.m_link = node.m_link;
        coordination.m_quota = QuotaTolerance{};
        std::unique_ptr<QuotaService> service = std::make_unique<QuotaService>(
            m_context, node.m_name, coordination, m_log,
            [this](TimePoint /*now*/, std::uint64_t request, const QuotaDecision &decision) {
                m_decisions[request] = decision;
            });
        const std::vector<OrganisationLimit> limits{{"o", {rate, rate}}};
        service->setNodes(bootTimeNow(), m_nodes, 2);
        service->setLimits(bootTimeNow(), limits);
        service->advance(bootTimeNow());
        return service;
    }

    //! @brief Asks for requests and counts the verdicts after their wait.
    std::map<QuotaVerdict, int> countVerdicts(QuotaService &service)
    {
        for (int index = 0; index < requestsToSend; ++index) {
            const std::uint64_t request = ++m_lastRequest;
            const QuotaDecision decision = service.admit(bootTimeNow(), "o", request);
            if (decision.m_verdict != QuotaVerdict::Pending) {
                m_decisions[request] = decision;
            }
        }
        runFor(m_context, 200ms);
        std::map<QuotaVerdict, int> counts;
        for (const std::pair<const std::uint64_t, QuotaDecision> &entry : m_decisions) {
            ++counts[entry.second.m_verdict];
        }
        EXPECT_EQ(m_decisions.size(), requestsToSend);
        return counts;
    }

    boost::asio::io_context m_context;
    Log m_log;
    std::vector<RegisteredNode> m_nodes;
    std::map<std::uint64_t, QuotaDecision> m_decisions;
    std::uint64_t m_lastRequest = 0;
};

} // namespace

// Guards against a node that gets no tokens from the coordinator over the link, or more than the
// quota.
TEST_F(QuotaServiceTest, TheCoordinatorGrantsTheQuotaOverTheLink)
{
    const std::unique_ptr<QuotaService> coordinator = startService(m_nodes[0], 20.0);
    const std::unique_ptr<QuotaService> service = startService(m_nodes[1], 20.0);
    // The shares are delegated within a lease, then the bucket fills.
    runFor(m_context, 4s);
    const TimePoint begun = bootTimeNow();
    std::map<QuotaVerdict, int> counts = countVerdicts(*service);
    const double seconds = std::chrono::duration<double>(bootTimeNow() - begun).count();
    EXPECT_GE(counts[QuotaVerdict::Admitted], 15);
    EXPECT_LE(counts[QuotaVerdict::Admitted], 20.0 + 20.0 * seconds + 1.0);
    EXPECT_GE(counts[QuotaVerdict::Exhausted], 1);
    EXPECT_EQ(counts[QuotaVerdict::Undecided], 0);
    for (const std::pair<const std::uint64_t, QuotaDecision> &entry : m_decisions) {
        EXPECT_EQ(entry.second.m_coordinator, "n0");
    }
}

// Guards against requests that wait for ever, or get 429, when the reply of the coordinator is
// lost.
TEST_F(QuotaServiceTest, ALostReplyLeavesRequestsUndecided)
{
    const std::unique_ptr<QuotaService> service = startService(m_nodes[1], 0.1);
    std::map<QuotaVerdict, int> counts = countVerdicts(*service);
    EXPECT_EQ(counts[QuotaVerdict::Undecided], requestsToSend);
    for (const std::pair<const std::uint64_t, QuotaDecision> &entry : m_decisions) {
        EXPECT_GT(entry.second.m_retryAfter, Duration::zero());
    }
}

// Guards against requests that stay without an answer when their organisation loses its limit.
TEST_F(QuotaServiceTest, AdmitsWaitingRequestsWhenTheLastLimitEnds)
{
    const std::unique_ptr<QuotaService> service = startService(m_nodes[1], 0.1);
    const QuotaDecision decision = service->admit(bootTimeNow(), "o", 7);
    ASSERT_EQ(decision.m_verdict, QuotaVerdict::Pending);
    service->setLimits(bootTimeNow(), {});
    ASSERT_TRUE(m_decisions.contains(7));
    EXPECT_EQ(m_decisions[7].m_verdict, QuotaVerdict::Admitted);
}

// Guards against traffic between nodes where no organisation has a limit.
TEST_F(QuotaLinkTest, TheServiceIsOffWithoutALimit)
{
    Log log(LogOptions{"n1", testing::TempDir() + "quota.log"});
    CoordinationSettings coordination;
    coordination.m_link = m_nodes[1].m_link;
    coordination.m_quota = QuotaTolerance{};
    const std::vector<OrganisationLimit> limits{{"o", {10.0, 5.0}}, {"unlimited", {}}};
    const std::vector<OrganisationLimit> unlimited{{"unlimited", {}}};
    const auto isActive = [&](const CoordinationSettings &settings,
                              std::span<const OrganisationLimit> effective) {
        QuotaService service(m_context, "n1", settings, log, nullptr);
        service.setNodes(bootTimeNow(), m_nodes, 2);
        service.setLimits(bootTimeNow(), limits);
        service.setLimits(bootTimeNow(), effective);
        DatagramSocket socket(m_context, nullptr);
        std::string error;
        const bool isPortFree =
            socket.open(m_nodes[1].m_link.m_address, m_nodes[1].m_link.m_port, error) != 0;
        EXPECT_NE(isPortFree, service.isActive());
        return service.isActive();
    };
    EXPECT_TRUE(isActive(coordination, limits));
    EXPECT_FALSE(isActive(coordination, unlimited));
    CoordinationSettings withoutQuota = coordination;
    withoutQuota.m_quota.reset();
    EXPECT_FALSE(isActive(withoutQuota, limits));
    CoordinationSettings withoutLink = coordination;
    withoutLink.m_link.reset();
    EXPECT_FALSE(isActive(withoutLink, limits));
}

} // namespace arbutusgrade
