#include <algorithm>
#include <limits>
#include <utility>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

namespace {

void removeFromService(TargetRegistry &registry, const TargetPointer &target)
{
    const std::unordered_map<std::string, std::vector<TargetPointer>>::iterator found =
        registry.m_targetsByService.find(target->m_entry.m_service);
    if (found != registry.m_targetsByService.end()) {
        std::erase(found->second, target);
    }
}

bool hasSameAddress(const TargetEntry &left, const TargetEntry &right)
{
    return left.m_port == right.m_port && left.m_address == right.m_address;
}

//! @brief Marks targets whose address is now used by a process that started later.
void markReusedAddresses(TargetRegistry &registry, const TargetEntry &entry)
{
    for (const std::pair<const std::string, TargetPointer> &other : registry.m_targets) {
        const TargetEntry &known = other.second->m_entry;
        if (hasSameAddress(known, entry) && known.m_started < entry.m_started) {
            other.second->m_addressReused = true;
        }
    }
}

TargetPointer addTarget(TargetRegistry &registry, TimePoint now, const TargetEntry &entry)
{
    markReusedAddresses(registry, entry);
    TargetPointer target = std::make_shared<Target>();
    target->m_entry = entry;
    target->m_warmupEnd = now + entry.m_warmupRemaining;
    target->m_evacuated = registry.m_evacuatedDataCentres.contains(entry.m_dataCentre);
    target->m_isLeaving = registry.m_leavingProcesses.contains(processNumber(entry));
    target->m_tieBreaker = static_cast<double>(rendezvousWeight(registry.m_node, entry.m_id))
                           / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    registry.m_targets[entry.m_id] = target;
    registry.m_targetsByService[entry.m_service].push_back(target);
    return target;
}

bool isSameProcess(const TargetEntry &left, const TargetEntry &right)
{
    return left.m_started == right.m_started && left.m_service == right.m_service
           && hasSameAddress(left, right);
}

//! @brief True if the target has written its entry again. A repeated listing of the same entry must
//! not begin its warm-up anew.
bool isRewritten(const TargetEntry &entry, const TargetEntry &known)
{
    return entry.m_revision != known.m_revision
           || entry.m_warmupRemaining != known.m_warmupRemaining;
}

//! @brief Returns when a removal takes effect that this node learns of now.
TimePoint removalTime(const TargetRegistry &registry, TimePoint now,
                      std::optional<TimePoint> removedAfter)
{
    TimePoint time = now + TargetRegistry::removalGracePeriod;
    if (registry.m_drainBound && removedAfter) {
        const TimePoint latest =
            *removedAfter + *registry.m_drainBound - TargetRegistry::removalMargin;
        time = std::clamp(latest, now, time);
    }
    return std::max(time, registry.m_storeRecoveryGraceEnd);
}

} // namespace

EntryChange applyEntry(TargetRegistry &registry, TimePoint now, const TargetEntry &entry)
{
    const std::unordered_map<std::string, TargetPointer>::iterator found =
        registry.m_targets.find(entry.m_id);
    if (found == registry.m_targets.end()) {
        addTarget(registry, now, entry);
        return EntryChange::Added;
    }
    const TargetPointer target = found->second;
    if (entry.m_started < target->m_entry.m_started) {
        return EntryChange::Stale;
    }
    if (!isSameProcess(entry, target->m_entry)) {
        return replaceEntry(registry, now, entry);
    }
    const bool startsDraining = entry.m_draining && !target->m_entry.m_draining;
    if (isRewritten(entry, target->m_entry)) {
        target->m_warmupEnd = now + entry.m_warmupRemaining;
        target->m_evacuationEndedAt.reset();
    }
    target->m_entry = entry;
    target->m_evacuated = registry.m_evacuatedDataCentres.contains(entry.m_dataCentre);
    target->m_removed = false;
    return startsDraining ? EntryChange::Draining : EntryChange::Changed;
}

EntryChange replaceEntry(TargetRegistry &registry, TimePoint now, const TargetEntry &entry)
{
    const std::unordered_map<std::string, TargetPointer>::iterator found =
        registry.m_targets.find(entry.m_id);
    if (found != registry.m_targets.end()) {
        // Statistics of the earlier process do not apply to the new one.
        const TargetPointer earlier = found->second;
        earlier->m_removed = true;
        earlier->m_removalEffectiveAt = now;
        removeFromService(registry, earlier);
    }
    addTarget(registry, now, entry);
    return EntryChange::Restarted;
}

