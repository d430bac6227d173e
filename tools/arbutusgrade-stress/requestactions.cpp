#include <algorithm>
#include <utility>

#include "requestworld.h"

namespace arbutusgrade::stress {

namespace {

constexpr Duration connectionCloseAfterCancel = Duration(150'000);

} // namespace

void RequestWorld::performActions(std::size_t index, const ActionList &actions)
{
    for (const Action &action : actions) {
        if (const SendAttempt *send = std::get_if<SendAttempt>(&action)) {
            performSend(index, *send);
        } else if (const CancelAttempt *cancel = std::get_if<CancelAttempt>(&action)) {
            performCancel(index, *cancel);
        } else if (const CallStore *call = std::get_if<CallStore>(&action)) {
            performStoreCall(index, *call);
        } else if (const AnswerCaller *answer = std::get_if<AnswerCaller>(&action)) {
            performAnswer(answer->m_answer);
        } else {
            shareWithPeers(index, action);
        }
    }
}

void RequestWorld::performSend(std::size_t index, const SendAttempt &send)
{
    SimulatedNode &node = m_nodes[index];
    addToDigest(m_result.m_digest, m_targetIndex.at(send.m_target));
    addToDigest(m_result.m_digest,
                static_cast<std::uint64_t>(m_queue.now().time_since_epoch().count()));
    const bool fresh = node.m_inFlight.emplace(send.m_attempt, send.m_target).second;
    check(fresh, "attempt-id-unique", "an attempt id was used twice", send.m_requestId);
    const int inUse = ++m_connectionsInUse[send.m_target];
    check(inUse <= m_connectionLimits[send.m_target], "connection-limit",
          std::to_string(inUse) + " connections at " + send.m_target, send.m_requestId);
    trace(send.m_requestId, node.m_name + " sends attempt " + std::to_string(send.m_attempt)
                                + " to " + send.m_target);
    TargetWork work;
    work.m_send = send;
    work.m_node = index;
    work.m_nodeIncarnation = node.m_incarnation;
    work.m_sequence = m_nextWork;
    ++m_nextWork;
    const Duration travel(500 + static_cast<std::int64_t>(nextRandomBelow(m_random, 1000)));
    m_queue.schedule(m_queue.now() + travel,
                     [this, work]() { target(work.m_send.m_target).receive(work); });
}

void RequestWorld::performCancel(std::size_t index, const CancelAttempt &cancel)
{
    const AttemptId attempt = cancel.m_attempt;
    const std::string name = cancel.m_target;
    m_queue.schedule(m_queue.now() + Duration(700),
                     [this, index, attempt, name]() { target(name).cancel(attempt, index); });
    const std::uint64_t incarnation = m_nodes[index].m_incarnation;
    m_queue.schedule(m_queue.now() + connectionCloseAfterCancel,
                     [this, index, attempt, incarnation]() {
                         if (m_nodes[index].m_incarnation == incarnation) {
                             releaseConnection(index, attempt);
                         }
                     });
}

void RequestWorld::deliverAttemptResult(const AttemptResult &result, Duration delay)
{
    m_queue.schedule(m_queue.now() + delay, [this, result]() { endAttempt(result); });
}

void RequestWorld::releaseConnection(std::size_t node, AttemptId attempt)
{
    std::map<AttemptId, std::string> &inFlight = m_nodes[node].m_inFlight;
    const std::map<AttemptId, std::string>::iterator entry = inFlight.find(attempt);
    if (entry == inFlight.end()) {
        return;
    }
    --m_connectionsInUse[entry->second];
    inFlight.erase(entry);
}

// Duplicated and crossed replies are passed on like the first one, as the core has to drop them.
// The connection is free after any reply, because a node closes one whose reply does not match.
void RequestWorld::endAttempt(const AttemptResult &result)
{
    const std::size_t index = result.m_work.m_node;
    const AttemptId attempt = result.m_work.m_send.m_attempt;
    if (result.m_work.m_nodeIncarnation != m_nodes[index].m_incarnation) {
        return;
    }
    const bool open = m_nodes[index].m_inFlight.count(attempt) > 0;
    if (!result.m_replied && !open) {
        return;
    }
    deliverToNode(
        index, result.m_work.m_nodeIncarnation,
        [this, index, attempt, result](QueryEngine &engine, TimePoint now, ActionList &actions) {
            releaseConnection(index, attempt);
            if (result.m_replied) {
                handleAttemptReply(engine, now, result.m_work.m_send.m_target, result.m_reply,
                                   actions);
            } else {
                handleAttemptFailure(engine, now, attempt, result.m_failure, actions);
            }
        });
}

void RequestWorld::performStoreCall(std::size_t index, const CallStore &call)
{
    const std::uint64_t incarnation = m_nodes[index].m_incarnation;
    const bool callLost = m_storeDownUntil > m_queue.now() || chance(m_plan.m_storeLoseCall);
    const bool replyLost = chance(m_plan.m_storeLoseReply);
    const Duration travel(static_cast<std::int64_t>(
        nextRandomBelow(m_random, static_cast<std::uint64_t>(m_storeDelay.count()))));
    StoreReply unavailable;
    unavailable.m_call = call.m_call;
    const auto answer = [this, index, incarnation](const StoreReply &reply) {
        deliverToNode(index, incarnation,
                      [reply](QueryEngine &engine, TimePoint now, ActionList &actions) {
                          handleStoreReply(engine, now, reply, actions);
                      });
    };
    if (callLost || replyLost) {
        // A connection that breaks is noticed at once, a silent store at the deadline only.
        const TimePoint noticed = chance(0.5) ? m_queue.now() + travel + travel : call.m_deadline;
        m_queue.schedule(noticed, [answer, unavailable]() { answer(unavailable); });
    }
    if (callLost) {
        return;
    }
    m_queue.schedule(m_queue.now() + travel, [this, call, answer, replyLost, travel]() {
        const StoreReply reply = applyStoreCall(m_store, call);
        if (!replyLost) {
            m_queue.schedule(m_queue.now() + travel, [answer, reply]() { answer(reply); });
        }
    });
}

void RequestWorld::shareWithPeers(std::size_t index, const Action &action)
{
    NodeEvent event;
    if (const AnnounceDrain *drain = std::get_if<AnnounceDrain>(&action)) {
        TargetObservation observation;
        observation.m_target = drain->m_target;
        observation.m_draining = true;
        event = [observation](QueryEngine &engine, TimePoint now, ActionList &actions) {
            observeTarget(engine, now, observation, actions);
        };
    } else if (const AnnounceQuarantine *share = std::get_if<AnnounceQuarantine>(&action)) {
        const QuarantineNotice notice = share->m_notice;
        m_notices.push_back(notice);
        event = [notice](QueryEngine &engine, TimePoint now, ActionList &actions) {
            observeQuarantine(engine, now, notice, actions);
        };
    } else {
        return;
    }
    for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
        if (peer == index) {
            continue;
        }
        const std::uint64_t incarnation = m_nodes[peer].m_incarnation;
        const Duration delay(50'000
                             + static_cast<std::int64_t>(nextRandomBelow(m_random, 150'000)));
        m_queue.schedule(m_queue.now() + delay, [this, peer, incarnation, event]() {
            deliverToNode(peer, incarnation, event);
        });
    }
}

} // namespace arbutusgrade::stress
