#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "configuration/configuration.h"
#include "settings/settings.h"

//! @brief What the daemon and the tools share of the administration API (docs/admin-api.md).
//!
//! JSON messages, tokens and rights of teams, quotas and line differences. Nothing here performs
//! input or output or reads a clock; all functions may be called from any thread.
namespace arbutusgrade {

inline constexpr std::string_view teamTokenHeader = "X-Team-Token";

//! @brief Status and body of an HTTP answer.
struct AdministrationAnswer
{
    int m_status = 200;
    std::string m_body;
};

//! @brief Answer to `GET /v1/admin/configuration`.
struct ConfigurationView
{
    std::int64_t m_revision = 0;
    ConfigurationDocument m_document;
};

//! @brief A node as the asked node sees it.
struct NodeStatus
{
    std::string m_name;
    std::string m_dataCentre;
    std::string m_state;         //!< "alive", "suspect", "dead" or "left".
    std::int64_t m_revision = 0; //!< Revision in force there; -1 if not known.
};

//! @brief Answer to `GET /v1/admin/nodes`.
struct NodeList
{
    std::int64_t m_revision = 0; //!< In force at the asked node.
    std::vector<NodeStatus> m_nodes;
};

//! @name Requests and answers as JSON
//! Format functions write what parse functions read. A parse function returns all findings of a
//! text together; their file is "request" or "answer".
//! @{
std::string formatChangeRequest(const ConfigurationWrite &write);

//! @brief Reads the body of `POST /v1/admin/configuration`. Handle and timestamp are left empty.
Checked<ConfigurationWrite> parseChangeRequest(std::string_view text);

//! @brief Status 200, 409, 422 or 503 with its body, by the result of the write.
AdministrationAnswer formatChangeAnswer(const AnswerWrite &answer);
Checked<AnswerWrite> parseChangeAnswer(int status, std::string_view text);

std::string formatConfigurationView(const ConfigurationView &view);
Checked<ConfigurationView> parseConfigurationView(std::string_view text);

//! @brief Answer to `GET /v1/admin/changes/CHANGEID`.
std::string formatChangeState(const AnswerChange &answer);
Checked<AnswerChange> parseChangeState(std::string_view text);

std::string formatNodeList(const NodeList &list);
Checked<NodeList> parseNodeList(std::string_view text);

//! @brief `{"findings":[...]}`
std::string formatFindings(const std::vector<Finding> &findings);

//! @brief `{"error":"..."}`
std::string formatError(std::string_view message);

//! @brief The error or the findings of an answer that is no success, one a line.
std::string describeRefusal(int status, std::string_view text);
//! @}

//! @brief Whether a text can be a change id: 8 to 64 letters, digits, '-' or '_'.
bool isChangeId(std::string_view text) noexcept;

//! @brief Settings of a document by site; the base alone is under the empty name.
using SettingsBySite = std::map<std::string, Settings>;

//! @brief Parses the base with each overlay. An overlay must be filed under the site that it names.
//! @return the settings, or all findings; the files are called "base" and "overlays/SITE".
Checked<SettingsBySite> parseDocumentSettings(std::string_view base,
                                              const std::map<std::string, std::string> &overlays);

//! @brief Hash of a token as it stands in the settings: "sha256:" and 64 hex digits.
std::string hashToken(std::string_view token);

//! @brief Compares a token with a hash in a time that does not depend on where they differ.
bool matchesToken(std::string_view token, std::string_view tokenHash) noexcept;

//! @brief The team of a token, or nullptr. All teams are compared, whichever matches.
const TeamSettings *findTeam(const Settings &settings, std::string_view token) noexcept;

//! @brief Changes that the team may not make.
//!
//! A team may change its own groups with their kinds. All else, new groups and the removal of
//! groups need `platform: true`. Pass the team as it is in the settings before the change, else a
//! team could widen its own rights.
std::vector<Finding> findForbiddenChanges(const TeamSettings &team, const SettingsBySite &before,
                                          const SettingsBySite &after);

//! @brief Whether the team may drain the target; unknown targets belong to no team.
bool mayDrainTarget(const TeamSettings &team, const Settings &settings, std::string_view target);

//! @brief Rate limit with bursts.
struct TokenBucket
{
    double m_ratePerSecond = 0.0; //!< 0: no limit.
    double m_burst = 1.0;
    double m_tokens = 0.0;
    TimePoint m_refilled{};
};

//! @brief A full bucket that allows one second's worth of requests at once.
TokenBucket createTokenBucket(TimePoint now, int requestsPerSecond) noexcept;

//! @brief Takes one token if there is one. Time that runs backwards adds nothing.
bool takeToken(TokenBucket &bucket, TimePoint now) noexcept;

//! @brief Lines in which two texts differ, in unified format without file names.
//!
//! Texts that differ in more than a thousand lines are shown as one replaced block.
//! @return an empty text if they are equal.
std::string differenceOfLines(std::string_view from, std::string_view to);

} // namespace arbutusgrade
