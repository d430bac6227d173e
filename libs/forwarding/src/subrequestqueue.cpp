#include "details/subrequestqueue.h"

#include <algorithm>
#include <utility>

namespace arbutusgrade {

namespace {

using Level = std::deque<SubrequestQueue::OrganisationQueue>;

Level::iterator findOrganisation(Level &level, const std::string &organisation)
{
    return std::find_if(level.begin(), level.end(),
                        [&organisation](const SubrequestQueue::OrganisationQueue &queue) {
                            return queue.m_organisation == organisation;
                        });
}

//! @brief Entries of one priority that are served before a new one of the organisation: all of its
//! own, and of each other organisation as many as have a turn until then.
std::size_t entriesAheadInLevel(const Level &level, const std::string &organisation)
{
    std::size_t own = 0;
    bool isWaiting = false;
    for (const SubrequestQueue::OrganisationQueue &queue : level) {
        if (queue.m_organisation == organisation) {
            own = queue.m_entries.size();
            isWaiting = true;
        }
    }
    std::size_t ahead = own;
    bool isBeforeOwnTurn = true;
    for (const SubrequestQueue::OrganisationQueue &queue : level) {
        if (queue.m_organisation == organisation) {
            isBeforeOwnTurn = false;
            continue;
        }
        // An organisation without entries has its first turn after all that are waiting.
        const std::size_t turns = own + (!isWaiting || isBeforeOwnTurn ? 1 : 0);
        ahead += std::min(queue.m_entries.size(), turns);
    }
    return ahead;
}

} // namespace

bool enqueue(SubrequestQueue &queue, const QueuedSubrequest &entry)
{
    Level &level = queue.m_levels[entry.m_priority];
    Level::iterator found = findOrganisation(level, entry.m_organisation);
    if (found == level.end()) {
        level.push_back(SubrequestQueue::OrganisationQueue{entry.m_organisation, {}});
        found = std::prev(level.end());
    }
    if (found->m_entries.size() >= SubrequestQueue::maximumPerOrganisation) {
        return false;
    }
    found->m_entries.push_back(entry);
    return true;
}

const QueuedSubrequest *nextEntry(const SubrequestQueue &queue)
{
    return queue.m_levels.empty() ? nullptr
                                  : &queue.m_levels.begin()->second.front().m_entries.front();
}

void removeNext(SubrequestQueue &queue, bool served)
{
    const std::map<int, Level>::iterator level = queue.m_levels.begin();
    SubrequestQueue::OrganisationQueue &first = level->second.front();
    first.m_entries.pop_front();
    if (first.m_entries.empty()) {
        level->second.pop_front();
    } else if (served) {
        SubrequestQueue::OrganisationQueue organisation = std::move(first);
        level->second.pop_front();
        level->second.push_back(std::move(organisation));
    }
    if (level->second.empty()) {
        queue.m_levels.erase(level);
    }
}

void removeRequest(SubrequestQueue &queue, std::uint64_t pendingId)
{
    for (std::pair<const int, Level> &level : queue.m_levels) {
        for (SubrequestQueue::OrganisationQueue &organisation : level.second) {
            std::erase_if(organisation.m_entries, [pendingId](const QueuedSubrequest &entry) {
                return entry.m_pendingId == pendingId;
            });
        }
        std::erase_if(level.second, [](const SubrequestQueue::OrganisationQueue &organisation) {
            return organisation.m_entries.empty();
        });
    }
    std::erase_if(queue.m_levels,
                  [](const std::pair<const int, Level> &level) { return level.second.empty(); });
}

std::vector<QueuedSubrequest> takeAll(SubrequestQueue &queue)
{
    std::vector<QueuedSubrequest> entries;
    while (const QueuedSubrequest *next = nextEntry(queue)) {
        entries.push_back(*next);
        removeNext(queue, true);
    }
    return entries;
}

std::size_t entriesAhead(const SubrequestQueue &queue, int priority,
                         const std::string &organisation)
{
    std::size_t ahead = 0;
    for (const std::pair<const int, Level> &level : queue.m_levels) {
        if (level.first == priority) {
            ahead += entriesAheadInLevel(level.second, organisation);
        } else if (level.first < priority) {
            for (const SubrequestQueue::OrganisationQueue &other : level.second) {
                ahead += other.m_entries.size();
            }
        }
    }
    return ahead;
}

Duration expectedWait(std::size_t ahead, Duration usualTime, int slots)
{
    return usualTime * static_cast<std::int64_t>(ahead + 1) / std::max(1, slots);
}

} // namespace arbutusgrade
