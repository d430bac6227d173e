#include <chrono>

#include <gtest/gtest.h>

#include "settings/settings.h"
#include "testfiles.h"

namespace arbutusgrade {
namespace {

// Guards against a time to parse that grows faster than the file, up to the largest one.
TEST(LargeFiles, AreParsedInSeconds)
{
    std::string many = readExample("sendernett/base.yaml") + "extra:\n";
    while (many.size() < 990'000) {
        many += "  - {name: extra, dataCentre: nowhere, address: x, port: 0}\n";
    }
    std::string deep = "firm: ";
    deep.resize(990'000, '[');
    std::string keys = "firm: a\nkinds:\n";
    while (keys.size() < 990'000) {
        keys += "  - {deadlineMillisecond: 1, groop: b}\n";
    }
    for (const std::string &text : {many, deep, keys}) {
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        EXPECT_TRUE(parseSettings({"base", text}, {}).has_error());
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
        EXPECT_LT(elapsed.count(), 20.0) << text.substr(0, 20);
    }
}

} // namespace
} // namespace arbutusgrade
