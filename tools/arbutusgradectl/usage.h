#pragma once

#include <span>
#include <string>
#include <string_view>

//! @brief Commands of arbutusgradectl, the flags that each takes, and their help.
namespace arbutusgrade::control {

struct CommandUsage
{
    std::string_view m_name;
    std::string_view m_arguments; //!< As shown in the help.
    std::size_t m_minimumArguments = 0;
    std::size_t m_maximumArguments = 0;
    bool m_callsNodes = true; //!< Needs --nodes.
    std::span<const std::string_view> m_flags;
    std::string_view m_summary;
    std::string_view m_details; //!< With examples.
};

//! @brief Returns the usage of a command, or nullptr.
const CommandUsage *findCommand(std::string_view name);

//! @brief List of all commands and the exit codes.
std::string generalHelp();

//! @brief Help of one command: what it does, its flags and examples.
std::string commandHelp(const CommandUsage &command);

} // namespace arbutusgrade::control
