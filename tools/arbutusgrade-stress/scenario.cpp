#include "scenario.h"

#include <array>

namespace arbutusgrade::stress {

std::span<const Scenario> allScenarios()
{
    static const std::array<Scenario, 3> scenarios{requestScenario, configurationScenario,
                                                   membershipScenario};
    return scenarios;
}

} // namespace arbutusgrade::stress
