#include <cmath>
#include <cstdlib>
#include <functional>
#include <iomanip>
#include <iostream>
#include <string_view>
#include <vector>

#include "simulation.h"

//! @brief Prints the simulation results used in docs/decisions. Usage: query-figures [NAME..]

using arbutusgrade::Duration;
using arbutusgrade::runSimulation;
using arbutusgrade::SimulationFigures;
using arbutusgrade::SimulationOptions;
using arbutusgrade::SlotPolicy;

namespace {

double inMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

double percentage(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void printHeader()
{
    std::cout
        << "| run | submitted | complete % | partial % | not run % | failed % | p50 ms | p99 ms"
           " | p99.9 ms | urgent p99 ms | urgent refused % | extra % | sheds % | violations |\n"
           "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

SimulationFigures report(std::string_view name, const SimulationOptions &options)
{
    SimulationFigures figures = runSimulation(options);
    std::cout << std::fixed << std::setprecision(2) << "| " << name << " | " << figures.m_submitted
              << " | " << percentage(figures.m_complete, figures.m_submitted) << " | "
              << percentage(figures.m_partial, figures.m_submitted) << " | "
              << percentage(figures.m_notRun, figures.m_submitted) << " | "
              << percentage(figures.m_failed, figures.m_submitted) << " | "
              << inMilliseconds(figures.m_p50) << " | " << inMilliseconds(figures.m_p99) << " | "
              << inMilliseconds(figures.m_p999) << " | " << inMilliseconds(figures.m_urgentP99)
              << " | " << percentage(figures.m_urgentRefused, figures.m_urgentSubmitted) << " | "
              << 100.0 * figures.m_extraLoad << " | " << 100.0 * figures.m_sheds << " | "
              << figures.m_violations << " |\n"
              << std::flush;
    return figures;
}

void reportSlots()
{
    printHeader();
    for (const SlotPolicy policy : {SlotPolicy::Adaptive, SlotPolicy::StaticShare}) {
        const std::string prefix = policy == SlotPolicy::Adaptive ? "adaptive " : "static ";
        for (const double load : {0.3, 0.6, 0.85, 1.0, 1.3}) {
            SimulationOptions options;
            options.m_load = load;
            options.m_urgentShare = 0.2;
            options.m_query.m_slotPolicy = policy;
            const std::string name = prefix + std::to_string(std::lround(load * 100)) + " %";
            report(name, options);
            options.m_stragglerFactor = 5;
            report(name + ", straggler", options);
            options.m_stragglerFactor = 1;
            options.m_pauseAtSeconds = 8;
            report(name + ", paused node", options);
        }
    }
}

void reportTails()
{
    printHeader();
    for (const int services : {30, 290}) {
        for (const bool hedge : {true, false}) {
            for (const double slow : {0.0, 0.01}) {
                SimulationOptions options;
                options.m_services = services;
                options.m_load = 0.3;
                options.m_durationSeconds = services > 100 ? 8 : 20;
                options.m_hedge = hedge;
                options.m_slowShare = slow;
                report("fan-out " + std::to_string(services) + (hedge ? ", hedged" : ", not hedged")
                           + (slow > 0 ? ", 1 % slow" : ""),
                       options);
            }
        }
    }
}

void reportFreeze()
{
    printHeader();
    SimulationOptions options;
    options.m_urgentShare = 0.5;
    options.m_load = 0.4;
    options.m_warmUpSeconds = 7;
    report("no target frozen", options);
    options.m_freezeAtSeconds = 5;
    report("one frozen for 2 s", options);
}

void reportOutage()
{
    printHeader();
    SimulationOptions options;
    options.m_load = 0.85;
    options.m_outageAtSeconds = 5;
    options.m_durationSeconds = 60;
    options.m_warmUpSeconds = 45;
    const SimulationFigures figures = report("10 s after a 30 s outage", options);
    for (std::size_t second = 30; second < 50 && second < figures.m_completeBySecond.size();
         ++second) {
        std::cout << "second " << second << ": " << figures.m_completeBySecond[second] << " of "
                  << figures.m_submittedBySecond[second] << " complete\n";
    }
}

void reportPoison()
{
    for (const bool probe : {true, false}) {
        printHeader();
        SimulationOptions options;
        options.m_load = 0.4;
        options.m_poisonIntervalSeconds = 4;
        options.m_durationSeconds = 40;
        options.m_query.m_probePayloads = probe;
        const SimulationFigures figures =
            report(probe ? "unknown payloads probed" : "not probed", options);
        std::cout << figures.m_poisonRequests << " crashing requests, " << figures.m_lostTargets
                  << " targets lost, at most " << figures.m_maximumLostToOneRequest << " to one\n";
        options.m_poisonIntervalSeconds = 0;
        report("no crashing requests", options);
    }
}

} // namespace

int main(int count, char **arguments)
{
    const std::vector<std::pair<std::string_view, std::function<void()>>> reports{
        {"slots", reportSlots},   {"tails", reportTails},   {"freeze", reportFreeze},
        {"outage", reportOutage}, {"poison", reportPoison},
    };
    for (const std::pair<std::string_view, std::function<void()>> &entry : reports) {
        bool wanted = count < 2;
        for (int index = 1; index < count; ++index) {
            wanted = wanted || entry.first == arguments[index];
        }
        if (wanted) {
            std::cout << "\n" << entry.first << "\n\n";
            entry.second();
        }
    }
    return EXIT_SUCCESS;
}
