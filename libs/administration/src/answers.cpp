#include <limits>
#include <optional>

#include "administration/administration.h"
#include "jsonreader/jsonreader.h"

namespace arbutusgrade {

namespace {

constexpr std::string_view answerFile = "answer";
constexpr std::size_t anyLength = std::numeric_limits<std::size_t>::max();
constexpr FieldPresence required = FieldPresence::Required;
constexpr FieldPresence optional = FieldPresence::Optional;

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusInvalid = 422;
constexpr int statusUnavailable = 503;

std::string_view changeStateName(ChangeState state)
{
    switch (state) {
    case ChangeState::Accepted:
        return "accepted";
    case ChangeState::Absent:
        return "absent";
    case ChangeState::Unknown:
        break;
    }
    return "unknown";
}

json::array findingsArray(const std::vector<Finding> &findings)
{
    json::array array;
    for (const Finding &finding : findings) {
        array.push_back(json::object{{"file", finding.m_file},
                                     {"line", finding.m_line},
                                     {"column", finding.m_column},
                                     {"message", finding.m_message}});
    }
    return array;
}

std::vector<Finding> readFindings(ObjectReader &reader)
{
    std::vector<Finding> result;
    const json::array *const array = readArray(reader, "findings", required);
    if (array == nullptr) {
        return result;
    }
    for (const json::value &value : *array) {
        ObjectReader item = openObject(value, "findings.", answerFile, *reader.m_findings);
        Finding finding;
        finding.m_file = readString(item, "file", required, anyLength);
        finding.m_line = static_cast<int>(readNumber(item, "line", required, 0));
        finding.m_column = static_cast<int>(readNumber(item, "column", required, 0));
        finding.m_message = readString(item, "message", required, anyLength);
        result.push_back(std::move(finding));
    }
    return result;
}

void readRefusedWrite(ObjectReader &reader, AnswerWrite &answer)
{
    answer.m_error = readString(reader, "error", required, anyLength);
    const std::string applied = readString(reader, "applied", optional, anyLength);
    // Without a clear "no" the write may have taken effect.
    answer.m_result = applied == "no" ? WriteResult::NotApplied : WriteResult::Unknown;
}

void readConflict(ObjectReader &reader, AnswerWrite &answer)
{
    answer.m_result = WriteResult::Conflict;
    answer.m_revision = readNumber(reader, "revision", required, 0);
    answer.m_changeId = readString(reader, "changeId", required, anyLength);
    answer.m_author = readString(reader, "author", required, anyLength);
    answer.m_difference = readString(reader, "difference", required, anyLength);
}

void readAccepted(ObjectReader &reader, AnswerWrite &answer)
{
    answer.m_result = WriteResult::Accepted;
    answer.m_revision = readNumber(reader, "revision", required, 0);
    answer.m_changeId = readString(reader, "changeId", required, anyLength);
}

ConfigurationChange readChange(const json::value &value, std::vector<Finding> &findings)
{
    ObjectReader reader = openObject(value, "history.", answerFile, findings);
    ConfigurationChange change;
    change.m_revision = readNumber(reader, "revision", required, 0);
    change.m_changeId = readString(reader, "changeId", required, anyLength);
    change.m_author = readString(reader, "author", required, anyLength);
    change.m_timestamp = readString(reader, "timestamp", required, anyLength);
    change.m_summary = readString(reader, "summary", optional, anyLength);
    return change;
}

void readDocumentLists(ObjectReader &reader, ConfigurationDocument &document)
{
    for (std::pair<std::string, std::string> &overlay :
         readStringMap(reader, "overlays", required)) {
        document.m_overlays.insert(std::move(overlay));
    }
    const json::array *const history = readArray(reader, "history", required);
    for (std::size_t i = 0; history != nullptr && i < history->size(); ++i) {
        document.m_changes.push_back(readChange((*history)[i], *reader.m_findings));
    }
    const json::array *const draining = readArray(reader, "draining", optional);
    for (std::size_t i = 0; draining != nullptr && i < draining->size(); ++i) {
        if ((*draining)[i].is_string()) {
            document.m_draining.emplace_back((*draining)[i].get_string());
        }
    }
}

template <typename Value> Checked<Value> checkedResult(Value value, std::vector<Finding> findings)
{
    if (!findings.empty()) {
        return findings;
    }
    return value;
}

} // namespace

AdministrationAnswer formatChangeAnswer(const AnswerWrite &answer)
{
    switch (answer.m_result) {
    case WriteResult::Accepted:
        return {statusOk, json::serialize(json::object{{"revision", answer.m_revision},
                                                       {"changeId", answer.m_changeId}})};
    case WriteResult::Conflict:
        return {statusConflict, json::serialize(json::object{{"revision", answer.m_revision},
                                                             {"changeId", answer.m_changeId},
                                                             {"author", answer.m_author},
                                                             {"difference", answer.m_difference}})};
    case WriteResult::Invalid:
        return {statusInvalid, formatFindings(answer.m_findings)};
    case WriteResult::NotApplied:
    case WriteResult::Unknown:
        break;
    }
    const bool isKnown = answer.m_result == WriteResult::NotApplied;
    return {statusUnavailable,
            json::serialize(
                json::object{{"error", answer.m_error}, {"applied", isKnown ? "no" : "unknown"}})};
}

Checked<AnswerWrite> parseChangeAnswer(int status, std::string_view text)
{
    std::vector<Finding> findings;
    const std::optional<json::value> value = parseObject(text, answerFile, findings);
    if (!value) {
        return findings;
    }
    AnswerWrite answer;
    ObjectReader reader = openObject(*value, "", answerFile, findings);
    if (status == statusOk) {
        readAccepted(reader, answer);
    } else if (status == statusConflict) {
        readConflict(reader, answer);
    } else if (status == statusInvalid) {
        answer.m_result = WriteResult::Invalid;
        answer.m_findings = readFindings(reader);
    } else if (status == statusUnavailable) {
        readRefusedWrite(reader, answer);
    } else {
        findings.push_back(
            Finding{std::string(answerFile), 0, 0, "unexpected status " + std::to_string(status)});
    }
    return checkedResult(std::move(answer), std::move(findings));
}

std::string formatConfigurationView(const ConfigurationView &view)
{
    const ConfigurationDocument &document = view.m_document;
    json::object overlays;
    for (const std::pair<const std::string, std::string> &overlay : document.m_overlays) {
        overlays[overlay.first] = overlay.second;
    }
    json::array history;
    for (const ConfigurationChange &change : document.m_changes) {
        history.push_back(json::object{{"revision", change.m_revision},
                                       {"changeId", change.m_changeId},
                                       {"author", change.m_author},
                                       {"timestamp", change.m_timestamp},
                                       {"summary", change.m_summary}});
    }
    return json::serialize(json::object{{"revision", view.m_revision},
                                        {"changeId", document.m_changeId},
                                        {"author", document.m_author},
                                        {"timestamp", document.m_timestamp},
                                        {"base", document.m_base},
                                        {"overlays", std::move(overlays)},
                                        {"draining", json::value_from(document.m_draining)},
                                        {"history", std::move(history)}});
}

Checked<ConfigurationView> parseConfigurationView(std::string_view text)
{
    std::vector<Finding> findings;
    const std::optional<json::value> value = parseObject(text, answerFile, findings);
    if (!value) {
        return findings;
    }
    ConfigurationView view;
    ConfigurationDocument &document = view.m_document;
    ObjectReader reader = openObject(*value, "", answerFile, findings);
    view.m_revision = readNumber(reader, "revision", required, 0);
    document.m_changeId = readString(reader, "changeId", required, anyLength);
    document.m_author = readString(reader, "author", required, anyLength);
    document.m_timestamp = readString(reader, "timestamp", required, anyLength);
    document.m_base = readString(reader, "base", required, anyLength);
    readDocumentLists(reader, document);
    return checkedResult(std::move(view), std::move(findings));
}

std::string formatChangeState(const AnswerChange &answer)
{
    return json::serialize(
        json::object{{"state", changeStateName(answer.m_state)}, {"revision", answer.m_revision}});
}

Checked<AnswerChange> parseChangeState(std::string_view text)
{
    std::vector<Finding> findings;
    const std::optional<json::value> value = parseObject(text, answerFile, findings);
    if (!value) {
        return findings;
    }
    AnswerChange answer;
    ObjectReader reader = openObject(*value, "", answerFile, findings);
    const std::string state = readString(reader, "state", required, anyLength);
    answer.m_revision = readNumber(reader, "revision", optional, 0);
    for (const ChangeState known : {ChangeState::Accepted, ChangeState::Absent}) {
        if (state == changeStateName(known)) {
            answer.m_state = known;
        }
    }
    return checkedResult(answer, std::move(findings));
}

std::string formatNodeList(const NodeList &list)
{
    json::array nodes;
    for (const NodeStatus &node : list.m_nodes) {
        nodes.push_back(json::object{{"name", node.m_name},
                                     {"dataCentre", node.m_dataCentre},
                                     {"state", node.m_state},
                                     {"revision", node.m_revision}});
    }
    return json::serialize(
        json::object{{"revision", list.m_revision}, {"nodes", std::move(nodes)}});
}

Checked<NodeList> parseNodeList(std::string_view text)
{
    std::vector<Finding> findings;
    const std::optional<json::value> value = parseObject(text, answerFile, findings);
    if (!value) {
        return findings;
    }
    NodeList list;
    ObjectReader reader = openObject(*value, "", answerFile, findings);
    list.m_revision = readNumber(reader, "revision", required, -1);
    const json::array *const nodes = readArray(reader, "nodes", required);
    for (std::size_t i = 0; nodes != nullptr && i < nodes->size(); ++i) {
        ObjectReader item = openObject((*nodes)[i], "nodes.", answerFile, findings);
        NodeStatus node;
        node.m_name = readString(item, "name", required, anyLength);
        node.m_dataCentre = readString(item, "dataCentre", required, anyLength);
        node.m_state = readString(item, "state", required, anyLength);
        node.m_revision = readNumber(item, "revision", required, -1);
        list.m_nodes.push_back(std::move(node));
    }
    return checkedResult(std::move(list), std::move(findings));
}

std::string formatFindings(const std::vector<Finding> &findings)
{
    return json::serialize(json::object{{"findings", findingsArray(findings)}});
}

std::string formatError(std::string_view message)
{
    return json::serialize(json::object{{"error", message}});
}

std::string describeRefusal(int status, std::string_view text)
{
    std::vector<Finding> problems;
    const std::optional<json::value> value = parseObject(text, answerFile, problems);
    const json::object *const object = value ? value->if_object() : nullptr;
    if (object != nullptr && object->contains("findings")) {
        ObjectReader reader = openObject(*value, "", answerFile, problems);
        std::string lines;
        for (const Finding &finding : readFindings(reader)) {
            lines += (lines.empty() ? "" : "\n") + formatFinding(finding);
        }
        return lines;
    }
    const json::value *const error = object == nullptr ? nullptr : object->if_contains("error");
    if (error != nullptr && error->is_string()) {
        return std::string(error->get_string());
    }
    return "the node answered with status " + std::to_string(status);
}

} // namespace arbutusgrade
