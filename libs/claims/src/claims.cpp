#include "claims/claims.h"

namespace arbutusgrade {

namespace {

//! Bounds the writes for one claim while the store loses replies.
constexpr int acquireTryLimit = 4;

//! Recording and releasing continue in the background after the answer, so more tries are allowed.
constexpr int finalWriteTryLimit = 12;

//! Reads for the outcome of another send. The holder writes it right after its answer, so more
//! reads would mostly wait for a request that is still running.
constexpr int outcomeReadLimit = 3;

bool isOwn(const Claim &claim, const ClaimRecord &record) noexcept
{
    return record.m_nonce == claim.m_ownRecord.m_nonce && record.m_node == claim.m_ownRecord.m_node
           && record.m_incarnation == claim.m_ownRecord.m_incarnation;
}

ClaimAction makeAction(ClaimStep step)
{
    return ClaimAction{step, {}, 0};
}

ClaimAction writeRecord(Claim &claim, std::int64_t expectedRevision)
{
    claim.m_revision = expectedRevision;
    return ClaimAction{ClaimStep::Write, encodeClaim(claim.m_ownRecord), expectedRevision};
}

ClaimAction endClaim(Claim &claim, ClaimStep step)
{
    claim.m_phase = ClaimPhase::Ended;
    return makeAction(step);
}

ClaimAction markHeld(Claim &claim, std::int64_t revision)
{
    claim.m_phase = ClaimPhase::Held;
    claim.m_confirmed = true;
    claim.m_revision = revision;
    return makeAction(ClaimStep::Held);
}

//! The phase does not become Ended, because an unconfirmed claim may exist in the store and
//! releaseClaim must still be able to release it.
ClaimAction stopAcquiring(Claim &claim)
{
    claim.m_phase = ClaimPhase::New;
    return makeAction(ClaimStep::Unavailable);
}

ClaimAction acquireClaim(Claim &claim, std::int64_t expectedRevision)
{
    ++claim.m_tries;
    if (claim.m_tries > acquireTryLimit) {
        return stopAcquiring(claim);
    }
    claim.m_phase = ClaimPhase::Writing;
    return writeRecord(claim, expectedRevision);
}

ClaimAction handleExistingRecord(Claim &claim, std::string_view value, std::int64_t revision)
{
    claim.m_existingRecord = decodeClaim(value);
    if (!claim.m_existingRecord) {
        // An invalid record may belong to a send that has run the request.
        return endClaim(claim, ClaimStep::InProgress);
    }
    if (isOwn(claim, *claim.m_existingRecord)) {
        return markHeld(claim, revision);
    }
    if (claim.m_existingRecord->m_fingerprint != claim.m_ownRecord.m_fingerprint) {
        return endClaim(claim, ClaimStep::Mismatch);
    }
    switch (claim.m_existingRecord->m_state) {
    case ClaimState::Done:
        return endClaim(claim, ClaimStep::Recorded);
    case ClaimState::Released:
        return acquireClaim(claim, revision);
    case ClaimState::Claimed:
        break;
    }
    return endClaim(claim, ClaimStep::InProgress);
}

ClaimAction handleWriteReply(Claim &claim, StoreStatus status, std::string_view value,
                             std::int64_t revision)
{
    switch (status) {
    case StoreStatus::Ok:
        return markHeld(claim, revision);
    case StoreStatus::Conflict:
        return handleExistingRecord(claim, value, revision);
    case StoreStatus::NotFound:
        return acquireClaim(claim, 0);
    case StoreStatus::Unavailable:
        break;
    }
    claim.m_phase = ClaimPhase::VerifyingWrite;
    return makeAction(ClaimStep::Read);
}

ClaimAction handleVerificationReply(Claim &claim, StoreStatus status, std::string_view value,
                                    std::int64_t revision)
{
    switch (status) {
    case StoreStatus::Ok:
        return handleExistingRecord(claim, value, revision);
    case StoreStatus::NotFound:
        // Writing again with the same nonce is safe: if the first write still arrives, one of the
        // two fails, and the stored record belongs to this node in both cases.
        return acquireClaim(claim, 0);
    case StoreStatus::Conflict:
    case StoreStatus::Unavailable:
        break;
    }
    return stopAcquiring(claim);
}

ClaimAction handleOutcomeReply(Claim &claim, StoreStatus status, std::string_view value,
                               std::int64_t revision)
{
    if (status != StoreStatus::Ok) {
        return endClaim(claim, ClaimStep::InProgress);
    }
    return handleExistingRecord(claim, value, revision);
}

ClaimAction retryOrEnd(Claim &claim)
{
    ++claim.m_tries;
    if (claim.m_tries > finalWriteTryLimit) {
        return endClaim(claim, ClaimStep::None);
    }
    return makeAction(ClaimStep::RetryLater);
}

ClaimAction handleFinalWriteReply(Claim &claim, StoreStatus status, std::string_view value,
                                  std::int64_t revision)
{
    if (status == StoreStatus::Unavailable) {
        return retryOrEnd(claim);
    }
    if (status != StoreStatus::Conflict) {
        return endClaim(claim, ClaimStep::None);
    }
    const std::optional<ClaimRecord> found = decodeClaim(value);
    if (!found || !isOwn(claim, *found) || found->m_state != ClaimState::Claimed) {
        // Either the first write took effect although its reply was lost, or this node no longer
        // holds the claim.
        return endClaim(claim, ClaimStep::None);
    }
    ++claim.m_tries;
    return claim.m_tries > finalWriteTryLimit ? endClaim(claim, ClaimStep::None)
                                              : writeRecord(claim, revision);
}

ClaimAction handleUnconfirmedReply(Claim &claim, StoreStatus status, std::string_view value,
                                   std::int64_t revision)
{
    if (status != StoreStatus::Ok) {
        // A delayed create can still take effect, so a missing key is also read again.
        return retryOrEnd(claim);
    }
    const std::optional<ClaimRecord> found = decodeClaim(value);
    if (!found || !isOwn(claim, *found) || found->m_state != ClaimState::Claimed) {
        return endClaim(claim, ClaimStep::None);
    }
    claim.m_phase = ClaimPhase::Releasing;
    claim.m_ownRecord.m_state = ClaimState::Released;
    return writeRecord(claim, revision);
}

} // namespace

ClaimAction beginClaim(Claim &claim)
{
    claim.m_tries = 0;
    claim.m_ownRecord.m_state = ClaimState::Claimed;
    return acquireClaim(claim, 0);
}

ClaimAction handleClaimReply(Claim &claim, StoreStatus status, std::string_view value,
                             std::int64_t revision)
{
    switch (claim.m_phase) {
    case ClaimPhase::Writing:
        return handleWriteReply(claim, status, value, revision);
    case ClaimPhase::VerifyingWrite:
        return handleVerificationReply(claim, status, value, revision);
    case ClaimPhase::Recording:
    case ClaimPhase::Releasing:
        return handleFinalWriteReply(claim, status, value, revision);
    case ClaimPhase::ReleasingUnconfirmed:
        return handleUnconfirmedReply(claim, status, value, revision);
    case ClaimPhase::AwaitingOutcome:
        return handleOutcomeReply(claim, status, value, revision);
    case ClaimPhase::New:
    case ClaimPhase::Held:
    case ClaimPhase::Ended:
        break;
    }
    return makeAction(ClaimStep::None);
}

ClaimAction recordClaimOutcome(Claim &claim)
{
    if (claim.m_phase != ClaimPhase::Held) {
        return makeAction(ClaimStep::None);
    }
    claim.m_phase = ClaimPhase::Recording;
    claim.m_tries = 0;
    claim.m_ownRecord.m_state = ClaimState::Done;
    return writeRecord(claim, claim.m_revision);
}

ClaimAction releaseClaim(Claim &claim)
{
    claim.m_tries = 0;
    if (claim.m_phase == ClaimPhase::Held) {
        claim.m_phase = ClaimPhase::Releasing;
        claim.m_ownRecord.m_state = ClaimState::Released;
        return writeRecord(claim, claim.m_revision);
    }
    if (claim.m_phase == ClaimPhase::New) {
        claim.m_phase = ClaimPhase::ReleasingUnconfirmed;
        return makeAction(ClaimStep::RetryLater);
    }
    if (claim.m_phase == ClaimPhase::AwaitingOutcome) {
        return endClaim(claim, ClaimStep::None);
    }
    return makeAction(ClaimStep::None);
}

ClaimAction awaitClaimOutcome(Claim &claim)
{
    ++claim.m_outcomeReads;
    if (!claim.m_existingRecord || claim.m_outcomeReads > outcomeReadLimit) {
        return endClaim(claim, ClaimStep::InProgress);
    }
    claim.m_phase = ClaimPhase::AwaitingOutcome;
    return makeAction(ClaimStep::RetryLater);
}

ClaimAction retryClaim(Claim &claim)
{
    switch (claim.m_phase) {
    case ClaimPhase::Recording:
    case ClaimPhase::Releasing:
        return writeRecord(claim, claim.m_revision);
    case ClaimPhase::ReleasingUnconfirmed:
    case ClaimPhase::AwaitingOutcome:
        return makeAction(ClaimStep::Read);
    case ClaimPhase::New:
    case ClaimPhase::Writing:
    case ClaimPhase::VerifyingWrite:
    case ClaimPhase::Held:
    case ClaimPhase::Ended:
        break;
    }
    return makeAction(ClaimStep::None);
}

} // namespace arbutusgrade
