#include "details/operations.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Share of the remaining time that the estimate may use; the rest covers estimation errors.
constexpr double usableTimeShare = 0.8;

//! Queue waits vary more than service times do.
constexpr double waitMarginFactor = 1.25;

//! Blocked entries to skip before the search of a queue stops. Entries may need a snapshot or
//! target without capacity while later ones can be sent.
constexpr int blockedEntryLimit = 4;

//! Interval at which a queue is retried even if no attempt ends and triggers dispatch.
constexpr Duration queueRetryInterval = std::chrono::milliseconds(20);

std::size_t clampPriority(int priority) noexcept
{
    return static_cast<std::size_t>(std::clamp(priority, 0, static_cast<int>(priorityCount) - 1));
}

//! Attempts that this node may have in flight at the usable targets of the service.
int serviceCapacity(const QueryEngine &engine, ServiceIndex service) noexcept
{
    int capacity = 0;
    for (const TargetIndex index : engine.m_table.m_services[service].m_targets) {
        const TargetState &target = engine.m_table.m_targets[index];
        if (acceptsWork(target) && !target.m_ejected) {
            capacity += inFlightLimit(engine.m_table, target);
        }
    }
    return capacity;
}

//! Expected queueing time of a sub-request behind the given number of others.
Duration expectedWait(const QueryEngine &engine, ServiceIndex service, std::size_t ahead) noexcept
{
    const int capacity = std::max(serviceCapacity(engine, service), 1);
    const double median =
        static_cast<double>(engine.m_table.m_services[service].m_latencies.m_p50.count());
    return Duration(static_cast<std::int64_t>(median * static_cast<double>(ahead) / capacity));
}

std::size_t queuedAhead(const ServiceQueue &queue, int priority) noexcept
{
    std::size_t ahead = 0;
    for (std::size_t level = clampPriority(priority); level < priorityCount; ++level) {
        ahead += queue.m_countByPriority[level];
    }
    return ahead;
}

bool shardMissesDeadline(const QueryEngine &engine, TimePoint now, const Request &request,
                         const SubRequest &shard)
{
    const std::size_t ahead = queuedAhead(engine.m_queues[shard.m_service], request.m_priority);
    if (ahead == 0) {
        return false;
    }
    const double wait =
        static_cast<double>(expectedWait(engine, shard.m_service, ahead + 1).count());
    const double work =
        static_cast<double>(engine.m_table.m_services[shard.m_service].m_latencies.m_p50.count());
    const double remaining = static_cast<double>((request.m_deadline - now).count());
    return wait * waitMarginFactor + work > remaining * usableTimeShare;
}

//! Refuses the request at the end of the queue if it is expected to miss its deadline.
void evictLastQueued(QueryEngine &engine, const Event &event, ServiceIndex service)
{
    const ServiceQueue &queue = engine.m_queues[service];
    if (queue.m_entries.empty()) {
        return;
    }
    const QueueEntry last = *queue.m_entries.rbegin();
    const Duration wait = expectedWait(engine, service, queue.m_entries.size());
    if (event.m_now + wait <= last.m_deadline) {
        return;
    }
    Request *request = findRequest(engine, last.m_request);
    if (request == nullptr || request->m_attemptsSent > 0) {
        // Attempts already sent would be wasted, so the request stays in the queue.
        return;
    }
    ++engine.m_statistics.m_evictions;
    if (hasMutant(engine, QueryMutant::LoseQueuedRequest)) {
        for (SubRequest &shard : request->m_shards) {
            dequeueShard(engine, *request, shard);
        }
        --engine.m_unansweredRequests;
        removeRequest(engine, *request);
        return;
    }
    if (request->m_mode == AnswerMode::Once) {
        refuseOnce(engine, event, *request, Reason::Overload);
        return;
    }
    answerWithoutEntries(engine, event, *request,
                         refusalOutcome(request->m_mode, request->m_caller.m_sendNumber, false),
                         Reason::Overload);
}

