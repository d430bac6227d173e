#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>

#include "details/storesync.h"
#include "fakestore.h"
#include "silentoutput.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

//! @brief Store in which a key may be written before the second page of a listing is read.
class ChangingStore : public FakeStore
{
public:
    void list(std::string_view prefix, std::string_view after, ReadConsistency consistency,
              std::function<void(const MetadataPage &)> handler) override
    {
        if (!after.empty() && !m_keyOfSecondPage.empty()) {
            m_items[m_keyOfSecondPage] = "";
            m_keyOfSecondPage.clear();
            ++m_revision;
        }
        FakeStore::list(prefix, after, consistency, std::move(handler));
    }

    std::string m_keyOfSecondPage;
};

DeploymentFormat testFormat()
{
    DeploymentFormat format;
    format.m_configurationKey = "config";
    format.m_targetPrefix = "targets/";
    format.m_writablePrefix = "own/";
    format.m_evacuationPrefix = "evacuated/";
    format.m_decodeTarget = [](std::string_view id, std::string_view text) {
        TargetEntry entry;
        entry.m_id = id;
        entry.m_dataCentre = text;
        return Checked<TargetEntry>(entry);
    };
    return format;
}

//! @brief Path of a log of the running test alone.
std::string newLogPath()
{
    std::string path = testing::TempDir() + "storesync-"
                       + testing::UnitTest::GetInstance()->current_test_info()->name() + ".log";
    std::filesystem::remove(path);
    return path;
}

class StoreSyncTest : public testing::Test
{
protected:
    StoreSyncTest()
        : m_logPath(newLogPath()), m_log(LogOptions{"n1", m_logPath}),
          m_membership(std::make_shared<Membership>(m_context, m_store, "own/nodes/", "n1", 1s)),
          m_sync(m_context, m_format, m_store, PrefixWatcherOptions{3s, 1ms}, "own/crashes/",
                 m_engine, *m_membership, m_log)
    {
        m_store.m_items = {{"targets/t1", "a"}, {"targets/t2", "b"}};
    }

    bool accepts(const std::string &target)
    {
        return acceptsRequests(*m_engine.registry().m_targets.at(target), bootTimeNow());
    }

    void complete(const std::vector<MetadataEvent> &events)
    {
        m_store.completeWatch(MetadataStatus::Ok, events, 20);
        runFor(m_context, 20ms);
    }

    //! @brief Number of lines in the log that have the text.
    int logged(std::string_view text)
    {
        m_log.flush();
        std::ifstream file(m_logPath);
        int count = 0;
        for (std::string line; std::getline(file, line);) {
            count += line.find(text) != std::string::npos ? 1 : 0;
        }
        return count;
    }

    boost::asio::io_context m_context;
    ChangingStore m_store;
    DeploymentFormat m_format = testFormat();
    SilentOutput m_output;
    ForwardEngine m_engine{ForwardOptions{}, bootTimeNow(), m_output};
    std::string m_logPath;
    Log m_log;
    std::shared_ptr<Membership> m_membership;
    StoreSync m_sync;
};

const std::string key = "evacuated/b";
const MetadataEvent removal{{key, "", 12}, true};

} // namespace

// Guards against a removal that the node learns of late, in a batch of changes or in a listing, and
// that still waits for its whole grace period.
TEST_F(StoreSyncTest, ALateRemovalTakesEffectAtOnce)
{
    m_engine.registry().m_drainBound = 3s;
    m_sync.start([] {});
    m_store.m_changedAfter = bootTimeNow() - 10s;
    complete({{{"targets/t1", "", 12}, true}});
    EXPECT_FALSE(accepts("t1"));
    EXPECT_TRUE(accepts("t2"));
    m_store.m_items.erase("targets/t2");
    m_sync.restart();
    EXPECT_FALSE(accepts("t2"));
}

// Guards against an evacuation that is missed, lasts on after its key is gone, applies to other
// data centres, or is logged at each change.
TEST_F(StoreSyncTest, FollowsTheKeyOfAnEvacuation)
{
    m_sync.start([] {});
    EXPECT_TRUE(accepts("t2"));
    complete({makeEvent(key, "", 11)});
    complete({makeEvent(key, "again", 12), makeEvent("evacuated/", "", 12)});
    EXPECT_FALSE(accepts("t2"));
    EXPECT_TRUE(accepts("t1"));
    EXPECT_EQ(logged("evacuation-started"), 1);
    complete({removal});
    EXPECT_TRUE(accepts("t2"));
    EXPECT_EQ(logged("evacuation-ended"), 1);
}

// Guards against an evacuation that ends while the node has no contact with the store and is never
// lifted, and against one that a new listing interrupts.
TEST_F(StoreSyncTest, FullListingDecidesOnEvacuations)
{
    m_store.m_items[key] = "";
    m_sync.start([] {});
    EXPECT_FALSE(accepts("t2"));
    m_sync.restart();
    EXPECT_FALSE(accepts("t2"));
    EXPECT_EQ(logged("evacuation-started"), 1);
    m_store.m_items.erase(key);
    m_sync.restart();
    EXPECT_TRUE(accepts("t2"));
    EXPECT_EQ(logged("evacuation-ended"), 1);
}

// Guards against an evacuation that is lost because its key was written after the listing had
// passed its place: the watch begins at the revision of the first page.
TEST_F(StoreSyncTest, NoticesAKeyWrittenDuringAListing)
{
    m_store.m_pageSize = 1;
    m_store.m_keyOfSecondPage = key;
    m_sync.start([] {});
    ASSERT_TRUE(m_store.m_items.contains(key));
    ASSERT_EQ(m_store.m_pendingWatches.front().m_afterRevision, 10U);
    EXPECT_TRUE(accepts("t2"));
    complete({makeEvent(key, "", 11)});
    EXPECT_FALSE(accepts("t2"));
}

} // namespace arbutusgrade
