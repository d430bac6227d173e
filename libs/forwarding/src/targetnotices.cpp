#include "details/enginestate.h"

namespace arbutusgrade {

void ForwardEngine::Implementation::recordNotices(TimePoint now, const Attempt &attempt,
                                                  const TargetReply &reply, bool isOtherProcess)
{
    if (!reply.m_isLeaving && !reply.m_refusalTime) {
        return;
    }
    const TargetPointer sender =
        isOtherProcess ? findOtherTargetAtAddress(m_registry, *attempt.m_target) : attempt.m_target;
    if (!sender) {
        return;
    }
    if (reply.m_refusalTime) {
        deferRequests(*sender, now, *reply.m_refusalTime);
        ++m_statistics.m_refusalTimes;
        recordNotice(now, attempt, *sender, "target-refuses");
    }
    if (reply.m_isLeaving && markLeaving(m_registry, *sender)) {
        ++m_statistics.m_leavingTargets;
        recordNotice(now, attempt, *sender, "target-leaving");
    }
}

void ForwardEngine::Implementation::recordNotice(TimePoint now, const Attempt &attempt,
                                                 const Target &target, std::string_view event)
{
    ForwardDecision decision;
    decision.m_event = event;
    decision.m_reason = "said-in-reply";
    decision.m_requestId = attempt.m_request->m_requestId;
    decision.m_service = target.m_entry.m_service;
    decision.m_target = target.m_entry.m_id;
    decision.m_sinceSent = now - attempt.m_sentAt;
    m_output.record(decision);
    failUnreachableQueue(now, serviceState(target.m_entry.m_service));
}

} // namespace arbutusgrade
