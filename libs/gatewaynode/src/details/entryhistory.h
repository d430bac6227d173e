#pragma once

#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/base.h"
#include "forwarding/forwarding.h"

namespace arbutusgrade {

//! @brief Recognizes target entries that are older than what this node knows.
//!
//! The store may perform a write seconds after the call, behind later writes and the removal of the
//! key, and a restored store has entries from its copy. A target numbers its reports (`sequence`)
//! and states the start of its process, which together tell which of two entries is the older one:
//!
//! - An entry of the process in use is older if its number is lower.
//! - An entry of a process that another one has replaced is older.
//! - An entry of a process that was never seen under the id is that of a new process, whatever
//!   start time it states: the clock of its VM may have been set back. A process numbers its
//!   reports anew, so if the number is not lower, this may be a late report of an earlier process;
//!   then the one of the two that goes on to report is used.
//!
//! A removed target is used again once it has written a later entry. After a restore, entries up to
//! the revision of the first listing may be from the copy, in which a process that was never seen
//! is an earlier one if it started earlier.
class EntryHistory
{
public:
    //! How long entries of known processes are compared. Longer than the store delays a write.
    static constexpr Duration lateWriteBound = std::chrono::seconds(30);

    //! How long removals are remembered. Longer than the age of a copy.
    static constexpr Duration removalRetention = std::chrono::minutes(2);
    static constexpr std::size_t maximumRemovals = 10'000;

    //! Of the processes that a target had before the one in use.
    static constexpr std::size_t maximumReplacedProcesses = 4;

    //! @brief Records that the entry of a target was removed.
    //! @param isCertain false if the target may be alive, as the store lost its entry. Then the
    //! same entry may come back.
    void recordRemoval(TimePoint now, std::string_view id, bool isCertain);

    //! @brief Records that an entry which was out of date has left the store.
    void forgetEntry(TimePoint now, std::string_view id);

    //! @brief Records what a complete listing does not have: outdated entries have left the store,
    //! and targets whose removal was not recorded may come back with the same entry.
    void forgetMissingEntries(TimePoint now, std::span<const std::string> presentIds);

    //! @brief Called when the first listing after a restore is complete.
    //! @param revision all changes up to it are part of the listing.
    void beginRestored(std::uint64_t revision);

    //! @brief Returns whether the entry is out of date; otherwise it becomes the latest of its id.
    bool isOutdated(TimePoint now, const TargetEntry &entry);

    //! @brief Number of ids of which something is remembered.
    std::size_t size() const
    {
        return m_records.size();
    }

private:
    //! @brief Latest report of one process.
    struct Report
    {
        std::int64_t m_started = 0;
        std::int64_t m_sequence = 0;
        bool m_isDraining = false;
        //! It replaced a process that stated a later start, and may be an earlier one all the same.
        bool m_isOrderUnknown = false;
        TimePoint m_learnedAt; //!< For a replaced process, when it was replaced.
    };

    struct Record
    {
        Report m_latest;
        std::vector<Report> m_replaced; //!< Latest last.
        bool m_isRemoved = false;
        bool m_mayReturnUnchanged = false;
        TimePoint m_removedAt;
        bool m_hasOutdatedEntry = false;      //!< In the store.
        std::uint64_t m_outdatedRevision = 0; //!< Of that entry; 0: not known.
    };

    bool mayBeFromCopy(const TargetEntry &entry) const;
    bool isOlderReport(TimePoint now, const TargetEntry &entry, const Record &record) const;
    bool isOfReplacedProcess(TimePoint now, const TargetEntry &entry, Record &record) const;
    static Report makeReport(TimePoint now, const TargetEntry &entry);
    static Report *findReplaced(Record &record, std::int64_t started);
    static void replaceLatest(TimePoint now, const TargetEntry &entry, Record &record);
    void rememberUntilPurged(TimePoint now, const std::string &id, Record &record);
    void purge(TimePoint now);

    std::unordered_map<std::string, Record> m_records;              //!< By target.
    std::deque<std::pair<TimePoint, std::string>> m_removalsByTime; //!< Oldest first.
    std::uint64_t m_restoredUpTo = 0; //!< 0: the store was not restored.
};

} // namespace arbutusgrade
