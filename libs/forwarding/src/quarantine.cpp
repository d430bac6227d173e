#include <algorithm>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

namespace {

constexpr Duration answerRetention = CrashTable::answerValidity + CrashTable::attributionWindow;

void removeExpiredEntries(CrashTable &table, TimePoint now)
{
    std::erase_if(table.m_entries,
                  [now](const std::pair<const std::uint64_t, CrashTable::Entry> &entry) {
                      return now >= entry.second.m_expiresAt;
                  });
}

CrashTable::Entry &refreshEntry(CrashTable &table, TimePoint now, std::uint64_t fingerprint)
{
    removeExpiredEntries(table, now);
    CrashTable::Entry &entry = table.m_entries[fingerprint];
    entry.m_expiresAt = now + CrashTable::retention;
    return entry;
}

void removeOldAnswers(CrashTable &table, TimePoint now)
{
    while (!table.m_answers.empty()
           && (now - table.m_answers.front().m_answeredAt > answerRetention
               || table.m_answers.size() >= CrashTable::maximumAnswers)) {
        const CrashTable::Answer &oldest = table.m_answers.front();
        const std::unordered_map<std::uint64_t, TimePoint>::iterator last =
            table.m_lastAnswers.find(oldest.m_fingerprint);
        if (last != table.m_lastAnswers.end() && last->second == oldest.m_answeredAt) {
            table.m_lastAnswers.erase(last);
        }
        table.m_answers.pop_front();
    }
}

bool isClearedByAnswer(const CrashTable &table, const LostRequest &lost)
{
    const std::unordered_map<std::uint64_t, TimePoint>::const_iterator last =
        table.m_lastAnswers.find(lost.m_fingerprint);
    return last != table.m_lastAnswers.end()
           && last->second + CrashTable::answerValidity >= lost.m_lostAt;
}

} // namespace

std::uint64_t processNumber(const TargetEntry &target)
{
    return stableHash(target.m_id + '\n' + std::to_string(target.m_started));
}

bool recordCrash(CrashTable &table, TimePoint now, const LostRequest &lost, std::uint64_t process,
                 TimePoint reachableAt)
{
    if (isClearedByAnswer(table, lost)) {
        return false;
    }
    CrashTable::Crash &crash = refreshEntry(table, now, lost.m_fingerprint).m_crashes[process];
    const bool isRecorded = crash.m_count > 0 && reachableAt < crash.m_recordedAt;
    if (isRecorded) {
        return false;
    }
    ++crash.m_count;
    crash.m_recordedAt = now;
    return true;
}

void mergeCrashCount(CrashTable &table, TimePoint now, std::uint64_t fingerprint,
                     std::uint64_t process, int crashes)
{
    if (crashes < 0) {
        return;
    }
    if (crashes == 0) {
        const std::unordered_map<std::uint64_t, CrashTable::Entry>::iterator found =
            table.m_entries.find(fingerprint);
        if (found != table.m_entries.end() && found->second.m_crashes.erase(process) > 0
            && found->second.m_crashes.empty()) {
            table.m_entries.erase(found);
        }
        return;
    }
    CrashTable::Crash &crash = refreshEntry(table, now, fingerprint).m_crashes[process];
    if (crash.m_count == 0) {
        crash.m_recordedAt = now;
    }
    // Counts of others are not checked; more than the limit adds nothing and may overflow.
    const int counted = std::min(crashes, CrashTable::crashLimit);
    crash.m_count = std::max(crash.m_count, counted);
    crash.m_sharedCount = std::max(crash.m_sharedCount, counted);
}

std::vector<CrashReport> recordAnswer(CrashTable &table, TimePoint now, std::uint64_t fingerprint)
{
    removeOldAnswers(table, now);
    table.m_lastAnswers[fingerprint] = now;
    table.m_answers.push_back(CrashTable::Answer{fingerprint, now});
    std::vector<CrashReport> reports;
    const std::unordered_map<std::uint64_t, CrashTable::Entry>::iterator found =
        table.m_entries.find(fingerprint);
    if (found == table.m_entries.end()) {
        return reports;
    }
    for (const std::pair<const std::uint64_t, CrashTable::Crash> &crash : found->second.m_crashes) {
        if (crash.second.m_sharedCount > 0) {
            reports.push_back(CrashReport{fingerprint, crash.first, 0});
        }
    }
    table.m_entries.erase(found);
    return reports;
}

std::vector<CrashReport> takeUnsharedCrashes(CrashTable &table, TimePoint recordedBy)
{
    std::vector<CrashReport> reports;
    for (std::pair<const std::uint64_t, CrashTable::Entry> &entry : table.m_entries) {
        for (std::pair<const std::uint64_t, CrashTable::Crash> &item : entry.second.m_crashes) {
            CrashTable::Crash &crash = item.second;
            if (crash.m_count > crash.m_sharedCount && crash.m_recordedAt <= recordedBy) {
                crash.m_sharedCount = crash.m_count;
                reports.push_back(CrashReport{entry.first, item.first, crash.m_count});
            }
        }
    }
    return reports;
}

bool isQuarantined(const CrashTable &table, TimePoint now, std::uint64_t fingerprint)
{
    const std::unordered_map<std::uint64_t, CrashTable::Entry>::const_iterator found =
        table.m_entries.find(fingerprint);
    if (found == table.m_entries.end() || now >= found->second.m_expiresAt) {
        return false;
    }
    int crashes = 0;
    for (const std::pair<const std::uint64_t, CrashTable::Crash> &crash : found->second.m_crashes) {
        crashes += std::min(crash.second.m_count, CrashTable::crashLimit);
    }
    return crashes >= CrashTable::crashLimit;
}

} // namespace arbutusgrade
