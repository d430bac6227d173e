#include <gmock/gmock.h>

#include "enginefixture.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

// Guards against search responses that lose records or miscount the shards.
TEST_F(EngineTest, MergesTheGreatestRecordsOfAllShards)
{
    submit("/search/x");
    ASSERT_EQ(m_output.m_orders.size(), 2U);
    replySuccess(m_output.m_orders[0], "bbbbbbbbbbbbbbbbddddddddddddddddrest");
    replySuccess(m_output.m_orders[1], "aaaaaaaaaaaaaaaacccccccccccccccc");
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_records, "ddddddddddddddddccccccccccccccccbbbbbbbbbbbbbbbb");
    EXPECT_EQ(m_output.m_answers[0].m_receipts.size(), 2U);
    EXPECT_EQ(m_output.m_answers[0].m_missingShards, 0U);
}

// Guards against requests to another data centre while a target in the node's own is idle.
TEST_F(EngineTest, PrefersTargetsInItsOwnDataCentre)
{
    submit("/search/x");
    EXPECT_EQ(m_output.m_orders[0].m_target->m_entry.m_id, "shard-1a");
    EXPECT_EQ(m_output.m_orders[1].m_target->m_entry.m_id, "shard-2a");
}

// Guards against a search that waits until the pause of one target ends.
TEST_F(EngineTest, HedgesAnOverdueAttemptAndUsesTheFirstReply)
{
    submit("/search/x");
    const ForwardCommand first = m_output.m_orders[0];
    replySuccess(m_output.m_orders[1]);
    advanceTime(60ms);
    const std::vector<ForwardCommand> orders = ordersFor("shard-1");
    ASSERT_EQ(orders.size(), 2U);
    EXPECT_NE(orders[1].m_target, first.m_target);
    replySuccess(orders[1]);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_kind, AnswerKind::Merged);
}

// Guards against sending new requests to a target with an overdue request.
TEST_F(EngineTest, AvoidsATargetWithAnOverdueRequest)
{
    submit("/search/x");
    advanceTime(60ms);
    submit("/search/y");
    EXPECT_NE(ordersFor("shard-1").back().m_target->m_entry.m_id, "shard-1a");
}

// Guards against exceeding the latency target because of one slow shard.
TEST_F(EngineTest, AnswersWithEnoughShardsBeforeTheLatencyTarget)
{
    submit("/search/x");
    replySuccess(m_output.m_orders[0]);
    advanceTime(150ms);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 200);
    EXPECT_EQ(m_output.m_answers[0].m_missingShards, 1U);
}

// Guards against making a caller wait after its request can no longer succeed.
TEST_F(EngineTest, FailsImmediatelyWhenTooManyShardsHaveFailed)
{
    m_table.m_routes[0].m_minimumShardShare = 1.0;
    m_table.m_routes[0].m_attemptLimit = 1;
    applyTable(2);
    submit("/search/x");
    endAttempt(m_output.m_orders[0], ForwardEnd::Reset);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 502);
}

// Guards against running a non-idempotent request twice.
TEST_F(EngineTest, DoesNotRetryANonIdempotentRequestThatMayHaveRun)
{
    submit("/orders/x");
    advanceTime(300ms);
    ASSERT_EQ(m_output.m_orders.size(), 1U);
    endAttempt(m_output.m_orders[0], ForwardEnd::Reset);
    EXPECT_EQ(m_output.m_orders.size(), 1U);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 502);
}

// Guards against failing a non-idempotent request that no target has run.
TEST_F(EngineTest, RetriesANonIdempotentRequestThatDidNotRun)
{
    submit("/orders/x");
    replyStatus(m_output.m_orders[0], 503, true);
    ASSERT_EQ(m_output.m_orders.size(), 2U);
    endAttempt(m_output.m_orders[1], ForwardEnd::ConnectFailed);
    ASSERT_EQ(m_output.m_orders.size(), 3U);
    replySuccess(m_output.m_orders[2]);
    EXPECT_EQ(m_output.m_answers[0].m_kind, AnswerKind::Relayed);
}

