#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{std::chrono::hours(1)};

TargetEntry entryOf(std::string_view id, std::int64_t started = 1)
{
    TargetEntry entry;
    entry.m_id = id;
    entry.m_service = "s";
    entry.m_address = "127.0.0.1";
    entry.m_port = 80;
    entry.m_started = started;
    return entry;
}

} // namespace

// Guards against the loss of all targets when their entries lapse during an outage of the store.
TEST(Registry, KeepsLapsedTargetsUntilShortlyAfterTheReturnOfTheStore)
{
    TargetRegistry registry;
    applyEntry(registry, start, entryOf("t"));
    noteStoreAway(registry);
    removeEntry(registry, start + 1s, "t");
    EXPECT_TRUE(acceptsRequests(*registry.m_targets["t"], start + 60s));
    noteStoreBack(registry, start + 60s);
    EXPECT_TRUE(acceptsRequests(*registry.m_targets["t"], start + 62s));
    EXPECT_FALSE(acceptsRequests(*registry.m_targets["t"], start + 63s));
}

// Guards against a target that stays in use although its entry did not come back.
TEST(Registry, TakesBackATargetWhoseEntryReturns)
{
    TargetRegistry registry;
    applyEntry(registry, start, entryOf("t"));
    removeEntry(registry, start, "t");
    applyEntry(registry, start + 1s, entryOf("t"));
    EXPECT_TRUE(acceptsRequests(*registry.m_targets["t"], start + 60s));
    removeEntry(registry, start + 60s, "t");
    forgetRemoved(registry, start + 63s);
    EXPECT_TRUE(registry.m_targets.empty());
    EXPECT_TRUE(registry.m_byService["s"].empty());
}

// Guards against new work at a target that leaves.
TEST(Registry, StopsNewRequestsAtADrainingTargetAtOnce)
{
    TargetRegistry registry;
    applyEntry(registry, start, entryOf("t"));
    TargetEntry draining = entryOf("t");
    draining.m_draining = true;
    EXPECT_EQ(applyEntry(registry, start, draining), EntryChange::Draining);
    EXPECT_FALSE(acceptsRequests(*registry.m_targets["t"], start));
    removeEntry(registry, start, "t");
    EXPECT_FALSE(acceptsRequests(*registry.m_targets["t"], start));
}

// Guards against beliefs about an earlier process under the same id.
TEST(Registry, ForgetsWhatItLearnedOfAnEarlierIncarnation)
{
    TargetRegistry registry;
    applyEntry(registry, start, entryOf("t", 5));
    registry.m_targets["t"]->m_slowness = 9.0;
    EXPECT_EQ(applyEntry(registry, start, entryOf("t", 4)), EntryChange::Stale);
    EXPECT_EQ(applyEntry(registry, start, entryOf("t", 6)), EntryChange::Restarted);
    EXPECT_EQ(registry.m_targets["t"]->m_slowness, 1.0);
    EXPECT_EQ(registry.m_byService["s"].size(), 1U);
}

// Guards against two entries that claim one address: the process that started later has it.
TEST(Registry, AnAddressBelongsToTheLaterProcess)
{
    TargetRegistry registry;
    applyEntry(registry, start, entryOf("old", 5));
    applyEntry(registry, start, entryOf("new", 6));
    EXPECT_FALSE(acceptsRequests(*registry.m_targets["old"], start));
    EXPECT_TRUE(acceptsRequests(*registry.m_targets["new"], start));
}

// Guards against targets that a complete reading no longer contains.
TEST(Registry, RemovesWhatACompleteReadingLacks)
{
    TargetRegistry registry;
    applyEntry(registry, start, entryOf("t"));
    const std::vector<std::string> present{"other"};
    EXPECT_EQ(removeMissing(registry, start, present), std::vector<std::string>{"t"});
    EXPECT_TRUE(removeMissing(registry, start, present).empty());
}

} // namespace arbutusgrade
