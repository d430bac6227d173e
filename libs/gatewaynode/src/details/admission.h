#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "forwarding/forwarding.h"
#include "quota/quota.h"

namespace arbutusgrade {

//! @brief Decides whether a request is within the quota of its organisation.
class QuotaGate
{
public:
    QuotaGate() = default;
    virtual ~QuotaGate() = default;
    QuotaGate(const QuotaGate &) = delete;
    QuotaGate &operator=(const QuotaGate &) = delete;

    //! @brief False if no organisation has a quota.
    virtual bool isActive() const = 0;

    //! @brief Decides on a request. A pending decision is reported to Admission::decided(), maybe
    //! before the function returns.
    virtual QuotaDecision admit(TimePoint now, std::string_view organisation,
                                std::uint64_t request) = 0;
    virtual void cancel(std::uint64_t request) = 0;
    virtual void returnToken(TimePoint now, std::string_view organisation) = 0;
};

//! @brief Receives the requests that Admission has decided on.
class AdmissionOutput
{
public:
    AdmissionOutput() = default;
    virtual ~AdmissionOutput() = default;
    AdmissionOutput(const AdmissionOutput &) = delete;
    AdmissionOutput &operator=(const AdmissionOutput &) = delete;

    virtual void forward(TimePoint now, const ForwardRequestPointer &request) = 0;

    //! @param decision Exhausted or Undecided.
    virtual void refuse(const ForwardRequestPointer &request, const QuotaDecision &decision) = 0;
};

//! @brief Passes requests within the quota of their organisation on to the engine, holds those that
//! wait for a decision, and gives tokens back for requests that are not run.
class Admission
{
public:
    Admission(QuotaGate &gate, AdmissionOutput &output) : m_gate(gate), m_output(output) { }

    void submit(TimePoint now, const ForwardRequestPointer &request);

    //! @brief Ends the wait of a request; ignored if it does not wait.
    void decided(TimePoint now, std::uint64_t request, const QuotaDecision &decision);

    //! @brief Reports the engine's answer to a request.
    void answered(TimePoint now, std::uint64_t request, AnswerKind kind);

    //! @brief Forgets a request.
    //! @return true if it waited, so that the engine does not know it.
    bool callerDisconnected(std::uint64_t request);

    std::size_t waitingRequests() const
    {
        return m_waiting.size();
    }

private:
    struct Waiting
    {
        ForwardRequestPointer m_request;
        TimePoint m_arrived;
    };

    QuotaGate &m_gate;
    AdmissionOutput &m_output;
    std::unordered_map<std::uint64_t, Waiting> m_waiting;    //!< By caller.
    std::unordered_map<std::uint64_t, std::string> m_tokens; //!< Organisation, by caller.
};

} // namespace arbutusgrade
