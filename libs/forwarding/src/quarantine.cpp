#include <algorithm>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

namespace {

CrashTable::Entry &liveEntry(CrashTable &table, TimePoint now, std::uint64_t fingerprint)
{
    std::erase_if(table.m_entries,
                  [now](const std::pair<const std::uint64_t, CrashTable::Entry> &entry) {
                      return now >= entry.second.m_expires;
                  });
    CrashTable::Entry &entry = table.m_entries[fingerprint];
    entry.m_expires = now + CrashTable::memory;
    return entry;
}

} // namespace

int countCrash(CrashTable &table, TimePoint now, std::uint64_t fingerprint)
{
    return ++liveEntry(table, now, fingerprint).m_own;
}

void learnCrashes(CrashTable &table, TimePoint now, std::uint64_t fingerprint,
                  std::string_view node, int crashes)
{
    int &known = liveEntry(table, now, fingerprint).m_others[std::string(node)];
    known = std::max(known, crashes);
}

bool isQuarantined(const CrashTable &table, TimePoint now, std::uint64_t fingerprint)
{
    const std::unordered_map<std::uint64_t, CrashTable::Entry>::const_iterator found =
        table.m_entries.find(fingerprint);
    if (found == table.m_entries.end() || now >= found->second.m_expires) {
        return false;
    }
    int crashes = found->second.m_own;
    for (const std::pair<const std::string, int> &other : found->second.m_others) {
        crashes += other.second;
    }
    return crashes >= CrashTable::crashLimit;
}

} // namespace arbutusgrade
