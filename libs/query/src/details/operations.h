#pragma once

#include <string_view>

#include "details/state.h"

//! @brief Jobs of the request path, by source file. Each takes the engine and the current event.
namespace arbutusgrade {

// timers.cpp

void startTimer(QueryEngine &engine, TimePoint at, TimerKind kind, std::uint64_t subject,
                ShardIndex shard = 0);

//! @brief Notes the time of an event, detects a pause and runs the timers that are due.
void enterEvent(QueryEngine &engine, const Event &event);

// snapshots.cpp

//! @brief Brings the group's list of snapshots and the choice up to date.
void refreshSnapshots(QueryEngine &engine, GroupIndex group);

//! @brief True if the snapshot is the newest known one of its epoch, or nothing is known of it.
bool isNewestOfEpoch(const GroupRuntime &group, const Snapshot &snapshot) noexcept;

//! @brief Pins the request to the snapshot and plans a sub-request for each shard.
//! @return false if the group serves nothing.
bool pinSnapshot(QueryEngine &engine, Request &request);

//! @brief Pins a query that has sent nothing to the snapshot that is the choice now.
//! @return true if that is another one; sub-requests are new then.
bool repinUnsent(QueryEngine &engine, Request &request);

//! @brief Starts the whole query again on another snapshot if that can help.
//! @return true if it was restarted; sub-requests are new then.
bool restartOnOtherSnapshot(QueryEngine &engine, const Event &event, Request &request);

// admission.cpp

//! @brief True if the request cannot end in time, judged by the queues and recent latency.
bool isHopeless(const QueryEngine &engine, TimePoint now, const Request &request);

void enqueueShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex shard);
void dequeueShard(QueryEngine &engine, const Request &request, SubRequest &shard);

//! @brief Sends queued sub-requests of the service while there is capacity.
void drainQueue(QueryEngine &engine, const Event &event, ServiceIndex service);
void kickService(QueryEngine &engine, const Event &event, ServiceIndex service);

// submit.cpp

//! Accepts the requests that came right after a pause.
void submitDeferred(QueryEngine &engine, const Event &event);

// budget.cpp

void earnBudget(GroupRuntime &group, TimePoint now) noexcept;
//! Pays for repeating the attempts of a request on another snapshot.
bool spendRestart(QueryEngine &engine, GroupIndex group, std::size_t attempts);
bool spendBudget(QueryEngine &engine, GroupIndex group);

//! @brief Counts an extra attempt and checks it against what first attempts have earned.
void checkBudget(QueryEngine &engine, GroupIndex group);
void noteCapacity(GroupRuntime &group, bool found) noexcept;
bool isSaturated(const GroupRuntime &group) noexcept;

// dispatch.cpp

ChoiceCriteria choiceCriteria(QueryEngine &engine, const Request &request, const SubRequest &shard,
                              TimePoint now);

//! @brief Sends the first attempt or a retry of a sub-request, or makes it wait.
void dispatchShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex shard);

enum class SendResult { Sent, Busy, NoReplica, NoSnapshot, NoBudget };

//! @brief Sends an attempt if a target has capacity now.
SendResult trySendShard(QueryEngine &engine, const Event &event, Request &request,
                        ShardIndex shard);

//! @brief True if the request must wait until its payload is known not to crash targets.
bool isHeldBack(const QueryEngine &engine, TimePoint now, const Request &request);
void holdShard(QueryEngine &engine, Request &request, ShardIndex shard);

void dispatchAll(QueryEngine &engine, const Event &event, Request &request);

//! @brief Sends held sub-requests that the state of the fingerprint allows now.
void releaseHeld(QueryEngine &engine, const Event &event, std::uint64_t fingerprint);

//! @brief Makes the sub-request wait for a retry.
void retryLater(QueryEngine &engine, const Event &event, Request &request, ShardIndex shard);

//! @brief Retries at once after the first failure, later after more.
void retryShardNow(QueryEngine &engine, const Event &event, Request &request, ShardIndex shard);

// attempts.cpp

void sendAttempt(QueryEngine &engine, const Event &event, Request &request, ShardIndex shard,
                 TargetIndex target, AttemptRole role, bool trial);

