#include "details/admission.h"

#include <memory>
#include <utility>

namespace arbutusgrade {

namespace {

bool wasNotRun(AnswerKind kind)
{
    return kind == AnswerKind::Refused || kind == AnswerKind::Quarantined
           || kind == AnswerKind::NoRoute;
}

//! @brief Returns the request with the time that it was held, from which its times are counted.
ForwardRequestPointer withTimeHeld(const ForwardRequestPointer &request, Duration held)
{
    if (held <= Duration::zero()) {
        return request;
    }
    const std::shared_ptr<ForwardRequest> copy = std::make_shared<ForwardRequest>(*request);
    copy->m_timeHeld = held;
    return copy;
}

} // namespace

void Admission::submit(TimePoint now, const ForwardRequestPointer &request)
{
    if (request->m_organisation.empty() || !m_gate.isActive()) {
        m_output.forward(now, request);
        return;
    }
    const std::uint64_t caller = request->m_caller;
    m_waiting[caller] = Waiting{request, now};
    const QuotaDecision decision = m_gate.admit(now, request->m_organisation, caller);
    if (decision.m_verdict != QuotaVerdict::Pending) {
        decided(now, caller, decision);
    }
}

void Admission::decided(TimePoint now, std::uint64_t request, const QuotaDecision &decision)
{
    const std::unordered_map<std::uint64_t, Waiting>::iterator found = m_waiting.find(request);
    if (found == m_waiting.end()) {
        return;
    }
    const Waiting waiting = std::move(found->second);
    m_waiting.erase(found);
    if (decision.m_verdict != QuotaVerdict::Admitted) {
        m_output.refuse(waiting.m_request, decision);
        return;
    }
    m_tokens[request] = waiting.m_request->m_organisation;
    m_output.forward(now, withTimeHeld(waiting.m_request, now - waiting.m_arrived));
}

void Admission::answered(TimePoint now, std::uint64_t request, AnswerKind kind)
{
    const std::unordered_map<std::uint64_t, std::string>::iterator found = m_tokens.find(request);
    if (found == m_tokens.end()) {
        return;
    }
    const std::string organisation = std::move(found->second);
    m_tokens.erase(found);
    if (wasNotRun(kind)) {
        m_gate.returnToken(now, organisation);
    }
}

bool Admission::callerDisconnected(std::uint64_t request)
{
    m_tokens.erase(request);
    if (m_waiting.erase(request) == 0) {
        return false;
    }
    m_gate.cancel(request);
    return true;
}

} // namespace arbutusgrade
