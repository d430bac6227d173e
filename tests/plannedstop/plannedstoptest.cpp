#include <cstdlib>
#include <iostream>

#include <gtest/gtest.h>

#include "stopround.h"

//! Planned stops of gateway processes under load. ARBUTUSGRADE_STOP_SEEDS="FIRST LAST" plays these
//! seeds in place of the ones of CI.
namespace arbutusgrade::support {
namespace {

const std::string programDirectory = ARBUTUSGRADE_PROGRAMS;

std::string gatewayProgram()
{
    const char *const program = std::getenv("ARBUTUSGRADE_GATEWAY");
    return program != nullptr ? program : programDirectory + "/arbutusgrade-gateway";
}

struct SeedRange
{
    std::uint64_t m_first = 1;
    std::uint64_t m_last = 2;
};

SeedRange seedRange()
{
    SeedRange range;
    if (const char *const text = std::getenv("ARBUTUSGRADE_STOP_SEEDS")) {
        char *end = nullptr;
        range.m_first = std::strtoull(text, &end, 10);
        range.m_last = std::strtoull(end, nullptr, 10);
    }
    return range;
}

void printCounts(std::uint64_t seed, const StopRoundCounts &counts)
{
    std::cout << "seed " << seed << ": sent " << counts.m_sent << ", read " << counts.m_read
              << ", passed on " << counts.m_passedOn << ", answered " << counts.m_answered
              << " (200: " << counts.m_succeeded << ", 503: " << counts.m_refused << "), not read "
              << counts.m_crossed << std::endl;
}

// Guards against a request that a stopping gateway has read and then leaves without an answer.
TEST(PlannedStop, AnswersEveryRequestThatWasRead)
{
    const SeedRange range = seedRange();
    for (std::uint64_t seed = range.m_first; seed <= range.m_last; ++seed) {
        StopRoundOptions options;
        options.m_seed = seed;
        options.m_programs = programDirectory;
        options.m_gateway = gatewayProgram();
        const StopRoundResult result = playStopRound(options);
        printCounts(seed, result.m_counts);
        for (const std::string &violation : result.m_violations) {
            ADD_FAILURE() << violation;
        }
    }
}

} // namespace
} // namespace arbutusgrade::support
