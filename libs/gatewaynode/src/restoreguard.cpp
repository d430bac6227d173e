#include "details/restoreguard.h"

namespace arbutusgrade {

void RestoreGuard::recordRemoval(TimePoint now, const TargetEntry &entry)
{
    purge(now);
    m_removals[entry.m_id] = Removal{entry.m_started, entry.m_sequence, now, false};
    m_removalsByTime.emplace_back(now, entry.m_id);
}

void RestoreGuard::forgetEntry(TimePoint now, std::string_view id)
{
    const std::unordered_map<std::string, Removal>::iterator found =
        m_removals.find(std::string(id));
    if (found == m_removals.end() || !found->second.m_isInStore) {
        return;
    }
    found->second.m_isInStore = false;
    found->second.m_recordedAt = now;
    m_removalsByTime.emplace_back(now, found->first);
}

void RestoreGuard::beginRestored(std::uint64_t revision)
{
    m_restoredUpTo = revision;
}

bool RestoreGuard::isOutdated(TimePoint now, const TargetEntry &entry, std::uint64_t revision,
                              const TargetEntry *known)
{
    if (m_restoredUpTo == 0) {
        m_removals.erase(entry.m_id);
        return false;
    }
    purge(now);
    const bool maybeFromCopy = revision <= m_restoredUpTo;
    const std::unordered_map<std::string, Removal>::iterator found = m_removals.find(entry.m_id);
    if (found != m_removals.end()) {
        Removal &removal = found->second;
        const bool sameProcess = entry.m_started == removal.m_started;
        const bool earlier =
            entry.m_started < removal.m_started
            || (sameProcess && entry.m_sequence < removal.m_sequence)
            || (sameProcess && entry.m_sequence == removal.m_sequence && maybeFromCopy);
        if (earlier) {
            removal.m_isInStore = true;
            return true;
        }
        m_removals.erase(found);
    }
    if (known == nullptr || entry.m_started != known->m_started) {
        return false;
    }
    const bool stopsDraining = known->m_draining && !entry.m_draining;
    return entry.m_sequence < known->m_sequence
           || (entry.m_sequence == known->m_sequence && stopsDraining && maybeFromCopy);
}

void RestoreGuard::purge(TimePoint now)
{
    while (!m_removalsByTime.empty()
           && (now - m_removalsByTime.front().first >= removalRetention
               || m_removalsByTime.size() >= maximumRemovals)) {
        const std::pair<TimePoint, std::string> oldest = m_removalsByTime.front();
        m_removalsByTime.pop_front();
        const std::unordered_map<std::string, Removal>::iterator found =
            m_removals.find(oldest.second);
        const bool isLatest =
            found != m_removals.end() && found->second.m_recordedAt == oldest.first;
        if (isLatest && !found->second.m_isInStore) {
            m_removals.erase(found);
        }
    }
}

} // namespace arbutusgrade