bool removeEntry(TargetRegistry &registry, TimePoint now, std::string_view id,
                 std::optional<TimePoint> removedAfter)
{
    const std::unordered_map<std::string, TargetPointer>::iterator found =
        registry.m_targets.find(std::string(id));
    if (found == registry.m_targets.end() || found->second->m_removed) {
        return false;
    }
    Target &target = *found->second;
    if (target.m_entry.m_draining) {
        target.m_removalEffectiveAt = now;
    } else if (registry.m_storeUnavailable) {
        target.m_removalEffectiveAt = farFuture;
    } else {
        target.m_removalEffectiveAt = removalTime(registry, now, removedAfter);
    }
    target.m_removed = true;
    return true;
}

std::vector<std::string> removeMissingEntries(TargetRegistry &registry, TimePoint now,
                                              std::span<const std::string> present,
                                              std::optional<TimePoint> removedAfter)
{
    std::vector<std::string> removed;
    for (const std::pair<const std::string, TargetPointer> &target : registry.m_targets) {
        if (std::find(present.begin(), present.end(), target.first) == present.end()) {
            removed.push_back(target.first);
        }
    }
    std::erase_if(removed, [&](const std::string &id) {
        return !removeEntry(registry, now, id, removedAfter);
    });
    return removed;
}

bool markLeaving(TargetRegistry &registry, Target &target)
{
    if (std::exchange(target.m_isLeaving, true)) {
        return false;
    }
    const std::uint64_t process = processNumber(target.m_entry);
    if (!registry.m_leavingProcesses.insert(process).second) {
        return true;
    }
    registry.m_leavingProcessesByTime.push_back(process);
    if (registry.m_leavingProcessesByTime.size() > TargetRegistry::maximumLeavingProcesses) {
        registry.m_leavingProcesses.erase(registry.m_leavingProcessesByTime.front());
        registry.m_leavingProcessesByTime.pop_front();
    }
    return true;
}

TargetPointer findOtherTargetAtAddress(const TargetRegistry &registry, const Target &target)
{
    TargetPointer latest;
    for (const std::pair<const std::string, TargetPointer> &item : registry.m_targets) {
        const TargetPointer &other = item.second;
        const bool isLater = !latest || other->m_entry.m_started > latest->m_entry.m_started;
        if (other.get() != &target && hasSameAddress(other->m_entry, target.m_entry) && isLater) {
            latest = other;
        }
    }
    return latest;
}

void markStoreUnavailable(TargetRegistry &registry)
{
    registry.m_storeUnavailable = true;
}

void markStoreAvailable(TargetRegistry &registry, TimePoint now)
{
    if (!registry.m_storeUnavailable) {
        return;
    }
    registry.m_storeUnavailable = false;
    registry.m_storeRecoveryGraceEnd = now + TargetRegistry::storeRecoveryGracePeriod;
    for (const std::pair<const std::string, TargetPointer> &target : registry.m_targets) {
        if (target.second->m_removed && target.second->m_removalEffectiveAt == farFuture) {
            target.second->m_removalEffectiveAt = registry.m_storeRecoveryGraceEnd;
        }
    }
}

bool setEvacuated(TargetRegistry &registry, TimePoint now, const std::string &dataCentre,
                  bool evacuated)
{
    const bool changes = evacuated ? registry.m_evacuatedDataCentres.insert(dataCentre).second
                                   : registry.m_evacuatedDataCentres.erase(dataCentre) > 0;
    if (!changes) {
        return false;
    }
    for (const std::pair<const std::string, TargetPointer> &entry : registry.m_targets) {
        Target &target = *entry.second;
        if (target.m_entry.m_dataCentre != dataCentre) {
            continue;
        }
        target.m_evacuated = evacuated;
        if (!evacuated) {
            target.m_evacuationEndedAt = now;
        }
    }
    return true;
}

bool isInUse(const Target &target, TimePoint now)
{
    return !target.m_evacuated && !target.m_addressReused && !target.m_entry.m_draining
           && !target.m_isLeaving && (!target.m_removed || now < target.m_removalEffectiveAt);
}

bool acceptsRequests(const Target &target, TimePoint now)
{
    return isInUse(target, now) && now >= target.m_refusesUntil;
}

void purgeRemovedTargets(TargetRegistry &registry, TimePoint now)
{
    std::vector<TargetPointer> expired;
    for (const std::pair<const std::string, TargetPointer> &target : registry.m_targets) {
        if (target.second->m_removed && now >= target.second->m_removalEffectiveAt) {
            expired.push_back(target.second);
        }
    }
    for (const TargetPointer &target : expired) {
        removeFromService(registry, target);
        registry.m_targets.erase(target->m_entry.m_id);
    }
}

} // namespace arbutusgrade
