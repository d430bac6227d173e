#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "details/relaychoice.h"

namespace arbutusgrade {

//! @brief The latest changes of the store, as a relay keeps them for other nodes. Bounded in time
//! and bytes.
class RelayHistory
{
public:
    static constexpr Duration retention = std::chrono::seconds(20);
    static constexpr std::size_t maximumBytes = 4 * 1024 * 1024;

    //! Of the events of one answer, as they are sent.
    static constexpr std::size_t answerLimitBytes = 128 * 1024;

    //! @brief Drops all changes, for example as the store is in another era.
    void clear();

    //! @brief Takes in a successful reply of the store. A reply that does not follow on the changes
    //! so far replaces them; one of an earlier era is ignored.
    //! @param dataTime when the reply is known to have been current.
    void append(TimePoint now, TimePoint dataTime, std::uint64_t afterRevision,
                const MetadataChanges &changes);

    //! @brief Returns the changes after the revision as far as they fit into an answer, or nothing
    //! if they are not known.
    std::optional<RelayAnswer> changesAfter(TimePoint now, std::uint64_t afterRevision) const;

    //! @brief True if an answer to the call would have changes, or would have none as they are not
    //! known.
    bool hasAnswer(std::uint64_t afterRevision) const;

    //! @brief When the data was last current; empty until the store has replied.
    std::optional<TimePoint> dataTime() const
    {
        return m_dataTime;
    }

private:
    struct Change
    {
        MetadataEvent m_event;
        TimePoint m_appendedAt;
    };

    void purge(TimePoint now);

    std::deque<Change> m_changes;      //!< In the order of their revisions.
    std::size_t m_bytes = 0;           //!< Of all changes, as they are sent.
    std::uint64_t m_completeAfter = 0; //!< All changes after this revision are known.
    std::uint64_t m_upTo = 0;
    StoreEra m_era;
    std::optional<TimePoint> m_dataTime;
};

} // namespace arbutusgrade
