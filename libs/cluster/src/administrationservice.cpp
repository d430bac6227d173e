#include <algorithm>
#include <ctime>

#include <boost/json.hpp>

#include "details/clusterservice.h"

namespace arbutusgrade {

namespace {

namespace json = boost::json;

constexpr std::string_view changesPath = "/v1/admin/changes/";
constexpr std::string_view targetsPath = "/v1/admin/targets/";
constexpr int drainTries = 3;

HttpResponse respond(int status, const json::object &body)
{
    HttpResponse response;
    response.m_status = status;
    response.m_body = json::serialize(body);
    return response;
}

HttpResponse respondError(int status, std::string_view error)
{
    return respond(status, {{"error", error}});
}

std::string currentTimestamp()
{
    const std::time_t seconds = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32] = {};
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

HttpResponse respondFindings(int status, const std::vector<Finding> &findings)
{
    json::array list;
    for (const Finding &finding : findings) {
        list.push_back({{"file", finding.m_file},
                        {"line", finding.m_line},
                        {"column", finding.m_column},
                        {"message", finding.m_message}});
    }
    return respond(status, {{"findings", std::move(list)}});
}

HttpResponse respondWrite(const AnswerWrite &answer)
{
    switch (answer.m_result) {
    case WriteResult::Accepted:
        return respond(200, {{"revision", answer.m_revision}, {"changeId", answer.m_changeId}});
    case WriteResult::Conflict:
        return respond(409, {{"revision", answer.m_revision},
                             {"changeId", answer.m_changeId},
                             {"author", answer.m_author},
                             {"difference", answer.m_difference}});
    case WriteResult::Invalid:
        return respondFindings(422, answer.m_findings);
    case WriteResult::NotApplied:
        return respond(503, {{"error", answer.m_error}, {"applied", "no"}});
    case WriteResult::Unknown:
        break;
    }
    return respond(503, {{"error", answer.m_error}, {"applied", "unknown"}});
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

bool hasTarget(const Settings &settings, const std::string &name)
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
    responder(respond(200, {{"revision", m_configuration.m_revision},
                            {"changeId", document.m_changeId},
                            {"author", document.m_author},
                            {"timestamp", document.m_timestamp},
                            {"base", document.m_base},
                            {"overlays", std::move(overlays)},
                            {"draining", std::move(draining)},
                            {"history", std::move(history)}}));
}

void ClusterService::submit(ConfigurationWrite write, Responder responder)
{
    write.m_request = ++m_lastRequest;
    write.m_timestamp = currentTimestamp();
    m_writes[write.m_request] = std::move(responder);
    feedConfiguration([this, &write](TimePoint now, ConfigurationActions &actions) {
        submitWrite(m_configuration, now, write, actions);
    });
}

void ClusterService::submitConfiguration(const HttpRequest &request, const HttpResponder &responder)
{
    const Checked<ConfigurationWrite> write = parseChangeRequest(request.m_body);
    if (!write) {
        responder(respondFindings(400, write.error()));
        return;
    }
    const std::vector<Finding> forbidden = findForbidden(request, write.value());
    if (!forbidden.empty()) {
        responder(respondFindings(403, forbidden));
        return;
    }
    submit(write.value(),
           [responder](const AnswerWrite &answer) { responder(respondWrite(answer)); });
}

void ClusterService::showChange(const HttpRequest &request, const HttpResponder &responder)
{
    const std::string changeId = request.m_path.substr(changesPath.size());
    const std::uint64_t id = ++m_lastRequest;
    m_lookUps[id] = responder;
    feedConfiguration([this, id, &changeId](TimePoint now, ConfigurationActions &actions) {
        lookUpChange(m_configuration, now, id, changeId, actions);
    });
}

void ClusterService::perform(const AnswerChange &action)
{
    const auto found = m_lookUps.find(action.m_request);
    if (found == m_lookUps.end()) {
        return;
    }
    const HttpResponder responder = std::move(found->second);
    m_lookUps.erase(found);
    responder(respond(
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
        respond(200, {{"revision", m_configuration.m_revision}, {"nodes", std::move(nodes)}}));
}

void ClusterService::changeDraining(const HttpRequest &request, const HttpResponder &responder)
{
    const std::string rest = request.m_path.substr(targetsPath.size());
    const std::size_t slash = rest.rfind('/');
    const std::string target = rest.substr(0, slash);
    const std::string verb = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (verb != "drain" && verb != "undrain") {
        responder(respondError(404, "expected /v1/admin/targets/NAME/drain or undrain"));
        return;
    }
    if (!hasTarget(m_shell.settings(), target)) {
        responder(respondError(404, "no target named " + target));
        return;
    }
    const TeamSettings *team = teamOf(request);
    if (team != nullptr && !mayDrainTarget(*team, m_shell.settings(), target)) {
        responder(respondError(403, "team " + team->m_name + " may not drain target " + target));
        return;
    }
    // At revision 0 a node has the overlay of its own site only, and would drop the others.
    if (m_configuration.m_revision == 0) {
        responder(
            respond(503, {{"error", "no configuration has been applied yet"}, {"applied", "no"}}));
        return;
    }
    writeDraining(target, verb == "drain", drainTries, responder);
}

void ClusterService::writeDraining(const std::string &target, bool draining, int tries,
                                   const HttpResponder &responder)
{
    const ConfigurationDocument &document = m_configuration.m_document;
    std::vector<std::string> names = document.m_draining;
    std::erase(names, target);
    if (draining) {
        names.push_back(target);
    }
    const std::string verb = draining ? "drain" : "undrain";
    ConfigurationWrite write;
    write.m_changeId = verb + "-" + target + "-" + m_self.m_name + "-"
                       + std::to_string(m_options.m_incarnation) + "-"
                       + std::to_string(m_lastRequest + 1);
    write.m_author = "operator at " + m_self.m_name;
    write.m_summary = verb + " " + target;
    write.m_expectedRevision = m_configuration.m_revision;
    write.m_base = document.m_base;
    write.m_overlays = document.m_overlays;
    write.m_draining = std::move(names);
    submit(std::move(write), [this, target, draining, tries, responder](const AnswerWrite &answer) {
        // The list of drained targets is composed anew over the change that came first.
        if (answer.m_result == WriteResult::Conflict && tries > 1
            && answer.m_revision == m_configuration.m_revision) {
            writeDraining(target, draining, tries - 1, responder);
            return;
        }
        responder(respondWrite(answer));
    });
}

} // namespace arbutusgrade
