#include "details/callerrequest.h"

#include <algorithm>
#include <array>
#include <set>

#include <boost/json/array.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace arbutusgrade {

namespace json = boost::json;

namespace {

constexpr std::size_t requestIdLimit = 128;
constexpr std::int64_t deadlineLimitMs = 600'000;
constexpr std::int64_t sendNumberLimit = 1000;
constexpr std::size_t parseBufferBytes = 16 * 1024;

constexpr std::array<std::string_view, 6> knownFields{"requestId", "kind",    "deadlineMs",
                                                      "service",   "attempt", "payload"};

void addFinding(std::vector<RequestFinding> &findings, std::string_view field,
                std::string_view message)
{
    findings.push_back({std::string(field), std::string(message)});
}

void checkMembers(std::string_view body, CallerRequest &request,
                  std::vector<RequestFinding> &findings)
{
    std::set<std::string> seen;
    for (const JsonMember &member : splitJsonObject(body)) {
        // Parsing resolves escapes, so that differently written equal keys are noticed.
        const std::string key(json::parse(member.m_key).get_string());
        if (!seen.insert(key).second) {
            addFinding(findings, key, "is given more than once");
        }
        if (std::find(knownFields.begin(), knownFields.end(), key) == knownFields.end()) {
            addFinding(findings, key, "is not a known field");
        }
        if (key == "payload") {
            request.m_payload = std::make_shared<const std::string>(member.m_value);
        }
    }
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character) { return character >= 0x20 && character <= 0x7e; });
}

void takeText(const json::object &object, std::string_view field, bool required, std::string &text,
              std::vector<RequestFinding> &findings)
{
    const json::value *value = object.if_contains(field);
    if (value == nullptr) {
        if (required) {
            addFinding(findings, field, "is required");
        }
        return;
    }
    if (!value->is_string()) {
        addFinding(findings, field, "must be a string");
        return;
    }
    text = value->get_string();
    if (text.empty() || text.size() > requestIdLimit || !isPrintable(text)) {
        addFinding(findings, field, "must be 1 to 128 printable ASCII characters");
    }
}

std::optional<std::int64_t> takeInteger(const json::object &object, std::string_view field,
                                        std::int64_t limit, std::vector<RequestFinding> &findings)
{
    const json::value *value = object.if_contains(field);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_int64() || value->get_int64() < 1 || value->get_int64() > limit) {
        addFinding(findings, field, "must be an integer from 1 to " + std::to_string(limit));
        return std::nullopt;
    }
    return value->get_int64();
}

} // namespace

std::vector<RequestFinding> parseCallerRequest(std::string_view body, CallerRequest &request)
{
    std::vector<RequestFinding> findings;
    std::array<unsigned char, parseBufferBytes> buffer;
    json::monotonic_resource resource(buffer.data(), buffer.size());
    boost::system::error_code error;
    const json::value document = json::parse(body, error, &resource);
    if (error) {
        addFinding(findings, "", "the body is not valid JSON: " + error.message());
        return findings;
    }
    if (!document.is_object()) {
        addFinding(findings, "", "the body must be a JSON object");
        return findings;
    }
    const json::object &object = document.get_object();
    checkMembers(body, request, findings);
    takeText(object, "requestId", true, request.m_requestId, findings);
    takeText(object, "kind", true, request.m_kind, findings);
    takeText(object, "service", false, request.m_service, findings);
    if (!request.m_payload) {
        addFinding(findings, "payload", "is required");
    }
    if (const std::optional<std::int64_t> deadline =
            takeInteger(object, "deadlineMs", deadlineLimitMs, findings)) {
        request.m_timeout = std::chrono::milliseconds(*deadline);
    }
    if (const std::optional<std::int64_t> number =
            takeInteger(object, "attempt", sendNumberLimit, findings)) {
        request.m_sendNumber = static_cast<int>(*number);
    }
    return findings;
}

HttpResponse findingsResponse(const std::vector<RequestFinding> &findings)
{
    json::array list;
    for (const RequestFinding &finding : findings) {
        list.push_back(json::object{{"field", finding.m_field}, {"message", finding.m_message}});
    }
    HttpResponse response;
    response.m_status = 400;
    response.m_body = json::serialize(
        json::object{{"error", "the request is not valid"}, {"findings", std::move(list)}});
    return response;
}

} // namespace arbutusgrade
