#include <gmock/gmock.h>

#include "enginefixture.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

// Guards against a search that loses records or names the wrong parts.
TEST_F(EngineTest, MergesTheGreatestRecordsOfAllShards)
{
    submit("/search/x");
    ASSERT_EQ(m_output.m_orders.size(), 2U);
    succeed(m_output.m_orders[0], "bbbbbbbbbbbbbbbbddddddddddddddddrest");
    succeed(m_output.m_orders[1], "aaaaaaaaaaaaaaaacccccccccccccccc");
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_records, "ddddddddddddddddccccccccccccccccbbbbbbbbbbbbbbbb");
    EXPECT_EQ(m_output.m_answers[0].m_receipts.size(), 2U);
    EXPECT_EQ(m_output.m_answers[0].m_missingShards, 0U);
}

// Guards against requests that cross data centres although a target of the own one is idle.
TEST_F(EngineTest, PrefersTargetsOfTheOwnDataCentre)
{
    submit("/search/x");
    EXPECT_EQ(m_output.m_orders[0].m_target->m_entry.m_id, "shard-1a");
    EXPECT_EQ(m_output.m_orders[1].m_target->m_entry.m_id, "shard-2a");
}

// Guards against a search that waits out the pause of one target.
TEST_F(EngineTest, HedgesALateAttemptAndTakesTheFirstReply)
{
    submit("/search/x");
    const ForwardOrder first = m_output.m_orders[0];
    succeed(m_output.m_orders[1]);
    pass(60ms);
    const std::vector<ForwardOrder> orders = ordersFor("shard-1");
    ASSERT_EQ(orders.size(), 2U);
    EXPECT_NE(orders[1].m_target, first.m_target);
    succeed(orders[1]);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_kind, AnswerKind::Merged);
}

// Guards against new requests at a target that holds an earlier one for too long.
TEST_F(EngineTest, AvoidsATargetThatHoldsARequest)
{
    submit("/search/x");
    pass(60ms);
    submit("/search/y");
    EXPECT_NE(ordersFor("shard-1").back().m_target->m_entry.m_id, "shard-1a");
}

// Guards against an answer after the latency target for the sake of one shard.
TEST_F(EngineTest, AnswersWithEnoughShardsBeforeTheLatencyTarget)
{
    submit("/search/x");
    succeed(m_output.m_orders[0]);
    pass(150ms);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 200);
    EXPECT_EQ(m_output.m_answers[0].m_missingShards, 1U);
}

// Guards against a caller that waits although nothing can help any more.
TEST_F(EngineTest, FailsAtOnceWhenTooManyShardsHaveFailed)
{
    m_table.m_routes[0].m_minimumShardShare = 1.0;
    m_table.m_routes[0].m_attemptLimit = 1;
    adopt(2);
    submit("/search/x");
    fail(m_output.m_orders[0], ForwardEnd::Reset);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 502);
}

// Guards against a non-idempotent request that runs twice.
TEST_F(EngineTest, DoesNotRepeatANonIdempotentRequestThatMayHaveRun)
{
    submit("/orders/x");
    pass(300ms);
    ASSERT_EQ(m_output.m_orders.size(), 1U);
    fail(m_output.m_orders[0], ForwardEnd::Reset);
    EXPECT_EQ(m_output.m_orders.size(), 1U);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 502);
}

// Guards against a non-idempotent request that is given up although no target has run it.
TEST_F(EngineTest, RepeatsANonIdempotentRequestThatDidNotRun)
{
    submit("/orders/x");
    reply(m_output.m_orders[0], 503, true);
    ASSERT_EQ(m_output.m_orders.size(), 2U);
    fail(m_output.m_orders[1], ForwardEnd::ConnectFailed);
    ASSERT_EQ(m_output.m_orders.size(), 3U);
    succeed(m_output.m_orders[2]);
    EXPECT_EQ(m_output.m_answers[0].m_kind, AnswerKind::Relayed);
}

// Guards against a promise of "not run" that the target did not give.
TEST_F(EngineTest, TurnsAnUnprovenRefusalOfATargetIntoAFailure)
{
    submit("/orders/x");
    reply(m_output.m_orders[0], 503, false);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 502);
}