// Guards against a late second copy of a refusal that is taken for the reply to the next attempt at
// the same target, so that the request runs twice, or runs although it was refused.
TEST_F(EngineTest, RepeatsARequestToTheSameTargetOnANewConnection)
{
    submit("/orders/x");
    for (std::size_t sent = 1; sent <= 3; ++sent) {
        ASSERT_EQ(m_output.m_orders.size(), sent);
        EXPECT_FALSE(lastOrder().m_needsNewConnection) << "attempt " << sent;
        replyStatus(lastOrder(), 503, true);
    }
    for (std::size_t sent = 4; sent <= 8; ++sent) {
        ASSERT_EQ(m_output.m_orders.size(), sent);
        EXPECT_TRUE(lastOrder().m_needsNewConnection) << "attempt " << sent;
        replyStatus(lastOrder(), 503, true);
    }
    EXPECT_EQ(m_engine.statistics().m_repeats, 5U);
    submit("/orders/y");
    EXPECT_FALSE(lastOrder().m_needsNewConnection);
}

// Guards against the same for the parts of a search, and for attempts beside one that is in flight.
TEST_F(EngineTest, RepeatsAShardsPartOnANewConnection)
{
    m_table.m_routes[0].m_attemptLimit = 8;
    applyTable(2);
    submit("/search/x");
    for (int attempt = 0; attempt < 3; ++attempt) {
        EXPECT_FALSE(ordersFor("shard-1").back().m_needsNewConnection);
        replyStatus(ordersFor("shard-1").back(), 500, false);
    }
    EXPECT_TRUE(ordersFor("shard-1").back().m_needsNewConnection);
    for (const ForwardCommand &order : ordersFor("shard-2")) {
        EXPECT_FALSE(order.m_needsNewConnection);
    }
}

// Guards against telling a caller that its request was not run when the target did not confirm it.
TEST_F(EngineTest, TreatsAnUnconfirmedRejectionAsAFailure)
{
    submit("/orders/x");
    replyStatus(m_output.m_orders[0], 503, false);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 502);
}

// Guards against returning the reply to an earlier request to another caller.
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

// Guards against targets that keep processing requests of a disconnected caller.
TEST_F(EngineTest, CancelsAllAttemptsWhenTheCallerDisconnects)
{
    const std::uint64_t caller = submit("/search/x");
    m_engine.callerDisconnected(m_now, caller);
    EXPECT_EQ(m_output.m_abandoned.size(), 2U);
    advanceTime(3s);
    EXPECT_TRUE(m_output.m_answers.empty());
    EXPECT_EQ(m_output.m_orders.size(), 2U);
}

// Guards against sending requests to another process that now uses a target's address. On
// sendersok, trouble-1, seed 675410618414, a request was sent to that process again every 30 ms.
TEST_F(EngineTest, StopsUsingATargetWhoseAddressIsReused)
{
    submit("/search/x");
    replyStatus(ordersFor("shard-1")[0], 421, true);
    advanceTime(100ms);
    for (int request = 0; request < 20; ++request) {
        submit("/search/y");
        replySuccess(lastOrder());
        advanceTime(50ms);
    }
    int arrivals = 0;
    for (const ForwardCommand &order : m_output.m_orders) {
        arrivals += order.m_target->m_entry.m_id == "shard-1a" ? 1 : 0;
    }
    EXPECT_EQ(arrivals, 1);
}

// Guards against answering 404 before a node has received any configuration.
TEST(EngineWithoutConfiguration, RespondsUnavailableInsteadOfNotFound)
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

// Guards against reverting to an older configuration within a process.
TEST_F(EngineTest, RefusesAnOlderConfiguration)
{
    applyTable(7);
    m_table.m_version = 5;
    EXPECT_FALSE(m_engine.applyRoutingTable(std::make_shared<const RoutingTable>(m_table)));
    EXPECT_EQ(m_engine.routing()->m_version, 7U);
}

// Guards against a request that waits for its deadline although no targets remain.
TEST_F(EngineTest, RefusesEarlyWithoutTargets)
{
    for (const std::string id : {"ordersa", "ordersb", "ordersc"}) {
        removeEntry(m_engine.registry(), m_now, id);
    }
    advanceTime(3s);
    m_engine.registryChanged(m_now);
    submit("/orders/x");
    advanceTime(100ms);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 503);
    EXPECT_TRUE(m_output.m_answers[0].m_retryAfter.has_value());
}

