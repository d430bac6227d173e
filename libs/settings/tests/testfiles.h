#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

#include <gtest/gtest.h>

namespace arbutusgrade {

//! @brief Returns the text of a file below examples/.
inline std::string readExample(std::string_view name)
{
    std::ifstream file(std::string(ARBUTUSGRADE_EXAMPLES) + "/" + std::string(name));
    EXPECT_TRUE(file.is_open()) << name;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace arbutusgrade
