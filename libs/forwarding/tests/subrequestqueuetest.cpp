#include <gtest/gtest.h>

#include "details/subrequestqueue.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

std::vector<std::uint64_t> idsOf(const std::vector<QueuedSubrequest> &entries)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(entries.size());
    for (const QueuedSubrequest &entry : entries) {
        ids.push_back(entry.m_pendingId);
    }
    return ids;
}

} // namespace

// Guards against one organisation's backlog that delays the first requests of the others, and
// against an urgent request that waits for less urgent ones.
TEST(SubrequestQueue, ServesByPriorityThenRoundRobinThenArrival)
{
    SubrequestQueue queue;
    for (std::uint64_t id = 1; id <= 4; ++id) {
        enqueue(queue, QueuedSubrequest{id, 0, 1, "large"});
    }
    enqueue(queue, QueuedSubrequest{5, 0, 1, "small"});
    enqueue(queue, QueuedSubrequest{6, 0, 1, "tiny"});
    enqueue(queue, QueuedSubrequest{7, 0, 1, "small"});
    enqueue(queue, QueuedSubrequest{8, 0, 0, "large"});
    EXPECT_EQ(idsOf(takeAll(queue)), (std::vector<std::uint64_t>{8, 1, 5, 6, 2, 7, 3, 4}));
}

// Guards against another order than before for requests that belong to no organisation.
TEST(SubrequestQueue, WithoutOrganisationsServesByPriorityThenArrival)
{
    SubrequestQueue queue;
    std::uint64_t id = 0;
    for (const int priority : {2, 1, 2, 0, 1, 0}) {
        enqueue(queue, QueuedSubrequest{++id, 0, priority, ""});
    }
    EXPECT_EQ(idsOf(takeAll(queue)), (std::vector<std::uint64_t>{4, 6, 2, 5, 1, 3}));
}

// Guards against a wait that is judged by other entries than those served before: a request would
// be refused that is served in time, or kept that is not.
TEST(SubrequestQueue, CountsWhatIsServedBeforeANewEntry)
{
    RandomGenerator random;
    random.m_state = 11;
    for (int round = 0; round < 200; ++round) {
        SubrequestQueue queue;
        for (std::uint64_t id = 1; id <= 30; ++id) {
            const int priority = static_cast<int>(nextRandomBelow(random, 3));
            const std::string organisation = std::to_string(nextRandomBelow(random, 4));
            enqueue(queue, QueuedSubrequest{id, 0, priority, organisation});
            if (id % 3 == 0) {
                removeNext(queue, true);
            }
        }
        const QueuedSubrequest added{99, 0, 1, std::to_string(round % 5)};
        const std::size_t ahead = entriesAhead(queue, added.m_priority, added.m_organisation);
        ASSERT_TRUE(enqueue(queue, added));
        EXPECT_EQ(idsOf(takeAll(queue)).at(ahead), 99U) << round;
    }
}

// Guards against a queue that grows without end, and against entries of ended requests that count
// as waiting.
TEST(SubrequestQueue, IsBoundedForEachOrganisation)
{
    SubrequestQueue queue;
    for (std::size_t id = 1; id <= SubrequestQueue::maximumPerOrganisation; ++id) {
        ASSERT_TRUE(enqueue(queue, QueuedSubrequest{id, 0, 1, "large"}));
    }
    EXPECT_FALSE(enqueue(queue, QueuedSubrequest{9999, 0, 1, "large"}));
    EXPECT_TRUE(enqueue(queue, QueuedSubrequest{9999, 0, 1, "small"}));
    removeRequest(queue, 1);
    EXPECT_TRUE(enqueue(queue, QueuedSubrequest{9999, 0, 1, "large"}));
}

} // namespace arbutusgrade
