#include "commands.h"

#include <algorithm>
#include <ostream>

#include <boost/json.hpp>

namespace arbutusgrade::control {

namespace {

namespace json = boost::json;

std::string textOf(const json::object &object, std::string_view name)
{
    const json::value *const value = object.if_contains(name);
    if (value == nullptr) {
        return {};
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

json::object makeQuery(const CommandOptions &options, const std::string &requestId,
                       json::value payload)
{
    json::object query{{"requestId", requestId},
                       {"kind", options.m_arguments[0]},
                       {"attempt", options.m_sendNumber},
                       {"payload", std::move(payload)}};
    if (!options.m_service.empty()) {
        query["service"] = options.m_service;
    }
    if (options.m_deadlineMilliseconds) {
        query["deadlineMs"] = *options.m_deadlineMilliseconds;
    }
    return query;
}

void writeCoverage(const json::object &answer, const CommandOutput &output)
{
    const json::value *const coverage = answer.if_contains("coverage");
    if (coverage == nullptr || !coverage->is_object()) {
        return;
    }
    const json::object &object = coverage->get_object();
    const json::value *const included = object.if_contains("included");
    const json::value *const lacking = object.if_contains("lacking");
    output.m_out << "included: "
                 << (included != nullptr && included->is_array() ? included->get_array().size() : 0)
                 << " shards\n";
    if (lacking != nullptr && lacking->is_array()) {
        for (const json::value &shard : lacking->get_array()) {
            output.m_out << "lacking: " << shard << "\n";
        }
    }
}

int writeAnswer(const json::object &answer, const CommandOutput &output)
{
    const std::string reason = textOf(answer, "reason");
    output.m_out << "outcome: " << textOf(answer, "outcome")
                 << (reason.empty() ? std::string() : " (" + reason + ")") << "\n"
                 << "request id: " << textOf(answer, "requestId") << "\n"
                 << "snapshot: " << textOf(answer, "snapshot") << "\n";
    writeCoverage(answer, output);
    output.m_out << "entries: " << textOf(answer, "entries") << "\n";
    return exitOk;
}

int reportLostQuery(const HttpAnswer &answer, const std::string &requestId,
                    const CommandOptions &options, const CommandOutput &output)
{
    output.m_error << "arbutusgradectl: " << answer.m_error
                   << "\nIt is not known whether the request ran. Send it again with --request_id="
                   << requestId << " --attempt=" << options.m_sendNumber + 1
                   << " and the same payload.\n";
    return exitFailed;
}

} // namespace

int runQuery(const CommandOptions &options, const CommandOutput &output)
{
    boost::system::error_code error;
    const json::value payload = json::parse(options.m_payload, error);
    if (error) {
        output.m_error << "arbutusgradectl: the payload is not JSON: " << error.message() << "\n";
        return exitUsage;
    }
    const std::string requestId = options.m_requestId.empty() ? randomId() : options.m_requestId;
    HttpCall call;
    call.m_method = "POST";
    call.m_path = "/v1/query";
    call.m_body = json::serialize(makeQuery(options, requestId, payload));
    call.m_token = options.m_token;
    // The node answers at the deadline at the latest; the rest covers the way there and back.
    const std::chrono::milliseconds deadline(options.m_deadlineMilliseconds.value_or(0));
    call.m_answerTimeout = std::max(options.m_timeout, deadline + std::chrono::seconds(1));
    // The kind may be one that runs only once, so a request that may have run is not sent again.
    const HttpAnswer answer = callAnyNode(options.m_nodes, call, Repeat::Forbidden);
    if (answer.m_result == CallResult::NoAnswer) {
        return reportLostQuery(answer, requestId, options, output);
    }
    if (answer.m_result == CallResult::NotSent) {
        return reportFailure(answer, output);
    }
    const json::value body = json::parse(answer.m_body, error);
    const bool isAnswer = !error && body.is_object() && body.get_object().contains("outcome");
    if (!isAnswer) {
        return reportFailure(answer, output);
    }
    if (options.m_json) {
        output.m_out << answer.m_body << "\n";
    } else {
        writeAnswer(body.get_object(), output);
    }
    return answer.m_status == 200 ? exitOk : exitFailed;
}

} // namespace arbutusgrade::control
