#include "claims/claims.h"

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

Claim makeClaim(std::uint64_t nonce = 1, std::uint64_t fingerprint = 42)
{
    Claim claim;
    claim.m_own.m_node = "node1";
    claim.m_own.m_incarnation = 3;
    claim.m_own.m_nonce = nonce;
    claim.m_own.m_fingerprint = fingerprint;
    return claim;
}

std::string recordOf(const Claim &claim, ClaimState state)
{
    ClaimRecord record = claim.m_own;
    record.m_state = state;
    record.m_outcome = state == ClaimState::Done ? "complete" : "";
    return encodeClaim(record);
}

// Guards against a claim that looks lost after its create took effect without a reply.
TEST(Claim, LostCreateReplyIsReadBackAsOwn)
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

// Guards against two runs when the create of this node was lost and another node's succeeded.
TEST(Claim, ReadBackOfAnotherNonceIsNotHeld)
{
    Claim claim = makeClaim(1);
    beginClaim(claim);
    handleClaimReply(claim, StoreStatus::Unavailable, "", 0);
    const std::string other = recordOf(makeClaim(2), ClaimState::Claimed);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::Ok, other, 5).m_step, ClaimStep::InProgress);
    EXPECT_FALSE(claim.m_confirmed);
}

// Guards against a second run of a request that is done, and against losing its recorded result.
TEST(Claim, DoneRecordGivesItsOutcome)
{
    Claim first = makeClaim(1);
    beginClaim(first);
    handleClaimReply(first, StoreStatus::Ok, "", 1);
    first.m_own.m_outcome = "complete";
    first.m_own.m_result = "[\"ticket 7\"]";
    first.m_own.m_service = "s0";
    first.m_own.m_snapshot = {1, 7};
    const ClaimAction record = recordClaim(first);
    EXPECT_EQ(record.m_expectedRevision, 1);

    Claim second = makeClaim(2);
    beginClaim(second);
    EXPECT_EQ(handleClaimReply(second, StoreStatus::Conflict, record.m_value, 2).m_step,
              ClaimStep::Recorded);
    EXPECT_EQ(second.m_found->m_result, "[\"ticket 7\"]");
    EXPECT_EQ(second.m_found->m_snapshot, (Snapshot{1, 7}));
    EXPECT_TRUE(second.m_found->m_resultKept);
}

// Guards against a released claim that no re-send can take, or that two take.
TEST(Claim, ReleasedRecordIsTakenAtItsRevisionOnly)
{
    Claim claim = makeClaim(2);
    beginClaim(claim);
    const std::string released = recordOf(makeClaim(1), ClaimState::Released);
    const ClaimAction take = handleClaimReply(claim, StoreStatus::Conflict, released, 9);
    EXPECT_EQ(take.m_step, ClaimStep::Write);
    EXPECT_EQ(take.m_expectedRevision, 9);
    const std::string other = recordOf(makeClaim(3), ClaimState::Claimed);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::Conflict, other, 10).m_step,
              ClaimStep::InProgress);
}

// Guards against running another payload under a request id that is in use.
TEST(Claim, OtherFingerprintIsAMismatch)
{
    Claim claim = makeClaim(2, 43);
    beginClaim(claim);
    for (const ClaimState state : {ClaimState::Claimed, ClaimState::Done, ClaimState::Released}) {
        Claim again = claim;
        EXPECT_EQ(
            handleClaimReply(again, StoreStatus::Conflict, recordOf(makeClaim(1), state), 4).m_step,
            ClaimStep::Mismatch);
    }
}

// Guards against a run on the strength of a record that cannot be read.
TEST(Claim, UnreadableRecordCountsAsInProgress)
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

// Guards against an endless exchange with a store that loses replies.
TEST(Claim, GivesUpAfterAFewTries)
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

// Guards against a claim that stays in the store although its request was refused as not run.
TEST(Claim, CreateThatLandsLateIsFoundAndReleased)
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

// Guards against overwriting the claim of a node that took it after a release with a lost reply.
TEST(Claim, RepeatedReleaseLeavesTheNextHolderAlone)
{
    Claim claim = makeClaim(1);
    beginClaim(claim);
    handleClaimReply(claim, StoreStatus::Ok, "", 1);
    releaseClaim(claim);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::Unavailable, "", 0).m_step,
              ClaimStep::RetryLater);
    EXPECT_EQ(retryClaim(claim).m_expectedRevision, 1);
    const std::string next = recordOf(makeClaim(2), ClaimState::Claimed);
    EXPECT_EQ(handleClaimReply(claim, StoreStatus::Conflict, next, 3).m_step, ClaimStep::None);
    EXPECT_EQ(claim.m_phase, ClaimPhase::Ended);
}

// Guards against values beyond the store's limit and against an answer made from a cut result.
TEST(ClaimRecord, LargeResultIsRecordedByItsOutcomeOnly)
{
    ClaimRecord record = makeClaim().m_own;
    record.m_state = ClaimState::Done;
    record.m_outcome = "complete";
    record.m_result = std::string(claimResultLimit + 1, 'x');
    const std::string text = encodeClaim(record);
    EXPECT_LT(text.size(), 1000U);
    EXPECT_FALSE(decodeClaim(text)->m_resultKept);
}

// Guards against request ids that leave the claims directory or collide after encoding.
TEST(ClaimKey, EncodesWhatIsNotPlain)
{
    EXPECT_EQ(claimKey("orders", "a-1"), "claims/orders/a-1");
    EXPECT_EQ(claimKey("orders", "../x y"), "claims/orders/..%2Fx%20y");
    EXPECT_NE(claimKey("orders", "a%2Fb"), claimKey("orders", "a/b"));
}

} // namespace
} // namespace arbutusgrade
