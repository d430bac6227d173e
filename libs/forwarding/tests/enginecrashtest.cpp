#include <gmock/gmock.h>

#include "enginefixture.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

class EngineCrash : public EngineTest
{
protected:
    //! @brief Ends all attempts in flight at the target, which then refuses connections.
    void crash(const std::string &target)
    {
        const std::vector<ForwardCommand> sent = m_output.m_orders;
        for (const ForwardCommand &order : sent) {
            if (order.m_target->m_entry.m_id == target) {
                endAttempt(order, ForwardEnd::Closed);
            }
        }
        advanceTime(70ms);
        m_engine.probeEnded(m_now, m_engine.registry().m_targets[target], false);
    }

    void restart(const std::string &target)
    {
        m_engine.probeEnded(m_now, m_engine.registry().m_targets[target], true);
    }

    void useOnly(const std::string &target)
    {
        for (const TargetPointer &other : m_engine.registry().m_targetsByService["orders"]) {
            other->m_down = other->m_entry.m_id != target;
        }
    }

    bool isRefused(std::string_view path)
    {
        const std::size_t answers = m_output.m_answers.size();
        submit(path);
        return m_output.m_answers.size() > answers
               && m_output.m_answers.back().m_kind == AnswerKind::Quarantined;
    }
};

} // namespace

// Guards against quarantining a search because a network cut resets its connections to many
// targets: a request that a target has answered does not crash targets, whichever comes first.
TEST_F(EngineCrash, DoesNotBlameARequestThatATargetHasAnswered)
{
    for (const bool answeredFirst : {true, false}) {
        submit("/search/cut");
        const ForwardCommand lost = m_output.m_orders[m_output.m_orders.size() - 2];
        const ForwardCommand answered = m_output.m_orders.back();
        if (answeredFirst) {
            replySuccess(answered);
        }
        endAttempt(lost, ForwardEnd::Reset);
        if (!answeredFirst) {
            replySuccess(answered);
        }
        m_output.m_probed.clear();
        advanceTime(70ms);
        ASSERT_THAT(m_output.m_probed, testing::Contains(lost.m_target));
        m_engine.probeEnded(now(), lost.m_target, false);
        advanceTime(5s);
        EXPECT_TRUE(m_output.m_crashReports.empty()) << "answered first: " << answeredFirst;
        EXPECT_TRUE(m_engine.crashes().m_entries.empty()) << "answered first: " << answeredFirst;
    }
}

// Guards against a request that crashes one target after another as its caller repeats it.
TEST_F(EngineCrash, QuarantinesARequestThatCrashesTargets)
{
    for (int crash = 0; crash < 3; ++crash) {
        submit("/orders/poison");
        ASSERT_EQ(m_output.m_orders.size(), static_cast<std::size_t>(crash) + 1);
        endAttempt(lastOrder(), ForwardEnd::Closed);
        advanceTime(100ms);
        ASSERT_EQ(m_output.m_probed.size(), static_cast<std::size_t>(crash) + 1);
        m_engine.probeEnded(m_now, m_output.m_probed.back(), false);
        recordReachable(*m_output.m_probed.back(), m_now);
    }
    submit("/orders/poison");
    EXPECT_EQ(m_output.m_orders.size(), 3U);
    EXPECT_EQ(m_output.m_answers.back().m_kind, AnswerKind::Quarantined);
    submit("/orders/other");
    EXPECT_EQ(m_output.m_orders.size(), 4U);
    advanceTime(300ms);
    int crashes = 0;
    for (const CrashReport &report : m_output.m_crashReports) {
        EXPECT_EQ(report.m_fingerprint, stableHash("/orders/poison"));
        crashes += report.m_crashes;
    }
    EXPECT_EQ(crashes, 3) << "the other nodes are not told of all crashes";
}

// Guards against a request that crashes one target after another while its caller leaves before
// each crash, so that nothing waits for the end of its attempts.
TEST_F(EngineCrash, CountsCrashesAfterTheCallerHasLeft)
{
    for (int crash = 0; crash < 3; ++crash) {
        const std::uint64_t caller = submit("/orders/poison");
        const ForwardCommand order = lastOrder();
        advanceTime(100ms);
        m_engine.callerDisconnected(m_now, caller);
        EXPECT_TRUE(m_output.m_abandoned.empty());
        advanceTime(200ms);
        endAttempt(order, ForwardEnd::Closed);
        advanceTime(100ms);
        ASSERT_EQ(m_output.m_probed.size(), static_cast<std::size_t>(crash) + 1);
        m_engine.probeEnded(m_now, m_output.m_probed.back(), false);
        recordReachable(*m_output.m_probed.back(), m_now);
    }
    EXPECT_TRUE(isRefused("/orders/poison"));
    EXPECT_FALSE(isRefused("/orders/other"));
}

// Guards against an order that is sent after its caller has left, and against one at a silent
// target that holds its place for ever.
TEST_F(EngineCrash, CancelsWhatIsNotSentOrDoesNotEndAfterTheCallerHasLeft)
{
    m_engine.callerDisconnected(m_now, submit("/orders/silent"));
    EXPECT_TRUE(m_output.m_abandoned.empty());
    advanceTime(500ms);
    EXPECT_EQ(m_output.m_abandoned, std::vector<std::uint64_t>{lastOrder().m_attempt});
    m_output.m_connectionsAreOpen = false;
    m_engine.callerDisconnected(m_now, submit("/orders/unsent"));
    EXPECT_EQ(m_output.m_abandoned.back(), lastOrder().m_attempt);
}

