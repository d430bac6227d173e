#include <limits>

#include <gtest/gtest.h>

#include "details/coordinator.h"
#include "harness.h"

namespace arbutusgrade {
namespace {

constexpr TimePoint begin{std::chrono::seconds(100)};
constexpr std::uint64_t huge = std::numeric_limits<std::uint64_t>::max();

//! Keeps all messages and decisions.
class RecordingOutput : public QuotaOutput
{
public:
    void sendReport(std::string_view node, const QuotaReport &report) override
    {
        m_reportedTo = node;
        m_reports.push_back(report);
    }
    void sendReply(std::string_view, const QuotaReply &reply) override
    {
        m_replies.push_back(reply);
    }
    void decided(std::uint64_t request, const QuotaDecision &decision) override
    {
        m_decisions[request] = decision;
    }
    void coordinatorChanged(std::uint32_t, std::string_view, std::string_view) override { }

    std::string m_reportedTo;
    std::vector<QuotaReport> m_reports;
    std::vector<QuotaReply> m_replies;
    std::map<std::uint64_t, QuotaDecision> m_decisions;
};

//! A coordinator without demand of its own; only messages of node1 reach it.
class QuotaMessages : public testing::Test
{
public:
    QuotaMessages() : m_limiter({"node0", testTolerance, 7}, m_now, m_output)
    {
        const std::vector<OrganisationLimit> limits{{"small", {1.0, 1.0}},
                                                    {"large", {100.0, 1000.0}}};
        const std::vector<QuotaPeer> peers{{"node0", 1e6}, {"node1", 1e-6}};
        m_limiter.setLimits(m_now, limits);
        m_limiter.setPeers(m_now, peers, 2);
    }

    QuotaReport report()
    {
        QuotaReport report;
        report.m_nodeSession = 3;
        report.m_sentAt = m_now.time_since_epoch().count();
        if (!m_output.m_replies.empty()) {
            report.m_coordinatorSession = m_output.m_replies.back().m_coordinatorSession;
            report.m_coordinatorTime = m_output.m_replies.back().m_coordinatorTime;
            report.m_nodes = 2;
        }
        return report;
    }

    void elapse(Duration time)
    {
        const TimePoint until = m_now + time;
        while (m_now < until) {
            m_now += std::chrono::milliseconds(100);
            m_limiter.advance(m_now);
            m_limiter.receiveReport(m_now, "node1", report());
        }
    }

    //! Asks for tokens of the large organisation after a time without any call.
    std::uint64_t ask(std::uint32_t tokens, Duration after)
    {
        m_now += after;
        QuotaReport asking = report();
        asking.m_uses = {{stableHash("large"), 0, 0, tokens, tokens}};
        m_limiter.receiveReport(m_now, "node1", asking);
        return granted();
    }

    std::uint64_t granted() const
    {
        return m_output.m_replies.back().m_grants.at(0).m_granted;
    }

