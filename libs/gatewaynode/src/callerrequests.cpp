#include "details/callerrequests.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <span>
#include <utility>

#include <boost/beast/core/string.hpp>

namespace arbutusgrade {

namespace {

using boost::beast::iequals;

constexpr int unauthorizedStatus = 401;
constexpr int refusedStatus = 503;

// Hop-by-hop headers (RFC 9110, section 7.6.1), including Transfer-Encoding, as messages are framed
// again for the next hop.
constexpr std::array<std::string_view, 9> hopByHopHeaders{"connection",
                                                          "keep-alive",
                                                          "proxy-connection",
                                                          "proxy-authenticate",
                                                          "proxy-authorization",
                                                          "te",
                                                          "trailer",
                                                          "transfer-encoding",
                                                          "upgrade"};

bool containsToken(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
        item = item.substr(0, item.find_last_not_of(" \t") + 1);
        if (iequals(item, token)) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

bool isHopByHop(std::string_view name, std::string_view connectionHeader)
{
    if (iequals(name, "content-length")
        || std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(),
                       [name](std::string_view header) { return iequals(name, header); })) {
        return true;
    }
    return !connectionHeader.empty() && containsToken(connectionHeader, name);
}

std::string_view findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const std::pair<std::string, std::string> &header : headers) {
        if (iequals(header.first, name)) {
            return header.second;
        }
    }
    return {};
}

std::string normalizeHost(std::string_view host)
{
    std::string normalized(
        host.substr(0, host.rfind(':') == std::string_view::npos ? host.size() : host.rfind(':')));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return normalized;
}

std::optional<Duration> parseMilliseconds(std::string_view text)
{
    std::int64_t milliseconds = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    constexpr std::int64_t maximumMilliseconds = 24LL * 3600 * 1000;
    if (parsed.ec != std::errc() || milliseconds < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(milliseconds, maximumMilliseconds));
}

//! @brief Reads a number of seconds, with or without a fraction. A date, a negative number and what
//! is no number give nothing; so does a number that a double cannot hold.
std::optional<Duration> parseSeconds(std::string_view text)
{
    constexpr double maximumSeconds = 1e6;
    double seconds = 0.0;
    const char *const end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, seconds);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end || !(seconds >= 0.0)) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(seconds, maximumSeconds)));
}

std::string formatSeconds(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f",
                  std::chrono::duration<double>(duration).count());
    return text.data();
}

//! @brief Writes the receipts as a list, in as many fields as it takes to keep each one short.
void addReceipts(HttpHeaders &headers, const std::string &name,
                 std::span<const std::string> receipts)
{
    // Many recipients read fields of up to 8 KiB, and the writer throws for those above 64 KiB.
    constexpr std::size_t fieldLimitBytes = 4 * 1024;
    constexpr std::string_view separator = ", ";
    std::string joined;
    for (const std::string &receipt : receipts) {
        if (!joined.empty() && joined.size() + receipt.size() > fieldLimitBytes) {
            headers.emplace_back(name, std::exchange(joined, {}));
        }
        joined += joined.empty() ? std::string_view() : separator;
        joined += receipt;
    }
    headers.emplace_back(name, std::move(joined));
}

bool hasBody(const HttpRequest &request)
{
    return !request.m_body.empty() || !request.header("content-length").empty()
           || !request.header("transfer-encoding").empty();
}

std::uint64_t computeFingerprint(const ForwardRequest &request, std::string_view target)
{
    std::string text = request.m_method + ' ' + request.m_host + std::string(target) + '\n';
    text += request.m_body;
    return stableHash(text);
}

//! @brief The same request of two organisations is not one request: what one of them is answered
//! says nothing about the other's.
std::uint64_t fingerprintOfOrganisation(const ForwardRequest &request)
{
    return stableHash(std::to_string(request.m_fingerprint) + '\n' + request.m_organisation);
}

using HttpHeader = HttpHeaders::value_type;