// Guards against requests to targets that refuse connections, and against a search that uses
// capacity while too few shards are reachable, as on sendersok, trouble-3, from 6 s to 10 s.
TEST_F(EngineTest, RefusesASearchWhileTooFewShardsAreReachable)
{
    m_table.m_routes[0].m_minimumShardShare = 1.0;
    applyTable(2);
    submit("/search/x");
    for (int attempt = 0; attempt < 3; ++attempt) {
        endAttempt(ordersFor("shard-1").back(), ForwardEnd::ConnectFailed);
    }
    const std::size_t orders = m_output.m_orders.size();
    submit("/search/y");
    EXPECT_EQ(m_output.m_orders.size(), orders);
    ASSERT_FALSE(m_output.m_answers.empty());
    EXPECT_EQ(m_output.m_answers.back().m_status, 503);
    EXPECT_TRUE(m_output.m_answers.back().m_retryAfter.has_value());
    advanceTime(1s);
    m_engine.advance(m_now);
    ASSERT_EQ(m_output.m_probed.size(), 3U);
    m_engine.probeEnded(m_now, m_output.m_probed[0], true);
    submit("/search/z");
    EXPECT_GT(m_output.m_orders.size(), orders);
}

// Guards against a node that stays in the load balancer although it is isolated from all other data
// centres, and against one that leaves it because a service is down in all data centres.
TEST_F(EngineTest, IsCutOffOnlyWhenNoOtherDataCentreIsReachable)
{
    m_table.m_routes[0].m_attemptLimit = 8;
    applyTable(2);
    for (const std::string id : {"shard-1a", "shard-2a", "ordersa", "ordersb", "ordersc"}) {
        m_engine.registry().m_targets[id]->m_down = true;
    }
    submit("/orders/x");
    ASSERT_EQ(m_output.m_answers.back().m_status, 503);
    EXPECT_FALSE(m_engine.isIsolated(m_now));
    submit("/search/x");
    const std::vector<ForwardCommand> orders = m_output.m_orders;
    ASSERT_EQ(orders.size(), 2U);
    replySuccess(orders[0]);
    endAttempt(orders[1], ForwardEnd::ConnectFailed);
    endAttempt(lastOrder(), ForwardEnd::ConnectFailed);
    submit("/orders/x");
    EXPECT_FALSE(m_engine.isIsolated(m_now));
    for (int attempt = 0; attempt < 2; ++attempt) {
        submit("/search/y");
        endAttempt(lastOrder(), ForwardEnd::ConnectFailed);
    }
    advanceTime(600ms);
    submit("/orders/x");
    EXPECT_TRUE(m_engine.isIsolated(m_now));
    m_engine.probeEnded(m_now, m_engine.registry().m_targets["shard-2b"], true);
    EXPECT_FALSE(m_engine.isIsolated(m_now));
}

// Guards against a search that waits for a shard of which no target can be reached, although its
// other shards have replied.
TEST_F(EngineTest, DoesNotWaitForAShardWithoutReachableTargets)
{
    for (const TargetPointer &target : m_engine.registry().m_targetsByService["shard-1"]) {
        m_engine.probeEnded(now(), target, false);
    }
    submit("/search/x");
    ASSERT_EQ(m_output.m_orders.size(), 1U);
    replySuccess(m_output.m_orders.back());
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers.back().m_status, 200);
    EXPECT_EQ(m_output.m_answers.back().m_missingShards, 1U);
}

// Guards against a queued request that waits until its deadline after its last target has become
// unreachable; its caller could be served by another node meanwhile.
TEST_F(EngineTest, FailsQueuedRequestsAtOnceWhenTheirLastTargetIsUnreachable)
{
    m_table.m_routes[0].m_minimumShardShare = 1.0;
    applyTable(2);
    const std::vector<TargetPointer> targets = m_engine.registry().m_targetsByService["shard-1"];
    for (const TargetPointer &target : targets) {
        // No slot is free.
        target->m_inFlight.assign(16, OutstandingAttempt{0, farFuture});
    }
    submit("/search/x");
    replySuccess(m_output.m_orders.back());
    EXPECT_TRUE(m_output.m_answers.empty());
    for (const TargetPointer &target : targets) {
        m_engine.probeEnded(now(), target, false);
    }
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers.back().m_status, 502);
}

