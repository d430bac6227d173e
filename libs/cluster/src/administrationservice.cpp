#include <algorithm>
#include <ctime>

#include <boost/json.hpp>

#include "details/clusterservice.h"

namespace arbutusgrade {

namespace {

namespace json = boost::json;

constexpr std::string_view changesPath = "/v1/admin/changes/";
constexpr std::string_view targetsPath = "/v1/admin/targets/";
constexpr int drainWriteAttempts = 3;

HttpResponse jsonResponse(int status, const json::object &body)
{
    HttpResponse response;
    response.m_status = status;
    response.m_body = json::serialize(body);
    return response;
}

HttpResponse errorResponse(int status, std::string_view error)
{
    return jsonResponse(status, {{"error", error}});
}

std::string formatCurrentTime()
{
    const std::time_t seconds = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32] = {};
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

HttpResponse findingsResponse(int status, const std::vector<Finding> &findings)
{
    json::array list;
    for (const Finding &finding : findings) {
        list.push_back({{"file", finding.m_file},
                        {"line", finding.m_line},
                        {"column", finding.m_column},
                        {"message", finding.m_message}});
    }
    return jsonResponse(status, {{"findings", std::move(list)}});
}

HttpResponse writeResponse(const AnswerWrite &answer)
{
    switch (answer.m_result) {
    case WriteResult::Accepted:
        return jsonResponse(200,
                            {{"revision", answer.m_revision}, {"changeId", answer.m_changeId}});
    case WriteResult::Conflict:
        return jsonResponse(409, {{"revision", answer.m_revision},
                                  {"changeId", answer.m_changeId},
                                  {"author", answer.m_author},
                                  {"difference", answer.m_difference}});
    case WriteResult::Invalid:
        return findingsResponse(422, answer.m_findings);
    case WriteResult::NotApplied:
        return jsonResponse(503, {{"error", answer.m_error}, {"applied", "no"}});
    case WriteResult::Unknown:
        break;
    }
    return jsonResponse(503, {{"error", answer.m_error}, {"applied", "unknown"}});
}

std::string_view changeStateName(ChangeState state)
{
    switch (state) {
    case ChangeState::Accepted:
        return "accepted";
    case ChangeState::Absent:
        return "absent";
    case ChangeState::Unknown:
        break;
    }
    return "unknown";
}

bool settingsHaveTarget(const Settings &settings, const std::string &name)
{
    for (const GroupSettings &group : settings.m_groups) {
        for (const ServiceSettings &service : group.m_services) {
            for (const TargetSettings &target : service.m_targets) {
                if (target.m_name == name) {
                    return true;
                }
            }
        }
    }
    return false;
}

} // namespace

void ClusterService::addRoutes()
{
    addRoute("GET", "/v1/admin/configuration", &ClusterService::showConfiguration);
    addRoute("POST", "/v1/admin/configuration", &ClusterService::submitConfiguration);
    addRoute("GET", changesPath, &ClusterService::showChange);
    addRoute("GET", "/v1/admin/nodes", &ClusterService::showNodes);
    addRoute("POST", targetsPath, &ClusterService::changeDraining);
}

void ClusterService::addRoute(std::string_view method, std::string_view path, Route route)
{
    m_shell.server().addRoute(
        std::string(method), std::string(path),
        [this, route](const HttpRequest &request, const HttpResponder &responder) {
            if (authorize(request, responder)) {
                (this->*route)(request, responder);
            }
        });
}

void ClusterService::showConfiguration(const HttpRequest & /*request*/,
                                       const HttpResponder &responder)
{
    const ConfigurationDocument &document = m_configuration.m_document;
    json::object overlays;
    for (const std::pair<const std::string, std::string> &overlay : document.m_overlays) {
        overlays[overlay.first] = overlay.second;
    }
    json::array history;
    for (const ConfigurationChange &change : document.m_changes) {
        history.push_back({{"revision", change.m_revision},
                           {"changeId", change.m_changeId},
                           {"author", change.m_author},
                           {"timestamp", change.m_timestamp},
                           {"summary", change.m_summary}});
    }
    json::array draining;
    for (const std::string &target : document.m_draining) {
        draining.emplace_back(target);
    }
    responder(jsonResponse(200, {{"revision", m_configuration.m_revision},
                                 {"changeId", document.m_changeId},
                                 {"author", document.m_author},
                                 {"timestamp", document.m_timestamp},
                                 {"base", document.m_base},
                                 {"overlays", std::move(overlays)},
                                 {"draining", std::move(draining)},
                                 {"history", std::move(history)}}));
}

void ClusterService::submit(ConfigurationWrite write, WriteResponder responder)
{
    write.m_request = ++m_lastRequestId;
    write.m_timestamp = formatCurrentTime();
    m_pendingWrites[write.m_request] = std::move(responder);
    processConfigurationEvent([this, &write](TimePoint now, ConfigurationActions &actions) {
        submitWrite(m_configuration, now, write, actions);
    });
}

void ClusterService::submitConfiguration(const HttpRequest &request, const HttpResponder &responder)
{
    const Checked<ConfigurationWrite> write = parseChangeRequest(request.m_body);
    if (!write) {
        responder(findingsResponse(400, write.error()));
        return;
    }
    const std::vector<Finding> forbidden = findForbiddenWrites(request, write.value());
    if (!forbidden.empty()) {
        responder(findingsResponse(403, forbidden));
        return;
    }
    submit(write.value(),
           [responder](const AnswerWrite &answer) { responder(writeResponse(answer)); });
}

void ClusterService::showChange(const HttpRequest &request, const HttpResponder &responder)
{
    const std::string changeId = request.m_path.substr(changesPath.size());
    const std::uint64_t requestId = ++m_lastRequestId;
    m_pendingLookups[requestId] = responder;
    processConfigurationEvent(
        [this, requestId, &changeId](TimePoint now, ConfigurationActions &actions) {
            lookUpChange(m_configuration, now, requestId, changeId, actions);
        });
}

void ClusterService::perform(const AnswerChange &action)
{
    const auto found = m_pendingLookups.find(action.m_request);
    if (found == m_pendingLookups.end()) {
        return;
    }
    const HttpResponder responder = std::move(found->second);
    m_pendingLookups.erase(found);
    responder(jsonResponse(
        200, {{"state", changeStateName(action.m_state)}, {"revision", action.m_revision}}));
}

void ClusterService::showNodes(const HttpRequest & /*request*/, const HttpResponder &responder)
{
    json::array nodes;
    for (const MemberView &view : memberViews(m_membership, steadyNow())) {
        const MemberUpdate &member = view.m_member;
        nodes.push_back(
            {{"name", member.m_name},
             {"dataCentre", member.m_dataCentre},
             {"state", view.m_reachable ? memberStateName(member.m_state) : "unreachable"},
             {"revision", member.m_revision}});
    }
    responder(
        jsonResponse(200, {{"revision", m_configuration.m_revision}, {"nodes", std::move(nodes)}}));
}

void ClusterService::changeDraining(const HttpRequest &request, const HttpResponder &responder)
{
    const std::string targetAndVerb = request.m_path.substr(targetsPath.size());
    const std::size_t slash = targetAndVerb.rfind('/');
    const std::string target = targetAndVerb.substr(0, slash);
    const std::string verb =
        slash == std::string::npos ? std::string() : targetAndVerb.substr(slash + 1);
    if (verb != "drain" && verb != "undrain") {
        responder(errorResponse(404, "expected /v1/admin/targets/NAME/drain or undrain"));
        return;
    }
    if (!settingsHaveTarget(m_shell.settings(), target)) {
        responder(errorResponse(404, "no target named " + target));
        return;
    }
    const TeamSettings *team = findRequestTeam(request);
    if (team != nullptr && !mayDrainTarget(*team, m_shell.settings(), target)) {
        responder(errorResponse(403, "team " + team->m_name + " may not drain target " + target));
        return;
    }
    // At revision 0 a node has only the overlay of its own site, so a write would drop the others.
    if (m_configuration.m_revision == 0) {
        responder(jsonResponse(
            503, {{"error", "no configuration has been applied yet"}, {"applied", "no"}}));
        return;
    }
    writeDraining(target, verb == "drain", drainWriteAttempts, responder);
}

void ClusterService::writeDraining(const std::string &target, bool draining, int attemptsLeft,
                                   const HttpResponder &responder)
{
    const ConfigurationDocument &document = m_configuration.m_document;
    std::vector<std::string> drainingTargets = document.m_draining;
    std::erase(drainingTargets, target);
    if (draining) {
        drainingTargets.push_back(target);
    }
    const std::string verb = draining ? "drain" : "undrain";
    ConfigurationWrite write;
    write.m_changeId = verb + "-" + target + "-" + m_self.m_name + "-"
                       + std::to_string(m_options.m_incarnation) + "-"
                       + std::to_string(m_lastRequestId + 1);
    write.m_author = "operator at " + m_self.m_name;
    write.m_summary = verb + " " + target;
    write.m_expectedRevision = m_configuration.m_revision;
    write.m_base = document.m_base;
    write.m_overlays = document.m_overlays;
    write.m_draining = std::move(drainingTargets);
    submit(std::move(write),
           [this, target, draining, attemptsLeft, responder](const AnswerWrite &answer) {
               // Retries with the list of draining targets rebuilt from the conflicting change.
               if (answer.m_result == WriteResult::Conflict && attemptsLeft > 1
                   && answer.m_revision == m_configuration.m_revision) {
                   writeDraining(target, draining, attemptsLeft - 1, responder);
                   return;
               }
               responder(writeResponse(answer));
           });
}

} // namespace arbutusgrade
