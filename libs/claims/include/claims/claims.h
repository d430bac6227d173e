#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

//! @brief At most once: the state machine of a node's claim on one non-idempotent request.
//!
//! Free functions over plain structs, without input, output or clock. Each function returns the
//! store call to make next or what the claim has come to. Not thread-safe.
namespace arbutusgrade {

//! @brief Result of a store call. Unavailable also covers a lost reply of a call that took effect.
enum class StoreStatus { Ok, NotFound, Conflict, Unavailable };

//! @brief State of a claim as recorded in the store.
enum class ClaimState {
    Claimed,  //!< One node has the right to run the request, and may have run it.
    Done,     //!< Ran; the outcome is recorded.
    Released, //!< Truly not run; a re-send may take it by compare-and-swap.
};

//! @brief Largest result kept in a claim; a larger one is recorded by its outcome only.
inline constexpr std::size_t claimResultLimit = 16384;

//! @brief Value of the key `claims/<group>/<request id>`.
struct ClaimRecord
{
    ClaimState m_state = ClaimState::Claimed;
    std::uint64_t m_fingerprint = 0; //!< Hash of kind, service and payload.
    std::string m_node;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_nonce = 0; //!< Differs for each send of a request to a node.
    std::string m_outcome;     //!< Done: name of the outcome.
    std::string m_reason;      //!< Done: name of the reason.
    std::string m_service;     //!< Done: the service that answered.
    Snapshot m_snapshot;       //!< Done: the snapshot of the result.
    std::string m_result;      //!< Done: entries of the answer, if within claimResultLimit.
    bool m_resultKept = false; //!< Done: false if the result was too large.
};

//! @brief Returns the record as JSON text.
std::string encodeClaim(const ClaimRecord &record);

//! @brief Returns the record, or nothing if the text is no valid record.
std::optional<ClaimRecord> decodeClaim(std::string_view text);

//! @brief Returns the key of a claim; characters outside [A-Za-z0-9._-] are percent-encoded.
std::string claimKey(std::string_view group, std::string_view requestId);

//! @brief What the node is doing with the claim.
enum class ClaimPhase {
    New,
    Writing,         //!< Creates the claim or takes a released one.
    ReadingBack,     //!< Finds out what became of a write whose reply was lost.
    Held,            //!< The node may run the request.
    Recording,       //!< Writes the outcome.
    Releasing,       //!< Writes that the request did not run.
    SearchingOrphan, //!< Looks for its own claim of a create that stayed unknown, to release it.
    Ended,
};

//! @brief One claim of this node. Create with the own record filled in, then call beginClaim.
struct Claim
{
    ClaimRecord m_own;
    ClaimPhase m_phase = ClaimPhase::New;
    std::int64_t m_revision = 0; //!< Revision of the key, as far as known.
    bool m_confirmed = false;    //!< The store has shown that the node holds the claim.
    int m_tries = 0;
    std::optional<ClaimRecord> m_found; //!< The record of another holder, or a recorded outcome.
};

//! @brief What to do next for a claim.
enum class ClaimStep {
    None,        //!< Nothing; the claim has ended.
    Read,        //!< Read the key and pass the reply to handleClaimReply.
    Write,       //!< Compare-and-swap the key and pass the reply to handleClaimReply.
    RetryLater,  //!< The store is unavailable; call retryClaim after a pause.
    Held,        //!< The node may run the request.
    Recorded,    //!< The request ran before; m_found has the outcome.
    InProgress,  //!< Another send holds the claim and may have run.
    Mismatch,    //!< The request id was used with another payload.
    Unavailable, //!< The store cannot tell who holds the claim.
};

struct ClaimAction
{
    ClaimStep m_step = ClaimStep::None;
    std::string m_value;                 //!< Write: the new value.
    std::int64_t m_expectedRevision = 0; //!< Write: 0 creates the key.
};

//! @brief Starts the claim by creating its key.
ClaimAction beginClaim(Claim &claim);

//! @brief Takes the reply to the last Read or Write.
ClaimAction handleClaimReply(Claim &claim, StoreStatus status, std::string_view value,
                             std::int64_t revision);

//! @brief Records the outcome of a held claim; the fields of a Done record must be set in m_own.
ClaimAction recordClaim(Claim &claim);

//! @brief Gives the claim up because nothing was run. Safe in each phase without a call pending.
ClaimAction releaseClaim(Claim &claim);

//! @brief Repeats the last call after RetryLater.
ClaimAction retryClaim(Claim &claim);

} // namespace arbutusgrade
