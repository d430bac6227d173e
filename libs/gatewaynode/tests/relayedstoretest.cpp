#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include "details/relayedstore.h"
#include "fakestore.h"

namespace arbutusgrade {

using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::string_view loopbackAddress = "127.0.0.1";

//! @brief A node that follows a relay; both are in this process.
class RelayedStoreTest : public testing::Test
{
protected:
    RelayedStoreTest()
        : m_log(LogOptions{"n", testing::TempDir() + "relayedstore.log"}),
          m_relay(std::make_unique<RelayServer>(m_context, "", maximumRelayAge(5s)))
    {
        EXPECT_FALSE(m_relay->listen(loopbackAddress, 0));
        m_relay->setRegisteredAddresses({std::string(loopbackAddress)});
        m_relay->setActive(true);
        followRelayAt(m_relay->port());
    }

    //! @brief Registers 8 nodes that all have their link at the port, and begins to follow.
    void followRelayAt(std::uint16_t port)
    {
        std::vector<RegisteredNode> nodes;
        nodes.reserve(minimumNodesForRelays);
        for (int node = 0; node < 8; ++node) {
            nodes.push_back(
                RegisteredNode{"n" + std::to_string(node), "a", {"127.0.0.1", port, 1.0}});
        }
        RelayedStoreOptions options;
        options.m_node = "follower";
        options.m_dataCentre = "a";
        options.m_coordination.m_link = NodeLinkSettings{"127.0.0.1", 0, 1.0};
        m_node = std::make_shared<RelayedStore>(m_context, m_store, options, m_log);
        m_node->setRegisteredNodes(bootTimeNow(), nodes);
    }

    //! @brief Takes in a reply of the store at the relay.
    void relayReceives(std::uint64_t after, std::uint64_t upTo, Duration age = Duration::zero())
    {
        MetadataChanges changes{MetadataStatus::Ok, {}, upTo, m_relayEra};
        for (std::uint64_t revision = after + 1; revision <= upTo; ++revision) {
            changes.m_events.push_back(makeEvent("k", "v", revision));
        }
        m_relay->append(bootTimeNow(), bootTimeNow() - age, after, changes);
    }

    void watch()
    {
        m_node->watch("", m_revision, 3s, [this](const MetadataChanges &changes) {
            m_results.push_back(changes);
            m_revision = std::max(m_revision, changes.m_storeRevision);
        });
    }

    //! @brief Answers the first watch, which goes to the store.
    void begin()
    {
        watch();
        ASSERT_EQ(m_store.m_pendingWatches.size(), 1U);
        m_store.completeWatch(MetadataStatus::Ok, {}, 10);
        m_results.clear();
        relayReceives(10, 10);
    }

    //! @brief Expects that a watch asks the store within the time, from the same revision, and
    //! that the next one does so too.
    void expectStoreIsAskedWithin(std::chrono::milliseconds limit)
    {
        watch();
        EXPECT_TRUE(m_store.m_pendingWatches.empty());
        runFor(m_context, limit);
        ASSERT_EQ(m_store.m_pendingWatches.size(), 1U);
        EXPECT_EQ(m_store.m_pendingWatches[0].m_afterRevision, 10U);
        EXPECT_TRUE(m_results.empty());
        m_store.completeWatch(MetadataStatus::Ok, {makeEvent("k", "v", 11)}, 11);
        ASSERT_EQ(m_results.size(), 1U);
        EXPECT_EQ(m_results[0].m_events.size(), 1U);
        EXPECT_EQ(m_node->statistics().m_rejectedAnswers, 1U);
    }

    boost::asio::io_context m_context;
    Log m_log;
    FakeStore m_store;
    StoreEra m_relayEra;
    std::unique_ptr<RelayServer> m_relay;
    std::shared_ptr<RelayedStore> m_node;
    std::uint64_t m_revision = 10;
    std::vector<MetadataChanges> m_results;
};

} // namespace