// Guards against the reply of an earlier request that reaches another caller.
TEST_F(EngineTest, RejectsAReplyToAnotherRequest)
{
    submit("/orders/x");
    TargetReply foreign;
    foreign.m_status = 200;
    foreign.m_receipt = "r";
    foreign.m_echoedId = "id-of-another";
    const std::uint64_t attempt = m_output.m_orders[0].m_attempt;
    m_engine.attemptEnded(m_now, attempt, ForwardEnd::Reply, foreign);
    EXPECT_THAT(m_output.m_abandoned, testing::Contains(attempt));
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 502);
}

// Guards against targets that work on for a caller who has left.
TEST_F(EngineTest, AbandonsAllAttemptsWhenTheCallerLeaves)
{
    const std::uint64_t caller = submit("/search/x");
    m_engine.callerGone(m_now, caller);
    EXPECT_EQ(m_output.m_abandoned.size(), 2U);
    pass(3s);
    EXPECT_TRUE(m_output.m_answers.empty());
    EXPECT_EQ(m_output.m_orders.size(), 2U);
}

// Guards against arrivals at the process that has taken over an address: hunt on sendersok,
// trouble-1 seed 675410618414, where one request came back to it every 30 ms.
TEST_F(EngineTest, SendsNothingMoreToATargetWhoseAddressBelongsToAnother)
{
    submit("/search/x");
    reply(ordersFor("shard-1")[0], 421, true);
    pass(100ms);
    for (int request = 0; request < 20; ++request) {
        submit("/search/y");
        succeed(lastOrder());
        pass(50ms);
    }
    int arrivals = 0;
    for (const ForwardOrder &order : m_output.m_orders) {
        arrivals += order.m_target->m_entry.m_id == "shard-1a" ? 1 : 0;
    }
    EXPECT_EQ(arrivals, 1);
}

// Guards against 404 from a node that does not know any configuration yet.
TEST(EngineWithoutConfiguration, RefusesInsteadOfDenying)
{
    RecordingOutput output;
    ForwardEngine engine(ForwardOptions{}, TimePoint(1h), output);
    const std::shared_ptr<ForwardRequest> request = std::make_shared<ForwardRequest>();
    request->m_caller = 1;
    engine.submit(TimePoint(1h), request);
    ASSERT_EQ(output.m_answers.size(), 1U);
    EXPECT_EQ(output.m_answers[0].m_status, 503);
    EXPECT_TRUE(output.m_answers[0].m_retryAfter.has_value());
}

// Guards against a configuration that goes back within a process.
TEST_F(EngineTest, RefusesAnOlderConfiguration)
{
    adopt(7);
    m_table.m_version = 5;
    EXPECT_FALSE(m_engine.adoptRouting(std::make_shared<const RoutingTable>(m_table)));
    EXPECT_EQ(m_engine.routing()->m_version, 7U);
}

// Guards against a request that waits until its deadline although no target is left.
TEST_F(EngineTest, RefusesEarlyWhenNoTargetIsThere)
{
    for (const std::string id : {"ordersa", "ordersb", "ordersc"}) {
        removeEntry(m_engine.registry(), m_now, id);
    }
    pass(3s);
    m_engine.registryChanged(m_now);
    submit("/orders/x");
    pass(100ms);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 503);
    EXPECT_TRUE(m_output.m_answers[0].m_retryAfter.has_value());
}

// Guards against requests that are tried at targets which take no connections, and against a search
// that takes capacity although too few shards can be reached: sendersok trouble-3, 6 s to 10 s.
TEST_F(EngineTest, RefusesASearchAtOnceWhileTooFewShardsCanBeReached)
{
    m_table.m_routes[0].m_minimumShardShare = 1.0;
    adopt(2);
    submit("/search/x");
    for (int attempt = 0; attempt < 3; ++attempt) {
        fail(ordersFor("shard-1").back(), ForwardEnd::ConnectFailed);
    }
    const std::size_t orders = m_output.m_orders.size();
    submit("/search/y");
    EXPECT_EQ(m_output.m_orders.size(), orders);
    ASSERT_FALSE(m_output.m_answers.empty());
    EXPECT_EQ(m_output.m_answers.back().m_status, 503);
    EXPECT_TRUE(m_output.m_answers.back().m_retryAfter.has_value());
    pass(1s);
    m_engine.advance(m_now);
    ASSERT_EQ(m_output.m_probed.size(), 3U);
    m_engine.probeEnded(m_now, m_output.m_probed[0], true);
    submit("/search/z");
    EXPECT_GT(m_output.m_orders.size(), orders);
}

