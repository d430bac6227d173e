#include <algorithm>

#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{std::chrono::hours(1)};
constexpr WarmupLimit limit{10.0, 5s};
constexpr WarmupTolerance tolerance{1.5, 5.0};
constexpr std::ptrdiff_t permitted = 20; // 10 x 1.5 + 5

std::vector<std::string> nodeNames(int count)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int node = 0; node < count; ++node) {
        names.push_back("front-" + std::to_string(node));
    }
    return names;
}

TargetEntry coldEntry(std::uint64_t revision, Duration remaining)
{
    TargetEntry entry;
    entry.m_id = "t";
    entry.m_service = "s";
    entry.m_dataCentre = "b";
    entry.m_warmupRemaining = remaining;
    entry.m_revision = revision;
    return entry;
}

//! @brief Adds the arrivals at a cold target of a node that always has a request for it. Its clock
//! begins anywhere, and requests travel for up to 200 ms.
void addArrivals(std::vector<TimePoint> &arrivals, std::string_view node,
                 std::span<const std::string> nodes, RandomGenerator &random)
{
    constexpr Duration step = 20ms;
    constexpr Duration length = 4s;
    Target target;
    target.m_entry = coldEntry(1, 1h);
    const TimePoint clock = start + Duration(nextRandomBelow(random, 3'600'000'000));
    target.m_warmupEnd = clock + 1h;
    const WarmupCriteria criteria{limit, tolerance, node, nodes, static_cast<int>(nodes.size())};
    for (Duration elapsed{0}; elapsed < length; elapsed += step) {
        if (allowsColdRequest(target, clock + elapsed, criteria)) {
            recordColdRequest(target, clock + elapsed, limit);
            arrivals.push_back(start + elapsed + Duration(nextRandomBelow(random, 200'000)));
        }
    }
}

//! @brief Largest number of arrivals in any window of one second.
std::ptrdiff_t greatestWindow(std::vector<TimePoint> arrivals)
{
    std::sort(arrivals.begin(), arrivals.end());
    std::ptrdiff_t greatest = 0;
    for (std::vector<TimePoint>::iterator first = arrivals.begin(); first != arrivals.end();
         ++first) {
        greatest = std::max(greatest, std::lower_bound(first, arrivals.end(), *first + 1s) - first);
    }
    return greatest;
}

} // namespace

// Guards against more requests to a cold target than the limit in some second, with clocks that
// differ and requests that travel for different times, and against nodes that leave their shares
// unused.
TEST(Warmup, NodesKeepTheLimitWithoutEqualClocks)
{
    RandomGenerator random;
    random.m_state = 7;
    for (const int count : {1, 3, 7, 12, 68, 300}) {
        const std::vector<std::string> nodes = nodeNames(count);
        std::vector<TimePoint> arrivals;
        for (const std::string &node : nodes) {
            addArrivals(arrivals, node, nodes, random);
        }
        EXPECT_LE(greatestWindow(arrivals), permitted) << count << " nodes";
        EXPECT_GE(arrivals.size(), 36U) << count << " nodes";
    }
}

// Guards against two sides of a partition that each use the whole limit.
TEST(Warmup, TwoListsOfNodesStayWithinTheLimit)
{
    const std::vector<std::string> nodes = nodeNames(300);
    const std::span<const std::string> all(nodes);
    const int shares = warmupShares(limit, tolerance);
    int total = 0;
    for (const std::span<const std::string> side : {all.first(100), all.subspan(100)}) {
        for (const std::string &node : side) {
            total += warmupShareOfNode(shares, "t", node, side, static_cast<int>(side.size()));
        }
    }
    EXPECT_LE(total, permitted);
    EXPECT_EQ(warmupShareOfNode(shares, "t", "unregistered", nodes, 300), 0);
}

// Guards against a target that is no longer limited when its entry says that it is cold again, and
// against one that becomes cold because the same entry is listed again.
TEST(Warmup, BeginsAgainOnlyWithAnEntryThatWasWrittenAgain)
{
    TargetRegistry registry;
    applyEntry(registry, start, coldEntry(1, 2s));
    const Target &target = *registry.m_targets["t"];
    EXPECT_TRUE(isCold(target, start + 1s, limit));
    applyEntry(registry, start + 10s, coldEntry(1, 2s));
    EXPECT_FALSE(isCold(target, start + 10s, limit));
    applyEntry(registry, start + 20s, coldEntry(2, 2s));
    EXPECT_TRUE(isCold(target, start + 21s, limit));
    EXPECT_FALSE(isCold(target, start + 22s, limit));
}

// Guards against a target that gets its full load right after an evacuation, before its entry says
// whether it is cold.
TEST(Warmup, TargetMayBeColdAfterAnEvacuation)
{
    TargetRegistry registry;
    applyEntry(registry, start, coldEntry(1, 0s));
    setEvacuated(registry, start, "b", true);
    setEvacuated(registry, start + 10s, "b", false);
    const Target &target = *registry.m_targets["t"];
    EXPECT_TRUE(isCold(target, start + 11s, limit));
    EXPECT_FALSE(isCold(target, start + 15s, limit));
    applyEntry(registry, start + 11s, coldEntry(2, 0s));
    EXPECT_FALSE(isCold(target, start + 11s, limit));
}

} // namespace arbutusgrade
