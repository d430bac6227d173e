#include "claims/claims.h"

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

Claim makeClaim(std::uint64_t nonce = 1, std::uint64_t fingerprint = 42)
{
    Claim claim;
    claim.m_ownRecord.m_node = "node1";
    claim.m_ownRecord.m_incarnation = 3;
    claim.m_ownRecord.m_nonce = nonce;
    claim.m_ownRecord.m_fingerprint = fingerprint;
    return claim;
}

std::string encodedRecord(const Claim &claim, ClaimState state)
{
    ClaimRecord record = claim.m_ownRecord;
    record.m_state = state;
    record.m_outcome = state == ClaimState::Done ? "complete" : "";
    return encodeClaim(record);
}

// Guards against treating a claim as lost when its create took effect but the reply was lost.
TEST(Claim, CreateWithLostReplyIsVerifiedAsHeld)
{
    Claim claim = makeClaim();
    const ClaimAction create = beginClaim(claim);
    EXPECT_EQ(create.m_step, ClaimStep::Write);
    EXPECT_EQ(create.m_expectedRevision, 0);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::Unavailable, "", 0).m_step, ClaimStep::Read);
    EXPECT_FALSE(claim.m_confirmed);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::Ok, create.m_value, 5).m_step, ClaimStep::Held);
    EXPECT_TRUE(claim.m_confirmed);
    EXPECT_EQ(claim.m_revision, 5);
}

// Guards against running a request twice: the create of this node fails without a reply, and the
// record that it then reads belongs to another node.
TEST(Claim, RecordWithAnotherNonceIsNotHeld)
{
    Claim claim = makeClaim(1);
    beginClaim(claim);
    handleClaimReply(claim, StoreStatus::Unavailable, "", 0);
    const std::string other = encodedRecord(makeClaim(2), ClaimState::Claimed);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::Ok, other, 5).m_step, ClaimStep::InProgress);
    EXPECT_FALSE(claim.m_confirmed);
}

// Guards against running a completed request again, and against losing its recorded result.
TEST(Claim, DoneRecordReturnsItsOutcome)
{
    Claim first = makeClaim(1);
    beginClaim(first);
    handleClaimReply(first, StoreStatus::Ok, "", 1);
    first.m_ownRecord.m_outcome = "complete";
    first.m_ownRecord.m_result = "[\"ticket 7\"]";
    first.m_ownRecord.m_service = "s0";
    first.m_ownRecord.m_snapshot = {1, 7};
    const ClaimAction record = recordClaimOutcome(first);
    EXPECT_EQ(record.m_expectedRevision, 1);

    Claim second = makeClaim(2);
    beginClaim(second);
    EXPECT_EQ(handleClaimReply(second, StoreStatus::Conflict, record.m_value, 2).m_step,
              ClaimStep::Recorded);
    EXPECT_EQ(second.m_existingRecord->m_result, "[\"ticket 7\"]");
    EXPECT_EQ(second.m_existingRecord->m_snapshot, (Snapshot{1, 7}));
    EXPECT_TRUE(second.m_existingRecord->m_hasResult);
}

// Guards against a released claim that no re-send, or more than one, can claim.
TEST(Claim, ReleasedRecordIsClaimedAtItsRevisionOnly)
{
    Claim claim = makeClaim(2);
    beginClaim(claim);
    const std::string released = encodedRecord(makeClaim(1), ClaimState::Released);
    const ClaimAction reclaim = handleClaimReply(claim, StoreStatus::Conflict, released, 9);
    EXPECT_EQ(reclaim.m_step, ClaimStep::Write);
    EXPECT_EQ(reclaim.m_expectedRevision, 9);
    const std::string other = encodedRecord(makeClaim(3), ClaimState::Claimed);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::Conflict, other, 10).m_step,
              ClaimStep::InProgress);
}

// Guards against running a different payload under a request id that is already claimed.
TEST(Claim, DifferentFingerprintIsAMismatch)
{
    Claim claim = makeClaim(2, 43);
    beginClaim(claim);
    for (const ClaimState state : {ClaimState::Claimed, ClaimState::Done, ClaimState::Released}) {
        Claim again = claim;
        EXPECT_EQ(
            handleClaimReply(again, StoreStatus::Conflict, encodedRecord(makeClaim(1), state), 4)
                .m_step,
            ClaimStep::Mismatch);
    }
}

