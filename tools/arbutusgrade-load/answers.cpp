#include <array>
#include <set>

#include <boost/json.hpp>

#include "load.h"

namespace arbutusgrade::load {

namespace json = boost::json;

namespace {

struct OutcomeStatus
{
    std::string_view m_name;
    unsigned m_status;
};

constexpr std::array<OutcomeStatus, 5> outcomes{{{"complete", 200},
                                                 {"partial", 200},
                                                 {"not-run", 503},
                                                 {"outcome-unknown", 504},
                                                 {"failed", 502}}};

std::string_view textAt(const json::object &body, std::string_view name)
{
    const json::value *value = body.if_contains(name);
    return value != nullptr && value->is_string() ? std::string_view(value->as_string())
                                                  : std::string_view();
}

std::int64_t numberAt(const json::object &body, std::string_view name)
{
    const json::value *value = body.if_contains(name);
    boost::system::error_code error;
    const std::int64_t number = value != nullptr ? value->to_number<std::int64_t>(error) : -1;
    return error ? -1 : number;
}

// Each shard is in exactly one list, once.
std::string readCoverage(const json::object &body, Sample &sample, std::set<std::string> &included)
{
    const json::value *coverage = body.if_contains("coverage");
    if (coverage == nullptr || !coverage->is_object()) {
        return "the answer states no coverage";
    }
    const json::value *in = coverage->as_object().if_contains("included");
    const json::value *out = coverage->as_object().if_contains("lacking");
    if (in == nullptr || out == nullptr || !in->is_array() || !out->is_array()) {
        return "the coverage has no two lists";
    }
    std::set<std::string> shards;
    for (const json::value &shard : in->as_array()) {
        included.insert(std::string(shard.as_string()));
    }
    shards = included;
    for (const json::value &shard : out->as_array()) {
        shards.insert(std::string(textAt(shard.as_object(), "shard")));
    }
    sample.m_included = static_cast<int>(in->as_array().size());
    sample.m_lacking = static_cast<int>(out->as_array().size());
    if (shards.size() != in->as_array().size() + out->as_array().size()) {
        return "a shard is named twice in the coverage";
    }
    if (sample.m_outcome == "complete" && sample.m_lacking != 0) {
        return "a complete answer lacks shards";
    }
    return {};
}

// The stand-in names request, shard and snapshot in each entry.
std::string readEntries(const json::object &body, std::string_view requestId,
                        const std::set<std::string> &included)
{
    const json::value *entries = body.if_contains("entries");
    const json::value *snapshot = body.if_contains("snapshot");
    if (entries == nullptr || !entries->is_array() || snapshot == nullptr
        || !snapshot->is_object()) {
        return included.empty() ? std::string() : "the answer has no entries or no snapshot";
    }
    std::set<std::string> shards;
    std::set<std::string> records;
    for (const json::value &item : entries->as_array()) {
        const json::object &entry = item.as_object();
        const std::string record(textAt(entry, "record"));
        if (textAt(entry, "requestId") != requestId) {
            return "an entry belongs to request " + std::string(textAt(entry, "requestId"));
        }
        for (const std::string_view name : {"epoch", "version"}) {
            if (numberAt(entry, name) != numberAt(snapshot->as_object(), name)) {
                return "an entry of " + record + " comes from another snapshot";
            }
        }
        if (!records.insert(record).second) {
            return "entry " + record + " came twice";
        }
        shards.insert(record.substr(0, record.rfind('/')));
    }
    return shards == included ? std::string() : "the entries are not those of the included shards";
}

std::string checkOutcome(unsigned status, Sample &sample, std::string_view name)
{
    for (const OutcomeStatus &outcome : outcomes) {
        if (outcome.m_name == name) {
            sample.m_outcome = outcome.m_name;
            return outcome.m_status == status
                       ? std::string()
                       : "status " + std::to_string(status) + " with outcome " + std::string(name);
        }
    }
    return "unknown outcome \"" + std::string(name) + "\"";
}

} // namespace

std::string readAnswer(unsigned status, const std::string &body, std::string_view requestId,
                       bool checkEntries, Sample &sample)
{
    sample.m_outcome = "no-answer";
    if (status == 0) {
        return {};
    }
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return "status " + std::to_string(status) + " without a JSON object";
    }
    const json::object &answer = value.as_object();
    sample.m_reason = textAt(answer, "reason");
    if (status >= 400 && status < 500) {
        sample.m_outcome = "rejected";
        return {};
    }
    std::string problem = checkOutcome(status, sample, textAt(answer, "outcome"));
    if (problem.empty() && textAt(answer, "requestId") != requestId) {
        problem = "the answer is for request " + std::string(textAt(answer, "requestId"));
    }
    if (!problem.empty() || status != 200) {
        return problem;
    }
    std::set<std::string> included;
    problem = readCoverage(answer, sample, included);
    if (problem.empty() && checkEntries) {
        problem = readEntries(answer, requestId, included);
    }
    return problem;
}

} // namespace arbutusgrade::load
