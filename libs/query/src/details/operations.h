#pragma once

#include <string_view>

#include "details/state.h"

//! @brief Internal functions of the request path, grouped by source file.
namespace arbutusgrade {

// timers.cpp

void startTimer(QueryEngine &engine, TimePoint at, TimerKind kind, std::uint64_t subject,
                ShardIndex shard = 0);

//! @brief Records the time of an event, detects a pause and runs the timers that are due.
void beginEvent(QueryEngine &engine, const Event &event);

// snapshots.cpp

//! @brief Updates the known snapshots and the chosen snapshot of the group.
void refreshSnapshots(QueryEngine &engine, GroupIndex group);

//! @brief True if no newer snapshot of the same epoch is known.
bool isNewestOfEpoch(const GroupRuntime &group, const Snapshot &snapshot) noexcept;

//! @brief Pins the request to the chosen snapshot and creates a sub-request for each shard.
//! @return false if the group has no snapshot or no services.
bool pinSnapshot(QueryEngine &engine, Request &request);

//! @brief Pins a request without sent attempts to the currently chosen snapshot.
//! @return true if the snapshot changed, which replaces the sub-requests.
bool repinUnsent(QueryEngine &engine, Request &request);

//! @brief Restarts the whole request on the chosen snapshot if that improves coverage in time.
//! @return true if it was restarted, which replaces the sub-requests.
bool restartOnOtherSnapshot(QueryEngine &engine, const Event &event, Request &request);

// admission.cpp

//! @brief True if the queues and recent latencies predict that the request misses its deadline.
bool missesDeadline(const QueryEngine &engine, TimePoint now, const Request &request);

void enqueueShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex shard);
void dequeueShard(QueryEngine &engine, const Request &request, SubRequest &shard);

//! @brief Changes the deadline of a request, by which its queued sub-requests are sorted.
void changeDeadline(QueryEngine &engine, Request &request, TimePoint deadline);

//! @brief Sends queued sub-requests of the service while there is capacity.
void dispatchQueued(QueryEngine &engine, const Event &event, ServiceIndex service);
void retryServiceQueue(QueryEngine &engine, const Event &event, ServiceIndex service);

// submit.cpp

//! @brief Refuses a request that no target was sent, as far as its earlier sends allow.
void refuseRequest(QueryEngine &engine, const Event &event, Request &request, Reason reason);

//! @brief Accepts the requests that were deferred after a pause.
void submitDeferredRequests(QueryEngine &engine, const Event &event);

// budget.cpp

//! @brief Adds the tokens that one first attempt earns.
void earnRetryBudget(GroupRuntime &group, TimePoint now) noexcept;

//! @brief Takes tokens for repeating the attempts of a request on another snapshot.
//! @return false if the budget is exhausted.
bool spendRestartBudget(QueryEngine &engine, GroupIndex group, std::size_t attempts);

//! @brief Takes the token for one hedge or retry.
//! @return false if the budget is exhausted.
bool spendRetryBudget(QueryEngine &engine, GroupIndex group);

//! @brief Counts a hedge or retry and checks the total against the earned budget.
void checkRetryBudget(QueryEngine &engine, GroupIndex group);

void recordCapacity(GroupRuntime &group, bool found) noexcept;
bool isSaturated(const GroupRuntime &group) noexcept;

// dispatch.cpp

TargetChoiceCriteria choiceCriteria(QueryEngine &engine, const Request &request,
                                    const SubRequest &shard, TimePoint now);

//! @brief Sends the first attempt or a retry of a sub-request, queues it or delays it.
void dispatchShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex shard);

enum class SendResult { Sent, Busy, NoReplica, NoSnapshot, NoBudget };

//! @brief Sends an attempt if a target has free capacity.
SendResult trySendShard(QueryEngine &engine, const Event &event, Request &request,
                        ShardIndex shard);

//! @brief True if a sub-request must wait until the payload is known not to crash targets.
bool mustAwaitProbe(const QueryEngine &engine, TimePoint now, const Request &request);
void awaitProbe(QueryEngine &engine, Request &request, ShardIndex shard);

void dispatchAll(QueryEngine &engine, const Event &event, Request &request);

//! @brief Dispatches the sub-requests that no longer have to wait for a probe of the payload.
void releaseProbeWaiters(QueryEngine &engine, const Event &event, std::uint64_t fingerprint);

//! @brief Schedules a retry with exponential back-off and jitter.
void retryAfterBackOff(QueryEngine &engine, const Event &event, Request &request, ShardIndex shard);

//! @brief Retries immediately after the first failure, with back-off after further ones.
void retryShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex shard);

// attempts.cpp

void sendAttempt(QueryEngine &engine, const Event &event, Request &request, ShardIndex shard,
                 TargetIndex target, AttemptRole role, bool trial);

