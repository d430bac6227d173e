#include <array>

#include "configworld.h"

namespace arbutusgrade::stress {

namespace {

struct MutantName
{
    std::string_view m_name;
    ConfigurationMutant m_mutant;
};

constexpr std::array<MutantName, 4> mutants{{
    {"adopt-any-revision", ConfigurationMutant::AdoptAnyRevision},
    {"lost-reply-means-failure", ConfigurationMutant::LostReplyMeansFailure},
    {"view-arbitrates", ConfigurationMutant::ViewArbitrates},
    {"ready-on-revision-zero", ConfigurationMutant::ReadyOnRevisionZero},
}};

constexpr std::array<std::string_view, mutants.size()> mutantNames{
    mutants[0].m_name, mutants[1].m_name, mutants[2].m_name, mutants[3].m_name};

RunResult runConfiguration(const RunOptions &options)
{
    ConfigurationMutant mutant = ConfigurationMutant::None;
    for (const MutantName &entry : mutants) {
        if (entry.m_name == options.m_mutant) {
            mutant = entry.m_mutant;
        }
    }
    ConfigurationWorld world(options, mutant);
    return world.run();
}

} // namespace

const Scenario configurationScenario{
    "config",
    "configuration under store outages, lost replies, cuts, restarts and racing operators",
    mutantNames, &runConfiguration};

} // namespace arbutusgrade::stress