//! @brief Cancels the attempts in flight of a sub-request; trials go on unobserved.
void cancelAttempts(QueryEngine &engine, const Event &event, SubRequest &shard);

//! @brief Frees the attempt's connection and lets queued work have it.
void endAttempt(QueryEngine &engine, const Event &event, Attempt &attempt);
void detachAttempt(SubRequest &shard, AttemptId attempt) noexcept;
bool hasAttempts(const SubRequest &shard) noexcept;

// replies.cpp

void takeReply(QueryEngine &engine, const Event &event, std::string_view target,
               const AttemptReply &reply);
void takeFailure(QueryEngine &engine, const Event &event, AttemptId attempt,
                 AttemptFailure failure);

// hedges.cpp

Duration hedgeDelay(const QueryEngine &engine, ServiceIndex service) noexcept;

//! @brief Time after which the first attempts of an unknown payload no longer hold up the rest.
Duration probingBound(const QueryEngine &engine, const Request &request, TimePoint now) noexcept;

//! @brief Judges the silence of the attempt's target and sends a hedge if it is due.
void checkHedge(QueryEngine &engine, const Event &event, AttemptId attempt);

// coverage.cpp

//! @brief Outcome of a send that ran nothing itself: `not-run` only where no earlier send of the
//! request id can have run.
Outcome refusalOutcome(AnswerMode mode, int sendNumber, bool claimRead) noexcept;

//! @brief Gives the answers whose delay has ended.
void sendDelayedAnswers(QueryEngine &engine, const Event &event);

//! @brief Ends a shard without a result; answers the request if it was the last open one.
void giveUpShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex shard,
                 Reason reason);

//! @brief Answers if all shards are final or enough are in.
void answerIfReady(QueryEngine &engine, const Event &event, Request &request);

//! @brief Answers with what is merged; every open shard becomes lacking.
void answerWithCoverage(QueryEngine &engine, const Event &event, Request &request,
                        Reason openReason);

//! @brief Answers without entries.
void answerPlain(QueryEngine &engine, const Event &event, Request &request, Outcome outcome,
                 Reason reason);

//! @brief Answers with the given entries for the one shard of the request.
void answerShard(QueryEngine &engine, const Event &event, Request &request, Outcome outcome,
                 Reason reason, const std::optional<Snapshot> &snapshot, std::string entries);

// once.cpp

void startClaim(QueryEngine &engine, const Event &event, Request &request);
void takeStoreReply(QueryEngine &engine, const Event &event, const StoreReply &reply);
void retryClaimCall(QueryEngine &engine, const Event &event, RequestKey key);

//! @brief True if the claim allows a send now. Checked immediately before each send.
bool maySendOnce(QueryEngine &engine, const Event &event, Request &request);

//! @brief Takes the end of the attempt of a once request that a target may have run.
void finishOnce(QueryEngine &engine, const Event &event, Request &request, Outcome outcome,
                Reason reason, const std::optional<Snapshot> &snapshot, std::string entries);

//! @brief Releases the claim of a request of which nothing has run.
void releaseUnused(QueryEngine &engine, const Event &event, Request &request);

//! @brief Ends a once request of which nothing has run: answers and releases the claim.
void refuseOnce(QueryEngine &engine, const Event &event, Request &request, Reason reason);
void expireOnce(QueryEngine &engine, const Event &event, Request &request);
void forgetOnceIfSettled(QueryEngine &engine, Request &request);

// spans.cpp

//! Keeps the span of a request apart from that of an attempt with the same number.
inline constexpr std::uint64_t requestSpanBit = std::uint64_t{1} << 62U;

std::uint64_t spanId(const QueryEngine &engine, std::uint64_t number) noexcept;
void recordAttemptSpan(QueryEngine &engine, const Event &event, const Attempt &attempt,
                       std::string_view status);
void recordRequestSpan(QueryEngine &engine, const Event &event, const Request &request,
                       Outcome outcome);
void recordStoreSpan(QueryEngine &engine, const Event &event, const Request &request,
                     std::string_view status);

} // namespace arbutusgrade
