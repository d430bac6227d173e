#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

//! @brief State machine that claims a non-idempotent request in the store, so that it runs at most
//! once.
//!
//! Plain structs and free functions that perform no I/O and read no clock. Each function returns
//! the next store call or the result of the claim. Not thread-safe.
namespace arbutusgrade {

//! @brief Result of a store call.
//!
//! With Unavailable, the call may have taken effect although its reply was lost.
enum class StoreStatus { Ok, NotFound, Conflict, Unavailable };

//! @brief State of a claim as recorded in the store.
enum class ClaimState {
    Claimed,  //!< One node may run the request and may already have run it.
    Done,     //!< The request ran and its outcome is recorded.
    Released, //!< The request did not run; a re-send may claim it by compare-and-swap.
};

//! @brief Largest result stored in a claim. For a larger one, only the outcome is stored.
inline constexpr std::size_t claimResultLimitBytes = 16384;

//! @brief Value of the store key `claims/<group>/<request id>`.
struct ClaimRecord
{
    ClaimState m_state = ClaimState::Claimed;
    std::uint64_t m_fingerprint = 0; //!< Hash of kind, service and payload.
    std::string m_node;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_nonce = 0; //!< Unique for each time that a request is sent to a node.
    std::string m_outcome;     //!< Done: name of the outcome.
    std::string m_reason;      //!< Done: name of the reason.
    std::string m_service;     //!< Done: the service that answered.
    Snapshot m_snapshot;       //!< Done: the snapshot of the result.
    std::string m_result;      //!< Done: entries of the answer, up to claimResultLimitBytes.
    bool m_hasResult = false;  //!< Done: false if the result exceeded the limit.
};

//! @brief Returns the record as JSON text.
std::string encodeClaim(const ClaimRecord &record);

//! @brief Returns the record, or std::nullopt if the text is not a valid record.
std::optional<ClaimRecord> decodeClaim(std::string_view text);

//! @brief Returns the store key of a claim; characters outside [A-Za-z0-9._-] are percent-encoded.
std::string claimKey(std::string_view group, std::string_view requestId);

//! @brief Phase of a claim on this node.
enum class ClaimPhase {
    New,
    Writing,              //!< Creating the key or claiming a released record.
    VerifyingWrite,       //!< Reading the key to see whether a write without a reply took effect.
    Held,                 //!< The node may run the request.
    Recording,            //!< Writing the outcome.
    Releasing,            //!< Writing that the request did not run.
    ReleasingUnconfirmed, //!< Looking for a claim whose create was never confirmed, to release it.
    AwaitingOutcome,      //!< Reading the key until the holder has recorded the outcome.
    Ended,
};

//! @brief One claim of this node. The record in m_ownRecord must be filled in before beginClaim.
struct Claim
{
    ClaimRecord m_ownRecord;
    ClaimPhase m_phase = ClaimPhase::New;
    std::int64_t m_revision = 0; //!< Last known revision of the key.
    bool m_confirmed = false;    //!< A reply of the store has shown that this node holds the claim.
    int m_tries = 0;             //!< Store calls counted against the limit of the current phase.
    //! Last record that was found under the key before the claim was held.
    std::optional<ClaimRecord> m_existingRecord;
    int m_outcomeReads = 0; //!< Reads since the claim was found to be in progress.
};

//! @brief Next step of a claim for the code that performs its store calls.
enum class ClaimStep {
    None,        //!< No further step; the claim has ended.
    Read,        //!< Read the key and pass the reply to handleClaimReply.
    Write,       //!< Compare-and-swap the value and pass the reply to handleClaimReply.
    RetryLater,  //!< Call retryClaim after a delay.
    Held,        //!< The node may run the request.
    Recorded,    //!< The request has already run; m_existingRecord holds the outcome.
    InProgress,  //!< Another send holds the claim and may have run the request.
    Mismatch,    //!< The request id was used with another payload.
    Unavailable, //!< The holder of the claim cannot be determined.
};

//! @brief Next step of a claim with the arguments of its store call.
struct ClaimAction
{
    ClaimStep m_step = ClaimStep::None;
    std::string m_value;                 //!< Write: the new value.
    std::int64_t m_expectedRevision = 0; //!< Write: expected revision of the key; 0 creates it.
};

//! @brief Starts the claim by creating its key.
ClaimAction beginClaim(Claim &claim);

//! @brief Handles the reply to the last Read or Write.
ClaimAction handleClaimReply(Claim &claim, StoreStatus status, std::string_view value,
                             std::int64_t revision);

//! @brief Records the outcome of a held claim; the fields of a Done record must be set in
//! m_ownRecord.
ClaimAction recordClaimOutcome(Claim &claim);

//! @brief Releases the claim of a request that did not run.
//!
//! May be called in any phase in which no store call is pending.
ClaimAction releaseClaim(Claim &claim);

//! @brief Continues after InProgress: the holder answers before it records the outcome, so a
//! re-send can find a claim whose record is on its way.
//! @return RetryLater a few times, then InProgress. Nothing was sent in either case.
ClaimAction awaitClaimOutcome(Claim &claim);

//! @brief Returns the store call to repeat after RetryLater.
ClaimAction retryClaim(Claim &claim);

} // namespace arbutusgrade
