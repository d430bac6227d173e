#include "commands.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

#include <boost/json.hpp>

namespace arbutusgrade::control {

namespace {

namespace json = boost::json;

HttpCall getCall(const CommandOptions &options, std::string path)
{
    HttpCall call;
    call.m_path = std::move(path);
    call.m_token = options.m_token;
    call.m_answerTimeout = readTimeout;
    return call;
}

HttpAnswer getFromAnyNode(const CommandOptions &options, std::string path)
{
    return callAnyNode(options.m_nodes, getCall(options, std::move(path)), Repeat::Allowed);
}

bool isSuccess(const HttpAnswer &answer)
{
    return answer.m_result == CallResult::Answered && answer.m_status == 200;
}

int reportBadAnswer(const std::vector<Finding> &findings, const CommandOutput &output)
{
    output.m_error << "arbutusgradectl: the answer of the node cannot be read\n";
    for (const Finding &finding : findings) {
        output.m_error << formatFinding(finding) << "\n";
    }
    return exitFailed;
}

//! Writes "age of the store contact" and the like: every plain member of the node's own status.
void writeOwnStatus(const HttpAnswer &answer, const CommandOutput &output)
{
    boost::system::error_code error;
    const json::value value = json::parse(answer.m_body, error);
    if (error || !value.is_object()) {
        return;
    }
    output.m_out << "asked node:\n";
    for (const json::key_value_pair &entry : value.get_object()) {
        if (!entry.value().is_structured()) {
            output.m_out << "  " << entry.key() << ": " << entry.value() << "\n";
        }
    }
}

void writeNodes(const NodeList &list, const CommandOutput &output)
{
    std::size_t width = 4;
    for (const NodeStatus &node : list.m_nodes) {
        width = std::max({width, node.m_name.size(), node.m_dataCentre.size()});
    }
    const int column = static_cast<int>(width) + 2;
    output.m_out << "revision in force at the asked node: " << list.m_revision << "\n"
                 << std::left << std::setw(column) << "node" << std::setw(column) << "data centre"
                 << "  " << std::setw(10) << "state"
                 << "revision\n";
    for (const NodeStatus &node : list.m_nodes) {
        output.m_out << std::left << std::setw(column) << node.m_name << std::setw(column)
                     << node.m_dataCentre << "  " << std::setw(10) << node.m_state;
        if (node.m_revision < 0) {
            output.m_out << "unknown";
        } else {
            output.m_out << node.m_revision;
        }
        output.m_out << (node.m_revision >= 0 && node.m_revision < list.m_revision ? "  behind\n"
                                                                                   : "\n");
    }
}

} // namespace

std::optional<ConfigurationView> fetchConfiguration(const CommandOptions &options,
                                                    const CommandOutput &output, int &exitCode)
{
    const HttpAnswer answer = getFromAnyNode(options, "/v1/admin/configuration");
    if (!isSuccess(answer)) {
        exitCode = reportFailure(answer, output);
        return std::nullopt;
    }
    Checked<ConfigurationView> view = parseConfigurationView(answer.m_body);
    if (view.has_error()) {
        exitCode = reportBadAnswer(view.error(), output);
        return std::nullopt;
    }
    return std::move(view.value());
}

int runGet(const CommandOptions &options, const CommandOutput &output)
{
    int exitCode = exitOk;
    const std::optional<ConfigurationView> view = fetchConfiguration(options, output, exitCode);
    if (!view) {
        return exitCode;
    }
    if (options.m_json) {
        output.m_out << formatConfigurationView(*view) << "\n";
        return exitOk;
    }
    if (options.m_arguments.empty()) {
        output.m_out << view->m_document.m_base;
        return exitOk;
    }
    const std::map<std::string, std::string> &overlays = view->m_document.m_overlays;
    const std::map<std::string, std::string>::const_iterator overlay =
        overlays.find(options.m_arguments[0]);
    if (overlay == overlays.end()) {
        output.m_error << "arbutusgradectl: there is no overlay for the site '"
                       << options.m_arguments[0] << "' in force\n";
        return exitFailed;
    }
    output.m_out << overlay->second;
    return exitOk;
}

int runHistory(const CommandOptions &options, const CommandOutput &output)
{
    int exitCode = exitOk;
    const std::optional<ConfigurationView> view = fetchConfiguration(options, output, exitCode);
    if (!view) {
        return exitCode;
    }
    if (options.m_json) {
        const json::value document = json::parse(formatConfigurationView(*view));
        output.m_out << json::object{{"revision", view->m_revision},
                                     {"history", document.at("history")}}
                     << "\n";
        return exitOk;
    }
    for (const ConfigurationChange &change : view->m_document.m_changes) {
        output.m_out << "revision " << change.m_revision << "  " << change.m_timestamp << "  "
                     << change.m_author << "  " << change.m_changeId << "  " << change.m_summary
                     << "\n";
    }
    if (view->m_document.m_changes.empty()) {
        output.m_out << "no change was ever applied; the files of the nodes are in force\n";
    }
    return exitOk;
}

int runStatus(const CommandOptions &options, const CommandOutput &output)
{
    const HttpAnswer nodes = getFromAnyNode(options, "/v1/admin/nodes");
    if (!isSuccess(nodes)) {
        return reportFailure(nodes, output);
    }
    const Checked<NodeList> list = parseNodeList(nodes.m_body);
    if (list.has_error()) {
        return reportBadAnswer(list.error(), output);
    }
    const HttpAnswer own = getFromAnyNode(options, "/v1/status");
    if (options.m_json) {
        json::object result = json::parse(nodes.m_body).as_object();
        boost::system::error_code error;
        result["status"] = isSuccess(own) ? json::parse(own.m_body, error) : json::value();
        output.m_out << result << "\n";
        return exitOk;
    }
    writeNodes(list.value(), output);
    if (isSuccess(own)) {
        writeOwnStatus(own, output);
    }
    return exitOk;
}

int runChange(const CommandOptions &options, const CommandOutput &output)
{
    const std::string &changeId = options.m_arguments[0];
    if (!isChangeId(changeId)) {
        output.m_error << "arbutusgradectl: a change id has 8 to 64 letters, digits, '-' or '_'\n";
        return exitUsage;
    }
    const HttpAnswer answer = getFromAnyNode(options, "/v1/admin/changes/" + changeId);
    if (!isSuccess(answer)) {
        return reportFailure(answer, output);
    }
    const Checked<AnswerChange> change = parseChangeState(answer.m_body);
    if (change.has_error()) {
        return reportBadAnswer(change.error(), output);
    }
    if (options.m_json) {
        output.m_out << formatChangeState(change.value()) << "\n";
    } else if (change.value().m_state == ChangeState::Accepted) {
        output.m_out << "accepted as revision " << change.value().m_revision << "\n";
    } else if (change.value().m_state == ChangeState::Absent) {
        output.m_out << "not applied: no such change among the last 16\n";
    } else {
        output.m_out << "unknown: the store does not tell; ask again later\n";
    }
    return change.value().m_state == ChangeState::Accepted ? exitOk : exitFailed;
}

} // namespace arbutusgrade::control
