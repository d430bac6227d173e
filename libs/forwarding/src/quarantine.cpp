#include <algorithm>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

namespace {

CrashTable::Entry &refreshEntry(CrashTable &table, TimePoint now, std::uint64_t fingerprint)
{
    std::erase_if(table.m_entries,
                  [now](const std::pair<const std::uint64_t, CrashTable::Entry> &entry) {
                      return now >= entry.second.m_expiresAt;
                  });
    CrashTable::Entry &entry = table.m_entries[fingerprint];
    entry.m_expiresAt = now + CrashTable::retention;
    return entry;
}

} // namespace

int recordCrash(CrashTable &table, TimePoint now, std::uint64_t fingerprint)
{
    return ++refreshEntry(table, now, fingerprint).m_localCrashes;
}

void mergeCrashCount(CrashTable &table, TimePoint now, std::uint64_t fingerprint,
                     std::string_view node, int crashes)
{
    int &known = refreshEntry(table, now, fingerprint).m_remoteCrashes[std::string(node)];
    known = std::max(known, crashes);
}

bool isQuarantined(const CrashTable &table, TimePoint now, std::uint64_t fingerprint)
{
    const std::unordered_map<std::uint64_t, CrashTable::Entry>::const_iterator found =
        table.m_entries.find(fingerprint);
    if (found == table.m_entries.end() || now >= found->second.m_expiresAt) {
        return false;
    }
    int crashes = std::min(found->second.m_localCrashes, CrashTable::crashLimit);
    for (const std::pair<const std::string, int> &other : found->second.m_remoteCrashes) {
        // Counts of others are not checked; more than the limit adds nothing and may overflow.
        crashes += std::min(other.second, CrashTable::crashLimit);
    }
    return crashes >= CrashTable::crashLimit;
}

} // namespace arbutusgrade