//! Dispatches one queued sub-request.
//! @return false if the entry is blocked.
bool dispatchQueueEntry(QueryEngine &engine, const Event &event, const QueueEntry &entry)
{
    Request *request = findRequest(engine, entry.m_request);
    if (request == nullptr) {
        return false;
    }
    if (repinUnsent(engine, *request)) {
        dispatchAll(engine, event, *request);
        return true;
    }
    SubRequest &shard = request->m_shards[entry.m_shard];
    if (mustAwaitProbe(engine, event.m_now, *request)) {
        dequeueShard(engine, *request, shard);
        dispatchShard(engine, event, *request, entry.m_shard);
        return true;
    }
    const SendResult result = trySendShard(engine, event, *request, entry.m_shard);
    if (result == SendResult::Busy) {
        return false;
    }
    if (result != SendResult::Sent) {
        dequeueShard(engine, *request, shard);
        dispatchShard(engine, event, *request, entry.m_shard);
    }
    return true;
}

} // namespace

bool missesDeadline(const QueryEngine &engine, TimePoint now, const Request &request)
{
    const std::size_t lateShards = static_cast<std::size_t>(
        std::count_if(request.m_shards.begin(), request.m_shards.end(),
                      [&engine, now, &request](const SubRequest &shard) {
                          return shardMissesDeadline(engine, now, request, shard);
                      }));
    if (request.m_mode == AnswerMode::BestByDeadline) {
        return lateShards * 2 > request.m_shards.size();
    }
    return lateShards > 0;
}

void enqueueShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    SubRequest &shard = request.m_shards[index];
    const ServiceIndex service = shard.m_service;
    ServiceQueue &queue = engine.m_queues[service];
    ++engine.m_queueSequence;
    shard.m_state = ShardState::Queued;
    shard.m_queueSequence = engine.m_queueSequence;
    queue.m_entries.insert(QueueEntry{request.m_priority, request.m_deadline, shard.m_queueSequence,
                                      request.m_key, index});
    ++queue.m_countByPriority[clampPriority(request.m_priority)];
    ++engine.m_statistics.m_queued;
    if (!queue.m_retryScheduled) {
        queue.m_retryScheduled = true;
        startTimer(engine, event.m_now + queueRetryInterval, TimerKind::QueueRetry, service);
    }
    evictLastQueued(engine, event, service);
}

void dequeueShard(QueryEngine &engine, const Request &request, SubRequest &shard)
{
    if (shard.m_queueSequence == 0) {
        return;
    }
    ServiceQueue &queue = engine.m_queues[shard.m_service];
    queue.m_entries.erase(QueueEntry{request.m_priority, request.m_deadline, shard.m_queueSequence,
                                     request.m_key, 0});
    --queue.m_countByPriority[clampPriority(request.m_priority)];
    --engine.m_statistics.m_queued;
    shard.m_queueSequence = 0;
}

void changeDeadline(QueryEngine &engine, Request &request, TimePoint deadline)
{
    for (const SubRequest &shard : request.m_shards) {
        if (shard.m_queueSequence == 0) {
            continue;
        }
        std::set<QueueEntry> &entries = engine.m_queues[shard.m_service].m_entries;
        const auto found = entries.find(QueueEntry{request.m_priority, request.m_deadline,
                                                   shard.m_queueSequence, request.m_key, 0});
        QueueEntry entry = *found;
        entries.erase(found);
        entry.m_deadline = deadline;
        entries.insert(entry);
    }
    request.m_deadline = deadline;
}

void dispatchQueued(QueryEngine &engine, const Event &event, ServiceIndex service)
{
    ServiceQueue &queue = engine.m_queues[service];
    int blocked = 0;
    std::optional<QueueEntry> after;
    while (blocked < blockedEntryLimit && !queue.m_entries.empty()) {
        const auto next = after ? queue.m_entries.upper_bound(*after) : queue.m_entries.begin();
        if (next == queue.m_entries.end()) {
            return;
        }
        const QueueEntry entry = *next;
        if (!dispatchQueueEntry(engine, event, entry)) {
            ++blocked;
        }
        after = entry;
    }
}

void retryServiceQueue(QueryEngine &engine, const Event &event, ServiceIndex service)
{
    engine.m_queues[service].m_retryScheduled = false;
    dispatchQueued(engine, event, service);
    ServiceQueue &queue = engine.m_queues[service];
    if (!queue.m_entries.empty() && !queue.m_retryScheduled) {
        queue.m_retryScheduled = true;
        startTimer(engine, event.m_now + queueRetryInterval, TimerKind::QueueRetry, service);
    }
}

} // namespace arbutusgrade