// Guards against changes that a relay has and does not pass on, and against a node that asks the
// store although its relay answers.
TEST_F(RelayedStoreTest, ARelayAnswersWithTheChangesSinceTheRevision)
{
    begin();
    watch();
    runFor(m_context, 50ms);
    EXPECT_TRUE(m_results.empty());
    relayReceives(10, 12);
    runFor(m_context, 50ms);
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_EQ(m_results[0].m_events.size(), 2U);
    EXPECT_EQ(m_results[0].m_storeRevision, 12U);
    watch();
    runFor(m_context, relayWait + 200ms);
    ASSERT_EQ(m_results.size(), 2U);
    EXPECT_TRUE(m_results[1].m_events.empty());
    EXPECT_TRUE(m_store.m_pendingWatches.empty());
    EXPECT_EQ(m_node->statistics().m_relayAnswers, 2U);
}

// Guards against a listing whose changes since then are taken from a relay that is behind it.
TEST_F(RelayedStoreTest, TheFirstWatchAfterAListingAsksTheStore)
{
    begin();
    m_node->list("", "", ReadConsistency::Strong, [](const MetadataPage & /*page*/) {});
    watch();
    EXPECT_EQ(m_store.m_pendingWatches.size(), 1U);
}

// Guards against a node that is behind as its relay was killed.
TEST_F(RelayedStoreTest, AsksTheStoreWhenTheRelayIsKilled)
{
    begin();
    m_relay.reset();
    expectStoreIsAskedWithin(200ms);
}

// Guards against a node that waits for a relay that was paused.
TEST_F(RelayedStoreTest, AsksTheStoreWhenTheRelayIsSilent)
{
    Tcp::acceptor silent(m_context, Tcp::endpoint(Tcp::v4(), 0));
    followRelayAt(silent.local_endpoint().port());
    begin();
    expectStoreIsAskedWithin(relayWait + relayReplyMargin + 200ms);
}

// Guards against a node that is behind as its relay cannot reach the store: a call that waits ends
// as soon as the data is too old.
TEST_F(RelayedStoreTest, AsksTheStoreWhenTheRelayIsCutOffFromIt)
{
    begin();
    m_relay->clear();
    relayReceives(10, 10, maximumRelayAge(5s) - 300ms);
    expectStoreIsAskedWithin(500ms);
}