// Guards against a node that keeps callers although it is cut off from all other data centres, and
// against one that leaves the balancer because a service is down everywhere.
TEST_F(EngineTest, IsCutOffOnlyWhenNoOtherDataCentreCanBeReached)
{
    m_table.m_routes[0].m_attemptLimit = 8;
    adopt(2);
    for (const std::string id : {"shard-1a", "shard-2a", "ordersa", "ordersb", "ordersc"}) {
        m_engine.registry().m_targets[id]->m_down = true;
    }
    submit("/orders/x");
    ASSERT_EQ(m_output.m_answers.back().m_status, 503);
    EXPECT_FALSE(m_engine.isCutOff(m_now));
    submit("/search/x");
    const std::vector<ForwardOrder> orders = m_output.m_orders;
    ASSERT_EQ(orders.size(), 2U);
    succeed(orders[0]);
    fail(orders[1], ForwardEnd::ConnectFailed);
    fail(lastOrder(), ForwardEnd::ConnectFailed);
    submit("/orders/x");
    EXPECT_FALSE(m_engine.isCutOff(m_now));
    for (int attempt = 0; attempt < 2; ++attempt) {
        submit("/search/y");
        fail(lastOrder(), ForwardEnd::ConnectFailed);
    }
    pass(600ms);
    submit("/orders/x");
    EXPECT_TRUE(m_engine.isCutOff(m_now));
    m_engine.probeEnded(m_now, m_engine.registry().m_targets["shard-2b"], true);
    EXPECT_FALSE(m_engine.isCutOff(m_now));
}

// Guards against a request that crashes target after target, sent again by its caller.
TEST_F(EngineTest, StopsARequestThatCrashesTargets)
{
    for (int crash = 0; crash < 3; ++crash) {
        submit("/orders/poison");
        ASSERT_EQ(m_output.m_orders.size(), static_cast<std::size_t>(crash) + 1);
        fail(lastOrder(), ForwardEnd::Closed);
        pass(100ms);
        ASSERT_EQ(m_output.m_probed.size(), static_cast<std::size_t>(crash) + 1);
        m_engine.probeEnded(m_now, m_output.m_probed.back(), false);
        learnReachable(*m_output.m_probed.back(), m_now);
    }
    EXPECT_EQ(m_output.m_crashes.back(),
              (std::pair<std::uint64_t, int>(stableHash("/orders/poison"), 3)));
    submit("/orders/poison");
    EXPECT_EQ(m_output.m_orders.size(), 3U);
    EXPECT_EQ(m_output.m_answers.back().m_kind, AnswerKind::Quarantined);
    submit("/orders/other");
    EXPECT_EQ(m_output.m_orders.size(), 4U);
}

// Guards against a sound request that is stopped because its replies were lost on the way.
TEST_F(EngineTest, DoesNotCountALostReplyAsACrash)
{
    for (int loss = 0; loss < 5; ++loss) {
        submit("/orders/sound");
        fail(lastOrder(), ForwardEnd::Reset);
        pass(100ms);
        m_engine.probeEnded(m_now, m_output.m_probed.back(), true);
    }
    submit("/orders/sound");
    EXPECT_EQ(m_output.m_orders.size(), 6U);
    EXPECT_TRUE(m_output.m_crashes.empty());
}

// Guards against a failed request whose cause the log does not tell.
TEST_F(EngineTest, RecordsWhatAFailedRequestLacks)
{
    submit("/search/x");
    pass(3s);
    EXPECT_THAT(m_output.m_events,
                testing::IsSupersetOf({"unanswered:no-reply", "answer:time-over"}));
}

} // namespace arbutusgrade
