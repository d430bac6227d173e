#include <algorithm>
#include <fstream>
#include <ostream>

#include <boost/json.hpp>

#include "commands.h"

namespace arbutusgrade::control {

namespace {

namespace json = boost::json;

//! @brief One decision of the log that concerns the request.
struct LoggedDecision
{
    std::string m_time;
    std::string m_node;
    std::string m_event;
    json::object m_fields;
};

std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr) {
        return {};
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

//! @brief Reads a log line if it concerns the request. Whatever a collector put before the object
//! is passed over.
std::optional<LoggedDecision> readLine(std::string_view line, std::string_view requestId)
{
    const std::size_t start = line.find('{');
    if (start == std::string_view::npos || line.find(requestId) == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const json::value value = json::parse(json::string_view(line.substr(start)), error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *fields = object != nullptr ? object->if_contains("fields") : nullptr;
    if (fields == nullptr || !fields->is_object()
        || textOf(fields->get_object(), "request") != requestId) {
        return std::nullopt;
    }
    return LoggedDecision{textOf(*object, "time"), textOf(*object, "node"),
                          textOf(*object, "event"), fields->get_object()};
}

bool readLog(const std::string &name, std::string_view requestId,
             std::vector<LoggedDecision> &decisions)
{
    std::ifstream file(name);
    if (!file) {
        return false;
    }
    std::string line;
    while (std::getline(file, line)) {
        if (std::optional<LoggedDecision> decision = readLine(line, requestId)) {
            decisions.push_back(std::move(*decision));
        }
    }
    return true;
}

void printDecision(const LoggedDecision &decision, std::ostream &out)
{
    out << decision.m_time << ' ' << decision.m_node << ' ' << decision.m_event;
    for (const json::key_value_pair &field : decision.m_fields) {
        if (field.key() != "request") {
            out << ' ' << field.key() << '=' << textOf(decision.m_fields, field.key());
        }
    }
    out << '\n';
}

} // namespace

int runExplain(const CommandOptions &options, const CommandOutput &output)
{
    std::vector<LoggedDecision> decisions;
    for (const std::string &name : options.m_logs) {
        if (!readLog(name, options.m_arguments.front(), decisions)) {
            output.m_error << "arbutusgradectl: cannot read " << name << "\n";
            return exitUsage;
        }
    }
    if (decisions.empty()) {
        output.m_error << "arbutusgradectl: no decision on " << options.m_arguments.front()
                       << "; of requests served in time only a sample is logged\n";
        return exitFailed;
    }
    // Clocks of nodes differ by little; within one node the order of the log is kept.
    std::stable_sort(decisions.begin(), decisions.end(),
                     [](const LoggedDecision &left, const LoggedDecision &right) {
                         return left.m_time < right.m_time;
                     });
    for (const LoggedDecision &decision : decisions) {
        printDecision(decision, output.m_out);
    }
    return exitOk;
}

} // namespace arbutusgrade::control
