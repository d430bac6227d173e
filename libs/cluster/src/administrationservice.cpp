#include <algorithm>
#include <ctime>

#include <boost/json.hpp>

#include "details/clusterservice.h"

namespace arbutusgrade {

namespace {

namespace json = boost::json;

constexpr std::string_view changesPath = "/v1/admin/changes/";
constexpr std::string_view targetsPath = "/v1/admin/targets/";
constexpr std::size_t changeIdLimitBytes = 128;
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
    case WriteResult::Invalid: {
        json::array findings;
        for (const Finding &finding : answer.m_findings) {
            findings.push_back({{"file", finding.m_file},
                                {"line", finding.m_line},
                                {"column", finding.m_column},
                                {"message", finding.m_message}});
        }
        return respond(422, {{"findings", std::move(findings)}});
    }
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

//! @brief Reads the body of a change; empty if it has the wrong form.
std::optional<ConfigurationWrite> parseWrite(const std::string &body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const json::object &object = value.get_object();
    const json::value *changeId = object.if_contains("changeId");
    const json::value *expected = object.if_contains("expectedRevision");
    const json::value *author = object.if_contains("author");
    const json::value *base = object.if_contains("base");
    const json::value *overlays = object.if_contains("overlays");
    if (changeId == nullptr || !changeId->is_string() || changeId->get_string().empty()
        || changeId->get_string().size() > changeIdLimitBytes || expected == nullptr
        || !expected->is_int64() || author == nullptr || !author->is_string() || base == nullptr
        || !base->is_string() || (overlays != nullptr && !overlays->is_object())) {
        return std::nullopt;
    }
    ConfigurationWrite write;
    write.m_changeId = std::string(changeId->get_string());
    write.m_author = std::string(author->get_string());
    write.m_expectedRevision = expected->get_int64();
    write.m_base = std::string(base->get_string());
    write.m_summary = "apply";
    if (overlays != nullptr) {
        for (const json::key_value_pair &overlay : overlays->get_object()) {
            if (!overlay.value().is_string()) {
                return std::nullopt;
            }
            write.m_overlays[std::string(overlay.key())] =
                std::string(overlay.value().get_string());
        }
    }
    return write;
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
    HttpServer &server = m_shell.server();
    server.addRoute("GET", "/v1/admin/configuration",
                    [this](const HttpRequest &, const HttpResponder &responder) {
                        showConfiguration(responder);
                    });
    server.addRoute("POST", "/v1/admin/configuration",
                    [this](const HttpRequest &request, const HttpResponder &responder) {
                        submitConfiguration(request, responder);
                    });
    server.addRoute("GET", changesPath,
                    [this](const HttpRequest &request, const HttpResponder &responder) {
                        showChange(request, responder);
                    });
    server.addRoute(
        "GET", "/v1/admin/nodes",
        [this](const HttpRequest &, const HttpResponder &responder) { showNodes(responder); });
    server.addRoute("POST", targetsPath,
                    [this](const HttpRequest &request, const HttpResponder &responder) {
                        changeDraining(request, responder);
                    });
}

void ClusterService::showConfiguration(const HttpResponder &responder) const
{
    const ConfigurationDocument &document = m_configuration.m_document;
    json::object overlays;
    for (const auto &[site, text] : document.m_overlays) {
        overlays[site] = text;
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
    const std::optional<ConfigurationWrite> write = parseWrite(request.m_body);
    if (!write) {
        responder(
            respondError(400, "expected {changeId, expectedRevision, author, base, overlays}"));
        return;
    }
    submit(*write, [responder](const AnswerWrite &answer) { responder(respondWrite(answer)); });
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

void ClusterService::showNodes(const HttpResponder &responder) const
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
