#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{std::chrono::hours(1)};

TargetEntry createEntry(std::string_view id, std::int64_t started = 1)
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

// Guards against losing all targets when their entries expire during a store outage.
TEST(Registry, KeepsExpiredTargetsUntilShortlyAfterAStoreOutage)
{
    TargetRegistry registry;
    applyEntry(registry, start, createEntry("t"));
    markStoreUnavailable(registry);
    removeEntry(registry, start + 1s, "t");
    EXPECT_TRUE(acceptsRequests(*registry.m_targets["t"], start + 60s));
    markStoreAvailable(registry, start + 60s);
    EXPECT_TRUE(acceptsRequests(*registry.m_targets["t"], start + 62s));
    EXPECT_FALSE(acceptsRequests(*registry.m_targets["t"], start + 63s));
}

// Guards against a target that stays removed after its entry is renewed, and against one that is
// still in use after a later removal.
TEST(Registry, RestoresATargetWhoseEntryIsRenewed)
{
    TargetRegistry registry;
    applyEntry(registry, start, createEntry("t"));
    removeEntry(registry, start, "t");
    applyEntry(registry, start + 1s, createEntry("t"));
    EXPECT_TRUE(acceptsRequests(*registry.m_targets["t"], start + 60s));
    removeEntry(registry, start + 60s, "t");
    purgeRemovedTargets(registry, start + 63s);
    EXPECT_TRUE(registry.m_targets.empty());
    EXPECT_TRUE(registry.m_targetsByService["s"].empty());
}

// Guards against new requests to a target that is shutting down.
TEST(Registry, StopsNewRequestsToADrainingTargetImmediately)
{
    TargetRegistry registry;
    applyEntry(registry, start, createEntry("t"));
    TargetEntry draining = createEntry("t");
    draining.m_draining = true;
    EXPECT_EQ(applyEntry(registry, start, draining), EntryChange::Draining);
    EXPECT_FALSE(acceptsRequests(*registry.m_targets["t"], start));
    removeEntry(registry, start, "t");
    EXPECT_FALSE(acceptsRequests(*registry.m_targets["t"], start));
}

// Guards against applying the statistics of an earlier process to a new one with the same id.
TEST(Registry, ResetsStatisticsWhenATargetRestarts)
{
    TargetRegistry registry;
    applyEntry(registry, start, createEntry("t", 5));
    registry.m_targets["t"]->m_latencyRatio = 9.0;
    EXPECT_EQ(applyEntry(registry, start, createEntry("t", 4)), EntryChange::Stale);
    EXPECT_EQ(applyEntry(registry, start, createEntry("t", 6)), EntryChange::Restarted);
    EXPECT_EQ(registry.m_targets["t"]->m_latencyRatio, 1.0);
    EXPECT_EQ(registry.m_targetsByService["s"].size(), 1U);
}

// Guards against sending requests for an earlier process to the one that now uses its address.
TEST(Registry, AssignsAnAddressToTheLatestProcess)
{
    TargetRegistry registry;
    applyEntry(registry, start, createEntry("old", 5));
    applyEntry(registry, start, createEntry("new", 6));
    EXPECT_FALSE(acceptsRequests(*registry.m_targets["old"], start));
    EXPECT_TRUE(acceptsRequests(*registry.m_targets["new"], start));
}

// Guards against keeping targets that are missing from a complete listing of the registry.
TEST(Registry, RemovesTargetsMissingFromACompleteListing)
{
    TargetRegistry registry;
    applyEntry(registry, start, createEntry("t"));
    const std::vector<std::string> present{"other"};
    EXPECT_EQ(removeMissingEntries(registry, start, present), std::vector<std::string>{"t"});
    EXPECT_TRUE(removeMissingEntries(registry, start, present).empty());
}

// Guards against two delays that add up: a node that learns late of a removal and then keeps the
// target for the whole grace period sends requests to it after the drain bound.
TEST(Registry, ALateRemovalTakesEffectWithinTheDrainBound)
{
    constexpr Duration drainBound = 3s;
    constexpr Duration latest = drainBound - TargetRegistry::removalMargin;
    TargetRegistry registry;
    registry.m_drainBound = drainBound;
    for (const Duration age : {0s, 1s, 2s, 10s}) {
        const TimePoint learnt = start + age;
        applyEntry(registry, start, createEntry("t"));
        removeEntry(registry, learnt, "t", start);
        const TimePoint end =
            std::max(learnt, start + std::min(age + TargetRegistry::removalGracePeriod, latest));
        EXPECT_TRUE(acceptsRequests(*registry.m_targets["t"], end - 1us));
        EXPECT_FALSE(acceptsRequests(*registry.m_targets["t"], end)) << age.count();
        applyEntry(registry, end, createEntry("t"));
        removeMissingEntries(registry, learnt, {}, start);
        EXPECT_FALSE(acceptsRequests(*registry.m_targets["t"], end)) << age.count();
    }
}

// Guards against losing all targets, as their entries expired in an outage of the store, on a node
// whose data is old because of the same outage.
TEST(Registry, AStoreOutageKeepsTargetsBeyondTheDrainBound)
{
    TargetRegistry registry;
    registry.m_drainBound = 3s;
    applyEntry(registry, start, createEntry("t"));
    markStoreUnavailable(registry);
    markStoreAvailable(registry, start + 20s);
    removeEntry(registry, start + 20s, "t", start);
    EXPECT_TRUE(acceptsRequests(*registry.m_targets["t"], start + 22s));
    EXPECT_FALSE(acceptsRequests(*registry.m_targets["t"], start + 23s));
}

} // namespace arbutusgrade