    TimePoint m_now = begin;
    RecordingOutput m_output;
    QuotaLimiter m_limiter;
};

// Guards against a new coordinator whose bucket is full while earlier tokens are in use.
TEST_F(QuotaMessages, BucketStartsEmpty)
{
    elapse(std::chrono::milliseconds(200));
    EXPECT_LT(ask(1000, Duration(1)), 50U);
}

// Guards against grants from delegations that expired while the coordinator was paused.
TEST_F(QuotaMessages, ResumedCoordinatorGrantsNothing)
{
    elapse(std::chrono::seconds(20));
    EXPECT_EQ(ask(1000, quotaLease), 0U);
    // Its own share is delegated anew in the same call.
    EXPECT_LE(m_limiter.statistics().m_delegatedShare, 0.5);
}

// Guards against a delegation that outlives its lease, or ends before it.
TEST_F(QuotaMessages, DelegationLastsForItsLease)
{
    elapse(std::chrono::seconds(20));
    // The last report echoed a reply of 100 ms before.
    EXPECT_EQ(ask(500, quotaLease - std::chrono::milliseconds(101)), 500U);
}

// Guards against tokens of the earlier limit that stay in the bucket.
TEST_F(QuotaMessages, LoweredLimitCutsTheBucketAtOnce)
{
    elapse(std::chrono::seconds(20));
    const std::vector<OrganisationLimit> limits{{"large", {1.0, 1.0}}};
    m_limiter.setLimits(m_now, limits);
    EXPECT_LE(ask(1000, Duration(1)), 11U);
}

// Guards against tokens that stay out after a limit was lowered.
TEST_F(QuotaMessages, TokensAboveALoweredLimitAreRecalled)
{
    elapse(std::chrono::seconds(20));
    EXPECT_EQ(ask(500, Duration(1)), 500U);
    m_limiter.setLimits(m_now, std::vector<OrganisationLimit>{{"large", {1.0, 1.0}}});
    m_now += std::chrono::milliseconds(1);
    m_limiter.receiveReport(m_now, "node1", report());
    EXPECT_TRUE(m_output.m_replies.back().m_grants.at(0).m_recalled);
}

// Guards against overflow and unbounded grants after absurd numbers in a report.
TEST_F(QuotaMessages, AbsurdNumbersAreBounded)
{
    elapse(std::chrono::seconds(20));
    EXPECT_NEAR(m_limiter.statistics().m_delegatedShare, 1.0, 1e-9);
    const std::uint64_t small = stableHash("small");
    const std::vector<QuotaUse> uses{{small, 0, 0, std::numeric_limits<std::uint32_t>::max(),
                                      std::numeric_limits<std::uint32_t>::max()},
                                     {small, huge, huge, 1, 1},
                                     {small, 1'000'000, 1'000'000, 1, 1},
                                     {small, 0, 1'000'000, 5, 9},
                                     {stableHash("unknown"), 1, 1, 1, 1}};
    for (const QuotaUse &use : uses) {
        m_now += std::chrono::milliseconds(1);
        QuotaReport absurd = report();
        absurd.m_uses.assign(1000, use);
        m_limiter.receiveReport(m_now, "node1", absurd);
        EXPECT_LE(m_output.m_replies.back().m_grants.size(), 32U);
    }
    // Rate and burst are 1, the reserve is 10.3; returned tokens were granted again.
    EXPECT_LE(m_limiter.statistics().m_granted, 12U * 30U);
}

// Guards against a share above 1 and against leases that a node prolongs itself.
TEST_F(QuotaMessages, DelegationsAreBoundedAndExpire)
{
    elapse(std::chrono::seconds(1));
    QuotaReport forged = report();
    forged.m_sentAt += 1;
    forged.m_nodes = 1;
    m_limiter.receiveReport(m_now, "node1", forged);
    EXPECT_LE(m_limiter.statistics().m_delegatedShare, 1.0);
    forged.m_sentAt += 1;
    forged.m_coordinatorTime = std::numeric_limits<std::int64_t>::max();
    m_limiter.receiveReport(m_now, "node1", forged);
    EXPECT_NEAR(m_limiter.statistics().m_delegatedShare, 0.5, 1e-9);
}

// Guards against messages of nodes that are not registered and of unusable partitions.
TEST_F(QuotaMessages, ForeignMessagesAreIgnored)
{
    QuotaReport first = report();
    m_limiter.receiveReport(m_now, "stranger", first);
    first.m_partitions = 1000;
    m_limiter.receiveReport(m_now, "node1", first);
    first.m_partitions = 0;
    m_limiter.receiveReport(m_now, "node1", first);
    EXPECT_TRUE(m_output.m_replies.empty());
    m_limiter.receiveReply(m_now, "node1", {1, 1, -1, 5, 77, 1, true, {}});
    m_limiter.receiveReply(m_now, "stranger", {});
}

// Guards against a second grant for a report that arrives twice.
TEST_F(QuotaMessages, DuplicatedReportIsIgnored)
{
    elapse(std::chrono::seconds(5));
    m_now += std::chrono::milliseconds(1);
    QuotaReport asking = report();
    asking.m_uses = {{stableHash("small"), 0, 0, 1, 1}};
    const std::size_t replies = m_output.m_replies.size();
    m_limiter.receiveReport(m_now, "node1", asking);
    m_limiter.receiveReport(m_now, "node1", asking);
    EXPECT_EQ(m_output.m_replies.size(), replies + 1);
    EXPECT_EQ(granted(), 1U);
}

//! A node; the test sends the replies of its coordinator node0, and node2 is the next in the order.
class QuotaNode : public testing::Test
{
public:
    QuotaNode() : m_limiter({"node1", testTolerance, 7}, begin, m_output)
    {
        const std::vector<QuotaPeer> peers{{"node0", 1e9}, {"node1", 1e-6}, {"node2", 1.0}};
        m_limiter.setLimits(begin, std::vector<OrganisationLimit>{{"large", {500.0, 1000.0}}});
        m_limiter.setPeers(begin, peers, 3);
    }

