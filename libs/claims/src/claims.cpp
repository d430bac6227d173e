#include "claims/claims.h"

namespace arbutusgrade {

namespace {

//! Bounds the calls for one claim while the store loses replies.
constexpr int acquireTries = 4;

//! Recording and releasing go on in the background after the answer, so they may try for longer.
constexpr int finishTries = 12;

bool isOwn(const Claim &claim, const ClaimRecord &record) noexcept
{
    return record.m_nonce == claim.m_own.m_nonce && record.m_node == claim.m_own.m_node
           && record.m_incarnation == claim.m_own.m_incarnation;
}

ClaimAction step(ClaimStep kind)
{
    return ClaimAction{kind, {}, 0};
}

ClaimAction writeOwn(Claim &claim, std::int64_t expectedRevision)
{
    claim.m_revision = expectedRevision;
    return ClaimAction{ClaimStep::Write, encodeClaim(claim.m_own), expectedRevision};
}

ClaimAction end(Claim &claim, ClaimStep kind)
{
    claim.m_phase = ClaimPhase::Ended;
    return step(kind);
}

ClaimAction hold(Claim &claim, std::int64_t revision)
{
    claim.m_phase = ClaimPhase::Held;
    claim.m_confirmed = true;
    claim.m_revision = revision;
    return step(ClaimStep::Held);
}

//! After too many tries the claim may still exist in the store, so it is not Ended.
ClaimAction giveUpAcquiring(Claim &claim)
{
    claim.m_phase = ClaimPhase::New;
    return step(ClaimStep::Unavailable);
}

ClaimAction acquire(Claim &claim, std::int64_t expectedRevision)
{
    ++claim.m_tries;
    if (claim.m_tries > acquireTries) {
        return giveUpAcquiring(claim);
    }
    claim.m_phase = ClaimPhase::Writing;
    return writeOwn(claim, expectedRevision);
}

ClaimAction examineFound(Claim &claim, std::string_view value, std::int64_t revision)
{
    claim.m_found = decodeClaim(value);
    if (!claim.m_found) {
        // An unreadable record may belong to a send that ran.
        return end(claim, ClaimStep::InProgress);
    }
    if (isOwn(claim, *claim.m_found)) {
        return hold(claim, revision);
    }
    if (claim.m_found->m_fingerprint != claim.m_own.m_fingerprint) {
        return end(claim, ClaimStep::Mismatch);
    }
    switch (claim.m_found->m_state) {
    case ClaimState::Done:
        return end(claim, ClaimStep::Recorded);
    case ClaimState::Released:
        return acquire(claim, revision);
    case ClaimState::Claimed:
        break;
    }
    return end(claim, ClaimStep::InProgress);
}

ClaimAction handleWritten(Claim &claim, StoreStatus status, std::string_view value,
                          std::int64_t revision)
{
    switch (status) {
    case StoreStatus::Ok:
        return hold(claim, revision);
    case StoreStatus::Conflict:
        return examineFound(claim, value, revision);
    case StoreStatus::NotFound:
        return acquire(claim, 0);
    case StoreStatus::Unavailable:
        break;
    }
    claim.m_phase = ClaimPhase::ReadingBack;
    return step(ClaimStep::Read);
}

ClaimAction handleReadBack(Claim &claim, StoreStatus status, std::string_view value,
                           std::int64_t revision)
{
    switch (status) {
    case StoreStatus::Ok:
        return examineFound(claim, value, revision);
    case StoreStatus::NotFound:
        // Writing again with the same nonce is safe: if the first write lands late, one of the two
        // fails, and the record is this node's either way.
        return acquire(claim, 0);
    case StoreStatus::Conflict:
    case StoreStatus::Unavailable:
        break;
    }
    return giveUpAcquiring(claim);
}

ClaimAction retryOrEnd(Claim &claim)
{
    ++claim.m_tries;
    if (claim.m_tries > finishTries) {
        return end(claim, ClaimStep::None);
    }
    return step(ClaimStep::RetryLater);
}

ClaimAction handleFinished(Claim &claim, StoreStatus status, std::string_view value,
                           std::int64_t revision)
{
    if (status == StoreStatus::Unavailable) {
        return retryOrEnd(claim);
    }
    if (status != StoreStatus::Conflict) {
        return end(claim, ClaimStep::None);
    }
    const std::optional<ClaimRecord> found = decodeClaim(value);
    if (!found || !isOwn(claim, *found) || found->m_state != ClaimState::Claimed) {
        // Either the first write took effect although its reply was lost, or the claim is no
        // longer this node's.
        return end(claim, ClaimStep::None);
    }
    ++claim.m_tries;
    return claim.m_tries > finishTries ? end(claim, ClaimStep::None) : writeOwn(claim, revision);
}

ClaimAction handleOrphan(Claim &claim, StoreStatus status, std::string_view value,
                         std::int64_t revision)
{
    if (status != StoreStatus::Ok) {
        // A delayed create can still land, so a missing key is looked for again too.
        return retryOrEnd(claim);
    }
    const std::optional<ClaimRecord> found = decodeClaim(value);
    if (!found || !isOwn(claim, *found) || found->m_state != ClaimState::Claimed) {
        return end(claim, ClaimStep::None);
    }
    claim.m_phase = ClaimPhase::Releasing;
    claim.m_own.m_state = ClaimState::Released;
    return writeOwn(claim, revision);
}

} // namespace

ClaimAction beginClaim(Claim &claim)
{
    claim.m_tries = 0;
    claim.m_own.m_state = ClaimState::Claimed;
    return acquire(claim, 0);
}

ClaimAction handleClaimReply(Claim &claim, StoreStatus status, std::string_view value,
                             std::int64_t revision)
{
    switch (claim.m_phase) {
    case ClaimPhase::Writing:
        return handleWritten(claim, status, value, revision);
    case ClaimPhase::ReadingBack:
        return handleReadBack(claim, status, value, revision);
    case ClaimPhase::Recording:
    case ClaimPhase::Releasing:
        return handleFinished(claim, status, value, revision);
    case ClaimPhase::SearchingOrphan:
        return handleOrphan(claim, status, value, revision);
    case ClaimPhase::New:
    case ClaimPhase::Held:
    case ClaimPhase::Ended:
        break;
    }
    return step(ClaimStep::None);
}

ClaimAction recordClaim(Claim &claim)
{
    if (claim.m_phase != ClaimPhase::Held) {
        return step(ClaimStep::None);
    }
    claim.m_phase = ClaimPhase::Recording;
    claim.m_tries = 0;
    claim.m_own.m_state = ClaimState::Done;
    return writeOwn(claim, claim.m_revision);
}

ClaimAction releaseClaim(Claim &claim)
{
    claim.m_tries = 0;
    if (claim.m_phase == ClaimPhase::Held) {
        claim.m_phase = ClaimPhase::Releasing;
        claim.m_own.m_state = ClaimState::Released;
        return writeOwn(claim, claim.m_revision);
    }
    if (claim.m_phase == ClaimPhase::New) {
        claim.m_phase = ClaimPhase::SearchingOrphan;
        return step(ClaimStep::RetryLater);
    }
    return step(ClaimStep::None);
}

ClaimAction retryClaim(Claim &claim)
{
    switch (claim.m_phase) {
    case ClaimPhase::Recording:
    case ClaimPhase::Releasing:
        return writeOwn(claim, claim.m_revision);
    case ClaimPhase::SearchingOrphan:
        return step(ClaimStep::Read);
    case ClaimPhase::New:
    case ClaimPhase::Writing:
    case ClaimPhase::ReadingBack:
    case ClaimPhase::Held:
    case ClaimPhase::Ended:
        break;
    }
    return step(ClaimStep::None);
}

} // namespace arbutusgrade