// Guards against a request that stays suspected although a target has answered it after its caller
// had left.
TEST_F(EngineCrash, AnAnswerAfterTheCallerHasLeftClearsTheRequest)
{
    submit("/orders/popular");
    endAttempt(lastOrder(), ForwardEnd::Closed);
    advanceTime(100ms);
    m_engine.probeEnded(m_now, m_output.m_probed.back(), false);
    ASSERT_FALSE(m_engine.crashes().m_entries.empty());
    const std::uint64_t caller = submit("/orders/popular");
    m_engine.callerDisconnected(m_now, caller);
    replySuccess(lastOrder());
    EXPECT_TRUE(m_engine.crashes().m_entries.empty());
}

// Guards against quarantining a harmless request because its replies were lost in transit.
TEST_F(EngineCrash, DoesNotCountALostReplyAsACrash)
{
    for (int loss = 0; loss < 5; ++loss) {
        submit("/orders/harmless");
        endAttempt(lastOrder(), ForwardEnd::Reset);
        advanceTime(100ms);
        m_engine.probeEnded(m_now, m_output.m_probed.back(), true);
    }
    submit("/orders/harmless");
    EXPECT_EQ(m_output.m_orders.size(), 6U);
    advanceTime(1s);
    EXPECT_TRUE(m_output.m_crashReports.empty());
}

// Guards against a route that is refused after a single crash: requests of several callers for one
// path, lost together with their target, count as one crash.
TEST_F(EngineCrash, CountsOneCrashOnceHoweverManyRequestsWereLost)
{
    useOnly("ordersa");
    for (int caller = 0; caller < 4; ++caller) {
        submit("/orders/popular");
    }
    ASSERT_EQ(m_output.m_orders.size(), 4U);
    crash("ordersa");
    restart("ordersb");
    EXPECT_FALSE(isRefused("/orders/popular"));
    advanceTime(1s);
    ASSERT_EQ(m_output.m_crashReports.size(), 1U);
    EXPECT_EQ(m_output.m_crashReports[0].m_crashes, 1);
}

// Guards against the same if the ends of the connections are read over some time.
TEST_F(EngineCrash, CountsOneCrashOnceWhenLossesAreNoticedLate)
{
    useOnly("ordersa");
    for (int caller = 0; caller < 4; ++caller) {
        submit("/orders/popular");
    }
    const std::vector<ForwardCommand> sent = m_output.m_orders;
    for (const ForwardCommand &order : sent) {
        endAttempt(order, ForwardEnd::Closed);
        m_engine.probeEnded(m_now, order.m_target, false);
        advanceTime(50ms);
    }
    restart("ordersb");
    EXPECT_FALSE(isRefused("/orders/popular"));
}

// Guards against a path that is refused after crashes over time, although targets answer it.
TEST_F(EngineCrash, ClearsARequestThatATargetAnswersAfterACrash)
{
    m_table.m_routes[1].m_idempotent = true;
    applyTable(2);
    for (const std::string target : {"ordersa", "ordersb", "ordersc", "ordersa"}) {
        useOnly(target);
        submit("/orders/popular");
        useOnly(target == "ordersb" ? "ordersc" : "ordersb");
        m_engine.registry().m_targets[target]->m_down = false;
        crash(target);
        ASSERT_NE(lastOrder().m_target->m_entry.m_id, target) << "no retry";
        replySuccess(lastOrder());
        advanceTime(5s);
        restart(target);
        EXPECT_FALSE(isRefused("/orders/popular"));
        replySuccess(lastOrder());
        advanceTime(5s);
    }
    EXPECT_TRUE(m_output.m_crashReports.empty())
        << "calls of the store for what was cleared in time";
}

// Guards against refusing a popular path because several targets crash at the same moment.
TEST_F(EngineCrash, DoesNotBlameARequestThatWasAnsweredJustBefore)
{
    submit("/orders/popular");
    replySuccess(lastOrder());
    for (const std::string target : {"ordersa", "ordersb", "ordersc"}) {
        useOnly(target);
        submit("/orders/popular");
        ASSERT_EQ(lastOrder().m_target->m_entry.m_id, target);
    }
    for (const std::string target : {"ordersa", "ordersb", "ordersc"}) {
        m_engine.registry().m_targets[target]->m_down = false;
        crash(target);
    }
    restart("ordersa");
    EXPECT_FALSE(isRefused("/orders/popular"));
}

// Guards against a path that stays refused although an attempt in flight is answered, and against
// other nodes that go on refusing it.
TEST_F(EngineCrash, LiftsTheQuarantineWhenAnAttemptInFlightIsAnswered)
{
    submit("/orders/popular");
    const ForwardCommand inFlight = lastOrder();
    const std::uint64_t fingerprint = stableHash("/orders/popular");
    for (const std::uint64_t process : {1U, 2U, 3U}) {
        mergeCrashCount(m_engine.crashes(), m_now, fingerprint, process, 1);
    }
    EXPECT_TRUE(isRefused("/orders/popular"));
    replySuccess(inFlight);
    EXPECT_FALSE(isRefused("/orders/popular"));
    ASSERT_EQ(m_output.m_crashReports.size(), 3U);
    for (const CrashReport &report : m_output.m_crashReports) {
        EXPECT_EQ(report.m_crashes, 0);
    }
}

// Guards against a crashing request that is cleared by what does not show that a target ran it.
TEST_F(EngineCrash, ARefusalOrAnErrorOfATargetClearsNothing)
{
    for (const std::string target : {"ordersa", "ordersb", "ordersc"}) {
        useOnly(target);
        submit("/orders/poison");
        replyStatus(lastOrder(), 500, false);
        submit("/orders/poison");
        crash(target);
        restart(target);
    }
    EXPECT_TRUE(isRefused("/orders/poison"));
}

} // namespace arbutusgrade
