#include "details/answers.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include "telemetry/telemetry.h"

namespace arbutusgrade {

namespace {

int statusByOutcome(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Complete:
    case Outcome::Partial:
        return 200;
    case Outcome::NotRun:
        return 503;
    case Outcome::OutcomeUnknown:
        return 504;
    case Outcome::Failed:
        break;
    }
    return 502;
}

int statusOf(const CallerAnswer &answer)
{
    switch (answer.m_reason) {
    case Reason::UnknownKind:
    case Reason::UnknownService:
        return 404;
    case Reason::RequestIdReused:
        return 409;
    case Reason::QuotaExceeded:
        return 429;
    default:
        return statusByOutcome(answer.m_outcome);
    }
}

void appendText(std::string &body, std::string_view text)
{
    body += boost::json::serialize(boost::json::string_view(text.data(), text.size()));
}

void appendSnapshot(std::string &body, const std::optional<Snapshot> &snapshot)
{
    body += R"(,"snapshot":)";
    if (!snapshot) {
        body += "null";
        return;
    }
    body += R"({"epoch":)" + std::to_string(snapshot->m_epoch) + R"(,"version":)"
            + std::to_string(snapshot->m_version) + "}";
}

void appendCoverage(std::string &body, const CallerAnswer &answer)
{
    body += R"(,"coverage":{"included":[)";
    std::string_view separator;
    for (const ShardResult &result : answer.m_included) {
        body += separator;
        appendText(body, result.m_service);
        separator = ",";
    }
    body += R"(],"lacking":[)";
    separator = {};
    for (const LackingShard &shard : answer.m_lacking) {
        body += separator;
        body += R"({"shard":)";
        appendText(body, shard.m_service);
        body += R"(,"reason":)";
        appendText(body, reasonName(shard.m_reason));
        body += '}';
        separator = ",";
    }
    body += "]}";
}

//! @brief Elements of a JSON array text without the brackets and surrounding space.
std::string_view arrayContent(std::string_view array)
{
    const std::size_t open = array.find('[');
    const std::size_t close = array.rfind(']');
    if (open == std::string_view::npos || close == std::string_view::npos || close <= open) {
        return {};
    }
    std::string_view content = array.substr(open + 1, close - open - 1);
    const std::size_t first = content.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return content.substr(first);
}

void appendEntries(std::string &body, const CallerAnswer &answer)
{
    body += R"(,"entries":[)";
    std::string_view separator;
    for (const ShardResult &result : answer.m_included) {
        const std::string_view content = arrayContent(result.m_entries);
        if (content.empty()) {
            continue;
        }
        body += separator;
        body += content;
        separator = ",";
    }
    body += ']';
}

} // namespace

HttpResponse formatAnswer(const CallerAnswer &answer)
{
    std::size_t size = 256 + answer.m_lacking.size() * 64;
    for (const ShardResult &result : answer.m_included) {
        size += result.m_service.size() + result.m_entries.size() + 4;
    }
    HttpResponse response;
    response.m_status = statusOf(answer);
    std::string &body = response.m_body;
    body.reserve(size);
    body += R"({"requestId":)";
    appendText(body, answer.m_requestId);
    body += R"(,"outcome":)";
    appendText(body, outcomeName(answer.m_outcome));
    if (answer.m_reason != Reason::None) {
        body += R"(,"reason":)";
        appendText(body, reasonName(answer.m_reason));
    }
    appendSnapshot(body, answer.m_snapshot);
    appendCoverage(body, answer);
    appendEntries(body, answer);
    body += R"(,"traceId":)";
    appendText(body, formatTraceId(answer.m_trace));
    body += '}';
    return response;
}

} // namespace arbutusgrade
