#include <algorithm>

#include "enginefixture.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

constexpr int misdirectedStatus = 421;

class TargetNoticesTest : public EngineTest
{
protected:
    //! @brief Ends the attempt of an order with a reply in which the target says that it leaves.
    void replyLeaving(const ForwardCommand &order, int status)
    {
        TargetReply reply;
        reply.m_status = status;
        reply.m_isLeaving = true;
        reply.m_notExecuted = status == 503;
        reply.m_receipt = status == 200 ? "receipt" : "";
        m_engine.attemptEnded(m_now, order.m_attempt, ForwardEnd::Reply, reply);
    }

    //! @brief Ends the attempt of an order with a refusal in which the target asks for time.
    void replyWait(const ForwardCommand &order, Duration time)
    {
        TargetReply reply;
        reply.m_status = 503;
        reply.m_notExecuted = true;
        reply.m_refusalTime = time;
        m_engine.attemptEnded(m_now, order.m_attempt, ForwardEnd::Reply, reply);
    }

    TargetPointer targetOf(const std::string &id)
    {
        return m_engine.registry().m_targets.at(id);
    }

    bool accepts(const std::string &id)
    {
        return acceptsRequests(*targetOf(id), m_now);
    }

    //! @brief Lets a request to the orders be answered by a target that leaves.
    //! @return the id of the target.
    std::string leaveAfterOrder(int status)
    {
        submit("/orders/x");
        const ForwardCommand order = lastOrder();
        replyLeaving(order, status);
        return order.m_target->m_entry.m_id;
    }

    void expectNoMoreOrdersAt(const std::string &id)
    {
        const std::size_t before = m_output.m_orders.size();
        for (int request = 0; request < 20; ++request) {
            submit("/orders/y");
            replySuccess(lastOrder());
        }
        EXPECT_TRUE(std::none_of(m_output.m_orders.begin() + static_cast<std::ptrdiff_t>(before),
                                 m_output.m_orders.end(), [&id](const ForwardCommand &order) {
                                     return order.m_target->m_entry.m_id == id;
                                 }));
    }
};

} // namespace

// Guards against requests that are lost at a target which has said in an answer that it leaves,
// while its node cannot read that from the registry.
TEST_F(TargetNoticesTest, SendsNothingToATargetThatSaysInAnAnswerThatItLeaves)
{
    const std::string id = leaveAfterOrder(200);
    EXPECT_EQ(m_output.m_answers.back().m_status, 200);
    expectNoMoreOrdersAt(id);
    EXPECT_EQ(m_engine.statistics().m_leavingTargets, 1U);
    EXPECT_EQ(std::count(m_output.m_events.begin(), m_output.m_events.end(),
                         "target-leaving:said-in-reply"),
              1);
}

// Guards against heeding it only in successful answers.
TEST_F(TargetNoticesTest, HeedsItInRefusalsAndErrors)
{
    for (const int status : {503, 500}) {
        const std::string id = leaveAfterOrder(status);
        EXPECT_FALSE(accepts(id)) << status;
        if (status == 503) {
            EXPECT_NE(lastOrder().m_target->m_entry.m_id, id);
            replySuccess(lastOrder());
        }
    }
}

// Guards against heeding it only in answers that are passed on whole.
TEST_F(TargetNoticesTest, HeedsItInAPartOfASearch)
{
    submit("/search/x");
    replyLeaving(m_output.m_orders[0], 200);
    replySuccess(m_output.m_orders[1]);
    EXPECT_EQ(m_output.m_answers.back().m_kind, AnswerKind::Merged);
    EXPECT_FALSE(accepts("shard-1a"));
    EXPECT_TRUE(accepts("shard-2a"));
}

// Guards against dropping it with an answer that comes after its search was answered.
TEST_F(TargetNoticesTest, HeedsItInALateAnswer)
{
    submit("/search/x");
    replySuccess(m_output.m_orders[1]);
    const ForwardCommand late = m_output.m_orders[0];
    advanceTime(150ms);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    replyLeaving(late, 200);
    EXPECT_FALSE(accepts("shard-1a"));
}

// Guards against holding the expected target to what another process at its address says, and
// against not holding that process to it.
TEST_F(TargetNoticesTest, AMisdirectedAnswerSpeaksForTheProcessThatSentIt)
{
    submit("/orders/x");
    const ForwardCommand order = lastOrder();
    TargetEntry other = order.m_target->m_entry;
    other.m_id = "other";
    other.m_service = "shard-1";
    other.m_started = 2;
    applyEntry(m_engine.registry(), m_now, other);
    replyLeaving(order, misdirectedStatus);
    EXPECT_FALSE(order.m_target->m_isLeaving);
    EXPECT_FALSE(accepts("other"));
}

// Guards against a late or repeated registry entry that brings a leaving process back, also after
// its target was erased, and against a new process that is held to what the earlier one said.
TEST_F(TargetNoticesTest, HoldsUntilAnotherProcessHasTheId)
{
    const std::string id = leaveAfterOrder(200);
    TargetEntry entry = targetOf(id)->m_entry;
    entry.m_sequence += 5;
    applyEntry(m_engine.registry(), m_now, entry);
    EXPECT_FALSE(accepts(id));
    removeEntry(m_engine.registry(), m_now, id);
    advanceTime(3s);
    purgeRemovedTargets(m_engine.registry(), m_now);
    ASSERT_FALSE(m_engine.registry().m_targets.contains(id));
    applyEntry(m_engine.registry(), m_now, entry);
    EXPECT_FALSE(accepts(id));
    ++entry.m_started;
    EXPECT_EQ(applyEntry(m_engine.registry(), m_now, entry), EntryChange::Restarted);
    EXPECT_TRUE(accepts(id));
}