// Guards against running a request whose claim record is invalid, as another send may have run it.
TEST(Claim, InvalidRecordIsTreatedAsInProgress)
{
    for (const std::string_view text : {"", "null", "[]", "{\"state\":\"done\"}", "{\"state\":7}",
                                        "{\"state\":\"claimed\",\"fingerprint\":-1}", "{"}) {
        Claim claim = makeClaim();
        beginClaim(claim);
        EXPECT_EQ(handleClaimReply(claim, StoreStatus::Conflict, text, 4).m_step,
                  ClaimStep::InProgress)
            << text;
    }
}

// Guards against endless store calls while the store loses replies.
TEST(Claim, StopsAfterLimitedTries)
{
    Claim claim = makeClaim();
    ClaimStep step = beginClaim(claim).m_step;
    int calls = 1;
    while (step == ClaimStep::Write || step == ClaimStep::Read) {
        const StoreStatus status =
            step == ClaimStep::Write ? StoreStatus::Unavailable : StoreStatus::NotFound;
        step = handleClaimReply(claim, status, "", 0).m_step;
        ASSERT_LT(++calls, 20);
    }
    EXPECT_EQ(step, ClaimStep::Unavailable);
}

// Guards against a claim that stays in the store although its request was refused as not run: the
// create takes effect only after the node has stopped waiting for it.
TEST(Claim, DelayedCreateIsFoundAndReleased)
{
    Claim claim = makeClaim();
    const std::string created = beginClaim(claim).m_value;
    handleClaimReply(claim, StoreStatus::Unavailable, "", 0);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::Unavailable, "", 0).m_step,
              ClaimStep::Unavailable);
    EXPECT_EQ(releaseClaim(claim).m_step, ClaimStep::RetryLater);
    EXPECT_EQ(retryClaim(claim).m_step, ClaimStep::Read);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::NotFound, "", 0).m_step, ClaimStep::RetryLater);
    EXPECT_EQ(retryClaim(claim).m_step, ClaimStep::Read);
    const ClaimAction release = handleClaimReply(claim, StoreStatus::Ok, created, 6);
    EXPECT_EQ(release.m_step, ClaimStep::Write);
    EXPECT_EQ(release.m_expectedRevision, 6);
    EXPECT_EQ(decodeClaim(release.m_value)->m_state, ClaimState::Released);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::Ok, "", 7).m_step, ClaimStep::None);
    EXPECT_EQ(claim.m_phase, ClaimPhase::Ended);
}

// Guards against overwriting the claim of another node: the reply to a release is lost, the other
// node claims the released record, and the release is repeated.
TEST(Claim, RepeatedReleaseKeepsTheClaimOfTheNextHolder)
{
    Claim claim = makeClaim(1);
    beginClaim(claim);
    handleClaimReply(claim, StoreStatus::Ok, "", 1);
    releaseClaim(claim);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::Unavailable, "", 0).m_step,
              ClaimStep::RetryLater);
    EXPECT_EQ(retryClaim(claim).m_expectedRevision, 1);
    const std::string next = encodedRecord(makeClaim(2), ClaimState::Claimed);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::Conflict, next, 3).m_step, ClaimStep::None);
    EXPECT_EQ(claim.m_phase, ClaimPhase::Ended);
}

// Guards against values above the store's size limit and against answers with a truncated result.
TEST(ClaimRecord, LargeResultIsOmitted)
{
    ClaimRecord record = makeClaim().m_ownRecord;
    record.m_state = ClaimState::Done;
    record.m_outcome = "complete";
    record.m_result = std::string(claimResultLimitBytes + 1, 'x');
    const std::string text = encodeClaim(record);
    EXPECT_LT(text.size(), 1000U);
    EXPECT_FALSE(decodeClaim(text)->m_hasResult);
}

// Guards against request ids that escape the claims/ prefix or collide after encoding.
TEST(ClaimKey, PercentEncodesReservedCharacters)
{
    EXPECT_EQ(claimKey("orders", "a-1"), "claims/orders/a-1");
    EXPECT_EQ(claimKey("orders", "../x y"), "claims/orders/..%2Fx%20y");
    EXPECT_NE(claimKey("orders", "a%2Fb"), claimKey("orders", "a/b"));
}

} // namespace
} // namespace arbutusgrade
