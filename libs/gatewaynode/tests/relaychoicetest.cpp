#include <map>

#include <gtest/gtest.h>

#include "details/relaychoice.h"
#include "details/relayhistory.h"
#include "details/relaymessages.h"
#include "fakestore.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

std::vector<RegisteredNode> makeNodes(int count, std::string_view dataCentre)
{
    std::vector<RegisteredNode> nodes;
    nodes.reserve(static_cast<std::size_t>(count));
    for (int node = 0; node < count; ++node) {
        nodes.push_back(RegisteredNode{std::string(dataCentre) + std::to_string(node),
                                       std::string(dataCentre),
                                       {"127.0.0.1", 1, 1.0}});
    }
    return nodes;
}

MetadataChanges makeChanges(std::uint64_t after, std::uint64_t upTo)
{
    MetadataChanges changes{MetadataStatus::Ok, {}, upTo, std::nullopt};
    for (std::uint64_t revision = after + 1; revision <= upTo; ++revision) {
        changes.m_events.push_back(makeEvent("k", std::to_string(revision), revision));
    }
    return changes;
}

} // namespace

// Guards against changes that had waited at the store and are taken for new ones, and against new
// ones that are taken for as old as the data before them.
TEST(RelayChoice, ChangesInAPromptReplyMayBeAsOldAsTheDataBefore)
{
    constexpr TimePoint sentAt{1h};
    const TimePoint dataTime = sentAt - 2s;
    EXPECT_EQ(changeTimeOfReply(dataTime, sentAt, sentAt + 5ms), dataTime);
    EXPECT_EQ(changeTimeOfReply(dataTime, sentAt, sentAt + promptReplyTime), dataTime);
    EXPECT_EQ(changeTimeOfReply(dataTime, sentAt, sentAt + 1s), sentAt + 1s - storeReplyMargin);
    EXPECT_EQ(changeTimeOfReply(sentAt + 1s, sentAt, sentAt + 1s), sentAt + 1s);
}

// Guards against relays where they save nothing, and against nodes of other data centres as relays.
TEST(RelayChoice, OnlyDataCentresWithEnoughNodesHaveRelays)
{
    std::vector<RegisteredNode> nodes = makeNodes(7, "a");
    const std::vector<RegisteredNode> others = makeNodes(9, "b");
    nodes.insert(nodes.end(), others.begin(), others.end());
    EXPECT_TRUE(selectRelays(nodes, "a").empty());
    const std::vector<RegisteredNode> relays = selectRelays(nodes, "b");
    ASSERT_EQ(relays.size(), relaysPerDataCentre);
    EXPECT_EQ(relays[0].m_dataCentre, "b");
    EXPECT_NE(relays[0].m_name, relays[1].m_name);
}

// Guards against nodes that choose different relays from the same registrations, one relay that
// all nodes ask, and a node of little weight that is chosen as often as the others.
TEST(RelayChoice, FollowsWeightsAndSharesTheFollowers)
{
    int lightChosen = 0;
    for (int trial = 0; trial < 1000; ++trial) {
        std::vector<RegisteredNode> nodes = makeNodes(10, "a" + std::to_string(trial));
        nodes[3].m_link.m_weight = 0.1;
        const std::vector<RegisteredNode> relays = selectRelays(nodes, nodes[0].m_dataCentre);
        std::vector<RegisteredNode> reversed(nodes.rbegin(), nodes.rend());
        EXPECT_EQ(selectRelays(reversed, nodes[0].m_dataCentre)[0].m_name, relays[0].m_name);
        for (const RegisteredNode &relay : relays) {
            lightChosen += relay.m_name == nodes[3].m_name ? 1 : 0;
        }
    }
    // 2 of 10 nodes are relays: 200 at equal weights, about 22 at a tenth of the weight.
    EXPECT_LT(lightChosen, 50);
    std::map<std::string, int> followers;
    const std::vector<RegisteredNode> nodes = makeNodes(200, "a");
    for (const RegisteredNode &node : nodes) {
        RelayRoute route;
        setRelays(route, node.m_name, selectRelays(nodes, "a"));
        ++followers[chooseRelay(route, TimePoint())->m_name];
    }
    ASSERT_EQ(followers.size(), 2U);
    EXPECT_GT(followers.begin()->second, 60);
    EXPECT_LT(followers.begin()->second, 140);
}

// Guards against a relay that is asked again at once, and against nodes that have no second choice.
TEST(RelayChoice, SkipsARelayForAWhile)
{
    RelayRoute route;
    setRelays(route, "n", selectRelays(makeNodes(8, "a"), "a"));
    const TimePoint now(1h);
    const std::string first = chooseRelay(route, now)->m_name;
    skipRelay(route, now, first);
    const RegisteredNode *second = chooseRelay(route, now);
    ASSERT_NE(second, nullptr);
    EXPECT_NE(second->m_name, first);
    skipRelay(route, now, second->m_name);
    EXPECT_EQ(chooseRelay(route, now), nullptr);
    ASSERT_NE(chooseRelay(route, now + relaySkipTime), nullptr);
    EXPECT_EQ(chooseRelay(route, now + relaySkipTime)->m_name, first);
}