// Guards against an earlier process of the id whose late answer takes the new one out of use.
TEST_F(TargetNoticesTest, DoesNotSpeakForALaterProcess)
{
    submit("/orders/x");
    const ForwardCommand order = lastOrder();
    const std::string id = order.m_target->m_entry.m_id;
    TargetEntry entry = order.m_target->m_entry;
    ++entry.m_started;
    applyEntry(m_engine.registry(), m_now, entry);
    replyLeaving(order, 200);
    EXPECT_TRUE(accepts(id));
}

// Guards against requests that wait for their deadline when the last target of a service leaves.
TEST_F(TargetNoticesTest, RefusesAtOnceWhenAllTargetsLeave)
{
    constexpr std::size_t requests = 13; // One more than the three targets take at a time.
    for (std::size_t request = 0; request < requests; ++request) {
        submit("/orders/x");
    }
    ASSERT_LT(m_output.m_orders.size(), requests);
    for (const std::string id : {"ordersa", "ordersb", "ordersc"}) {
        const std::vector<ForwardCommand>::const_iterator order = std::find_if(
            m_output.m_orders.begin(), m_output.m_orders.end(),
            [&id](const ForwardCommand &sent) { return sent.m_target->m_entry.m_id == id; });
        ASSERT_NE(order, m_output.m_orders.end());
        replyLeaving(ForwardCommand(*order), 200);
    }
    EXPECT_TRUE(std::any_of(
        m_output.m_answers.begin(), m_output.m_answers.end(),
        [](const ForwardAnswer &answer) { return answer.m_kind == AnswerKind::Refused; }));
    submit("/orders/y");
    EXPECT_EQ(m_output.m_answers.back().m_status, 503);
    EXPECT_TRUE(m_output.m_answers.back().m_retryAfter.has_value());
}

// Guards against requests to a target that wants none for a time, of any kind and also after it has
// answered what was in flight, and against a request that is not tried at another target.
TEST_F(TargetNoticesTest, SendsNothingToATargetForTheTimeThatItAsksFor)
{
    submit("/orders/a");
    submit("/orders/b");
    const ForwardCommand refused = m_output.m_orders[0];
    const std::string id = refused.m_target->m_entry.m_id;
    replyWait(refused, 2s);
    EXPECT_NE(lastOrder().m_target->m_entry.m_id, id);
    replySuccess(lastOrder());
    replySuccess(m_output.m_orders[1]);
    advanceTime(1999ms);
    expectNoMoreOrdersAt(id);
    EXPECT_FALSE(accepts(id));
    advanceTime(1ms);
    EXPECT_TRUE(accepts(id));
    EXPECT_EQ(m_engine.statistics().m_refusalTimes, 1U);
}

// Guards against a faulty target that is out of use for good, and against one that gets requests
// earlier as it asks for less time later.
TEST_F(TargetNoticesTest, TheTimeIsBoundedAndNotShortened)
{
    const TargetPointer target = targetOf("ordersa");
    deferRequests(*target, m_now, std::chrono::hours(24));
    EXPECT_FALSE(acceptsRequests(*target, m_now + maximumRefusalTime - 1us));
    EXPECT_TRUE(acceptsRequests(*target, m_now + maximumRefusalTime));
    deferRequests(*target, m_now, 0s);
    EXPECT_FALSE(acceptsRequests(*target, m_now + 1s));
}

// Guards against requests that wait for their deadline, or for a fixed time, while all targets of a
// service refuse, and against a node that then counts as isolated.
TEST_F(TargetNoticesTest, RefusesWithTheShortestTimeThatIsLeft)
{
    submit("/orders/x");
    for (const Duration time : {Duration(3s), Duration(1s), Duration(2s)}) {
        replyWait(ForwardCommand(lastOrder()), time);
    }
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 503);
    EXPECT_EQ(m_output.m_answers[0].m_retryAfter, Duration(1s));
    advanceTime(400ms);
    const std::size_t sent = m_output.m_orders.size();
    submit("/orders/y");
    EXPECT_EQ(m_output.m_orders.size(), sent);
    ASSERT_EQ(m_output.m_answers.size(), 2U);
    EXPECT_EQ(m_output.m_answers[1].m_reason, "targets-refuse");
    EXPECT_EQ(m_output.m_answers[1].m_retryAfter, Duration(600ms));
    EXPECT_FALSE(m_engine.isIsolated(m_now));
    advanceTime(600ms);
    submit("/orders/z");
    EXPECT_EQ(m_output.m_orders.size(), sent + 1);
}

// Guards against a search that is refused although enough of its shards can be asked, and against
// one that waits for a shard whose targets all refuse.
TEST_F(TargetNoticesTest, ASearchLeavesOutAShardWhoseTargetsRefuse)
{
    for (const std::string id : {"shard-1a", "shard-1b", "shard-1c"}) {
        deferRequests(*targetOf(id), m_now, 2s);
    }
    submit("/search/x");
    ASSERT_EQ(m_output.m_orders.size(), 1U);
    replySuccess(lastOrder());
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_missingShards, 1U);
    m_table.m_routes[0].m_minimumShardShare = 1.0;
    applyTable(2);
    submit("/search/y");
    EXPECT_EQ(m_output.m_answers.back().m_retryAfter, Duration(2s));
}

} // namespace arbutusgrade
