#include "details/decisionlog.h"

#include <boost/json/object.hpp>

namespace arbutusgrade {

namespace {

constexpr int linesPerSecond = 200;
constexpr std::uint64_t ordinarySample = 64; //!< One in so many ordinary successes is written.

} // namespace

void DecisionLog::record(TimePoint now, const ForwardDecision &decision)
{
    if (decision.m_ordinary && ++m_ordinary % ordinarySample != 1) {
        return;
    }
    if (!takeToken(now)) {
        return;
    }
    boost::json::object fields;
    fields["request"] = decision.m_requestId;
    fields["reason"] = decision.m_reason;
    if (!decision.m_route.empty()) {
        fields["route"] = decision.m_route;
    }
    if (!decision.m_service.empty()) {
        fields["service"] = decision.m_service;
    }
    if (!decision.m_target.empty()) {
        fields["target"] = decision.m_target;
    }
    fields["version"] = decision.m_version;
    fields["ageMicroseconds"] = decision.m_age.count();
    if (decision.m_status != 0) {
        fields["status"] = decision.m_status;
    }
    if (decision.m_missing > 0) {
        fields["missing"] = decision.m_missing;
    }
    m_log.write(LogLevel::Info, decision.m_event, "", fields);
}

void DecisionLog::reportDropped(TimePoint now)
{
    if (m_dropped == 0 || now - m_second < std::chrono::seconds(1)) {
        return;
    }
    m_log.write(LogLevel::Warning, "log-lines-dropped",
                "decisions beyond the bound were not logged", {{"lines", m_dropped}});
    m_dropped = 0;
}

bool DecisionLog::takeToken(TimePoint now)
{
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_linesInSecond = 0;
    }
    if (m_linesInSecond >= linesPerSecond) {
        ++m_dropped;
        ++m_droppedTotal;
        return false;
    }
    ++m_linesInSecond;
    return true;
}

} // namespace arbutusgrade