// Guards against a node whose data is old already and that waits in full for a silent relay.
TEST(RelayChoice, TimeoutsKeepTheDataWithinItsBound)
{
    const std::chrono::milliseconds maximumAge = maximumRelayAge(5s);
    EXPECT_EQ(maximumAge, 2125ms);
    EXPECT_EQ(relayCallTimes(0ms, maximumAge).m_timeout, relayWait + relayReplyMargin);
    for (std::chrono::milliseconds age = 0ms; age <= 10s; age += 25ms) {
        const RelayCallTimes times = relayCallTimes(age, maximumAge);
        EXPECT_LE(times.m_wait, relayWait);
        EXPECT_GE(times.m_timeout, times.m_wait + minimumRelayTimeout);
        if (age < 2s) {
            EXPECT_LE(age + times.m_timeout, 2600ms);
        }
    }
}

// Guards against a reply that waited in the buffers of a paused process and counts as fresh.
TEST(RelayChoice, AReplyThatArrivesLateIsNotFresh)
{
    const TimePoint sent(1h);
    EXPECT_EQ(dataTimeOfReply(sent, 1s, sent + 900ms), sent + 900ms);
    EXPECT_EQ(dataTimeOfReply(sent, 1s, sent + 9s), sent + 1100ms);
}

// Guards against changes that are lost or applied twice when a node changes between relay and
// store, and against a history that answers although it lacks changes.
TEST(RelayHistory, ChangingBetweenRelayAndStoreKeepsTheOrder)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        RandomGenerator random{seed};
        TimePoint now(1h);
        RelayHistory history;
        std::uint64_t storeRevision = 10;
        std::uint64_t relayRevision = 10;
        std::uint64_t nodeRevision = 10;
        for (int step = 0; step < 300; ++step) {
            now += std::chrono::milliseconds(nextRandomBelow(random, 400));
            storeRevision += nextRandomBelow(random, 4);
            const std::uint64_t action = nextRandomBelow(random, 20);
            if (action == 0) {
                history.clear();
                relayRevision = storeRevision; // The relay has listed the keys again.
            } else if (action < 10) {
                history.append(now, now, relayRevision, makeChanges(relayRevision, storeRevision));
                relayRevision = storeRevision;
            } else if (action < 12) {
                nodeRevision = storeRevision; // From the store itself.
            } else if (const std::optional<RelayAnswer> answer =
                           history.changesAfter(now, nodeRevision)) {
                ASSERT_FALSE(validateAnswer(*answer, std::nullopt, nodeRevision, 1h)) << seed;
                for (const MetadataEvent &event : answer->m_events) {
                    ASSERT_EQ(event.m_item.m_revision, ++nodeRevision) << seed;
                }
                ASSERT_GE(nodeRevision, std::min(answer->m_upTo, storeRevision)) << seed;
            }
        }
    }
}

// Guards against a history or an answer without bounds.
TEST(RelayHistory, IsBoundedInTimeAndBytes)
{
    const TimePoint now(1h);
    RelayHistory history;
    history.append(now, now, 10, makeChanges(10, 20));
    EXPECT_TRUE(history.changesAfter(now, 10));
    history.append(now + RelayHistory::retention, now, 20, makeChanges(20, 21));
    EXPECT_FALSE(history.changesAfter(now, 10));
    EXPECT_TRUE(history.changesAfter(now, 20));
    for (std::uint64_t revision = 21; revision < 161; ++revision) {
        MetadataChanges changes = makeChanges(revision, revision + 1);
        changes.m_events[0].m_item.m_value.assign(37'000, 'x');
        history.append(now, now, revision, changes);
    }
    EXPECT_FALSE(history.changesAfter(now, 21));
    const std::optional<RelayAnswer> answer = history.changesAfter(now, 155);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->m_events.size(), 2U);
    EXPECT_EQ(answer->m_upTo, 157U);
    EXPECT_LE(encodeRelayAnswer(*answer).size(), RelayHistory::answerLimitBytes);
}

// Guards against a value that is changed on its way through a relay, and against answers with odd
// fields that are used.
TEST(RelayMessages, ReadsWhatWasWrittenAndNothingElse)
{
    RelayAnswer answer{7, 12, 300ms, {makeEvent("k\xff", std::string("\0\n", 2), 12)}};
    const std::optional<RelayAnswer> read = decodeRelayAnswer(encodeRelayAnswer(answer));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->m_era, answer.m_era);
    EXPECT_EQ(read->m_upTo, 12U);
    EXPECT_EQ(read->m_age, 300ms);
    EXPECT_EQ(read->m_events[0].m_item.m_key, "k\xff");
    EXPECT_EQ(read->m_events[0].m_item.m_value, std::string("\0\n", 2));
    for (
        const std::string_view odd :
        {"", "[]", "{}", R"({"upTo":1,"ageMs":-1,"events":[]})", R"({"upTo":1,"events":[]})",
         R"({"upTo":1,"ageMs":1,"events":[7]})", R"({"upTo":1,"ageMs":1,"events":[],"era":"x"})",
         R"({"upTo":1,"ageMs":1,"events":[{"key":"?","value":"","revision":1,"removed":true}]})"}) {
        EXPECT_FALSE(decodeRelayAnswer(odd)) << odd;
    }
}

} // namespace arbutusgrade