// Guards against two delays that add up: a relay that was cut off from the store for a while and is
// then silent.
TEST_F(RelayedStoreTest, AsksTheStoreInTimeWhenTheDataOfASilentRelayWasOld)
{
    constexpr std::chrono::milliseconds age{1'900};
    HttpServer once(m_context, HttpServerOptions{});
    int calls = 0;
    once.addRoute("GET", relayWatchPath,
                  [&](const HttpRequest & /*request*/, const HttpResponder &responder) {
                      HttpResponse response;
                      response.m_body = encodeRelayAnswer(RelayAnswer{std::nullopt, 10, age, {}});
                      if (++calls == 1) {
                          responder(std::move(response));
                      }
                  });
    ASSERT_FALSE(once.listen(loopbackAddress, 0));
    followRelayAt(once.port());
    begin();
    std::this_thread::sleep_for(age); // The node's own data is as old.
    watch();
    runFor(m_context, 100ms);
    ASSERT_EQ(m_results.size(), 1U);
    m_results.clear();
    expectStoreIsAskedWithin(maximumRelayAge(5s) + relayReplyMargin - age);
}

// Guards against a change that a cut-off relay has withheld and that is taken for a new one when
// the store tells it, whether the relay answers with old data, is silent or has gone.
TEST_F(RelayedStoreTest, AChangeThatTheRelayWithheldIsDatedFromBefore)
{
    begin();
    const TimePoint current = bootTimeNow();
    m_relay->clear();
    relayReceives(10, 10, maximumRelayAge(5s) - 300ms);
    watch();
    runFor(m_context, 500ms);
    ASSERT_EQ(m_store.m_pendingWatches.size(), 1U);
    m_store.completeWatch(MetadataStatus::Ok, {makeEvent("k", "v", 11)}, 11);
    ASSERT_EQ(m_results.size(), 1U);
    ASSERT_TRUE(m_results[0].m_changedAfter);
    EXPECT_LE(*m_results[0].m_changedAfter, current);
    std::optional<TimePoint> listedAfter;
    m_node->list("", "", ReadConsistency::Strong,
                 [&listedAfter](const MetadataPage &page) { listedAfter = page.m_changedAfter; });
    ASSERT_TRUE(listedAfter);
    EXPECT_GT(*listedAfter, current);
}

// Guards against the same for a change that a relay passes on late.
TEST_F(RelayedStoreTest, AChangeInAnAnswerOfARelayIsDatedFromTheDataBefore)
{
    begin();
    const TimePoint current = bootTimeNow();
    std::this_thread::sleep_for(300ms);
    relayReceives(10, 11);
    watch();
    runFor(m_context, 100ms);
    ASSERT_EQ(m_results.size(), 1U);
    ASSERT_TRUE(m_results[0].m_changedAfter);
    EXPECT_LE(*m_results[0].m_changedAfter, current);
}

// Guards against changes that a restarted relay has missed.
TEST_F(RelayedStoreTest, AsksTheStoreWhenTheRelayHasRestarted)
{
    begin();
    m_relay->clear();
    expectStoreIsAskedWithin(200ms);
}

// Guards against changes of a store before or after its restore that are applied to the other.
TEST_F(RelayedStoreTest, AsksTheStoreWhenTheRelayIsInAnotherEra)
{
    m_store.m_era = 1;
    m_relayEra = 2;
    begin();
    expectStoreIsAskedWithin(relayWait + 200ms);
}

// Guards against an answer of another release or a faulty relay that is used in part.
TEST_F(RelayedStoreTest, AsksTheStoreWhenTheReplyIsUnreadable)
{
    HttpServer odd(m_context, HttpServerOptions{});
    odd.addRoute("GET", relayWatchPath,
                 [](const HttpRequest & /*request*/, const HttpResponder &responder) {
                     HttpResponse response;
                     response.m_body = R"({"upTo":11,"events":[{"key":)";
                     responder(std::move(response));
                 });
    ASSERT_FALSE(odd.listen(loopbackAddress, 0));
    followRelayAt(odd.port());
    begin();
    expectStoreIsAskedWithin(200ms);
}

// Guards against callers from elsewhere that read the store through a relay.
TEST_F(RelayedStoreTest, RelayRefusesUnregisteredCallers)
{
    begin();
    m_relay->setRegisteredAddresses({"10.0.0.1"});
    expectStoreIsAskedWithin(200ms);
    EXPECT_EQ(m_relay->statistics().m_refused, 1U);
    EXPECT_EQ(m_relay->statistics().m_answered, 0U);
}

// Guards against an answer to a call from before a restore that continues the new listing.
TEST_F(RelayedStoreTest, AnAnswerFromBeforeARestoreIsNotUsed)
{
    begin();
    watch();
    m_node->storeEraChanged();
    relayReceives(10, 11);
    runFor(m_context, 100ms);
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_EQ(m_results[0].m_status, MetadataStatus::NoResponse);
    watch();
    EXPECT_EQ(m_store.m_pendingWatches.size(), 1U);
}

// Guards against nodes without a link, and small data centres, that behave differently.
TEST_F(RelayedStoreTest, WithoutALinkTheStoreIsAsked)
{
    RelayedStoreOptions options;
    options.m_node = "n0";
    options.m_dataCentre = "a";
    m_node = std::make_shared<RelayedStore>(m_context, m_store, options, m_log);
    const std::vector<RegisteredNode> nodes(
        20, RegisteredNode{"n1", "a", {"127.0.0.1", m_relay->port(), 1.0}});
    m_node->setRegisteredNodes(bootTimeNow(), nodes);
    for (int call = 0; call < 2; ++call) {
        watch();
        ASSERT_EQ(m_store.m_pendingWatches.size(), 1U);
        m_store.completeWatch(MetadataStatus::Ok, {}, 10);
    }
    EXPECT_FALSE(m_node->isRelay());
}

} // namespace arbutusgrade
