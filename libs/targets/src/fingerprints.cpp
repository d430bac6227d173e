#include "targets/targets.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Bounds the memory for harmless fingerprints to about 8 MB; a forgotten one is tested again.
constexpr std::size_t clearedLimit = 65536;

//! Reports of lost connections to one target within this time are one loss.
constexpr Duration sameLossTime = std::chrono::milliseconds(200);

void forgetCleared(FingerprintTable &table, std::uint64_t fingerprint)
{
    table.m_cleared.erase(fingerprint);
}

void expireLosses(FingerprintEntry &entry, TimePoint now) noexcept
{
    if (entry.m_lostTargets > 0 && entry.m_expiresAt <= now) {
        entry.m_lostTargets = 0;
    }
}

int lostTargets(const FingerprintTable &table, TimePoint now, std::uint64_t fingerprint)
{
    const auto found = table.m_entries.find(fingerprint);
    if (found == table.m_entries.end() || found->second.m_expiresAt <= now) {
        return 0;
    }
    return found->second.m_lostTargets;
}

} // namespace

int allowedAttempts(const FingerprintTable &table, TimePoint now, std::uint64_t fingerprint)
{
    if (table.m_cleared.contains(fingerprint)) {
        return INT32_MAX;
    }
    const auto found = table.m_entries.find(fingerprint);
    const int inFlight = found == table.m_entries.end() ? 0 : found->second.m_inFlight;
    return lostTargetLimit - lostTargets(table, now, fingerprint) - inFlight;
}

bool isSuspect(const FingerprintTable &table, TimePoint now, std::uint64_t fingerprint)
{
    return lostTargets(table, now, fingerprint) > 0;
}

bool isQuarantined(const FingerprintTable &table, TimePoint now, std::uint64_t fingerprint)
{
    return lostTargets(table, now, fingerprint) >= lostTargetLimit;
}

bool noteFingerprintSent(FingerprintTable &table, std::uint64_t fingerprint)
{
    if (table.m_cleared.contains(fingerprint)) {
        return false;
    }
    ++table.m_entries[fingerprint].m_inFlight;
    return true;
}

void noteFingerprintEnded(FingerprintTable &table, std::uint64_t fingerprint)
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

void clearFingerprint(FingerprintTable &table, std::uint64_t fingerprint)
{
    const auto found = table.m_entries.find(fingerprint);
    if (found != table.m_entries.end()) {
        if (found->second.m_lostTargets >= lostTargetLimit) {
            return; // A late reply does not end a quarantine.
        }
        found->second.m_lostTargets = 0;
    }
    if (!table.m_cleared.try_emplace(fingerprint, table.m_clearings).second) {
        return;
    }
    table.m_clearedOrder.emplace_back(fingerprint, table.m_clearings);
    ++table.m_clearings;
    if (table.m_clearedOrder.size() > clearedLimit) {
        const std::pair<std::uint64_t, std::uint64_t> oldest = table.m_clearedOrder.front();
        table.m_clearedOrder.pop_front();
        const auto entry = table.m_cleared.find(oldest.first);
        if (entry != table.m_cleared.end() && entry->second == oldest.second) {
            table.m_cleared.erase(entry);
        }
    }
}

QuarantineNotice noteTargetLost(FingerprintTable &table, TimePoint now, std::uint64_t fingerprint,
                                TargetIndex target, bool wasCleared)
{
    forgetCleared(table, fingerprint);
    FingerprintEntry &entry = table.m_entries[fingerprint];
    expireLosses(entry, now);
    // A target that dies ends all its connections, so several attempts report the same loss.
    const bool sameLoss = entry.m_lastLost == target && now - entry.m_lastLostAt < sameLossTime;
    if (wasCleared) {
        entry.m_lostTargets = std::max(entry.m_lostTargets, 1);
    } else if (!sameLoss || entry.m_lostTargets == 0) {
        ++entry.m_lostTargets;
    }
    entry.m_lastLost = target;
    entry.m_lastLostAt = now;
    entry.m_expiresAt = now + quarantineTime;
    return QuarantineNotice{fingerprint, entry.m_lostTargets, quarantineTime};
}

void learnQuarantine(FingerprintTable &table, TimePoint now, const QuarantineNotice &notice)
{
    if (notice.m_lostTargets <= 0 || notice.m_remaining <= Duration::zero()) {
        return;
    }
    if (notice.m_lostTargets < lostTargetLimit && table.m_cleared.contains(notice.m_fingerprint)) {
        return; // Suspicion repeated by gossip after a target has run the request here.
    }
    forgetCleared(table, notice.m_fingerprint);
    FingerprintEntry &entry = table.m_entries[notice.m_fingerprint];
    expireLosses(entry, now);
    entry.m_lostTargets = std::max(entry.m_lostTargets, notice.m_lostTargets);
    entry.m_expiresAt =
        std::max(entry.m_expiresAt, now + std::min(notice.m_remaining, quarantineTime));
}

std::vector<QuarantineNotice> activeNotices(const FingerprintTable &table, TimePoint now)
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

std::size_t expireFingerprints(FingerprintTable &table, TimePoint now)
{
    std::erase_if(table.m_entries,
                  [now](const std::pair<const std::uint64_t, FingerprintEntry> &entry) {
                      return entry.second.m_inFlight == 0 && entry.second.m_expiresAt <= now;
                  });
    return table.m_entries.size();
}

} // namespace arbutusgrade
