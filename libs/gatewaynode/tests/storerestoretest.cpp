#include <charconv>

#include <gtest/gtest.h>

#include "details/storesync.h"
#include "fakestore.h"
#include "silentoutput.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

std::int64_t toNumber(std::string_view text)
{
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

//! @brief Decodes entries like "12r": one digit each for the process and the sequence, then r for
//! ready or d for draining.
Checked<TargetEntry> decodeEntry(std::string_view id, std::string_view text)
{
    TargetEntry entry;
    entry.m_id = id;
    entry.m_service = "s";
    entry.m_address = "127.0.0.1";
    entry.m_started = toNumber(text.substr(0, 1));
    entry.m_sequence = toNumber(text.substr(1, 1));
    entry.m_draining = text.ends_with("d");
    return entry;
}

DeploymentFormat testFormat()
{
    DeploymentFormat format;
    format.m_configurationKey = "config";
    format.m_targetPrefix = "t/";
    format.m_writablePrefix = "own/";
    format.m_decodeRouting = [](std::string_view text) -> Checked<RoutingTable> {
        RoutingTable table;
        table.m_version = static_cast<std::uint64_t>(toNumber(text));
        return table;
    };
    format.m_decodeTarget = decodeEntry;
    return format;
}

//! @brief Follows a store that is restored from a copy.
class StoreRestoreTest : public testing::Test
{
protected:
    StoreRestoreTest()
        : m_format(testFormat()), m_log(LogOptions{"n1", testing::TempDir() + "storesync.log"}),
          m_engine(ForwardOptions{}, bootTimeNow(), m_output),
          m_membership(std::make_shared<Membership>(m_context, m_store, "own/nodes/", "n1", 1s)),
          m_sync(m_context, m_format, m_store, PrefixWatcherOptions{}, "own/crashes/", m_engine,
                 *m_membership, m_log)
    {
    }

    void start(const std::map<std::string, std::string> &items)
    {
        m_store.m_items = items;
        m_sync.start([] {});
    }

    void restore(const std::map<std::string, std::string> &items)
    {
        m_store.m_items = items;
        m_store.m_revision = 5;
        m_sync.storeEraChanged();
        m_store.m_pendingWatches.erase(m_store.m_pendingWatches.begin());
    }

    void change(std::string_view key, std::string_view value, std::uint64_t revision)
    {
        m_store.completeWatch(MetadataStatus::Ok, {makeEvent(key, value, revision)}, revision);
        runFor(m_context, 1ms);
    }

    void remove(std::string_view key, std::uint64_t revision)
    {
        MetadataEvent event = makeEvent(key, "", revision);
        event.m_removed = true;
        m_store.completeWatch(MetadataStatus::Ok, {event}, revision);
        runFor(m_context, 1ms);
    }

    bool isUsed(const std::string &id, Duration later = Duration::zero())
    {
        const std::unordered_map<std::string, TargetPointer> &targets =
            m_engine.registry().m_targets;
        const std::unordered_map<std::string, TargetPointer>::const_iterator found =
            targets.find(id);
        return found != targets.end() && acceptsRequests(*found->second, bootTimeNow() + later);
    }

    boost::asio::io_context m_context;
    FakeStore m_store;
    SilentOutput m_output;
    DeploymentFormat m_format;
    Log m_log;
    ForwardEngine m_engine;
    std::shared_ptr<Membership> m_membership;
    StoreSync m_sync;
};

} // namespace

// Guards against a configuration of the copy that replaces the later one in force.
TEST_F(StoreRestoreTest, KeepsTheConfigurationInForce)
{
    start({{"config", "7"}});
    restore({{"config", "6"}});
    ASSERT_TRUE(m_engine.routing());
    EXPECT_EQ(m_engine.routing()->m_version, 7U);
    EXPECT_EQ(m_store.m_strongListCalls, 1);
}

// Guards against requests to a target that the copy has from before it began to drain.
TEST_F(StoreRestoreTest, KeepsATargetDraining)
{
    start({{"t/a", "12d"}, {"t/b", "12d"}, {"t/c", "12r"}});
    restore({{"t/a", "11r"}, {"t/b", "12r"}, {"t/c", "12r"}});
    EXPECT_FALSE(isUsed("a"));
    EXPECT_FALSE(isUsed("b"));
    EXPECT_TRUE(isUsed("c"));
    change("t/a", "11r", 6);
    EXPECT_FALSE(isUsed("a"));
    change("t/a", "13r", 7);
    EXPECT_TRUE(isUsed("a"));
}