// Guards against a queued request that waits until its deadline after its last target has been
// removed from the registry.
TEST_F(EngineTest, FailsQueuedRequestsAtOnceWhenTheirLastTargetIsRemoved)
{
    m_table.m_routes[0].m_minimumShardShare = 1.0;
    applyTable(2);
    for (const TargetPointer &target : m_engine.registry().m_targetsByService["shard-1"]) {
        target->m_inFlight.assign(16, OutstandingAttempt{0, farFuture});
        removeEntry(m_engine.registry(), now(), target->m_entry.m_id);
    }
    advanceTime(TargetRegistry::removalGracePeriod - 500ms);
    submit("/search/x");
    replySuccess(m_output.m_orders.back());
    advanceTime(600ms);
    EXPECT_TRUE(m_output.m_answers.empty());
    m_engine.registryChanged(now());
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers.back().m_status, 502);
}

// Guards against keeping a target's error reply from the caller until its deadline, while the
// budget allows no retry.
TEST_F(EngineTest, RelaysAnErrorReplyWhenTheRetryWaitsBeyondTheLatencyTarget)
{
    useUpRetryBudget();
    m_output.m_answers.clear();
    ASSERT_EQ(m_engine.statistics().m_inFlight, 1U);
    advanceTime(350ms);
    EXPECT_TRUE(m_output.m_answers.empty());
    advanceTime(100ms);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_kind, AnswerKind::Relayed);
    EXPECT_EQ(m_output.m_answers[0].m_status, 500);
}

// Guards against holding a request that its target has refused, while the budget allows no retry:
// another node may serve it.
TEST_F(EngineTest, RefusesEarlyWhatNoTargetRanWhenNoRetryIsAllowed)
{
    useUpRetryBudget();
    m_table.m_routes[1].m_idempotent = false;
    applyTable(3);
    advanceTime(500ms);
    m_output.m_answers.clear();
    submit("/orders/x");
    replyStatus(lastOrder(), 503, true);
    advanceTime(120ms);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_kind, AnswerKind::Refused);
    EXPECT_EQ(m_output.m_answers[0].m_status, 503);
}

// Guards against holding a request whose reply was lost until its deadline, while the budget allows
// no retry.
TEST_F(EngineTest, FailsALostRequestAtTheLatencyTargetWhenNoRetryIsAllowed)
{
    useUpRetryBudget();
    advanceTime(500ms);
    m_output.m_answers.clear();
    submit("/orders/x");
    endAttempt(lastOrder(), ForwardEnd::Malformed);
    advanceTime(450ms);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 502);
}

// Guards against failing a search at its latency target while a shard can still be retried.
TEST_F(EngineTest, KeepsWaitingForTheRetryOfAShard)
{
    m_table.m_routes[0].m_minimumShardShare = 1.0;
    applyTable(2);
    submit("/search/x");
    for (const std::string_view id : {"shard-1b", "shard-1c"}) {
        m_engine.registry().m_targets[std::string(id)]->m_inFlight.assign(
            16, OutstandingAttempt{0, farFuture});
    }
    const TargetPointer first = m_output.m_orders[0].m_target;
    first->m_inFlight.resize(16, OutstandingAttempt{0, farFuture});
    replyStatus(m_output.m_orders[0], 500, false);
    advanceTime(400ms);
    EXPECT_TRUE(m_output.m_answers.empty());
}

// Guards against a timeout in place of the error reply that a target has given in time.
TEST_F(EngineTest, RelaysAnErrorReplyAtTheDeadline)
{
    m_table.m_routes[1].m_latencyTarget = 5s;
    useUpRetryBudget();
    m_output.m_answers.clear();
    advanceTime(2s);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_kind, AnswerKind::Relayed);
    EXPECT_EQ(m_output.m_answers[0].m_status, 500);
}

// Guards against a failed request whose cause is missing from the log.
TEST_F(EngineTest, LogsTheCauseOfAFailedRequest)
{
    submit("/search/x");
    advanceTime(3s);
    EXPECT_THAT(m_output.m_events,
                testing::IsSupersetOf({"unanswered:no-reply", "answer:time-over"}));
}

} // namespace arbutusgrade