//! @brief What the headers of a request hold besides the fields of ForwardRequest.
struct HeaderFindings
{
    int m_hostCount = 0;
    bool m_hasSeveralIds = false;
    int m_authorizationCount = 0;
    std::string m_authorization; //!< The last one.
};

//! @brief What becomes of a header.
enum class HeaderUse {
    PassedOn,
    Removed,
    Other, //!< Passed on unless it is hop-by-hop.
};

//! @brief Takes what the gateway itself needs from a header.
HeaderUse readHeader(const HttpHeader &header, const ForwardHeaders &names, bool hasOrganisations,
                     ForwardRequest &request, HeaderFindings &found)
{
    if (iequals(header.first, "host")) {
        ++found.m_hostCount;
        request.m_host = normalizeHost(header.second);
        return HeaderUse::PassedOn;
    }
    if (iequals(header.first, names.m_requestId)) {
        found.m_hasSeveralIds = found.m_hasSeveralIds || !request.m_requestId.empty();
        request.m_requestId = header.second;
        return HeaderUse::PassedOn;
    }
    if (iequals(header.first, names.m_timeLeft)) {
        request.m_timeLeft = parseMilliseconds(header.second);
        return HeaderUse::Removed;
    }
    if (hasOrganisations && iequals(header.first, "authorization")) {
        ++found.m_authorizationCount;
        found.m_authorization = header.second;
        return HeaderUse::Removed;
    }
    const bool namesOrganisation = hasOrganisations && iequals(header.first, names.m_organisation);
    const bool isRemoved = namesOrganisation || iequals(header.first, names.m_expectedTarget)
                           || iequals(header.first, "expect");
    return isRemoved ? HeaderUse::Removed : HeaderUse::Other;
}

} // namespace

CallerPath callerPath(const HttpRequest &request)
{
    return CallerPath{request.m_roundTrip.value_or(defaultCallerRoundTrip), request.m_isFirst};
}

ParsedCallerRequest parseCallerRequest(const HttpRequest &request, const ForwardHeaders &headers,
                                       const RoutingTablePointer &table)
{
    if (request.m_target.empty() || request.m_target.front() != '/') {
        return {nullptr, "the request target is not a path", {}};
    }
    const std::shared_ptr<ForwardRequest> result = std::make_shared<ForwardRequest>();
    const std::string_view connectionHeader = request.header("connection");
    const bool hasOrganisations = table && table->m_definesOrganisations;
    std::string head = request.m_method + ' ' + request.m_target + " HTTP/1.1\r\n";
    HeaderFindings found;
    for (const HttpHeader &header : request.m_headers) {
        const HeaderUse use = readHeader(header, headers, hasOrganisations, *result, found);
        if (use == HeaderUse::PassedOn
            || (use == HeaderUse::Other && !isHopByHop(header.first, connectionHeader))) {
            head += header.first + ": " + header.second + "\r\n";
        }
    }
    if (found.m_hasSeveralIds) {
        return {nullptr, "the request has several ids", {}};
    }
    if (found.m_hostCount != 1 || result->m_host.empty()) {
        return {nullptr, "the request needs one Host header", {}};
    }
    if (result->m_requestId.empty()) {
        return {nullptr, "the request has no id", {}};
    }
    if (hasBody(request)) {
        head += "Content-Length: " + std::to_string(request.m_body.size()) + "\r\n";
    }
    result->m_caller = request.m_exchange;
    result->m_callerPath = callerPath(request);
    result->m_method = request.m_method;
    result->m_path = request.m_path;
    result->m_head = std::move(head);
    result->m_body = request.m_body;
    result->m_fingerprint = computeFingerprint(*result, request.m_target);
    result->m_routingTable = table;
    // With several keys it is undefined which one counts, so none does.
    return {result, {}, found.m_authorizationCount == 1 ? found.m_authorization : std::string()};
}

