#include "details/entryhistory.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace arbutusgrade {

void EntryHistory::recordRemoval(TimePoint now, std::string_view id, bool isCertain)
{
    purge(now);
    const std::unordered_map<std::string, Record>::iterator found = m_records.find(std::string(id));
    if (found == m_records.end()) {
        return;
    }
    found->second.m_mayReturnUnchanged = !isCertain;
    rememberUntilPurged(now, found->first, found->second);
}

void EntryHistory::forgetEntry(TimePoint now, std::string_view id)
{
    const std::unordered_map<std::string, Record>::iterator found = m_records.find(std::string(id));
    if (found == m_records.end() || !found->second.m_hasOutdatedEntry) {
        return;
    }
    found->second.m_hasOutdatedEntry = false;
    rememberUntilPurged(now, found->first, found->second);
}

void EntryHistory::forgetMissingEntries(TimePoint now, std::span<const std::string> presentIds)
{
    const std::unordered_set<std::string_view> present(presentIds.begin(), presentIds.end());
    for (std::pair<const std::string, Record> &item : m_records) {
        Record &record = item.second;
        const bool isOver = record.m_isRemoved && !record.m_hasOutdatedEntry;
        if (isOver || present.contains(item.first)) {
            continue;
        }
        if (!record.m_isRemoved) {
            record.m_mayReturnUnchanged = true;
        }
        record.m_hasOutdatedEntry = false;
        rememberUntilPurged(now, item.first, record);
    }
}

void EntryHistory::beginRestored(std::uint64_t revision)
{
    m_restoredUpTo = revision;
    // The restored store gives out revisions again.
    for (std::pair<const std::string, Record> &record : m_records) {
        record.second.m_outdatedRevision = 0;
    }
}

bool EntryHistory::isOutdated(TimePoint now, const TargetEntry &entry)
{
    purge(now);
    const std::unordered_map<std::string, Record>::iterator found = m_records.find(entry.m_id);
    if (found == m_records.end()) {
        m_records[entry.m_id].m_latest = makeReport(now, entry);
        return false;
    }
    Record &record = found->second;
    const bool isKnownAsOutdated = record.m_hasOutdatedEntry && record.m_outdatedRevision != 0
                                   && entry.m_revision == record.m_outdatedRevision;
    const bool isOutdated =
        isKnownAsOutdated
        || (entry.m_started == record.m_latest.m_started ? isOlderReport(now, entry, record)
                                                         : isOfReplacedProcess(now, entry, record));
    if (isOutdated) {
        record.m_hasOutdatedEntry = true;
        record.m_outdatedRevision = entry.m_revision;
        return true;
    }
    replaceLatest(now, entry, record);
    return false;
}

bool EntryHistory::mayBeFromCopy(const TargetEntry &entry) const
{
    return m_restoredUpTo != 0 && entry.m_revision <= m_restoredUpTo;
}

bool EntryHistory::isOlderReport(TimePoint now, const TargetEntry &entry,
                                 const Record &record) const
{
    const Report &latest = record.m_latest;
    // Without a start time, a lower number may be the first of a new process.
    const bool isComparable =
        entry.m_started != 0 && (record.m_isRemoved || now - latest.m_learnedAt < lateWriteBound);
    if (!isComparable && m_restoredUpTo == 0) {
        return false;
    }
    if (entry.m_sequence != latest.m_sequence) {
        return entry.m_sequence < latest.m_sequence;
    }
    const bool isRemoved = record.m_isRemoved && !record.m_mayReturnUnchanged;
    if (mayBeFromCopy(entry)) {
        return isRemoved || (latest.m_isDraining && !entry.m_draining);
    }
    // After a restore, targets write their entries again as they were.
    return m_restoredUpTo == 0 && isRemoved;
}

bool EntryHistory::isOfReplacedProcess(TimePoint now, const TargetEntry &entry,
                                       Record &record) const
{
    const bool startedEarlier = entry.m_started < record.m_latest.m_started;
    const bool hasNoStart = entry.m_started == 0;
    if (hasNoStart || (startedEarlier && mayBeFromCopy(entry))) {
        return true;
    }
    Report *const replaced = findReplaced(record, entry.m_started);
    if (replaced == nullptr) {
        return false;
    }
    if (entry.m_sequence <= replaced->m_sequence) {
        return true;
    }
    const bool isOrderUnknown =
        startedEarlier ? replaced->m_isOrderUnknown : record.m_latest.m_isOrderUnknown;
    if (isOrderUnknown || now - replaced->m_learnedAt >= lateWriteBound) {
        return false;
    }
    replaced->m_sequence = entry.m_sequence;
    return true;
}

EntryHistory::Report *EntryHistory::findReplaced(Record &record, std::int64_t started)
{
    const std::vector<Report>::iterator found =
        std::find_if(record.m_replaced.begin(), record.m_replaced.end(),
                     [started](const Report &report) { return report.m_started == started; });
    return found != record.m_replaced.end() ? &*found : nullptr;
}

EntryHistory::Report EntryHistory::makeReport(TimePoint now, const TargetEntry &entry)
{
    return Report{entry.m_started, entry.m_sequence, entry.m_draining, false, now};
}

void EntryHistory::replaceLatest(TimePoint now, const TargetEntry &entry, Record &record)
{
    const Report previous = std::exchange(record.m_latest, makeReport(now, entry));
    record.m_isRemoved = false;
    record.m_hasOutdatedEntry = false;
    if (previous.m_started == entry.m_started) {
        record.m_latest.m_isOrderUnknown = previous.m_isOrderUnknown;
        return;
    }
    record.m_latest.m_isOrderUnknown =
        entry.m_started < previous.m_started && entry.m_sequence >= previous.m_sequence;
    std::erase_if(record.m_replaced,
                  [&entry](const Report &report) { return report.m_started == entry.m_started; });
    record.m_replaced.push_back(previous);
    record.m_replaced.back().m_learnedAt = now;
    if (record.m_replaced.size() > maximumReplacedProcesses) {
        record.m_replaced.erase(record.m_replaced.begin());
    }
}

void EntryHistory::rememberUntilPurged(TimePoint now, const std::string &id, Record &record)
{
    record.m_isRemoved = true;
    record.m_removedAt = now;
    m_removalsByTime.emplace_back(now, id);
}

void EntryHistory::purge(TimePoint now)
{
    while (!m_removalsByTime.empty()
           && (now - m_removalsByTime.front().first >= removalRetention
               || m_removalsByTime.size() >= maximumRemovals)) {
        const std::pair<TimePoint, std::string> oldest = m_removalsByTime.front();
        m_removalsByTime.pop_front();
        const std::unordered_map<std::string, Record>::iterator found =
            m_records.find(oldest.second);
        const bool isLatest = found != m_records.end() && found->second.m_isRemoved
                              && found->second.m_removedAt == oldest.first;
        if (isLatest && !found->second.m_hasOutdatedEntry) {
            m_records.erase(found);
        }
    }
}

} // namespace arbutusgrade
