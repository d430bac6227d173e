#include <algorithm>

#include "requestworld.h"

namespace arbutusgrade::stress {

namespace {

constexpr std::size_t violationsKept = 10;
constexpr std::size_t traceLinesKept = 400;
constexpr Duration drainBound = Duration(3'000'000);
constexpr int quarantineBound = 2;
constexpr Duration noticeTravelTime = Duration(250'000);
constexpr double extraLoadShare = 0.10;
constexpr std::uint64_t extraLoadBurstPerStart = 60;

} // namespace

void RequestWorld::trace(const std::string &subject, const std::string &line)
{
    if (subject != m_options.m_subject || m_result.m_trace.size() >= traceLinesKept) {
        return;
    }
    const std::int64_t microseconds = m_queue.now().time_since_epoch().count();
    m_result.m_trace.push_back(std::to_string(microseconds) + " us: " + line);
}

void RequestWorld::traceNode(const std::string &line)
{
    if (!m_options.m_subject.empty()) {
        trace(m_options.m_subject, line);
    }
}

void RequestWorld::violate(const std::string &name, const std::string &detail,
                           const std::string &subject)
{
    trace(subject, "VIOLATION " + name + ": " + detail);
    if (m_result.m_violations.size() < violationsKept) {
        m_result.m_violations.push_back(Violation{name, detail, subject});
    }
}

bool RequestWorld::check(bool condition, const char *name, const std::string &detail,
                         const std::string &subject)
{
    ++m_result.m_checks;
    if (!condition) {
        violate(name, detail, subject);
    }
    return condition;
}

void RequestWorld::recordExecution(const TargetWork &work)
{
    const std::string &id = work.m_send.m_requestId;
    RequestTruth &truth = m_truth[id];
    ++truth.m_executions;
    const CallerId send = work.m_send.m_trace.m_traceLow;
    truth.m_executedSends.insert(send);
    ++m_executions;
    m_firstExecutions.insert(id + "#" + std::to_string(send) + "#" + work.m_send.m_service);
    trace(id, "execution starts at " + work.m_send.m_target);
    check(truth.m_idempotent || truth.m_executions <= 1, "at-most-once",
          "a non-idempotent request started twice", id);
    check(truth.m_refusedSends.count(send) == 0, "not-run-truth",
          "an attempt started after its request was refused as not run", id);
    const FakeTarget &place = target(work.m_send.m_target);
    const TimePoint knownBy = std::max(place.drainStart(), m_nodes[work.m_node].m_pausedUntil);
    const bool late = place.isDraining() && m_queue.now() - knownBy > drainBound;
    check(!late, "no-work-after-drain", "work started at a draining target after 3 s", id);
}

void RequestWorld::recordCrash(const TargetWork &work)
{
    RequestTruth &truth = m_truth[work.m_send.m_requestId];
    if (truth.m_lostTargets.empty()) {
        truth.m_firstLoss = m_queue.now();
    }
    truth.m_lostTargets.push_back(work.m_send.m_target);
    // What a killed node knew and had not yet shared is lost with it: one more target each. Two
    // nodes that run the request at the same time learn of each other's loss only when the notice
    // has come; a caller does that when it gives up a paused node and sends to another one.
    const std::ptrdiff_t kills =
        std::count_if(m_killTimes.begin(), m_killTimes.end(),
                      [&truth](TimePoint time) { return time >= truth.m_firstLoss; });
    const bool concurrent =
        truth.m_lastLossNode != work.m_node && m_queue.now() - truth.m_lastLoss <= noticeTravelTime;
    truth.m_concurrentLosses += concurrent || truth.m_concurrentLosses > 0 ? 1 : 0;
    truth.m_lastLoss = m_queue.now();
    truth.m_lastLossNode = work.m_node;
    // A node that was killed while its attempt travelled learns of no loss (seed 20261867).
    const bool orphaned = m_nodes[work.m_node].m_incarnation != work.m_nodeIncarnation;
    truth.m_orphanedLosses += orphaned ? 1 : 0;
    const std::size_t bound =
        static_cast<std::size_t>(quarantineBound + kills + truth.m_orphanedLosses
                                 + std::min(truth.m_concurrentLosses, quarantineBound));
    check(truth.m_lostTargets.size() <= bound, "quarantine-bound",
          std::to_string(truth.m_lostTargets.size()) + " targets lost to one request",
          work.m_send.m_requestId);
}

void RequestWorld::performAnswer(const CallerAnswer &answer)
{
    const std::map<CallerId, OpenCall>::iterator entry = m_open.find(answer.m_caller);
    addToDigest(m_result.m_digest, stableHash(answer.m_requestId));
    addToDigest(m_result.m_digest, static_cast<std::uint64_t>(answer.m_outcome));
    if (entry == m_open.end()) {
        check(answer.m_caller < m_nextCaller, "one-answer", "answer to a caller that never was",
              answer.m_requestId);
        return;
    }
    const OpenCall call = entry->second;
    m_open.erase(entry);
    trace(call.m_request.m_requestId, m_nodes[call.m_node].m_name + " answers "
                                          + std::string(outcomeName(answer.m_outcome)) + " ("
                                          + std::string(reasonName(answer.m_reason)) + ")");
    ++m_outcomes[call.m_request.m_kind + " " + std::string(outcomeName(answer.m_outcome))];
    checkAnswer(call, answer);
    const RequestTruth &truth = m_truth[call.m_request.m_requestId];
    const bool again =
        answer.m_outcome != Outcome::Complete && (truth.m_crashing || !truth.m_idempotent);
    if (again) {
        resend(call);
    }
}

void RequestWorld::checkAnswer(const OpenCall &call, const CallerAnswer &answer)
{
    const std::string &id = call.m_request.m_requestId;
    check(answer.m_requestId == id, "no-crossed-reply",
          "answer names request " + answer.m_requestId, id);
    RequestTruth &truth = m_truth[id];
    if (answer.m_outcome == Outcome::NotRun) {
        check(truth.m_executions == 0, "not-run-truth", "refused as not run, but it ran", id);
        truth.m_refusedSends.insert(call.m_request.m_caller);
    }
    if (answer.m_outcome == Outcome::Complete) {
        check(truth.m_executions > 0, "complete-truth", "complete, but nothing ran", id);
        check(answer.m_lacking.empty(), "coverage-exact", "complete with lacking shards", id);
    }
    if (answer.m_outcome == Outcome::Complete || answer.m_outcome == Outcome::Partial) {
        checkCoverage(call, answer);
        checkEntries(call, answer);
    }
    if (m_plan.m_calm) {
        check(answer.m_outcome == Outcome::Complete, "calm-complete",
              std::string(outcomeName(answer.m_outcome)) + " without any fault", id);
    }
}

std::set<std::string> RequestWorld::servicesOf(const std::string &kind,
                                               const CallerAnswer &answer) const
{
    std::set<std::string> services;
    if (kind == "order" || kind == "manual") {
        for (const ShardResult &shard : answer.m_included) {
            services.insert(shard.m_service);
        }
        return services;
    }
    const std::uint64_t epoch = answer.m_snapshot.value_or(Snapshot{}).m_epoch;
    for (const PartitioningSettings &partitioning : m_settings.m_groups.front().m_partitionings) {
        if (partitioning.m_epoch == epoch) {
            services.insert(partitioning.m_services.begin(), partitioning.m_services.end());
        }
    }
    return services;
}

void RequestWorld::checkCoverage(const OpenCall &call, const CallerAnswer &answer)
{
    const std::string &id = call.m_request.m_requestId;
    std::set<std::string> stated;
    bool repeated = false;
    for (const ShardResult &shard : answer.m_included) {
        repeated = repeated || !stated.insert(shard.m_service).second;
    }
    for (const LackingShard &shard : answer.m_lacking) {
        repeated = repeated || !stated.insert(shard.m_service).second;
    }
    check(!repeated, "coverage-exact", "a shard is listed twice", id);
    check(answer.m_snapshot.has_value(), "one-snapshot", "an answer without a snapshot", id);
    check(stated == servicesOf(call.m_request.m_kind, answer), "coverage-exact",
          "the shards stated are not the shards of the snapshot's epoch", id);
    check(!answer.m_included.empty(), "coverage-exact", "an answer without any shard", id);
}

void RequestWorld::checkEntries(const OpenCall &call, const CallerAnswer &answer)
{
    const std::string &id = call.m_request.m_requestId;
    const Snapshot snapshot = answer.m_snapshot.value_or(Snapshot{});
    for (const ShardResult &shard : answer.m_included) {
        check(shard.m_entries == makeEntries(id, shard.m_service, snapshot), "one-snapshot",
              "entries " + shard.m_entries + " in shard " + shard.m_service, id);
    }
}

void RequestWorld::checkExtraLoad()
{
    const std::uint64_t first = m_firstExecutions.size();
    const std::uint64_t extra = m_executions - first;
    // Each start of a node begins with full budgets for each of the three groups.
    const std::uint64_t starts = m_nodes.size() + m_killTimes.size();
    const double allowed = extraLoadShare * static_cast<double>(first)
                           + static_cast<double>(extraLoadBurstPerStart * starts);
    check(static_cast<double>(extra) <= allowed, "extra-load-budget",
          std::to_string(extra) + " extra executions on " + std::to_string(first), "run");
}

} // namespace arbutusgrade::stress