    //! Answers the last report.
    void reply(std::uint64_t session, std::uint64_t granted,
               std::uint32_t retryAfterMilliseconds = 0)
    {
        const QuotaReport report = m_output.m_reports.back();
        QuotaReply reply{report.m_nodeSession, session, report.m_sentAt, 1, 0, 1, true, {}};
        reply.m_coordinatorTime = m_now.time_since_epoch().count();
        const bool exhausted = retryAfterMilliseconds > 0;
        reply.m_grants = {{stableHash("large"), granted, retryAfterMilliseconds, exhausted, false}};
        m_limiter.receiveReply(m_now, m_output.m_reportedTo, reply);
    }

    //! Ten requests wait, so that tokens are not returned as surplus.
    void createDemand()
    {
        for (int request = 0; request < 10; ++request) {
            EXPECT_EQ(admit(), QuotaVerdict::Pending);
        }
    }

    QuotaVerdict admit()
    {
        return m_limiter.admit(m_now, "large", ++m_request).m_verdict;
    }

    TimePoint m_now = begin;
    std::uint64_t m_request = 0;
    RecordingOutput m_output;
    QuotaLimiter m_limiter;
};

// Guards against tokens that are used after the coordinator has dropped them.
TEST_F(QuotaNode, TokensExpireWithTheirReport)
{
    createDemand();
    m_now += std::chrono::milliseconds(20);
    reply(5, 15);
    EXPECT_EQ(m_output.m_decisions.size(), 10U);
    m_now = begin + quotaLease - std::chrono::milliseconds(1);
    EXPECT_EQ(admit(), QuotaVerdict::Admitted);
    m_now = begin + quotaLease;
    EXPECT_NE(admit(), QuotaVerdict::Admitted);
}

// Guards against expired tokens that a later reply makes valid, and against late replies.
TEST_F(QuotaNode, ExpiredTokensStayExpired)
{
    createDemand();
    reply(5, 15);
    m_now = begin + quotaLease + std::chrono::milliseconds(100);
    m_limiter.advance(m_now);
    const QuotaReport late = m_output.m_reports.front();
    reply(5, 15);
    EXPECT_NE(admit(), QuotaVerdict::Admitted);
    m_limiter.receiveReply(m_now, "node0",
                           {late.m_nodeSession,
                            5,
                            late.m_sentAt,
                            1,
                            0,
                            1,
                            true,
                            {{stableHash("large"), 2000, 0, false, false}}});
    EXPECT_NE(admit(), QuotaVerdict::Admitted);
}

// Guards against tokens of a process of the coordinator that no longer counts them.
TEST_F(QuotaNode, TokensOfAnEarlierSessionAreDiscarded)
{
    reply(5, 1000);
    EXPECT_EQ(admit(), QuotaVerdict::Admitted);
    m_now += std::chrono::milliseconds(500);
    m_limiter.advance(m_now);
    reply(6, 1000);
    EXPECT_NE(admit(), QuotaVerdict::Admitted);
}

// Guards against a share that counts at two coordinators, or at one and at the node itself.
TEST_F(QuotaNode, ShareRestsBeforeItIsUsedElsewhere)
{
    reply(5, 0);
    m_now += std::chrono::milliseconds(10);
    m_limiter.advance(m_now);
    ASSERT_EQ(m_output.m_reports.back().m_nodes, 3U);
    // The coordinator counts the lease from the time of its own that the last report repeated.
    TimePoint leaseEnd = begin + quotaLease;
    std::size_t seen = m_output.m_reports.size();
    bool moved = false;
    while (!moved && m_now < begin + std::chrono::seconds(10)) {
        m_now += std::chrono::milliseconds(10);
        m_limiter.advance(m_now);
        if (m_now < leaseEnd) {
            EXPECT_NE(admit(), QuotaVerdict::Admitted);
        }
        for (; seen < m_output.m_reports.size(); ++seen) {
            const QuotaReport &report = m_output.m_reports[seen];
            const bool delegates = report.m_nodes > 0;
            if (m_output.m_reportedTo == "node2") {
                moved = moved || delegates;
            } else if (delegates) {
                leaseEnd = TimePoint(Duration(report.m_coordinatorTime)) + quotaLease;
            }
        }
        if (m_output.m_reportedTo == "node2" && !moved) {
            reply(9, 0);
        }
    }
    EXPECT_TRUE(moved);
    EXPECT_GE(m_now, leaseEnd);
    EXPECT_EQ(m_limiter.statistics().m_admittedAlone, 0U);
}

// Guards against a dead coordinator that is kept for as long as registrations change.
TEST_F(QuotaNode, ChangesOfRegistrationsDoNotHideASilentCoordinator)
{
    const std::vector<QuotaPeer> peers{{"node0", 1e9}, {"node1", 1e-6}, {"node2", 1.0}};
    reply(5, 0);
    for (int step = 0; step < 20; ++step) {
        m_now += std::chrono::milliseconds(50);
        m_limiter.setPeers(m_now, peers, 3);
        m_limiter.advance(m_now);
    }
    EXPECT_EQ(m_output.m_reportedTo, "node2");
}

// Guards against an organisation that loses its limit and takes the tokens of others with it.
TEST_F(QuotaNode, RemovingAnOrganisationKeepsTheTokensOfOthers)
{
    const std::vector<OrganisationLimit> both{{"large", {500.0, 1000.0}}, {"other", {5.0, 5.0}}};
    m_limiter.setLimits(m_now, both);
    createDemand();
    reply(5, 25);
    m_limiter.setLimits(m_now, std::span(both).first(1));
    EXPECT_EQ(admit(), QuotaVerdict::Admitted);
    EXPECT_EQ(m_limiter.admit(m_now, "other", ++m_request).m_verdict, QuotaVerdict::Admitted);
}

// Guards against refused callers that all come back at the same time and are refused once more.
TEST_F(QuotaNode, RefusedRequestsAreToldToComeBackOneAfterTheOther)
{
    createDemand();
    m_now += std::chrono::milliseconds(20);
    reply(5, 0, 10);
    Duration previous{0};
    for (int request = 0; request < 20; ++request) {
        const QuotaDecision decision = m_limiter.admit(m_now, "large", ++m_request);
        ASSERT_EQ(decision.m_verdict, QuotaVerdict::Exhausted);
        previous = std::max(previous, decision.m_retryAfter);
    }
    // Of 500 requests/s, a third is this node's; 30 have been refused.
    EXPECT_GE(previous, std::chrono::milliseconds(170));
    EXPECT_LE(previous, std::chrono::milliseconds(220));
    m_now += std::chrono::seconds(1);
    reply(5, 0, 10);
    EXPECT_LE(m_limiter.admit(m_now, "large", ++m_request).m_retryAfter,
              std::chrono::milliseconds(30));
}

// Guards against unlimited waiting requests, and requests that are decided twice or never.
TEST(QuotaRequests, WaitingRequestsAreBoundedAndDecidedOnce)
{
    RecordingOutput output;
    QuotaLimiter limiter({"node1", testTolerance, 7}, begin, output);
    const std::vector<QuotaPeer> peers{{"node0", 1e6}, {"node1", 1e-6}};
    limiter.setLimits(begin, std::vector<OrganisationLimit>{{"small", {1.0, 1.0}}});
    EXPECT_EQ(limiter.admit(begin, "small", 1).m_verdict, QuotaVerdict::Undecided);
    limiter.setPeers(begin, peers, 2);
    std::size_t pending = 0;
    for (std::uint64_t request = 1; request <= 5000; ++request) {
        const QuotaDecision decision = limiter.admit(begin, "small", request);
        pending += decision.m_verdict == QuotaVerdict::Pending ? 1U : 0U;
    }
    EXPECT_EQ(pending, 1024U);
    limiter.cancel(1);
    limiter.cancel(1);
    limiter.advance(begin + std::chrono::milliseconds(41));
    EXPECT_EQ(output.m_decisions.size(), 1023U);
    EXPECT_EQ(limiter.admit(begin, "unlimited", 9000).m_verdict, QuotaVerdict::Admitted);
}

// Guards against organisations that lose their limit while requests wait, and stale state of them.
TEST(QuotaRequests, OrganisationsComeAndGo)
{
    RecordingOutput output;
    QuotaLimiter limiter({"node1", testTolerance, 7}, begin, output);
    const std::vector<QuotaPeer> peers{{"node0", 1e6}, {"node1", 1e-6}};
    const std::vector<OrganisationLimit> limits{{"a", {1.0, 1.0}}, {"b", {500.0, 0.0}}};
    limiter.setPeers(begin, peers, 2);
    for (int round = 0; round < 50; ++round) {
        const TimePoint now = begin + round * std::chrono::milliseconds(50);
        limiter.setLimits(now, limits);
        EXPECT_NE(limiter.admit(now, "a", 10).m_verdict, QuotaVerdict::Admitted);
        limiter.setLimits(now, std::vector<OrganisationLimit>{});
        EXPECT_EQ(limiter.admit(now, "a", 11).m_verdict, QuotaVerdict::Admitted);
        limiter.returnToken(now, "a");
        limiter.advance(now + std::chrono::milliseconds(45));
    }
    for (const std::pair<const std::uint64_t, QuotaDecision> &decision : output.m_decisions) {
        EXPECT_EQ(decision.second.m_verdict, QuotaVerdict::Admitted);
    }
}

// Guards against reports that are larger than a datagram, or that leave out organisations for good.
TEST(QuotaRequests, ReportsNameAtMost24Organisations)
{
    RecordingOutput output;
    QuotaLimiter limiter({"node1", testTolerance, 7}, begin, output);
    std::vector<OrganisationLimit> limits;
    limits.reserve(100);
    for (int index = 0; index < 100; ++index) {
        limits.push_back({"organisation" + std::to_string(index), {1.0, 1.0}});
    }
    limiter.setLimits(begin, limits);
    limiter.setPeers(begin, std::vector<QuotaPeer>{{"node0", 1e6}, {"node1", 1e-6}}, 2);
    std::uint64_t request = 0;
    for (const OrganisationLimit &limit : limits) {
        limiter.admit(begin, limit.m_organisation, ++request);
    }
    std::set<std::uint64_t> named;
    for (int step = 1; step < 30; ++step) {
        limiter.advance(begin + step * std::chrono::milliseconds(10));
    }
    for (const QuotaReport &report : output.m_reports) {
        EXPECT_LE(report.m_uses.size(), 24U);
        for (const QuotaUse &use : report.m_uses) {
            named.insert(use.m_organisation);
        }
    }
    EXPECT_GT(named.size(), 24U);
}

// Guards against datagrams above 1,200 bytes, whatever the values are.
TEST(QuotaSizes, LargestMessagesFitADatagram)
{
    QuotaReport report{huge >> 1U, huge >> 1U, 0, 0, 3, 4, 410, {}};
    report.m_sentAt = std::numeric_limits<std::int64_t>::max();
    report.m_coordinatorTime = report.m_sentAt;
    report.m_uses.assign(24, {huge >> 1U, huge >> 1U, huge >> 1U, 1U << 31U, 1U << 31U});
    EXPECT_LE(compactSize(report), 1200U);
    QuotaReply reply{huge >> 1U, huge >> 1U, report.m_sentAt, report.m_sentAt, 3, 4, true, {}};
    reply.m_grants.assign(32, {huge >> 1U, huge >> 1U, 60'000, true, true});
    EXPECT_LE(compactSize(reply), 1200U);
}

//! 68 nodes with one organisation, whose bucket is full.
class QuotaTokens : public testing::Test
{
public:
    QuotaTokens() : m_harness(68, 5)
    {
        m_harness.m_limits["organisation"] = {10.0, 10.0};
        for (const int node : m_harness.allNodes()) {
            m_harness.start(node);
        }
        m_harness.run(begin + std::chrono::seconds(5));
    }

    Harness m_harness;
};

// Guards against a round trip for each request of an organisation that a node has seen.
TEST_F(QuotaTokens, TokenIsHeldAheadAfterTheFirstRequest)
{
    m_harness.add({"organisation", 5.0, {33}, begin, begin + std::chrono::seconds(9)});
    m_harness.run(begin + std::chrono::seconds(10));
    const Counts &counts = m_harness.m_counts["organisation"];
    EXPECT_GT(counts.m_offered.size(), 10U);
    EXPECT_EQ(counts.m_admitted.size(), counts.m_offered.size());
    EXPECT_LE(counts.m_pending, 2);
}

// Guards against tokens of requests that were not run and are lost for others.
TEST_F(QuotaTokens, ReturnedTokensAreUsedAgain)
{
    QuotaLimiter &limiter = *m_harness.m_nodes[33]->m_limiter;
    Counts &counts = m_harness.m_counts["organisation"];
    for (std::uint64_t request = 1'000'000'000; request < 1'000'000'400; ++request) {
        const std::size_t before = counts.m_admitted.size();
        m_harness.m_waiting[request] = "organisation";
        const QuotaDecision decision = limiter.admit(m_harness.m_now, "organisation", request);
        m_harness.run(m_harness.m_now + std::chrono::milliseconds(20));
        if (decision.m_verdict != QuotaVerdict::Pending) {
            m_harness.record("organisation", decision);
        }
        if (counts.m_admitted.size() > before) {
            limiter.returnToken(m_harness.m_now, "organisation");
        }
    }
    // 400 requests in 8 s; without returned tokens, rate and bucket give 103.
    EXPECT_GT(counts.m_admitted.size(), 395U);
}

// Guards against tokens that stay at nodes without requests.
TEST_F(QuotaTokens, IdleTokensReturn)
{
    const std::vector<int> nodes = m_harness.allNodes();
    m_harness.add({"organisation", 100.0, nodes, begin, m_harness.m_now + std::chrono::seconds(1)});
    m_harness.run(m_harness.m_now + std::chrono::seconds(6));
    Counts &counts = m_harness.m_counts["organisation"];
    counts = Counts();
    m_harness.add(
        {"organisation", 1000.0, {7}, begin, m_harness.m_now + std::chrono::milliseconds(100)});
    m_harness.run(m_harness.m_now + std::chrono::seconds(1));
    // The capacity is 23: burst and reserve.
    EXPECT_GE(counts.m_admitted.size(), 22U);
}

} // namespace
} // namespace arbutusgrade
