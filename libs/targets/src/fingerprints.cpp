#include "targets/targets.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Bounds the memory for safe fingerprints to about 8 MB. An evicted fingerprint is treated as
//! untested again.
constexpr std::size_t safeFingerprintLimit = 65536;

//! Lost connections to one target within this time count as one loss.
constexpr Duration sameLossWindow = std::chrono::milliseconds(200);

void removeSafeFingerprint(FingerprintTable &table, std::uint64_t fingerprint)
{
    table.m_safeFingerprints.erase(fingerprint);
}

void resetExpiredLosses(FingerprintEntry &entry, TimePoint now) noexcept
{
    if (entry.m_lostTargets > 0 && entry.m_expiresAt <= now) {
        entry.m_lostTargets = 0;
    }
}

int unexpiredLostTargets(const FingerprintTable &table, TimePoint now, std::uint64_t fingerprint)
{
    const auto found = table.m_entries.find(fingerprint);
    if (found == table.m_entries.end() || found->second.m_expiresAt <= now) {
        return 0;
    }
    return found->second.m_lostTargets;
}

} // namespace

int availableFingerprintAttempts(const FingerprintTable &table, TimePoint now,
                                 std::uint64_t fingerprint)
{
    if (table.m_safeFingerprints.contains(fingerprint)) {
        return INT32_MAX;
    }
    const auto found = table.m_entries.find(fingerprint);
    const int inFlight = found == table.m_entries.end() ? 0 : found->second.m_inFlight;
    return lostTargetLimit - unexpiredLostTargets(table, now, fingerprint) - inFlight;
}

bool isSuspect(const FingerprintTable &table, TimePoint now, std::uint64_t fingerprint)
{
    return unexpiredLostTargets(table, now, fingerprint) > 0;
}

bool isQuarantined(const FingerprintTable &table, TimePoint now, std::uint64_t fingerprint)
{
    return unexpiredLostTargets(table, now, fingerprint) >= lostTargetLimit;
}

bool beginFingerprintAttempt(FingerprintTable &table, std::uint64_t fingerprint)
{
    if (table.m_safeFingerprints.contains(fingerprint)) {
        return false;
    }
    ++table.m_entries[fingerprint].m_inFlight;
    return true;
}

void endFingerprintAttempt(FingerprintTable &table, std::uint64_t fingerprint)
{
    const auto found = table.m_entries.find(fingerprint);
    if (found == table.m_entries.end()) {
        return;
    }
    found->second.m_inFlight = std::max(found->second.m_inFlight - 1, 0);
    if (found->second.m_inFlight == 0 && found->second.m_lostTargets == 0) {
        table.m_entries.erase(found);
    }
}

void markFingerprintSafe(FingerprintTable &table, std::uint64_t fingerprint)
{
    const auto found = table.m_entries.find(fingerprint);
    if (found != table.m_entries.end()) {
        if (found->second.m_lostTargets >= lostTargetLimit) {
            return; // A late reply doesn't end a quarantine.
        }
        found->second.m_lostTargets = 0;
    }
    if (!table.m_safeFingerprints.try_emplace(fingerprint, table.m_nextSafeSequence).second) {
        return;
    }
    table.m_safeInsertionOrder.emplace_back(fingerprint, table.m_nextSafeSequence);
    ++table.m_nextSafeSequence;
    if (table.m_safeInsertionOrder.size() > safeFingerprintLimit) {
        const std::pair<std::uint64_t, std::uint64_t> oldest = table.m_safeInsertionOrder.front();
        table.m_safeInsertionOrder.pop_front();
        const auto entry = table.m_safeFingerprints.find(oldest.first);
        if (entry != table.m_safeFingerprints.end() && entry->second == oldest.second) {
            table.m_safeFingerprints.erase(entry);
        }
    }
}

QuarantineNotice countTargetLoss(FingerprintTable &table, TimePoint now, std::uint64_t fingerprint,
                                 TargetIndex target, bool sentWhileSafe)
{
    removeSafeFingerprint(table, fingerprint);
    FingerprintEntry &entry = table.m_entries[fingerprint];
    resetExpiredLosses(entry, now);
    // A crash closes all connections of the target, so several attempts report the same loss.
    const bool isSameLoss =
        entry.m_lastLostTarget == target && now - entry.m_lastLossAt < sameLossWindow;
    if (sentWhileSafe) {
        entry.m_lostTargets = std::max(entry.m_lostTargets, 1);
    } else if (!isSameLoss || entry.m_lostTargets == 0) {
        ++entry.m_lostTargets;
    }
    entry.m_lastLostTarget = target;
    entry.m_lastLossAt = now;
    entry.m_expiresAt = now + quarantineDuration;
    return QuarantineNotice{fingerprint, entry.m_lostTargets, quarantineDuration};
}

void mergeQuarantineNotice(FingerprintTable &table, TimePoint now, const QuarantineNotice &notice)
{
    if (notice.m_lostTargets <= 0 || notice.m_remaining <= Duration::zero()) {
        return;
    }
    if (notice.m_lostTargets < lostTargetLimit
        && table.m_safeFingerprints.contains(notice.m_fingerprint)) {
        return; // Gossip repeats a suspicion that a later success on this node has disproved.
    }
    removeSafeFingerprint(table, notice.m_fingerprint);
    FingerprintEntry &entry = table.m_entries[notice.m_fingerprint];
    resetExpiredLosses(entry, now);
    entry.m_lostTargets = std::max(entry.m_lostTargets, notice.m_lostTargets);
    entry.m_expiresAt =
        std::max(entry.m_expiresAt, now + std::min(notice.m_remaining, quarantineDuration));
}

std::vector<QuarantineNotice> activeQuarantineNotices(const FingerprintTable &table, TimePoint now)
{
    std::vector<QuarantineNotice> notices;
    for (const std::pair<const std::uint64_t, FingerprintEntry> &entry : table.m_entries) {
        if (entry.second.m_lostTargets > 0 && entry.second.m_expiresAt > now) {
            notices.push_back(QuarantineNotice{entry.first, entry.second.m_lostTargets,
                                               entry.second.m_expiresAt - now});
        }
    }
    std::sort(notices.begin(), notices.end(),
              [](const QuarantineNotice &left, const QuarantineNotice &right) {
                  return left.m_fingerprint < right.m_fingerprint;
              });
    return notices;
}

std::size_t removeExpiredFingerprints(FingerprintTable &table, TimePoint now)
{
    std::erase_if(table.m_entries,
                  [now](const std::pair<const std::uint64_t, FingerprintEntry> &entry) {
                      return entry.second.m_inFlight == 0 && entry.second.m_expiresAt <= now;
                  });
    return table.m_entries.size();
}

} // namespace arbutusgrade
