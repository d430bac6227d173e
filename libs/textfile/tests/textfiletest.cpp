#include <fstream>

#include <gtest/gtest.h>

#include "textfile/textfile.h"

namespace arbutusgrade {

// Guards against settings that lose bytes, and against an empty file that counts as a missing one.
TEST(TextFile, ReturnsTheBytesAsTheyAre)
{
    const std::string path = testing::TempDir() + "textfile";
    const std::string content("a\r\n\0b", 5);
    std::ofstream(path, std::ios::binary) << content;
    EXPECT_EQ(readTextFile(path), content);
    std::ofstream(path, std::ios::trunc).flush();
    EXPECT_EQ(readTextFile(path), std::string());
}

// Guards against a missing file, or a directory, that is taken for empty settings.
TEST(TextFile, ReturnsNothingForWhatIsNoFile)
{
    EXPECT_FALSE(readTextFile(testing::TempDir() + "missing").has_value());
    EXPECT_FALSE(readTextFile(testing::TempDir()).has_value());
}

} // namespace arbutusgrade
