#include "details/targetmessages.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>

#include "jsonreader/jsonreader.h"

namespace arbutusgrade {

namespace json = boost::json;

namespace {

// Replies without large entries are parsed without any allocation.
constexpr std::size_t parseBufferBytes = 16 * 1024;

void appendNumber(std::string &text, std::uint64_t value)
{
    std::array<char, 20> digits{};
    const std::to_chars_result result =
        std::to_chars(digits.data(), digits.data() + digits.size(), value);
    text.append(digits.data(), result.ptr);
}

void appendJsonString(std::string &text, std::string_view value)
{
    text += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            text += '\\';
            text += character;
        } else if (static_cast<unsigned char>(character) < 0x20) {
            std::array<char, 8> escape{};
            std::snprintf(escape.data(), escape.size(), "\\u%04x",
                          static_cast<unsigned>(static_cast<unsigned char>(character)));
            text += escape.data();
        } else {
            text += character;
        }
    }
    text += '"';
}

void appendHex(std::string &text, std::uint64_t value)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    for (int shift = 60; shift >= 0; shift -= 4) {
        text += digits[(value >> shift) & 0xFU];
    }
}

void appendTraceparent(std::string &text, const TraceContext &trace)
{
    if (trace.m_traceHigh == 0 && trace.m_traceLow == 0) {
        return;
    }
    text += "traceparent: 00-";
    appendHex(text, trace.m_traceHigh);
    appendHex(text, trace.m_traceLow);
    text += '-';
    appendHex(text, trace.m_parentSpan);
    text += trace.m_sampled ? "-01\r\n" : "-00\r\n";
}

//! @brief Writes the content length into the blanks left for it; a value may start with blanks.
void fillContentLength(std::string &text, std::size_t position, std::size_t length)
{
    std::array<char, 20> digits{};
    const std::to_chars_result result =
        std::to_chars(digits.data(), digits.data() + digits.size(), length);
    std::copy(digits.data(), result.ptr, text.begin() + static_cast<std::ptrdiff_t>(position));
}

const json::value *find(const json::object &object, std::string_view key)
{
    return object.if_contains(key);
}

std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *value = find(object, key);
    if (value == nullptr || !value->is_string()) {
        return {};
    }
    return std::string(value->get_string());
}

bool isTrue(const json::object &object, std::string_view key)
{
    const json::value *value = find(object, key);
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::optional<std::uint64_t> numberOf(const json::value *value)
{
    if (value == nullptr) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const std::uint64_t number = value->to_number<std::uint64_t>(error);
    if (error) {
        return std::nullopt;
    }
    return number;
}

std::optional<Snapshot> snapshotOf(const json::value *value)
{
    if (value == nullptr || !value->is_object()) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> epoch = numberOf(find(value->get_object(), "epoch"));
    const std::optional<std::uint64_t> version = numberOf(find(value->get_object(), "version"));
    if (!epoch || !version) {
        return std::nullopt;
    }
    return Snapshot{*epoch, *version};
}

std::vector<Snapshot> holdingsOf(const json::object &object)
{
    std::vector<Snapshot> holdings;
    const json::value *list = find(object, "holdings");
    if (list == nullptr || !list->is_array()) {
        return holdings;
    }
    for (const json::value &item : list->get_array()) {
        if (const std::optional<Snapshot> snapshot = snapshotOf(&item)) {
            holdings.push_back(*snapshot);
        }
    }
    return holdings;
}

std::optional<TargetLoad> loadOf(const json::object &object)
{
    const json::value *load = find(object, "load");
    if (load == nullptr || !load->is_object()) {
        return std::nullopt;
    }
    const json::object &fields = load->get_object();
    const std::optional<std::uint64_t> running = numberOf(find(fields, "running"));
    const std::optional<std::uint64_t> queued = numberOf(find(fields, "queued"));
    const std::optional<std::uint64_t> slots = numberOf(find(fields, "slots"));
    constexpr std::uint64_t limit = 1'000'000;
    return TargetLoad{static_cast<int>(std::min(running.value_or(0), limit)),
                      static_cast<int>(std::min(queued.value_or(0), limit)),
                      static_cast<int>(std::min(slots.value_or(0), limit))};
}

//! @brief Status by HTTP status and status text; empty if they do not go together.
std::optional<AttemptStatus> statusOf(int httpStatus, const json::object &object)
{
    const std::string name = textOf(object, "status");
    // Only the explicit word of the target that it did not start allows another send.
    const bool notStarted = isTrue(object, "notStarted");
    if (httpStatus == 200 && name == "ok") {
        return AttemptStatus::Ok;
    }
    if (httpStatus == 503 && name == "shed" && notStarted) {
        return AttemptStatus::Shed;
    }
    if (httpStatus == 503 && name == "draining" && notStarted) {
        return AttemptStatus::Draining;
    }
    if (httpStatus == 409 && name == "snapshot-gone" && notStarted) {
        return AttemptStatus::SnapshotGone;
    }
    if (httpStatus >= 500) {
        return AttemptStatus::Error;
    }
    return std::nullopt;
}

//! @brief Takes the entries as the target wrote them, which is cheaper than writing them anew.
bool takeEntries(const json::object &object, std::string_view body, std::string &entries)
{
    const json::value *value = find(object, "entries");
    if (value == nullptr || !value->is_array()) {
        return false;
    }
    entries = findJsonMember(body, "entries");
    return entries.starts_with('[');
}

} // namespace

