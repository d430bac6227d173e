#include "scenario.h"

#include <array>

namespace arbutusgrade::stress {

std::span<const Scenario> allScenarios()
{
    static const std::array<Scenario, 2> scenarios{requestScenario, configurationScenario};
    return scenarios;
}

} // namespace arbutusgrade::stress
