#include "textfile/textfile.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace arbutusgrade {

std::optional<std::string> readTextFile(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    std::error_code ignored;
    // A directory can be opened, but reads as an empty file.
    if (!file || std::filesystem::is_directory(path, ignored)) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace arbutusgrade