void writeExecuteRequest(std::string &text, std::string_view host, const SendAttempt &attempt,
                         TimePoint now)
{
    static constexpr std::string_view blankLength = "        ";
    text.clear();
    text += "POST /v1/execute HTTP/1.1\r\nHost: ";
    text += host;
    text += "\r\nContent-Type: application/json\r\n";
    appendTraceparent(text, attempt.m_trace);
    text += "Content-Length: ";
    const std::size_t lengthPosition = text.size();
    text += blankLength;
    text += "\r\n\r\n";
    const std::size_t bodyStart = text.size();
    text += R"({"attemptId":)";
    appendNumber(text, attempt.m_attempt);
    text += R"(,"requestId":)";
    appendJsonString(text, attempt.m_requestId);
    text += R"(,"shard":)";
    appendJsonString(text, attempt.m_service);
    if (attempt.m_snapshot) {
        text += R"(,"epoch":)";
        appendNumber(text, attempt.m_snapshot->m_epoch);
        text += R"(,"version":)";
        appendNumber(text, attempt.m_snapshot->m_version);
    }
    const std::int64_t remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(attempt.m_deadline - now).count();
    text += R"(,"deadlineMs":)";
    appendNumber(text, static_cast<std::uint64_t>(std::max<std::int64_t>(remaining, 1)));
    text += attempt.m_idempotent ? R"(,"idempotent":true,"payload":)"
                                 : R"(,"idempotent":false,"payload":)";
    text += attempt.m_payload ? *attempt.m_payload : "null";
    text += '}';
    fillContentLength(text, lengthPosition, text.size() - bodyStart);
}

std::string cancelRequest(std::string_view host, AttemptId attempt, std::string_view requestId)
{
    // Attempt ids are unique for one node only; the request id tells those of other nodes apart.
    std::string body = R"({"attemptId":)" + std::to_string(attempt) + R"(,"requestId":)";
    appendJsonString(body, requestId);
    body += '}';
    return "POST /v1/cancel HTTP/1.1\r\nHost: " + std::string(host)
           + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

std::string getRequest(std::string_view host, std::string_view path)
{
    return "GET " + std::string(path) + " HTTP/1.1\r\nHost: " + std::string(host) + "\r\n\r\n";
}

std::optional<AttemptReply> parseExecuteReply(const ReplyContent &reply)
{
    std::array<unsigned char, parseBufferBytes> buffer;
    json::monotonic_resource resource(buffer.data(), buffer.size());
    boost::system::error_code error;
    const json::value document = json::parse(reply.m_body, error, &resource);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    const json::object &object = document.get_object();
    const std::optional<std::uint64_t> attempt = numberOf(find(object, "attemptId"));
    const std::optional<AttemptStatus> status = statusOf(reply.m_status, object);
    if (!attempt || !status) {
        return std::nullopt;
    }
    AttemptReply parsed;
    parsed.m_attempt = *attempt;
    parsed.m_requestId = textOf(object, "requestId");
    parsed.m_service = textOf(object, "shard");
    parsed.m_status = *status;
    parsed.m_holdings = holdingsOf(object);
    parsed.m_load = loadOf(object);
    parsed.m_draining = isTrue(object, "draining");
    parsed.m_startId = textOf(object, "startId");
    if (parsed.m_status == AttemptStatus::Ok) {
        const std::optional<Snapshot> snapshot = snapshotOf(find(object, "snapshot"));
        if (!snapshot || !takeEntries(object, reply.m_body, parsed.m_entries)) {
            return std::nullopt;
        }
        parsed.m_snapshot = *snapshot;
    }
    return parsed;
}

std::optional<TargetObservation> parseHealthReply(const ReplyContent &reply)
{
    boost::system::error_code error;
    std::size_t consumed = 0;
    const std::optional<json::value> document = parseWithinLimit(reply.m_body, {}, error, consumed);
    if (!document || !document->is_object()) {
        return std::nullopt;
    }
    const json::object &object = document->get_object();
    TargetObservation observation;
    observation.m_reachable = reply.m_status == 200 || reply.m_status == 503;
    observation.m_draining = isTrue(object, "draining") || textOf(object, "status") == "draining";
    observation.m_holdings = holdingsOf(object);
    observation.m_startId = textOf(object, "startId");
    observation.m_load = loadOf(object);
    return observation;
}

} // namespace arbutusgrade