// Guards against requests to a target that is gone and has an entry in the copy; a target that
// writes its entry anew is used.
TEST_F(StoreRestoreTest, UsesARemovedTargetOnlyAfterANewEntry)
{
    start({{"t/a", "12d"}, {"t/b", "12d"}, {"t/c", "12d"}});
    remove("t/a", 11);
    remove("t/b", 12);
    remove("t/c", 13);
    purgeRemovedTargets(m_engine.registry(), bootTimeNow());
    restore({{"t/a", "11r"}, {"t/b", "12r"}, {"t/c", "21r"}});
    EXPECT_FALSE(isUsed("a"));
    EXPECT_FALSE(isUsed("b"));
    EXPECT_TRUE(isUsed("c")); // Another process.
    change("t/b", "12r", 6);
    EXPECT_TRUE(isUsed("b"));
    change("t/a", "11r", 7);
    EXPECT_FALSE(isUsed("a"));
}

// Guards against targets that are left at once as the copy is older than their entries.
TEST_F(StoreRestoreTest, KeepsMissingTargetsForTheGracePeriod)
{
    start({{"t/a", "12r"}});
    restore({});
    EXPECT_TRUE(isUsed("a", TargetRegistry::storeRecoveryGracePeriod - 100ms));
    EXPECT_FALSE(isUsed("a", TargetRegistry::storeRecoveryGracePeriod + 100ms));
    change("t/a", "12r", 6);
    EXPECT_TRUE(isUsed("a", 1min));
}

// Guards against an older report that the store does late, which brings back a target that left; a
// later report of the target and one of another process are used.
TEST_F(StoreRestoreTest, OlderReportDoesNotBringBackARemovedTarget)
{
    start({{"t/a", "24r"}, {"t/b", "24r"}, {"t/c", "24r"}});
    for (const std::string id : {"a", "b", "c"}) {
        remove("t/" + id, 11);
        change("t/" + id, "23r", 12);
        EXPECT_FALSE(isUsed(id, 1min)) << id;
    }
    change("t/a", "25r", 13);
    EXPECT_TRUE(isUsed("a", 1min));
    change("t/b", "31r", 13);
    EXPECT_TRUE(isUsed("b", 1min));
    change("t/c", "11r", 13); // Its clock was set back.
    EXPECT_TRUE(isUsed("c", 1min));
}

// Guards against an older report that the store does late, which ends a drain.
TEST_F(StoreRestoreTest, OlderReportDoesNotEndADrain)
{
    start({{"t/a", "24r"}});
    change("t/a", "26d", 11);
    change("t/a", "25r", 12);
    EXPECT_FALSE(isUsed("a"));
    change("t/a", "27r", 13);
    EXPECT_TRUE(isUsed("a"));
}

// Guards against a process that started again under its id, with its clock set back, and gets no
// requests; and against late reports of the earlier process that end the use of the new one.
TEST_F(StoreRestoreTest, RestartedProcessIsUsedAtOnce)
{
    start({{"t/a", "54d"}});
    change("t/a", "31r", 11);
    EXPECT_TRUE(isUsed("a"));
    for (const std::string_view late : {"53r", "54d"}) {
        change("t/a", late, 12);
        EXPECT_TRUE(isUsed("a")) << late;
        EXPECT_EQ(m_engine.registry().m_targets.at("a")->m_entry.m_started, 3) << late;
    }
    change("t/a", "32d", 13);
    EXPECT_FALSE(isUsed("a"));
}

// Guards against live targets that stay unused because the store lost their entries for a moment.
TEST_F(StoreRestoreTest, EntriesExpiredWhileTheStoreWasAwayMayReturnUnchanged)
{
    start({{"t/a", "24r"}});
    markStoreUnavailable(m_engine.registry());
    markStoreAvailable(m_engine.registry(), bootTimeNow());
    remove("t/a", 11);
    change("t/a", "24r", 12);
    EXPECT_TRUE(isUsed("a", 1min));
}

} // namespace arbutusgrade
