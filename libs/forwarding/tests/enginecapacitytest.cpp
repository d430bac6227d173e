#include <gmock/gmock.h>

#include "enginefixture.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

//! @brief Engine whose targets are evacuated, cold or full.
class EngineCapacity : public EngineTest
{
protected:
    void evacuate(const std::string &dataCentre, bool evacuated = true)
    {
        setEvacuated(m_engine.registry(), m_now, dataCentre, evacuated);
        m_engine.registryChanged(m_now);
    }

    //! @brief Uses up the capacity of the targets of the service.
    void fillTargets(const std::string &service)
    {
        for (const TargetPointer &target : m_engine.registry().m_targetsByService[service]) {
            target->m_inFlight.assign(16, OutstandingAttempt{0, farFuture});
        }
    }

    void submitFor(const std::string &organisation, std::optional<int> priority)
    {
        const std::shared_ptr<ForwardRequest> request = std::make_shared<ForwardRequest>();
        request->m_caller = ++m_lastCaller;
        request->m_requestId = organisation + "-" + std::to_string(m_lastCaller);
        request->m_host = "h.example";
        request->m_path = "/orders/x";
        request->m_fingerprint = m_lastCaller;
        request->m_organisation = organisation;
        request->m_priority = priority;
        m_engine.submit(m_now, request);
    }
};

} // namespace

// Guards against attempts, hedges, retries and probes to targets of an evacuated data centre, also
// to those that are added meanwhile.
TEST_F(EngineCapacity, EvacuatedTargetsGetNothing)
{
    m_table.m_routes[0].m_attemptLimit = 8;
    applyTable(2);
    m_engine.probeEnded(m_now, m_engine.registry().m_targets["shard-1b"], false);
    m_output.m_probed.clear();
    evacuate("a");
    evacuate("b");
    addTarget("late", "shard-1", "a");
    submit("/search/x");
    replyStatus(m_output.m_orders[0], 500, false);
    advanceTime(1900ms);
    EXPECT_GT(m_output.m_orders.size(), 2U);
    for (const ForwardCommand &order : m_output.m_orders) {
        EXPECT_EQ(order.m_target->m_entry.m_dataCentre, "c");
    }
    EXPECT_TRUE(m_output.m_probed.empty());
    evacuate("a", false);
    evacuate("b", false);
    EXPECT_EQ(m_output.m_probed.size(), 1U);
    submit("/search/y");
    EXPECT_EQ(lastOrder().m_target->m_entry.m_dataCentre, "a");
}

// Guards against a queued request that waits for evacuated targets until its time is over, and
// against a node that leaves the balancer because targets are evacuated.
TEST_F(EngineCapacity, RequestsWithOnlyEvacuatedTargetsAreRefusedAtOnce)
{
    fillTargets("orders");
    submit("/orders/x");
    EXPECT_TRUE(m_output.m_answers.empty());
    for (const std::string dataCentre : {"a", "b", "c"}) {
        evacuate(dataCentre);
    }
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    submit("/orders/x");
    ASSERT_EQ(m_output.m_answers.size(), 2U);
    for (const ForwardAnswer &answer : m_output.m_answers) {
        EXPECT_EQ(answer.m_kind, AnswerKind::Refused);
        EXPECT_EQ(answer.m_status, 503);
    }
    for (int failure = 0; failure < 4; ++failure) {
        m_engine.probeEnded(m_now, m_engine.registry().m_targets["ordersb"], false);
    }
    advanceTime(500ms);
    submit("/orders/x");
    EXPECT_FALSE(m_engine.isIsolated(m_now));
}

// Guards against a cold target that gets more than this node's share, and against a limit for
// services that have none.
TEST_F(EngineCapacity, ColdTargetGetsOnlyTheShareOfThisNode)
{
    constexpr int requests = 6;
    for (const bool isLimited : {true, false}) {
        m_output.m_orders.clear();
        m_table.m_warmupLimits.clear();
        if (isLimited) {
            m_table.m_warmupLimits["orders"] = WarmupLimit{4.0, 0s};
        }
        applyTable(m_table.m_version + 1);
        m_engine.setNodes({""}); // The name of the node in this fixture.
        for (const std::string id : {"ordersb", "ordersc"}) {
            m_engine.registry().m_targets[id]->m_down = true;
        }
        m_engine.registry().m_targets["ordersa"]->m_warmupEnd = m_now + 1h;
        for (int request = 0; request < requests; ++request) {
            submit("/orders/x");
            if (!m_output.m_orders.empty()) {
                replySuccess(lastOrder());
            }
        }
        EXPECT_EQ(m_output.m_orders.size(), isLimited ? 2U : 6U);
        advanceTime(1s);
    }
}

// Guards against a request that waits although those ahead of it take longer than it may wait, and
// against such a refusal of more urgent ones.
TEST_F(EngineCapacity, RefusesAtOnceWhatCannotBeServedInTime)
{
    m_table.m_routes[1].m_priority = 1;
    applyTable(2);
    fillTargets("orders");
    // The usual time is 67 ms, there are 12 slots, and a request may wait for 98 ms.
    constexpr std::size_t served = 17;
    for (std::size_t request = 0; request < served; ++request) {
        submitFor("large", std::nullopt);
    }
    EXPECT_TRUE(m_output.m_answers.empty());
    submitFor("large", std::nullopt);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_kind, AnswerKind::Refused);
    EXPECT_EQ(m_output.m_answers[0].m_status, 503);
    submitFor("large", 0);
    submitFor("small", std::nullopt);
    submitFor("", std::nullopt);
    EXPECT_EQ(m_output.m_answers.size(), 1U);
}

// Guards against one organisation's backlog that is served before the requests of others, and
// against a priority of an organisation that does not override the one of the route.
TEST_F(EngineCapacity, FreedRoomGoesToOrganisationsInTurn)
{
    fillTargets("orders");
    submitFor("large", 1);
    submitFor("large", 1);
    submitFor("small", 1);
    submitFor("urgent", 0);
    m_engine.registry().m_targets["ordersa"]->m_inFlight.clear();
    m_engine.registryChanged(m_now);
    std::vector<std::string> organisations;
    for (const ForwardCommand &order : m_output.m_orders) {
        organisations.push_back(order.m_request->m_organisation);
    }
    EXPECT_THAT(organisations, testing::ElementsAre("urgent", "large", "small", "large"));
}

// Guards against the retry of a less urgent request that takes the room at a target before a more
// urgent request that waits for it.
TEST_F(EngineCapacity, RetriesLeaveFreedRoomToMoreUrgentRequests)
{
    m_table.m_connectionLimits["orders"] = 1;
    m_table.m_definesOrganisations = true;
    applyTable(2);
    for (const std::string id : {"ordersb", "ordersc"}) {
        m_engine.registry().m_targets[id]->m_down = true;
    }
    submitFor("less", 1);
    submitFor("urgent", 0);
    ASSERT_EQ(m_output.m_orders.size(), 1U);
    replyStatus(m_output.m_orders[0], 503, true);
    ASSERT_EQ(m_output.m_orders.size(), 2U);
    EXPECT_EQ(lastOrder().m_request->m_organisation, "urgent");
    replySuccess(lastOrder());
    advanceTime(30ms);
    EXPECT_EQ(lastOrder().m_request->m_organisation, "less");
}

} // namespace arbutusgrade
