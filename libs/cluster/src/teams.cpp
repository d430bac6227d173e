#include "details/clusterservice.h"

namespace arbutusgrade {

namespace {

constexpr std::string_view tokenHeader = "X-Team-Token";

} // namespace

const TeamSettings *ClusterService::teamOf(const HttpRequest &request) const
{
    const Settings &settings = m_shell.settings();
    return settings.m_teams.empty() ? nullptr : findTeam(settings, request.header(tokenHeader));
}

bool ClusterService::authorize(const HttpRequest &request, const HttpResponder &responder) const
{
    if (m_shell.settings().m_teams.empty() || teamOf(request) != nullptr) {
        return true;
    }
    HttpResponse response;
    response.m_status = 401;
    response.m_body = R"({"error":"the team token is missing or unknown"})";
    responder(std::move(response));
    return false;
}

std::vector<Finding> ClusterService::findForbidden(const HttpRequest &request,
                                                   const ConfigurationWrite &write) const
{
    const TeamSettings *team = teamOf(request);
    if (team == nullptr) {
        return {};
    }
    const Checked<SettingsBySite> after = parseDocumentSettings(write.m_base, write.m_overlays);
    if (!after) {
        // Faulty settings are refused with their findings by the write itself.
        return {};
    }
    const ConfigurationDocument &document = m_configuration.m_document;
    const Checked<SettingsBySite> before =
        parseDocumentSettings(document.m_base, document.m_overlays);
    // Without a readable document in force only the settings of this site are known.
    const SettingsBySite known =
        before ? before.value() : SettingsBySite{{m_shell.settings().m_site, m_shell.settings()}};
    return findForbiddenChanges(*team, known, after.value());
}

bool ClusterService::takeQuota(const std::string &team)
{
    for (const TeamSettings &settings : m_shell.settings().m_teams) {
        if (settings.m_name != team || settings.m_requestsPerSecond == 0) {
            continue;
        }
        const TimePoint now = steadyNow();
        const auto bucket =
            m_quotas.try_emplace(team, createTokenBucket(now, settings.m_requestsPerSecond)).first;
        return takeToken(bucket->second, now);
    }
    return true;
}

void ClusterService::installTeamRules()
{
    m_shell.setTeamRule([this](std::string_view token) -> std::optional<std::string> {
        const Settings &settings = m_shell.settings();
        if (settings.m_teams.empty()) {
            return std::string();
        }
        const TeamSettings *team = findTeam(settings, token);
        return team == nullptr ? std::nullopt : std::optional<std::string>(team->m_name);
    });
    m_shell.setQuotaRule([this](const std::string &team) { return takeQuota(team); });
}

} // namespace arbutusgrade
