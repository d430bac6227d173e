#include <algorithm>
#include <cstdint>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>
#include <boost/json.hpp>

#include "load.h"
#include "scenarios.h"

ABSL_FLAG(std::vector<std::string>, nodes, {}, "addresses of daemons, ADDRESS:PORT,...");
ABSL_FLAG(std::string, mix, "fault-history-search:8,alarm-lookup:2",
          "kinds with their weights, KIND:WEIGHT[:SERVICE],...");
ABSL_FLAG(double, rate, 100, "requests per second");
ABSL_FLAG(double, seconds, 15, "length of the measured part");
ABSL_FLAG(double, warm_up_seconds, 2, "load before the measured part");
ABSL_FLAG(std::string, arrivals, "poisson", "poisson or fixed");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals and kinds");
ABSL_FLAG(double, timeout_seconds, 15, "wait for one answer");
ABSL_FLAG(int, resends, 0, "sends to other nodes when a connection gave no answer");
ABSL_FLAG(std::string, payload, R"({"text":"load"})", "payload of all requests, JSON");
ABSL_FLAG(std::string, id_prefix, "load", "start of the request ids");
ABSL_FLAG(bool, check_entries, false, "check the entries; they come from target-standin");
ABSL_FLAG(bool, json, false, "print the report as JSON instead of a table");
ABSL_FLAG(std::string, output, "", "file for the report as JSON");
ABSL_FLAG(std::string, compare, "", "report of an earlier run to print ratios to");
ABSL_FLAG(std::vector<std::string>, bound, {},
          "limits of ratios such as search.p99Ms<=2; exit 1 when broken; with --compare");
ABSL_FLAG(std::string, scenario, "",
          "start daemons and stand-ins and run one scenario; `list` prints the names");
ABSL_FLAG(int, scenario_nodes, 3, "daemons of a scenario");
ABSL_FLAG(double, scenario_scale, 1, "factor for the rates of a scenario");

namespace {

using namespace arbutusgrade::load;
namespace json = boost::json;

constexpr int usageError = 2;

arbutusgrade::Duration toDuration(double seconds)
{
    return arbutusgrade::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

int complain(const std::string &message)
{
    std::cerr << "arbutusgrade-load: " << message << std::endl;
    return usageError;
}

bool parseNodes(std::vector<NodeAddress> &nodes)
{
    for (const std::string &text : absl::GetFlag(FLAGS_nodes)) {
        const std::size_t colon = text.rfind(':');
        std::uint32_t port = 0;
        if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port)
            || port == 0 || port > 65535) {
            return false;
        }
        nodes.push_back(NodeAddress{text.substr(0, colon), static_cast<std::uint16_t>(port)});
    }
    return !nodes.empty();
}

void writeReport(const json::object &report, const std::string &text)
{
    std::cout << (absl::GetFlag(FLAGS_json) ? json::serialize(report) + "\n" : text) << std::flush;
    const std::string file = absl::GetFlag(FLAGS_output);
    if (!file.empty()) {
        std::ofstream(file) << json::serialize(report) << "\n";
    }
}

int runNamedScenario(const std::string &name)
{
    const std::vector<std::string_view> names = scenarioNames();
    if (name == "list") {
        for (const std::string_view known : names) {
            std::cout << known << "\n";
        }
        return 0;
    }
    if (std::find(names.begin(), names.end(), name) == names.end()) {
        return complain("no such scenario: " + name);
    }
    ScenarioOptions options;
    options.m_programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    options.m_nodes = absl::GetFlag(FLAGS_scenario_nodes);
    options.m_scale = absl::GetFlag(FLAGS_scenario_scale);
    options.m_seconds = absl::GetFlag(FLAGS_seconds);
    options.m_seed = absl::GetFlag(FLAGS_seed);
    const ScenarioResult result = runScenario(name, options);
    writeReport(result.m_report, result.m_text);
    return result.m_holds ? 0 : 1;
}

int compareWith(const std::string &file, const json::object &report,
                const std::vector<Bound> &bounds)
{
    std::ifstream input(file);
    std::ostringstream content;
    content << input.rdbuf();
    boost::system::error_code error;
    const json::value before = json::parse(content.str(), error);
    if (error || !before.is_object()) {
        return complain("not a report: " + file);
    }
    const Ratios ratios = compareReports(report, before.as_object());
    std::string text = ratioTable(ratios);
    const bool holds = checkBounds(bounds, ratios, text);
    // The report on standard output stays one JSON value.
    (absl::GetFlag(FLAGS_json) ? std::cerr : std::cout) << text << std::flush;
    return holds ? 0 : 1;
}

int runLoadFromFlags()
{
    LoadOptions options;
    if (!parseNodes(options.m_nodes)) {
        return complain("--nodes needs addresses such as 127.0.0.1:17011");
    }
    const std::optional<std::vector<KindLoad>> mix = parseMix(absl::GetFlag(FLAGS_mix));
    const std::string arrivals = absl::GetFlag(FLAGS_arrivals);
    boost::system::error_code error;
    json::parse(absl::GetFlag(FLAGS_payload), error);
    if (!mix || error || (arrivals != "poisson" && arrivals != "fixed")
        || !(absl::GetFlag(FLAGS_rate) > 0) || !(absl::GetFlag(FLAGS_seconds) > 0)) {
        return complain("--mix, --payload, --arrivals, --rate or --seconds is malformed");
    }
    std::vector<Bound> bounds;
    for (const std::string &text : absl::GetFlag(FLAGS_bound)) {
        const std::optional<Bound> bound = parseBound(text);
        if (!bound) {
            return complain("not a bound: " + text);
        }
        bounds.push_back(*bound);
    }
    options.m_mix = *mix;
    options.m_rate = absl::GetFlag(FLAGS_rate);
    options.m_length = toDuration(absl::GetFlag(FLAGS_seconds));
    options.m_warmUp = toDuration(absl::GetFlag(FLAGS_warm_up_seconds));
    options.m_arrivals = arrivals == "fixed" ? Arrivals::Fixed : Arrivals::Poisson;
    options.m_seed = absl::GetFlag(FLAGS_seed);
    options.m_timeout = toDuration(absl::GetFlag(FLAGS_timeout_seconds));
    options.m_resends = absl::GetFlag(FLAGS_resends);
    options.m_payload = absl::GetFlag(FLAGS_payload);
    options.m_idPrefix = absl::GetFlag(FLAGS_id_prefix);
    options.m_checkEntries = absl::GetFlag(FLAGS_check_entries);
    const LoadResult result = runLoad(options);
    const json::object report = reportJson(result);
    std::string text = reportTable(summarise(result));
    text += "extra load " + std::to_string(extraLoad(result) * 100.0) + " %\n";
    for (const std::string &problem : result.m_problems) {
        text += "WRONG " + problem + "\n";
    }
    writeReport(report, text);
    const std::string before = absl::GetFlag(FLAGS_compare);
    const int compared = before.empty() ? 0 : compareWith(before, report, bounds);
    return result.m_problems.empty() ? compared : 1;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Open-loop load against arbutusgrade daemons. Latency counts from "
                                 "the time at which a request was meant to be sent.");
    absl::ParseCommandLine(argc, argv);
    try {
        const std::string scenario = absl::GetFlag(FLAGS_scenario);
        return scenario.empty() ? runLoadFromFlags() : runNamedScenario(scenario);
    } catch (const std::exception &failure) {
        std::cerr << "arbutusgrade-load: " << failure.what() << std::endl;
        return 3;
    }
}
