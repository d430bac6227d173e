#include "details/decisionlog.h"

#include <boost/json/object.hpp>

namespace arbutusgrade {

namespace {

constexpr int maximumLinesPerSecond = 200;
constexpr std::uint64_t successSampleInterval = 64; //!< One of this many successes is logged.

// Ids come from callers and may be as long as their headers.
constexpr std::size_t maximumLoggedIdBytes = 128;

void addName(boost::json::object &fields, std::string_view field, std::string_view name)
{
    if (!name.empty()) {
        fields[field] = name;
    }
}

//! @brief Adds the fields that not every decision has.
void addDetails(boost::json::object &fields, const ForwardDecision &decision)
{
    if (decision.m_sinceSent) {
        fields["sinceSentMicroseconds"] = decision.m_sinceSent->count();
    }
    if (decision.m_status != 0) {
        fields["status"] = decision.m_status;
    }
    if (decision.m_missing > 0) {
        fields["missing"] = decision.m_missing;
    }
    if (decision.m_fingerprint) {
        fields["fingerprint"] = *decision.m_fingerprint;
    }
    if (decision.m_timeNeeded) {
        fields["timeNeededMicroseconds"] = decision.m_timeNeeded->count();
    }
    if (decision.m_timeUntilStop) {
        fields["timeUntilStopMicroseconds"] = decision.m_timeUntilStop->count();
    }
}

} // namespace

void DecisionLog::record(TimePoint now, const ForwardDecision &decision)
{
    if (decision.m_mayBeSampled && ++m_successes % successSampleInterval != 1) {
        return;
    }
    if (!admitLine(now)) {
        return;
    }
    boost::json::object fields;
    fields["request"] = std::string_view(decision.m_requestId).substr(0, maximumLoggedIdBytes);
    fields["reason"] = decision.m_reason;
    addName(fields, "route", decision.m_route);
    addName(fields, "service", decision.m_service);
    addName(fields, "target", decision.m_target);
    addName(fields, "organisation", decision.m_organisation);
    addName(fields, "keyHash", decision.m_keyHash);
    addName(fields, "coordinator", decision.m_coordinator);
    fields["version"] = decision.m_version;
    fields["ageMicroseconds"] = decision.m_age.count();
    addDetails(fields, decision);
    m_log.write(LogLevel::Info, decision.m_event, "", fields);
}

void DecisionLog::reportDropped(TimePoint now)
{
    if (m_unreportedDrops == 0 || now - m_windowStart < std::chrono::seconds(1)) {
        return;
    }
    m_log.write(LogLevel::Warning, "log-lines-dropped",
                "decisions above the log rate limit were not logged",
                {{"lines", m_unreportedDrops}});
    m_unreportedDrops = 0;
}

bool DecisionLog::admitLine(TimePoint now)
{
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        m_windowStart = now;
        m_linesInWindow = 0;
    }
    if (m_linesInWindow >= maximumLinesPerSecond) {
        ++m_unreportedDrops;
        ++m_droppedLines;
        return false;
    }
    ++m_linesInWindow;
    return true;
}

} // namespace arbutusgrade
