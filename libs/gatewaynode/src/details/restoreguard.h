#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "base/base.h"
#include "forwarding/forwarding.h"

namespace arbutusgrade {

//! @brief Recognizes target entries that a restored store has from its copy and that this node
//! knows to be out of date.
//!
//! An entry is out of date if the same process has written a later one (`sequence`), or if the
//! entry had been removed before the restore. A removed target is used again once it has written a
//! later entry, or once its entry has a revision above that of the first listing after the restore,
//! which no entry of the copy has.
class RestoreGuard
{
public:
    //! Longer than the age of a copy.
    static constexpr Duration removalRetention = std::chrono::minutes(2);
    static constexpr std::size_t maximumRemovals = 10'000;

    //! @brief Records that the entry of a target was removed.
    void recordRemoval(TimePoint now, const TargetEntry &entry);

    //! @brief Records that an entry which was out of date has left the store.
    void forgetEntry(TimePoint now, std::string_view id);

    //! @brief Called when the first listing after a restore is complete.
    //! @param revision all changes up to it are part of the listing.
    void beginRestored(std::uint64_t revision);

    //! @brief Returns whether the entry is out of date.
    //! @param known latest entry of the target in use; null if there is none.
    bool isOutdated(TimePoint now, const TargetEntry &entry, std::uint64_t revision,
                    const TargetEntry *known);

private:
    struct Removal
    {
        std::int64_t m_started = 0;
        std::int64_t m_sequence = 0;
        TimePoint m_recordedAt;
        //! Its entry is in the restored store; kept until it is rewritten.
        bool m_isInStore = false;
    };

    void purge(TimePoint now);

    std::unordered_map<std::string, Removal> m_removals;            //!< By target.
    std::deque<std::pair<TimePoint, std::string>> m_removalsByTime; //!< Oldest first.
    std::uint64_t m_restoredUpTo = 0; //!< 0: the store was not restored.
};

} // namespace arbutusgrade
