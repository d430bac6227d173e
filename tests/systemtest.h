#pragma once

#include <map>
#include <string>

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include "load.h"
#include "support/site.h"

//! @brief What the tests of whole sites have in common.
namespace arbutusgrade::support {

inline const std::string programs = ARBUTUSGRADE_PROGRAMS;

inline boost::json::object makeRequest(const std::string &id, const std::string &kind,
                                       const boost::json::value &payload = boost::json::object{
                                           {"text", "test"}})
{
    return {{"requestId", id}, {"kind", kind}, {"payload", payload}};
}

//! @brief Load on all nodes of a site with entries checked.
inline load::LoadOptions makeLoad(const Site &site, std::string_view mix, double rate,
                                  double seconds)
{
    load::LoadOptions options;
    for (const std::uint16_t port : site.callerPorts()) {
        options.m_nodes.push_back(load::NodeAddress{"127.0.0.1", port});
    }
    options.m_mix = *load::parseMix(mix);
    options.m_rate = rate;
    options.m_length = Duration(static_cast<std::int64_t>(seconds * 1e6));
    options.m_checkEntries = true;
    return options;
}

//! @brief Fails the test for each answer that broke a guarantee.
inline void expectNoProblems(const load::LoadResult &result)
{
    for (const std::string &problem : result.m_problems) {
        ADD_FAILURE() << problem;
    }
}

//! @brief G4 and G5: `not-run` did not run, `complete` ran once, all else ran once at most.
inline void expectOnceTruth(const Site &site, const load::LoadResult &result,
                            const std::string &kind)
{
    const std::map<std::string, std::int64_t> executions = site.onceExecutions();
    for (const load::Sample &sample : result.m_samples) {
        if (result.m_mix[sample.m_kind].m_kind != kind) {
            continue;
        }
        const auto found = executions.find(sample.m_id);
        const std::int64_t count = found == executions.end() ? 0 : found->second;
        EXPECT_LE(count, 1) << sample.m_id << " " << sample.m_outcome;
        if (sample.m_outcome == "complete") {
            EXPECT_EQ(count, 1) << sample.m_id << " answered complete";
        }
        if (sample.m_outcome == "not-run" || sample.m_outcome == "rejected") {
            EXPECT_EQ(count, 0) << sample.m_id << " answered " << sample.m_outcome;
        }
    }
}

} // namespace arbutusgrade::support