//! @brief Cancels the attempts in flight of a sub-request. Trials continue; their results are
//! discarded.
void cancelAttempts(QueryEngine &engine, const Event &event, SubRequest &shard);

//! @brief Releases the connection of the attempt and dispatches queued sub-requests.
void endAttempt(QueryEngine &engine, const Event &event, Attempt &attempt);
void detachAttempt(SubRequest &shard, AttemptId attempt) noexcept;
bool hasAttempts(const SubRequest &shard) noexcept;

// replies.cpp

void processAttemptReply(QueryEngine &engine, const Event &event, std::string_view target,
                         const AttemptReply &reply);
void processAttemptFailure(QueryEngine &engine, const Event &event, AttemptId attempt,
                           AttemptFailure failure);

// hedges.cpp

Duration hedgeDelay(const QueryEngine &engine, ServiceIndex service) noexcept;

//! @brief Time after which the other shards no longer wait for the probe of an unknown payload.
Duration payloadProbeTimeout(const QueryEngine &engine, const Request &request,
                             TimePoint now) noexcept;

//! @brief Ejects the attempt's target if it is unresponsive, and sends a hedge if one is due.
void checkHedge(QueryEngine &engine, const Event &event, AttemptId attempt);

// coverage.cpp

//! @brief Outcome of a refused send: `not-run` only if no earlier send of the request id can have
//! been executed.
Outcome refusalOutcome(AnswerMode mode, int sendNumber, bool claimRead) noexcept;

//! @brief Delivers the delayed answers that are due.
void sendDelayedAnswers(QueryEngine &engine, const Event &event);

//! @brief Marks the shard as lacking and answers the request if no shard is open.
void markShardLacking(QueryEngine &engine, const Event &event, Request &request, ShardIndex shard,
                      Reason reason);

//! @brief Answers if no shard is open, or schedules the early answer if coverage is sufficient.
void answerIfReady(QueryEngine &engine, const Event &event, Request &request);

//! @brief Answers with the merged shards and lists all others as lacking.
void answerWithCoverage(QueryEngine &engine, const Event &event, Request &request,
                        Reason defaultReason);

//! @brief Answers without entries and lists every shard as lacking.
void answerWithoutEntries(QueryEngine &engine, const Event &event, Request &request,
                          Outcome outcome, Reason reason);

//! @brief Answers a request that has a single shard.
void answerSingleShard(QueryEngine &engine, const Event &event, Request &request, Outcome outcome,
                       Reason reason, const std::optional<Snapshot> &snapshot, std::string entries);

// once.cpp

void startClaim(QueryEngine &engine, const Event &event, Request &request);
void processStoreReply(QueryEngine &engine, const Event &event, const StoreReply &reply);
void retryClaimCall(QueryEngine &engine, const Event &event, RequestKey key);

//! @brief True if the claim is held and the deadline has not passed. Checked before each send.
bool maySendOnce(QueryEngine &engine, const Event &event, Request &request);

//! @brief Answers a once request that a target may have executed, and records a known outcome.
void finishOnce(QueryEngine &engine, const Event &event, Request &request, Outcome outcome,
                Reason reason, const std::optional<Snapshot> &snapshot, std::string entries);

//! @brief Releases the claim of a request that no target has executed.
void releaseUnusedClaim(QueryEngine &engine, const Event &event, Request &request);

//! @brief Answers a once request without a result and releases the claim if no target can have
//! executed it.
void refuseOnce(QueryEngine &engine, const Event &event, Request &request, Reason reason);
void removeOnceIfSettled(QueryEngine &engine, Request &request);

// shutdown.cpp

//! @brief True if a planned stop leaves the request enough time, or none has begun.
bool endsBeforeShutdown(const QueryEngine &engine, TimePoint now, const Request &request);

//! @brief Makes the request end before the planned stop does, if one has begun.
void limitRequestByShutdown(QueryEngine &engine, const Event &event, Request &request);

//! @brief Refuses the request if no target can have executed it.
void refuseBeforeShutdown(QueryEngine &engine, const Event &event, RequestKey key);

// spans.cpp

//! Prevents the span id of a request from matching that of an attempt with the same number.
inline constexpr std::uint64_t requestSpanBit = std::uint64_t{1} << 62U;

std::uint64_t spanId(const QueryEngine &engine, std::uint64_t number) noexcept;
void recordAttemptSpan(QueryEngine &engine, const Event &event, const Attempt &attempt,
                       std::string_view status);
void recordRequestSpan(QueryEngine &engine, const Event &event, const Request &request,
                       Outcome outcome);
void recordStoreSpan(QueryEngine &engine, const Event &event, const Request &request,
                     std::string_view status);

} // namespace arbutusgrade