std::optional<ForwardRefusal> authorizeRequest(const ParsedCallerRequest &parsed,
                                               const ForwardHeaders &headers)
{
    ForwardRequest &request = *parsed.m_request;
    const RoutingTable *table = request.m_routingTable.get();
    const Route *route =
        table != nullptr ? findRoute(*table, request.m_host, request.m_path) : nullptr;
    if (route == nullptr) {
        return std::nullopt;
    }
    const CallerIdentity identity = identifyCaller(*table, *route, parsed.m_authorization);
    request.m_keyHash = identity.m_keyHash;
    if (identity.m_status == CallerStatus::Unauthorized) {
        return ForwardRefusal{
            AnswerKind::Unauthorized, unauthorizedStatus, identity.m_reason, std::nullopt, {}};
    }
    if (identity.m_organisation != nullptr) {
        request.m_organisation = identity.m_organisation->m_name;
        request.m_priority = identity.m_organisation->m_priority;
        request.m_head += headers.m_organisation + ": " + request.m_organisation + "\r\n";
        request.m_fingerprint = fingerprintOfOrganisation(request);
    }
    return std::nullopt;
}

void serializeAttempt(std::string &text, const ForwardCommand &command,
                      const ForwardHeaders &headers)
{
    const std::int64_t milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(command.m_timeLeft).count();
    text.clear();
    text += command.m_request->m_head;
    text += headers.m_timeLeft;
    text += ": ";
    text += std::to_string(std::max<std::int64_t>(1, milliseconds));
    text += "\r\n";
    text += headers.m_expectedTarget;
    text += ": ";
    text += command.m_target->m_entry.m_id;
    text += "\r\n\r\n";
    text += command.m_request->m_body;
}

TargetReply parseTargetReply(const ReplyContent &content, const ForwardHeaders &headers)
{
    TargetReply reply;
    reply.m_status = content.m_status;
    reply.m_body = content.m_body;
    reply.m_memory = content.m_memory;
    if (content.m_status == refusedStatus) {
        reply.m_refusalTime = parseSeconds(findHeader(content.m_headers, "retry-after"));
    }
    const std::string_view connectionHeader = findHeader(content.m_headers, "connection");
    for (const std::pair<std::string, std::string> &header : content.m_headers) {
        if (iequals(header.first, headers.m_receipt)) {
            reply.m_receipt = header.second;
        } else if (iequals(header.first, headers.m_requestId)) {
            reply.m_echoedId = header.second;
        } else if (iequals(header.first, headers.m_notExecuted)) {
            reply.m_notExecuted = true;
        } else if (iequals(header.first, headers.m_targetLeaving)) {
            reply.m_isLeaving = reply.m_isLeaving || header.second != "0";
        }
        if (!isHopByHop(header.first, connectionHeader)) {
            reply.m_headers.push_back(header);
        }
    }
    return reply;
}

HttpResponse buildCallerResponse(const ForwardAnswer &answer, const ForwardHeaders &headers)
{
    HttpResponse response;
    response.m_status = answer.m_status;
    if (answer.m_kind == AnswerKind::Relayed) {
        response.m_contentType.clear();
        response.m_headers = answer.m_reply.m_headers;
        response.m_body = answer.m_reply.m_body;
        response.m_memory = answer.m_reply.m_memory;
        return response;
    }
    if (answer.m_kind == AnswerKind::Merged) {
        response.m_contentType = "application/octet-stream";
        addReceipts(response.m_headers, headers.m_shardReceipts, answer.m_receipts);
        response.m_headers.emplace_back(headers.m_missingShards,
                                        std::to_string(answer.m_missingShards));
        response.m_body = answer.m_records;
        return response;
    }
    response.m_body = R"({"error":")" + std::string(answer.m_reason) + "\"}";
    if (answer.m_kind == AnswerKind::Unauthorized) {
        response.m_headers.emplace_back("WWW-Authenticate", "Token");
    }
    if (answer.m_retryAfter) {
        response.m_headers.emplace_back("Retry-After", formatSeconds(*answer.m_retryAfter));
    }
    return response;
}

} // namespace arbutusgrade
