#include "details/clusterservice.h"

namespace arbutusgrade {

namespace {

constexpr std::string_view tokenHeader = "X-Team-Token";

} // namespace

const TeamSettings *ClusterService::findRequestTeam(const HttpRequest &request) const
{
    const Settings &settings = m_shell.settings();
    return settings.m_teams.empty() ? nullptr : findTeam(settings, request.header(tokenHeader));
}

bool ClusterService::authorize(const HttpRequest &request, const HttpResponder &responder) const
{
    if (m_shell.settings().m_teams.empty() || findRequestTeam(request) != nullptr) {
        return true;
    }
    HttpResponse response;
    response.m_status = 401;
    response.m_body = R"({"error":"the team token is missing or unknown"})";
    responder(std::move(response));
    return false;
}

std::vector<Finding> ClusterService::findForbiddenWrites(const HttpRequest &request,
                                                         const ConfigurationWrite &write) const
{
    const TeamSettings *team = findRequestTeam(request);
    if (team == nullptr) {
        return {};
    }
    const Checked<SettingsBySite> after = parseDocumentSettings(write.m_base, write.m_overlays);
    if (!after) {
        // The write itself rejects invalid settings and reports their findings.
        return {};
    }
    const ConfigurationDocument &document = m_configuration.m_document;
    const Checked<SettingsBySite> before =
        parseDocumentSettings(document.m_base, document.m_overlays);
    // If the active document is unreadable, only the settings of this site are known.
    const SettingsBySite current =
        before ? before.value() : SettingsBySite{{m_shell.settings().m_site, m_shell.settings()}};
    return findForbiddenChanges(*team, current, after.value());
}

bool ClusterService::consumeQuota(const std::string &team)
{
    for (const TeamSettings &settings : m_shell.settings().m_teams) {
        if (settings.m_name != team || settings.m_requestsPerSecond == 0) {
            continue;
        }
        const TimePoint now = steadyNow();
        const auto bucket =
            m_quotaBuckets.try_emplace(team, createTokenBucket(now, settings.m_requestsPerSecond))
                .first;
        return takeToken(bucket->second, now);
    }
    return true;
}

void ClusterService::registerTeamRules()
{
    m_shell.setTeamRule([this](std::string_view token) -> std::optional<std::string> {
        const Settings &settings = m_shell.settings();
        if (settings.m_teams.empty()) {
            return std::string();
        }
        const TeamSettings *team = findTeam(settings, token);
        return team == nullptr ? std::nullopt : std::optional<std::string>(team->m_name);
    });
    m_shell.setQuotaRule([this](const std::string &team) { return consumeQuota(team); });
}

} // namespace arbutusgrade
