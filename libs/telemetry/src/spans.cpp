#include <charconv>
#include <chrono>
#include <cstdio>

#include <boost/json/array.hpp>

#include "telemetry/telemetry.h"

namespace arbutusgrade {

namespace {

// Layout of version 00: 2 digits version, 32 trace id, 16 parent id, 2 flags, joined by '-'.
constexpr std::size_t traceparentLength = 55;

bool parseHex(std::string_view digits, std::uint64_t &value)
{
    for (const char digit : digits) {
        if ((digit < '0' || digit > '9') && (digit < 'a' || digit > 'f')) {
            return false;
        }
    }
    return std::from_chars(digits.data(), digits.data() + digits.size(), value, 16).ec
           == std::errc{};
}

std::string formatHex(std::uint64_t value)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::string unixNanoseconds(TimePoint time)
{
    const TimePoint steadyNow =
        std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    const std::chrono::system_clock::time_point wall =
        std::chrono::system_clock::now() - (steadyNow - time);
    return std::to_string(
        std::chrono::duration_cast<std::chrono::nanoseconds>(wall.time_since_epoch()).count());
}

boost::json::object stringAttribute(std::string_view key, std::string_view value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view header)
{
    if (header.size() < traceparentLength || header[2] != '-' || header[35] != '-'
        || header[52] != '-') {
        return std::nullopt;
    }
    const std::string_view version = header.substr(0, 2);
    // Later versions may append fields after another '-'; version ff is invalid.
    const bool longer = header.size() > traceparentLength;
    if (version == "ff" || (longer && (version == "00" || header[traceparentLength] != '-'))) {
        return std::nullopt;
    }
    TraceContext trace;
    std::uint64_t versionNumber = 0;
    std::uint64_t flags = 0;
    if (!parseHex(version, versionNumber) || !parseHex(header.substr(3, 16), trace.m_traceHigh)
        || !parseHex(header.substr(19, 16), trace.m_traceLow)
        || !parseHex(header.substr(36, 16), trace.m_parentSpan)
        || !parseHex(header.substr(53, 2), flags)) {
        return std::nullopt;
    }
    if ((trace.m_traceHigh == 0 && trace.m_traceLow == 0) || trace.m_parentSpan == 0) {
        return std::nullopt;
    }
    trace.m_sampled = (flags & 1U) != 0;
    return trace;
}

std::string formatTraceparent(const TraceContext &trace)
{
    return "00-" + formatTraceId(trace) + "-" + formatHex(trace.m_parentSpan)
           + (trace.m_sampled ? "-01" : "-00");
}

std::string formatTraceId(const TraceContext &trace)
{
    return formatHex(trace.m_traceHigh) + formatHex(trace.m_traceLow);
}

void writeSpan(Log &log, const RecordSpan &span)
{
    if (!span.m_exportAlways && !span.m_trace.m_sampled) {
        return;
    }
    boost::json::array attributes;
    if (!span.m_peer.empty()) {
        attributes.push_back(stringAttribute("peer.service", span.m_peer));
    }
    attributes.push_back(stringAttribute("arbutusgrade.status", span.m_status));
    const boost::json::object fields{{"traceId", formatTraceId(span.m_trace)},
                                     {"spanId", formatHex(span.m_span)},
                                     {"parentSpanId", span.m_trace.m_parentSpan == 0
                                                          ? std::string()
                                                          : formatHex(span.m_trace.m_parentSpan)},
                                     {"name", span.m_name},
                                     {"startTimeUnixNano", unixNanoseconds(span.m_start)},
                                     {"endTimeUnixNano", unixNanoseconds(span.m_end)},
                                     {"attributes", attributes}};
    log.write(LogLevel::Info, "span", span.m_name, fields);
}

} // namespace arbutusgrade
