#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "administration/administration.h"
#include "client.h"

//! @brief Commands of arbutusgradectl. They write results to one stream and errors to another and
//! return the exit code.
namespace arbutusgrade::control {

//! @name Exit codes; docs/design.md section 3
//! @{
inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;
inline constexpr int exitUnreachable = 3;
inline constexpr int exitConflict = 4;
inline constexpr int exitNotInForce = 5;
//! @}

//! @brief What the command line says.
struct CommandOptions
{
    std::string m_command;
    std::vector<std::string> m_arguments;
    std::vector<Endpoint> m_nodes;
    std::string m_token;
    bool m_json = false;
    std::string m_base; //!< File name; empty if not given.
    std::vector<std::string> m_overlays;
    std::vector<std::string> m_removedOverlays; //!< Names of sites.
    std::optional<std::int64_t> m_revision;
    std::string m_author;
    std::string m_summary;
    std::string m_changeId;
    bool m_wait = false;
    std::chrono::milliseconds m_timeout{14'000};
    //! How long a change without an answer is looked for before it counts as not applied. A node
    //! tries a write for 8 s.
    std::chrono::milliseconds m_settleTime{10'000};
    std::chrono::milliseconds m_pollInterval{250};
    std::string m_payload; //!< JSON text of a query.
    std::string m_service;
    std::string m_requestId;
    std::optional<int> m_deadlineMilliseconds;
    int m_sendNumber = 1;
    std::vector<std::string> m_logs; //!< Files with log lines of nodes.
};

//! @brief Where a command writes.
struct CommandOutput
{
    std::ostream &m_out;
    std::ostream &m_error;
};

int runCommand(const CommandOptions &options, const CommandOutput &output);

int runValidate(const CommandOptions &options, const CommandOutput &output);
int runGet(const CommandOptions &options, const CommandOutput &output);
int runDiff(const CommandOptions &options, const CommandOutput &output);
int runApply(const CommandOptions &options, const CommandOutput &output);
int runChange(const CommandOptions &options, const CommandOutput &output);
int runHistory(const CommandOptions &options, const CommandOutput &output);
int runStatus(const CommandOptions &options, const CommandOutput &output);
int runDrain(const CommandOptions &options, const CommandOutput &output);
int runQuery(const CommandOptions &options, const CommandOutput &output);
int runExplain(const CommandOptions &options, const CommandOutput &output);
int runNewToken(const CommandOptions &options, const CommandOutput &output);

//! @brief Texts of the files named on the command line.
struct LocalFiles
{
    std::optional<std::string> m_base;
    std::map<std::string, std::string> m_overlays; //!< By file name.
};

//! @brief Reads the files; reports those that cannot be read.
std::optional<LocalFiles> readFiles(const CommandOptions &options, const CommandOutput &output);

//! @brief Reads the document in force from any node.
//! @return nothing after reporting why; then the exit code is set.
std::optional<ConfigurationView> fetchConfiguration(const CommandOptions &options,
                                                    const CommandOutput &output, int &exitCode);

//! @brief The document in force with the local files put in their places.
//! @return nothing after reporting findings in the files; then the exit code is set.
std::optional<ConfigurationDocument> mergeFiles(const CommandOptions &options,
                                                const ConfigurationView &inForce,
                                                const CommandOutput &output, int &exitCode);

//! @brief Differences of all files of two documents, with a heading for each file.
std::string differenceOfDocuments(const ConfigurationDocument &from,
                                  const ConfigurationDocument &to);

//! @brief Reports a call that got no answer or a refusal; returns the exit code.
int reportFailure(const HttpAnswer &answer, const CommandOutput &output);

//! @brief Writes findings to the error stream, or as JSON to the output; returns exitUsage.
int reportFindings(const std::vector<Finding> &findings, const CommandOptions &options,
                   const CommandOutput &output);

//! @brief 128 random bits as hex digits, for change ids and request ids.
std::string randomId();

} // namespace arbutusgrade::control
