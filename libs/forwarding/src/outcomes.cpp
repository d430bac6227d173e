#include <algorithm>

#include "details/enginestate.h"

namespace arbutusgrade {

namespace {

constexpr int misdirected = 421;

constexpr Duration refusalRetryAfter{300'000};

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

//! @brief What the end of an attempt means for its request.
enum class Verdict {
    Success,
    NotRun,      //!< The target did not run the request.
    OtherTarget, //!< Another process has the target's address; it did not run the request.
    NotArrived,  //!< It did not even reach the target.
    Failed,      //!< It may have run.
};

struct Judgement
{
    Verdict m_verdict = Verdict::Failed;
    std::string_view m_reason;
    bool m_foreign = false;     //!< The reply belongs to another request.
    bool m_targetError = false; //!< The reply is an error of the target; the caller may get it.
};

Judgement judge(ForwardEnd end, const TargetReply &reply, std::string_view requestId)
{
    switch (end) {
    case ForwardEnd::ConnectFailed:
        return {Verdict::NotArrived, "connect-failed"};
    case ForwardEnd::Closed:
        return {Verdict::Failed, "closed"};
    case ForwardEnd::Reset:
        return {Verdict::Failed, "reset"};
    case ForwardEnd::Malformed:
        return {Verdict::Failed, "malformed"};
    case ForwardEnd::Reply:
        break;
    }
    if (reply.m_echoedId && *reply.m_echoedId != requestId) {
        return {Verdict::Failed, "foreign-reply", true};
    }
    if (reply.m_status == misdirected) {
        return {Verdict::OtherTarget, "other-target"};
    }
    if (reply.m_notExecuted) {
        return {Verdict::NotRun, "refused-by-target"};
    }
    if (!isSuccess(reply.m_status)) {
        return {Verdict::Failed, "target-error", false, true};
    }
    if (reply.m_receipt.empty()) {
        return {Verdict::Failed, "no-receipt"};
    }
    return {Verdict::Success, "ok"};
}

void learnFromEnd(const Attempt &attempt, TimePoint now, const Judgement &judgement)
{
    Target &target = *attempt.m_target;
    switch (judgement.m_verdict) {
    case Verdict::Success:
        learnDuration(target, now, now - attempt.m_sentAt, attempt.m_times->m_usual);
        break;
    case Verdict::NotRun:
        learnFailure(target, now, TargetFailure::Full);
        break;
    case Verdict::OtherTarget:
        learnFailure(target, now, TargetFailure::Displaced);
        break;
    case Verdict::NotArrived:
        // noteNoConnection has learned it.
        break;
    case Verdict::Failed:
        learnFailure(target, now, TargetFailure::Failed);
        break;
    }
}

} // namespace

bool hasEnoughShards(const Route &route, std::size_t included)
{
    // Shares such as 0.9 have no exact binary form.
    constexpr double tolerance = 1e-9;
    const double needed = route.m_minimumShardShare * static_cast<double>(route.m_shards.size());
    return included > 0 && static_cast<double>(included) >= needed - tolerance;
}

void ForwardEngine::Implementation::attemptEnded(TimePoint now, std::uint64_t id, ForwardEnd end,
                                                 TargetReply reply)
{
    const std::unordered_map<std::uint64_t, Attempt>::iterator found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    endOutstanding(*attempt.m_target, id);
    const Judgement judgement = judge(end, reply, attempt.m_request->m_requestId);
    if (judgement.m_foreign) {
        ++m_statistics.m_mismatches;
        m_output.abandon(id);
    }
    if (end == ForwardEnd::Closed || end == ForwardEnd::Reset) {
        noteLostRequest(now, *attempt.m_target, attempt.m_request->m_fingerprint);
    } else if (end == ForwardEnd::ConnectFailed) {
        noteNoConnection(now, *attempt.m_target);
    }
    learnFromEnd(attempt, now, judgement);
    noteElsewhere(now, *attempt.m_target, judgement.m_verdict != Verdict::NotArrived);
    if (judgement.m_verdict == Verdict::Success) {
        learnRouteTime(*attempt.m_times, now - attempt.m_sentAt);
    }
    if (Job *job = findJob(attempt.m_job)) {
        Part &part = job->m_parts[attempt.m_part];
        --part.m_live;
        if (judgement.m_verdict == Verdict::Success) {
            partSucceeded(now, *job, attempt.m_part, std::move(reply));
        } else {
            recordDecision(now, *job, attempt.m_part, "attempt-failed", judgement.m_reason,
                           attempt.m_target->m_entry.m_id, reply.m_status);
            part.m_reason = judgement.m_reason;
            const bool ran = judgement.m_verdict == Verdict::Failed;
            part.m_mayHaveRun -= ran ? 0 : 1;
            part.m_arrivals -= judgement.m_verdict == Verdict::NotArrived ? 1 : 0;
            if (judgement.m_targetError) {
                part.m_reply = std::move(reply);
                part.m_hasFailureReply = true;
            }
            partAttemptFailed(now, *job, attempt.m_part);
        }
    }
    pumpWaiting(now, *attempt.m_service);
}

void ForwardEngine::Implementation::partSucceeded(TimePoint now, Job &job, std::size_t index,
                                                  TargetReply reply)
{
    Part &part = job.m_parts[index];
    if (part.m_state == PartState::Done) {
        return;
    }
    part.m_state = PartState::Done;
    part.m_reply = std::move(reply);
    ++job.m_done;
    if (part.m_live > 0) {
        detachAttempts(now, job.m_id, index);
        part.m_live = 0;
    }
    compareShards(now, job);
    progress(now, job);
}

void ForwardEngine::Implementation::partAttemptFailed(TimePoint now, Job &job, std::size_t index)
{
    const Part &part = job.m_parts[index];
    if (part.m_state != PartState::Sent || part.m_live > 0) {
        return;
    }
    if (mayRetry(job, part)) {
        retry(now, job, index);
        return;
    }
    failPart(now, job, index, part.m_reason);
}

void ForwardEngine::Implementation::failPart(TimePoint now, Job &job, std::size_t index,
                                             std::string_view reason)
{
    Part &part = job.m_parts[index];
    part.m_state = PartState::Failed;
    part.m_reason = reason;
    ++job.m_failed;
    progress(now, job);
}

void ForwardEngine::Implementation::progress(TimePoint now, Job &job)
{
    if (job.m_route->m_shards.empty()) {
        if (job.m_done + job.m_failed > 0) {
            answerSingle(now, job);
        }
        return;
    }
    const std::size_t total = job.m_parts.size();
    const bool ended = job.m_done + job.m_failed == total;
    if (!hasEnoughShards(*job.m_route, total - job.m_failed)) {
        failJob(now, job, false);
    } else if (ended || (now >= job.m_answerBy && hasEnoughShards(*job.m_route, job.m_done))) {
        answerSearch(now, job);
    }
}

void ForwardEngine::Implementation::answerSingle(TimePoint now, Job &job)
{
    Part &part = job.m_parts.front();
    if (part.m_state != PartState::Done && !part.m_hasFailureReply) {
        failJob(now, job, false);
        return;
    }
    ForwardAnswer answer;
    answer.m_kind = AnswerKind::Relayed;
    answer.m_status = part.m_reply.m_status;
    answer.m_reason = part.m_state == PartState::Done ? "ok" : part.m_reason;
    answer.m_reply = std::move(part.m_reply);
    const bool promisesNotRun =
        answer.m_status == 503 || answer.m_status == 429 || answer.m_status == 408;
    if (promisesNotRun) {
        // The target did not say that it has not run the request, so the promise cannot be given.
        answer.m_kind = AnswerKind::Failed;
        answer.m_status = 502;
        answer.m_reply = {};
    }
    finish(now, job, std::move(answer));
}

void ForwardEngine::Implementation::answerSearch(TimePoint now, Job &job)
{
    ForwardAnswer answer;
    answer.m_kind = AnswerKind::Merged;
    answer.m_status = 200;
    answer.m_reason = "ok";
    std::vector<std::string_view> bodies;
    for (Part &part : job.m_parts) {
        if (part.m_state == PartState::Done) {
            bodies.push_back(part.m_reply.m_body);
            answer.m_receipts.push_back(std::move(part.m_reply.m_receipt));
        }
    }
    answer.m_missingShards = job.m_parts.size() - bodies.size();
    if (answer.m_missingShards > 0) {
        ++m_statistics.m_partial;
        answer.m_reason = "partial";
    }
    answer.m_records = mergeRecords(bodies, job.m_route->m_topRecords);
    finish(now, job, std::move(answer));
}

void ForwardEngine::Implementation::recordUnanswered(TimePoint now, const Job &job) const
{
    // A few parts tell the cause; a search over many shards would fill the log.
    constexpr int recordedParts = 4;
    int recorded = 0;
    for (std::size_t index = 0; index < job.m_parts.size() && recorded < recordedParts; ++index) {
        const Part &part = job.m_parts[index];
        if (part.m_state == PartState::Done) {
            continue;
        }
        ++recorded;
        std::string_view reason = part.m_reason;
        if (reason.empty()) {
            reason = part.m_attempts == 0 ? "not-sent" : "no-reply";
        }
        const std::string_view target =
            part.m_tried.empty() ? std::string_view() : std::string_view(part.m_tried.back());
        recordDecision(now, job, index, "unanswered", reason, target, 0);
    }
}

void ForwardEngine::Implementation::failJob(TimePoint now, Job &job, bool timedOut)
{
    const bool mayHaveRun =
        std::any_of(job.m_parts.begin(), job.m_parts.end(), [](const Part &part) {
            return part.m_mayHaveRun > 0 || part.m_state == PartState::Done;
        });
    ForwardAnswer answer;
    answer.m_kind = AnswerKind::Failed;
    answer.m_status = 502;
    answer.m_reason = "no-usable-reply";
    if (!mayHaveRun) {
        answer.m_kind = AnswerKind::Refused;
        answer.m_status = 503;
        answer.m_reason = "no-capacity";
        answer.m_retryAfter = refusalRetryAfter;
    } else if (timedOut) {
        answer.m_kind = AnswerKind::TimedOut;
        answer.m_status = 504;
        answer.m_reason = "time-over";
    }
    finish(now, job, std::move(answer));
}

void ForwardEngine::Implementation::finish(TimePoint now, Job &job, ForwardAnswer answer)
{
    answer.m_caller = job.m_request->m_caller;
    ++m_statistics.m_answers[static_cast<std::size_t>(answer.m_kind)];
    const bool success = isSuccess(answer.m_status);
    m_statistics.m_successes += success ? 1 : 0;
    ForwardDecision decision;
    decision.m_event = "answer";
    decision.m_reason = answer.m_reason;
    decision.m_requestId = job.m_request->m_requestId;
    decision.m_route = job.m_route->m_name;
    decision.m_version = job.m_table->m_version;
    decision.m_age = now - job.m_arrived;
    decision.m_status = answer.m_status;
    decision.m_missing = job.m_parts.size() - job.m_done;
    decision.m_ordinary = success && decision.m_age <= job.m_route->m_latencyTarget;
    if (!success) {
        recordUnanswered(now, job);
    }
    m_output.record(decision);
    detachAttempts(now, job.m_id, std::nullopt);
    m_jobOfCaller.erase(answer.m_caller);
    const std::unordered_map<std::uint64_t, std::unique_ptr<Job>>::iterator found =
        m_jobs.find(job.m_id);
    // Callers of this function still hold the job, so it is destroyed at the end.
    const std::unique_ptr<Job> ended = std::move(found->second);
    m_jobs.erase(found);
    m_output.answer(answer);
}

void ForwardEngine::Implementation::recordDecision(TimePoint now, const Job &job, std::size_t part,
                                                   std::string_view event, std::string_view reason,
                                                   std::string_view target, int status) const
{
    ForwardDecision decision;
    decision.m_event = event;
    decision.m_reason = reason;
    decision.m_requestId = job.m_request->m_requestId;
    decision.m_route = job.m_route->m_name;
    decision.m_service = job.m_parts[part].m_service->m_name;
    decision.m_target = target;
    decision.m_version = job.m_table->m_version;
    decision.m_age = now - job.m_arrived;
    decision.m_status = status;
    decision.m_missing = job.m_parts.size() - job.m_done;
    m_output.record(decision);
}

} // namespace arbutusgrade
