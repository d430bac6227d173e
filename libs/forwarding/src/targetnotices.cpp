#include "details/enginestate.h"

namespace arbutusgrade {

void ForwardEngine::Implementation::recordNotices(TimePoint now, const Attempt &attempt,
                                                  const TargetReply &reply, bool isOtherProcess)
{
    if (!reply.m_isLeaving) {
        return;
    }
    const TargetPointer sender =
        isOtherProcess ? findOtherTargetAtAddress(m_registry, *attempt.m_target) : attempt.m_target;
    if (sender) {
        recordLeaving(now, attempt, *sender);
    }
}

void ForwardEngine::Implementation::recordLeaving(TimePoint now, const Attempt &attempt,
                                                  Target &target)
{
    if (!markLeaving(m_registry, target)) {
        return;
    }
    ++m_statistics.m_leavingTargets;
    ForwardDecision decision;
    decision.m_event = "target-leaving";
    decision.m_reason = "said-in-reply";
    decision.m_requestId = attempt.m_request->m_requestId;
    decision.m_service = target.m_entry.m_service;
    decision.m_target = target.m_entry.m_id;
    decision.m_sinceSent = now - attempt.m_sentAt;
    m_output.record(decision);
    failUnreachableQueue(now, serviceState(target.m_entry.m_service));
}

} // namespace arbutusgrade
