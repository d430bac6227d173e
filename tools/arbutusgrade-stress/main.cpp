#include <chrono>
#include <cstdio>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/json.hpp>

#include "scenario.h"

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the first run; later runs count up from it.");
ABSL_FLAG(double, seconds, 10, "Wall time after which no new run starts.");
ABSL_FLAG(std::uint64_t, runs, 0, "Number of runs; 0 leaves it to --seconds.");
ABSL_FLAG(std::string, scenario, "", "Name of a scenario; empty alternates between all.");
ABSL_FLAG(std::string, mutant, "", "Deliberate fault to switch in; the run must then fail.");
ABSL_FLAG(bool, list, false, "Print a line for each scenario and mutant, and exit.");
ABSL_FLAG(bool, json, false, "Print the report as JSON.");

namespace arbutusgrade::stress {
namespace {

constexpr int exitOk = 0;
constexpr int exitViolation = 1;
constexpr int exitUsage = 2;
constexpr std::size_t printedTraceLines = 60;

struct Report
{
    std::uint64_t m_runs = 0;
    std::uint64_t m_events = 0;
    std::uint64_t m_checks = 0;
    std::uint64_t m_firstDigest = 0;
    std::uint64_t m_failedSeed = 0;
    std::string m_failedScenario;
    std::string m_summary;
    std::vector<Violation> m_violations;
    std::vector<std::string> m_trace;
};

void printList()
{
    for (const Scenario &scenario : allScenarios()) {
        std::cout << "scenario " << scenario.m_name << "\n";
    }
    for (const Scenario &scenario : allScenarios()) {
        for (const std::string_view mutant : scenario.m_mutants) {
            std::cout << "mutant " << mutant << "\n";
        }
    }
}

bool hasMutant(const Scenario &scenario, std::string_view name)
{
    for (const std::string_view mutant : scenario.m_mutants) {
        if (mutant == name) {
            return true;
        }
    }
    return false;
}

// A mutant belongs to one scenario, so naming it selects the scenario too.
std::vector<const Scenario *> selectScenarios(const std::string &name, const std::string &mutant)
{
    std::vector<const Scenario *> selected;
    for (const Scenario &scenario : allScenarios()) {
        const bool nameFits = name.empty() ? !scenario.m_onlyByName : scenario.m_name == name;
        const bool mutantFits = mutant.empty() || hasMutant(scenario, mutant);
        if (nameFits && mutantFits) {
            selected.push_back(&scenario);
        }
    }
    return selected;
}

// The run is repeated to record the events of the first violation's subject; recording all of
// them in every run would cost more than the run itself.
void recordFailure(const Scenario &scenario, const RunOptions &options, const RunResult &result,
                   Report &report)
{
    report.m_failedSeed = options.m_seed;
    report.m_failedScenario = std::string(scenario.m_name);
    report.m_violations = result.m_violations;
    RunOptions again = options;
    again.m_subject = result.m_violations.front().m_subject;
    report.m_trace = scenario.m_run(again).m_trace;
}

Report runAll(const std::vector<const Scenario *> &scenarios, const std::string &mutant)
{
    using Clock = std::chrono::steady_clock;
    Report report;
    const std::uint64_t firstSeed = absl::GetFlag(FLAGS_seed);
    const std::uint64_t wantedRuns = absl::GetFlag(FLAGS_runs);
    const std::chrono::duration<double> limit(absl::GetFlag(FLAGS_seconds));
    const Clock::time_point start = Clock::now();
    while (report.m_violations.empty()) {
        const bool enough = wantedRuns > 0 ? report.m_runs >= wantedRuns
                                           : report.m_runs > 0 && Clock::now() - start >= limit;
        if (enough) {
            break;
        }
        const Scenario &scenario = *scenarios[report.m_runs % scenarios.size()];
        RunOptions options;
        options.m_seed = firstSeed + report.m_runs;
        options.m_mutant = mutant;
        const RunResult result = scenario.m_run(options);
        if (report.m_runs == 0) {
            report.m_firstDigest = result.m_digest;
            report.m_summary = result.m_summary;
        }
        ++report.m_runs;
        report.m_events += result.m_events;
        report.m_checks += result.m_checks;
        if (!result.m_violations.empty()) {
            recordFailure(scenario, options, result, report);
        }
    }
    return report;
}

std::string digestText(std::uint64_t digest)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(digest));
    return text;
}

void printText(const Report &report, std::uint64_t seed)
{
    std::cout << "seed " << seed << "\nruns " << report.m_runs << "\nevents " << report.m_events
              << "\nchecks " << report.m_checks << "\nviolations " << report.m_violations.size()
              << "\ndigest of first run " << digestText(report.m_firstDigest)
              << "\nfirst run: " << report.m_summary << "\n";
    if (report.m_violations.empty()) {
        return;
    }
    std::cout << "failed scenario " << report.m_failedScenario << " seed " << report.m_failedSeed
              << "\n";
    for (const Violation &violation : report.m_violations) {
        std::cout << "violation " << violation.m_check << ": " << violation.m_detail << " ["
                  << violation.m_subject << "]\n";
    }
    const std::size_t lines = std::min(report.m_trace.size(), printedTraceLines);
    for (std::size_t index = 0; index < lines; ++index) {
        std::cout << "  " << report.m_trace[index] << "\n";
    }
}

void printJson(const Report &report, std::uint64_t seed)
{
    boost::json::array violations;
    for (const Violation &violation : report.m_violations) {
        violations.push_back({{"check", violation.m_check},
                              {"detail", violation.m_detail},
                              {"subject", violation.m_subject}});
    }
    boost::json::array trace;
    for (const std::string &line : report.m_trace) {
        trace.emplace_back(line);
    }
    const boost::json::object object{{"seed", seed},
                                     {"runs", report.m_runs},
                                     {"events", report.m_events},
                                     {"checks", report.m_checks},
                                     {"digest", digestText(report.m_firstDigest)},
                                     {"failedScenario", report.m_failedScenario},
                                     {"failedSeed", report.m_failedSeed},
                                     {"violations", violations},
                                     {"trace", trace}};
    std::cout << boost::json::serialize(object) << "\n";
}

int run()
{
    if (absl::GetFlag(FLAGS_list)) {
        printList();
        return exitOk;
    }
    const std::string mutant = absl::GetFlag(FLAGS_mutant);
    const std::vector<const Scenario *> scenarios =
        selectScenarios(absl::GetFlag(FLAGS_scenario), mutant);
    if (scenarios.empty()) {
        std::cerr << "arbutusgrade-stress: no scenario has this name and mutant; see --list\n";
        return exitUsage;
    }
    const Report report = runAll(scenarios, mutant);
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    if (absl::GetFlag(FLAGS_json)) {
        printJson(report, seed);
    } else {
        printText(report, seed);
    }
    if (report.m_checks == 0) {
        std::cerr << "arbutusgrade-stress: no check was made\n";
        return exitViolation;
    }
    return report.m_violations.empty() ? exitOk : exitViolation;
}

} // namespace
} // namespace arbutusgrade::stress

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Randomised runs of the core with fakes at its interfaces, on a simulated clock.\n"
        "Exit codes: 0 no violation, 1 a violation, 2 usage.\n"
        "Example: arbutusgrade-stress --seed 7 --seconds 60 --scenario requests");
    absl::ParseCommandLine(argc, argv);
    return arbutusgrade::stress::run();
}
