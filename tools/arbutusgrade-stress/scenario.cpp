#include "scenario.h"

#include <array>

namespace arbutusgrade::stress {

std::span<const Scenario> allScenarios()
{
    static const std::array<Scenario, 1> scenarios{requestScenario};
    return scenarios;
}

} // namespace arbutusgrade::stress
