#include "commands.h"

#include <algorithm>
#include <ostream>
#include <thread>

#include <boost/json.hpp>

namespace arbutusgrade::control {

namespace {

namespace json = boost::json;

using Clock = std::chrono::steady_clock;

HttpCall makeCall(const CommandOptions &options, std::string method, std::string path,
                  std::string body)
{
    HttpCall call;
    call.m_method = std::move(method);
    call.m_path = std::move(path);
    call.m_body = std::move(body);
    call.m_token = options.m_token;
    call.m_answerTimeout = call.m_method == "GET" ? readTimeout : call.m_answerTimeout;
    return call;
}

//! A change id is looked up until it is found or the settle time is over.
AnswerChange settleChange(const CommandOptions &options, const std::string &changeId)
{
    const Clock::time_point end = Clock::now() + options.m_settleTime;
    const HttpCall call = makeCall(options, "GET", "/v1/admin/changes/" + changeId, {});
    AnswerChange last;
    while (true) {
        const HttpAnswer answer = callAnyNode(options.m_nodes, call, Repeat::Allowed);
        last.m_state = ChangeState::Unknown;
        if (answer.m_result == CallResult::Answered && answer.m_status == 200) {
            const Checked<AnswerChange> change = parseChangeState(answer.m_body);
            last = change.has_value() ? change.value() : last;
        }
        if (last.m_state == ChangeState::Accepted || Clock::now() >= end) {
            return last;
        }
        std::this_thread::sleep_for(options.m_pollInterval);
    }
}

int reportConflict(const AnswerWrite &answer, const CommandOptions &options,
                   const CommandOutput &output)
{
    if (options.m_json) {
        output.m_out << formatChangeAnswer(answer).m_body << "\n";
        return exitConflict;
    }
    output.m_error << "arbutusgradectl: conflict: revision " << answer.m_revision << " by "
                   << answer.m_author << " (change " << answer.m_changeId
                   << ") came first; nothing was changed\n"
                   << answer.m_difference
                   << "Run diff again, then apply with --revision=" << answer.m_revision << "\n";
    return exitConflict;
}

int reportUnsettled(ChangeState state, const std::string &changeId, const CommandOptions &options,
                    const CommandOutput &output)
{
    const bool isAbsent = state == ChangeState::Absent;
    if (options.m_json) {
        output.m_out << json::object{{"changeId", changeId},
                                     {"applied", isAbsent ? "no" : "unknown"}}
                     << "\n";
    } else if (isAbsent) {
        output.m_error << "arbutusgradectl: not applied; the change can be applied again\n";
    } else {
        output.m_error << "arbutusgradectl: it is not known whether the change was applied; ask "
                          "later with: arbutusgradectl change "
                       << changeId << "\n";
    }
    return exitFailed;
}

struct WaitResult
{
    std::vector<NodeStatus> m_inForce;
    std::vector<NodeStatus> m_lacking;
    bool m_wasAsked = false; //!< Some node told the list.
};

WaitResult splitNodes(const NodeList &list, std::int64_t revision)
{
    WaitResult result;
    result.m_wasAsked = true;
    for (const NodeStatus &node : list.m_nodes) {
        if (node.m_revision >= revision) {
            result.m_inForce.push_back(node);
        } else if (node.m_state != "leaving" && node.m_state != "left") {
            result.m_lacking.push_back(node);
        }
    }
    return result;
}

WaitResult waitUntilInForce(const CommandOptions &options, std::int64_t revision)
{
    const Clock::time_point end = Clock::now() + options.m_timeout;
    const HttpCall call = makeCall(options, "GET", "/v1/admin/nodes", {});
    WaitResult result;
    while (true) {
        const HttpAnswer answer = callAnyNode(options.m_nodes, call, Repeat::Allowed);
        const bool isAnswered = answer.m_result == CallResult::Answered && answer.m_status == 200;
        const Checked<NodeList> list = parseNodeList(isAnswered ? answer.m_body : "");
        if (list.has_value()) {
            result = splitNodes(list.value(), revision);
        }
        const bool isDone = result.m_wasAsked && result.m_lacking.empty();
        if (isDone || Clock::now() >= end) {
            return result;
        }
        std::this_thread::sleep_for(options.m_pollInterval);
    }
}

json::array namesOf(const std::vector<NodeStatus> &nodes)
{
    json::array names;
    for (const NodeStatus &node : nodes) {
        names.emplace_back(node.m_name);
    }
    return names;
}

void writeWaitResult(const WaitResult &result, const CommandOptions &options,
                     const CommandOutput &output)
{
    output.m_out << "in force on " << result.m_inForce.size() << " of "
                 << result.m_inForce.size() + result.m_lacking.size() << " nodes\n";
    if (!result.m_wasAsked) {
        output.m_error << "arbutusgradectl: no node told where the change is in force\n";
    }
    for (const NodeStatus &node : result.m_lacking) {
        output.m_error << "arbutusgradectl: not in force after "
                       << static_cast<double>(options.m_timeout.count()) / 1000.0
                       << " s: " << node.m_name << " (" << node.m_dataCentre << ", " << node.m_state
                       << ", revision "
                       << (node.m_revision < 0 ? "unknown" : std::to_string(node.m_revision))
                       << ")\n";
    }
}

int reportAccepted(std::int64_t revision, const std::string &changeId,
                   const CommandOptions &options, const CommandOutput &output)
{
    json::object answer{{"revision", revision}, {"changeId", changeId}};
    if (!options.m_json) {
        output.m_out << "accepted as revision " << revision << " (change " << changeId << ")\n";
    }
    int exitCode = exitOk;
    if (options.m_wait) {
        const WaitResult result = waitUntilInForce(options, revision);
        exitCode = result.m_wasAsked && result.m_lacking.empty() ? exitOk : exitNotInForce;
        answer["inForce"] = namesOf(result.m_inForce);
        answer["lacking"] = namesOf(result.m_lacking);
        if (!options.m_json) {
            writeWaitResult(result, options, output);
        }
    }
    if (options.m_json) {
        output.m_out << answer << "\n";
    }
    return exitCode;
}

int settleAndReport(const std::string &changeId, const CommandOptions &options,
                    const CommandOutput &output)
{
    if (!options.m_json) {
        output.m_error << "arbutusgradectl: no clear answer; looking up change " << changeId
                       << "\n";
    }
    const AnswerChange change = settleChange(options, changeId);
    if (change.m_state == ChangeState::Accepted) {
        return reportAccepted(change.m_revision, changeId, options, output);
    }
    return reportUnsettled(change.m_state, changeId, options, output);
}

int sendChange(const ConfigurationWrite &write, const CommandOptions &options,
               const CommandOutput &output)
{
    const HttpCall call =
        makeCall(options, "POST", "/v1/admin/configuration", formatChangeRequest(write));
    const HttpAnswer answer = callAnyNode(options.m_nodes, call, Repeat::Forbidden);
    if (answer.m_result == CallResult::NotSent) {
        return reportFailure(answer, output);
    }
    if (answer.m_result == CallResult::NoAnswer) {
        return settleAndReport(write.m_changeId, options, output);
    }
    const Checked<AnswerWrite> result = parseChangeAnswer(answer.m_status, answer.m_body);
    if (result.has_error()) {
        // A status that the API does not define for a change, for example a missing right.
        const bool isRefused = answer.m_status >= 400 && answer.m_status < 500;
        return isRefused ? reportFailure(answer, output)
                         : settleAndReport(write.m_changeId, options, output);
    }
    switch (result.value().m_result) {
    case WriteResult::Accepted:
        return reportAccepted(result.value().m_revision, write.m_changeId, options, output);
    case WriteResult::Conflict:
        return reportConflict(result.value(), options, output);
    case WriteResult::Invalid:
        return reportFindings(result.value().m_findings, options, output);
    case WriteResult::NotApplied:
        return reportFailure(answer, output);
    case WriteResult::Unknown:
        break;
    }
    return settleAndReport(write.m_changeId, options, output);
}

ConfigurationWrite makeWrite(const CommandOptions &options, const ConfigurationDocument &document)
{
    ConfigurationWrite write;
    write.m_changeId = options.m_changeId.empty() ? randomId() : options.m_changeId;
    write.m_expectedRevision = *options.m_revision;
    write.m_author = options.m_author;
    write.m_summary = options.m_summary;
    write.m_base = document.m_base;
    write.m_overlays = document.m_overlays;
    return write;
}

bool checkApplyOptions(const CommandOptions &options, const CommandOutput &output)
{
    const bool hasFiles = !options.m_base.empty() || !options.m_overlays.empty()
                          || !options.m_removedOverlays.empty();
    if (!hasFiles) {
        output.m_error << "arbutusgradectl: apply needs --base, --overlay or --remove_overlay\n";
    }
    if (!options.m_revision) {
        output.m_error << "arbutusgradectl: apply needs --revision, the revision that diff showed; "
                          "it keeps a change made since then from being lost\n";
    }
    if (!options.m_changeId.empty() && !isChangeId(options.m_changeId)) {
        output.m_error << "arbutusgradectl: --change_id needs 8 to 64 letters, digits, '-' or "
                          "'_'\n";
        return false;
    }
    return hasFiles && options.m_revision.has_value();
}

//! Whether the document in force lists the target as drained; nothing if no node tells.
std::optional<bool> isDrained(const CommandOptions &options, const std::string &target)
{
    const HttpCall call = makeCall(options, "GET", "/v1/admin/configuration", {});
    const HttpAnswer answer = callAnyNode(options.m_nodes, call, Repeat::Allowed);
    if (answer.m_result != CallResult::Answered || answer.m_status != 200) {
        return std::nullopt;
    }
    const Checked<ConfigurationView> view = parseConfigurationView(answer.m_body);
    if (view.has_error()) {
        return std::nullopt;
    }
    const std::vector<std::string> &names = view.value().m_document.m_draining;
    return std::find(names.begin(), names.end(), target) != names.end();
}

bool isPathSafe(const std::string &name)
{
    return !name.empty() && name.find_first_of("/?#% \\") == std::string::npos;
}

int settleDrain(const CommandOptions &options, const CommandOutput &output)
{
    const bool wanted = options.m_command == "drain";
    const Clock::time_point end = Clock::now() + options.m_settleTime;
    std::optional<bool> drained;
    while (drained != wanted && Clock::now() < end) {
        drained = isDrained(options, options.m_arguments[0]);
        if (drained != wanted) {
            std::this_thread::sleep_for(options.m_pollInterval);
        }
    }
    if (drained == wanted) {
        output.m_out << options.m_arguments[0] << (wanted ? " is drained\n" : " is in use\n");
        return exitOk;
    }
    output.m_error << "arbutusgradectl: no clear answer, and "
                   << (drained ? "the change is not in force" : "no node tells the state")
                   << "; run the command again\n";
    return exitFailed;
}

} // namespace

int runApply(const CommandOptions &options, const CommandOutput &output)
{
    if (!checkApplyOptions(options, output)) {
        return exitUsage;
    }
    int exitCode = exitOk;
    const std::optional<ConfigurationView> view = fetchConfiguration(options, output, exitCode);
    if (!view) {
        return exitCode;
    }
    const std::optional<ConfigurationDocument> document =
        mergeFiles(options, *view, output, exitCode);
    if (!document) {
        return exitCode;
    }
    return sendChange(makeWrite(options, *document), options, output);
}

int runDrain(const CommandOptions &options, const CommandOutput &output)
{
    const std::string &target = options.m_arguments[0];
    if (!isPathSafe(target)) {
        output.m_error << "arbutusgradectl: '" << target << "' is not the name of a target\n";
        return exitUsage;
    }
    const HttpCall call =
        makeCall(options, "POST", "/v1/admin/targets/" + target + "/" + options.m_command, "{}");
    const HttpAnswer answer = callAnyNode(options.m_nodes, call, Repeat::Forbidden);
    const bool isAnswered = answer.m_result == CallResult::Answered;
    if (isAnswered && answer.m_status == 200) {
        output.m_out << (options.m_json ? answer.m_body
                                        : target
                                              + (options.m_command == "drain"
                                                     ? " is drained: no new work is sent to it"
                                                     : " is in use"))
                     << "\n";
        return exitOk;
    }
    // Server errors other than "not applied" leave open whether the change was made.
    const Checked<AnswerWrite> refusal = parseChangeAnswer(answer.m_status, answer.m_body);
    const bool isNotApplied =
        refusal.has_value() && refusal.value().m_result == WriteResult::NotApplied;
    const bool isOpen = answer.m_result == CallResult::NoAnswer
                        || (isAnswered && answer.m_status >= 500 && !isNotApplied);
    return isOpen ? settleDrain(options, output) : reportFailure(answer, output);
}

} // namespace arbutusgrade::control
