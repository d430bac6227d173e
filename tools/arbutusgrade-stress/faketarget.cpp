#include "faketarget.h"

#include <algorithm>
#include <utility>

namespace arbutusgrade::stress {

namespace {

constexpr Duration restartTime = Duration(800'000);
constexpr Duration coldStartPenalty = Duration(20'000);
constexpr std::size_t longestQueue = 12;

std::string snapshotText(const Snapshot &snapshot)
{
    return std::to_string(snapshot.m_epoch) + "." + std::to_string(snapshot.m_version);
}

} // namespace

std::string makeEntries(const std::string &requestId, const std::string &service,
                        const Snapshot &snapshot)
{
    return "[\"" + requestId + " " + service + " " + snapshotText(snapshot) + "\"]";
}

bool isCrashingPayload(const std::string &payload)
{
    return payload.find("\"crash\":true") != std::string::npos;
}

FakeTarget::FakeTarget(std::string name, std::string service, int slots, EventQueue &queue,
                       RandomGenerator &random, const TargetFaults &faults, Hooks hooks)
    : m_name(std::move(name)), m_service(std::move(service)), m_slots(slots), m_queue(queue),
      m_random(random), m_faults(faults), m_hooks(std::move(hooks))
{
}

std::string FakeTarget::startId() const
{
    return m_name + "#" + std::to_string(m_startCount);
}

bool FakeTarget::chance(double probability)
{
    return nextRandomUnit(m_random) < probability;
}

bool FakeTarget::holds(const Snapshot &snapshot) const
{
    return std::find(m_holdings.begin(), m_holdings.end(), snapshot) != m_holdings.end();
}

void FakeTarget::holdSnapshot(const Snapshot &snapshot, std::size_t keep)
{
    if (holds(snapshot)) {
        return;
    }
    m_holdings.push_back(snapshot);
    std::sort(m_holdings.begin(), m_holdings.end());
    if (m_holdings.size() > keep) {
        m_holdings.erase(m_holdings.begin());
    }
}

void FakeTarget::setFrozen(bool frozen)
{
    m_frozen = frozen;
    startQueued();
}

void FakeTarget::beginDrain()
{
    if (m_draining) {
        return;
    }
    m_draining = true;
    m_acceptsWhileDraining = chance(0.5);
    m_drainStart = m_queue.now();
}

AttemptReply FakeTarget::makeReply(const TargetWork &work, AttemptStatus status) const
{
    AttemptReply reply;
    reply.m_attempt = work.m_send.m_attempt;
    reply.m_requestId = work.m_send.m_requestId;
    reply.m_service = work.m_send.m_service;
    reply.m_status = status;
    reply.m_holdings = m_holdings;
    reply.m_load =
        TargetLoad{static_cast<int>(m_running.size()), static_cast<int>(m_waiting.size()), m_slots};
    reply.m_draining = m_draining;
    reply.m_startId = startId();
    return reply;
}

void FakeTarget::refuse(const TargetWork &work, AttemptStatus status)
{
    reply(work, makeReply(work, status));
}

void FakeTarget::receive(const TargetWork &work)
{
    AttemptResult lost;
    lost.m_work = work;
    if (!m_up || chance(m_faults.m_refuseConnect)) {
        lost.m_failure = AttemptFailure::NotSent;
        m_hooks.m_deliver(lost, Duration(500));
        return;
    }
    if (m_draining && !m_acceptsWhileDraining) {
        refuse(work, AttemptStatus::Draining);
        return;
    }
    if (work.m_send.m_snapshot.has_value() && !holds(*work.m_send.m_snapshot)
        && !chance(m_faults.m_wrongSnapshot)) {
        refuse(work, AttemptStatus::SnapshotGone);
        return;
    }
    if (m_frozen) {
        m_waiting.push_back(work);
        return;
    }
    if (m_running.size() < static_cast<std::size_t>(m_slots)) {
        start(work);
        return;
    }
    if (m_waiting.size() >= longestQueue) {
        refuse(work, AttemptStatus::Shed);
        return;
    }
    m_waiting.push_back(work);
}

void FakeTarget::cancel(AttemptId attempt, std::size_t node)
{
    if (m_frozen) {
        return;
    }
    const auto work = std::find_if(
        m_waiting.begin(), m_waiting.end(), [attempt, node](const TargetWork &candidate) {
            return candidate.m_send.m_attempt == attempt && candidate.m_node == node;
        });
    if (work == m_waiting.end()) {
        return;
    }
    const TargetWork cancelled = *work;
    m_waiting.erase(work);
    refuse(cancelled, AttemptStatus::Shed);
}

void FakeTarget::start(const TargetWork &work)
{
    m_hooks.m_started(work);
    m_running.push_back(work);
    if (isCrashingPayload(*work.m_send.m_payload)) {
        m_hooks.m_crashed(work);
        crash();
        return;
    }
    Duration time(2000 + static_cast<std::int64_t>(nextRandomBelow(m_random, 4000)));
    if (chance(m_faults.m_straggle)) {
        time *= 20;
    }
    if (m_startCount > 1 && chance(0.1)) {
        time += coldStartPenalty;
    }
    const std::uint64_t startCount = m_startCount;
    m_queue.schedule(m_queue.now() + time,
                     [this, work, startCount]() { finish(work, startCount); });
}

void FakeTarget::finish(const TargetWork &work, std::uint64_t startCount)
{
    if (startCount != m_startCount || !m_up) {
        return;
    }
    const std::vector<TargetWork>::iterator end = m_running.end();
    m_running.erase(std::remove_if(m_running.begin(), end,
                                   [&work](const TargetWork &other) {
                                       return other.m_sequence == work.m_sequence;
                                   }),
                    end);
    if (chance(m_faults.m_error)) {
        reply(work, makeReply(work, AttemptStatus::Error));
    } else {
        AttemptReply answer = makeReply(work, AttemptStatus::Ok);
        const Snapshot newest = m_holdings.back();
        const Snapshot asked = work.m_send.m_snapshot.value_or(newest);
        answer.m_snapshot = holds(asked) ? asked : newest;
        answer.m_entries =
            makeEntries(work.m_send.m_requestId, work.m_send.m_service, answer.m_snapshot);
        reply(work, std::move(answer));
    }
    startQueued();
}

void FakeTarget::startQueued()
{
    while (!m_frozen && m_up && !m_waiting.empty()
           && m_running.size() < static_cast<std::size_t>(m_slots)) {
        const TargetWork work = m_waiting.front();
        m_waiting.pop_front();
        if (work.m_send.m_deadline < m_queue.now()) {
            refuse(work, AttemptStatus::Shed);
            continue;
        }
        start(work);
    }
}

void FakeTarget::reply(const TargetWork &work, AttemptReply answer)
{
    AttemptResult result;
    result.m_work = work;
    if (chance(m_faults.m_loseReply)) {
        result.m_failure = AttemptFailure::ConnectionLost;
        m_hooks.m_deliver(result, Duration(1000));
        return;
    }
    result.m_replied = true;
    result.m_reply = std::move(answer);
    Duration delay(500 + static_cast<std::int64_t>(nextRandomBelow(m_random, 1000)));
    if (chance(m_faults.m_delayReply)) {
        delay += Duration(static_cast<std::int64_t>(nextRandomBelow(m_random, 1'000'000)));
    }
    if (chance(m_faults.m_duplicate)) {
        m_hooks.m_deliver(result, delay + Duration(nextRandomBelow(m_random, 300'000)));
    }
    if (chance(m_faults.m_cross)) {
        AttemptResult crossed = result;
        crossed.m_reply.m_requestId = "crossed-" + result.m_reply.m_requestId;
        crossed.m_reply.m_entries = "[\"entries of another request\"]";
        m_hooks.m_deliver(crossed, delay);
    }
    m_hooks.m_deliver(result, delay);
}

void FakeTarget::crash()
{
    std::vector<TargetWork> lost = std::move(m_running);
    lost.insert(lost.end(), m_waiting.begin(), m_waiting.end());
    m_running.clear();
    m_waiting.clear();
    m_up = false;
    m_draining = false;
    m_drainStart = farFuture;
    ++m_startCount;
    for (const TargetWork &work : lost) {
        AttemptResult result;
        result.m_work = work;
        result.m_failure = AttemptFailure::ConnectionLost;
        m_hooks.m_deliver(result, Duration(500));
    }
    m_queue.schedule(m_queue.now() + restartTime, [this]() { m_up = true; });
}

} // namespace arbutusgrade::stress
