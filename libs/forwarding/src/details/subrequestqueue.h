#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace arbutusgrade {

//! @brief A sub-request that waits for an available target.
struct QueuedSubrequest
{
    std::uint64_t m_pendingId = 0;
    std::size_t m_subrequestIndex = 0;
    int m_priority = 0;         //!< 0 is the highest.
    std::string m_organisation; //!< Empty if the request belongs to none.
};

//! @brief Sub-requests that wait for a target of one service. They are served by priority, then
//! round robin over organisations, then by arrival. Requests without an organisation count as
//! those of one organisation.
struct SubrequestQueue
{
    //! Bounds memory. Far above what is served before requests are refused for waiting too long.
    static constexpr std::size_t maximumPerOrganisation = 1024; //!< Of the same priority.

    struct OrganisationQueue
    {
        std::string m_organisation;
        std::deque<QueuedSubrequest> m_entries; //!< By arrival; never empty.
    };

    std::map<int, std::deque<OrganisationQueue>> m_levels; //!< By priority; next turn first.
};

//! @brief Adds an entry. Returns false if the organisation has too many already.
bool enqueue(SubrequestQueue &queue, const QueuedSubrequest &entry);

//! @brief Returns the entry that is served next, or null.
const QueuedSubrequest *nextEntry(const SubrequestQueue &queue);

//! @brief Removes the entry that nextEntry() returns.
//! @param served the entry has used the turn of its organisation.
void removeNext(SubrequestQueue &queue, bool served);

//! @brief Removes all entries of a request.
void removeRequest(SubrequestQueue &queue, std::uint64_t pendingId);

//! @brief Removes all entries and returns them in the order of service.
std::vector<QueuedSubrequest> takeAll(SubrequestQueue &queue);

//! @brief Number of entries that would be served before a new one of the priority and organisation.
std::size_t entriesAhead(const SubrequestQueue &queue, int priority,
                         const std::string &organisation);

//! @brief Returns how long a request with that many others ahead of it is expected to wait.
//! @param usualTime of a request at a target.
//! @param slots requests that the targets of the service run for this node at a time.
Duration expectedWait(std::size_t ahead, Duration usualTime, int slots);

} // namespace arbutusgrade
