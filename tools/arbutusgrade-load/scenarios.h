#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

namespace arbutusgrade::load {

struct ScenarioOptions
{
    std::string m_programs; //!< Directory of the daemon and the stand-ins.
    int m_nodes = 3;
    double m_scale = 1; //!< Of all rates.
    double m_seconds = 15;
    std::uint64_t m_seed = 1;
};

struct ScenarioResult
{
    std::string m_text;
    boost::json::object m_report; //!< Of each run by name, and the figures that are bounded.
    bool m_holds = true;          //!< All bounds hold and no answer broke a guarantee.
};

std::vector<std::string_view> scenarioNames();

//! @brief Starts daemons and stand-ins, runs the load without and with the fault and compares.
//!
//! The bounds are the goals of docs/design.md section 8. Throws std::runtime_error if a process
//! does not start or there is no such scenario.
ScenarioResult runScenario(std::string_view name, const ScenarioOptions &options);

} // namespace arbutusgrade::load
