#include "support/site.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <sstream>
#include <stdexcept>

namespace arbutusgrade::support {

namespace json = boost::json;

namespace {

constexpr int targetsForEachProcess = 60;
constexpr milliseconds startTimeout{10000};

std::string_view modeName(AnswerMode mode)
{
    switch (mode) {
    case AnswerMode::Complete:
        return "complete";
    case AnswerMode::BestByDeadline:
        return "best-by-deadline";
    case AnswerMode::Single:
        return "single";
    case AnswerMode::Once:
        return "once";
    }
    return "complete";
}

void writeKind(std::ostream &out, const KindSettings &kind)
{
    out << "  - name: " << kind.m_name << "\n    group: " << kind.m_group
        << "\n    mode: " << modeName(kind.m_mode) << "\n    priority: " << kind.m_priority
        << "\n    deadlineMilliseconds: " << kind.m_deadline.count() << "\n";
    if (kind.m_mode == AnswerMode::Once) {
        return;
    }
    out << "    hedge: " << (kind.m_hedge ? "true" : "false") << "\n    retries: " << kind.m_retries
        << "\n";
    if (kind.m_mode == AnswerMode::BestByDeadline) {
        out << "    enoughCoverage: " << kind.m_enoughCoverage << "\n";
    }
    if (kind.m_mode == AnswerMode::Complete) {
        out << "    partialAllowed: " << (kind.m_partialAllowed ? "true" : "false") << "\n";
    }
}

std::string behaviourOption(const GroupPlan &group)
{
    json::object behaviour{{"slots", group.m_slots},
                           {"connectionLimit", group.m_connections},
                           {"connectMs", group.m_connectMs},
                           {"serviceMs", group.m_serviceMs},
                           {"serviceSpread", group.m_serviceSpread}};
    const json::value more = json::parse(group.m_behaviour);
    for (const json::key_value_pair &member : more.as_object()) {
        behaviour[member.key()] = member.value();
    }
    return "--behaviour=" + json::serialize(behaviour);
}

} // namespace

std::string serviceName(const GroupPlan &group, int service)
{
    if (group.m_services == 1) {
        return group.m_name;
    }
    const std::string digits = std::to_string(service + 1);
    const std::size_t width = std::max<std::size_t>(2, std::to_string(group.m_services).size());
    return group.m_name + "-" + std::string(width - digits.size(), '0') + digits;
}

Site::Site(SitePlan plan, std::string programs)
    : m_plan(std::move(plan)), m_programs(std::move(programs))
{
    startStore();
    for (const GroupPlan &group : m_plan.m_groups) {
        startTargets(group);
    }
    const std::size_t nodes = static_cast<std::size_t>(m_plan.m_nodes);
    const std::vector<std::uint16_t> ports = freePorts(2 * nodes);
    m_callerPorts.assign(ports.begin(), ports.begin() + m_plan.m_nodes);
    m_peerPorts.assign(ports.begin() + m_plan.m_nodes, ports.end());
    m_nodes.resize(nodes);
    writeFile(m_directory.path() + "/base.yaml", settingsText());
    for (const std::string &dataCentre : m_plan.m_dataCentres) {
        writeFile(m_directory.path() + "/" + dataCentre + ".yaml", "site: " + dataCentre + "\n");
    }
}

void Site::startStore()
{
    m_store = ChildProcess({m_programs + "/platform-standin"}, m_directory.path() + "/store.log");
    m_storePort =
        static_cast<std::uint16_t>(std::stoi(m_store.waitForOutput("port", startTimeout)));
}

void Site::startTargets(const GroupPlan &group)
{
    const int total = group.m_services * group.m_replicas;
    int count = group.m_firstAlone ? 1 : targetsForEachProcess;
    for (int first = 0; first < total; first += count, count = targetsForEachProcess) {
        Host host;
        host.m_group = group.m_name;
        host.m_first = first;
        host.m_count = std::min(count, total - first);
        host.m_process = ChildProcess(
            {m_programs + "/target-standin", "--targets=" + std::to_string(host.m_count),
             "--seed=" + std::to_string(1 + m_hosts.size()), behaviourOption(group)},
            m_directory.path() + "/targets-" + std::to_string(m_hosts.size()) + ".log");
        m_hosts.push_back(std::move(host));
    }
    for (Host &host : m_hosts) {
        if (host.m_port == 0) {
            host.m_port = static_cast<std::uint16_t>(
                std::stoi(host.m_process.waitForOutput("port", startTimeout)));
        }
    }
}

std::string Site::settingsText() const
{
    std::ostringstream out;
    out << "firm: " << m_plan.m_firm << "\nregion: " << m_plan.m_region << "\ndataCentres: [";
    for (const std::string &dataCentre : m_plan.m_dataCentres) {
        out << (&dataCentre == &m_plan.m_dataCentres.front() ? "" : ", ") << dataCentre;
    }
    const std::uint16_t storePort = m_plan.m_storePort != 0 ? m_plan.m_storePort : m_storePort;
    out << "]\nstore:\n  address: 127.0.0.1\n  port: " << storePort
        << "\nshutdownLingerMilliseconds: " << m_plan.m_shutdownLingerMs
        << "\nshutdownBoundMilliseconds: " << m_plan.m_shutdownBoundMs << "\nnodes:\n";
    for (int node = 0; node < m_plan.m_nodes; ++node) {
        const std::size_t index = static_cast<std::size_t>(node);
        out << "  - {name: " << nodeName(node)
            << ", dataCentre: " << m_plan.m_dataCentres[index % m_plan.m_dataCentres.size()]
            << ", address: 127.0.0.1, callerPort: " << m_callerPorts[index]
            << ", peerPort: " << m_peerPorts[index] << "}\n";
    }
    out << "groups:\n";
    for (const GroupPlan &group : m_plan.m_groups) {
        out << "  - name: " << group.m_name
            << "\n    connectMilliseconds: " << static_cast<int>(group.m_connectMs)
            << "\n    services:\n";
        for (int service = 0; service < group.m_services; ++service) {
            const std::string name = serviceName(group, service);
            out << "      - name: " << name << "\n        slots: " << group.m_slots
                << "\n        connections: " << group.m_connections << "\n        targets:\n";
            for (int replica = 0; replica < group.m_replicas; ++replica) {
                const std::size_t turn =
                    static_cast<std::size_t>(service) + static_cast<std::size_t>(replica);
                out << "          - {name: " << name << "-" << replica + 1
                    << ", dataCentre: " << m_plan.m_dataCentres[turn % m_plan.m_dataCentres.size()]
                    << ", address: 127.0.0.1, port: "
                    << targetPort(group.m_name, service * group.m_replicas + replica) << "}\n";
            }
        }
        if (&group == &m_plan.m_groups.front()) {
            out << m_plan.m_partitionings;
        }
    }
    out << "kinds:\n";
    for (const KindSettings &kind : m_plan.m_kinds) {
        writeKind(out, kind);
    }
    return out.str();
}

const SitePlan &Site::plan() const
{
    return m_plan;
}

std::uint16_t Site::storePort() const
{
    return m_storePort;
}

void Site::startNode(int node)
{
    const std::size_t index = static_cast<std::size_t>(node);
    const std::string &dataCentre = m_plan.m_dataCentres[index % m_plan.m_dataCentres.size()];
    const std::string directory = m_directory.path();
    m_nodes[index] = ChildProcess(
        {m_programs + "/arbutusgraded", "--base=" + directory + "/base.yaml",
         "--overlay=" + directory + "/" + dataCentre + ".yaml", "--node=" + nodeName(node)},
        directory + "/" + nodeName(node) + ".log");
}

void Site::startNodes()
{
    for (int node = 0; node < m_plan.m_nodes; ++node) {
        startNode(node);
    }
    for (int node = 0; node < m_plan.m_nodes; ++node) {
        waitUntilReady(node);
    }
}

void Site::waitUntilReady(int node, milliseconds timeout)
{
    HttpReply reply;
    const bool ready = waitUntil(
        [&] {
            reply = httpCall(callerPort(node), "GET", "/readyz", {}, milliseconds(1000));
            return reply.m_status == 200 || !this->node(node).running();
        },
        timeout);
    if (!ready || reply.m_status != 200) {
        throw std::runtime_error(nodeName(node) + " is not ready: " + std::to_string(reply.m_status)
                                 + " " + reply.m_body + reply.m_error + "\n" + nodeOutput(node));
    }
}

ChildProcess &Site::node(int node)
{
    return m_nodes[static_cast<std::size_t>(node)];
}

std::string Site::nodeName(int node) const
{
    const std::size_t count = m_plan.m_dataCentres.size();
    const std::size_t index = static_cast<std::size_t>(node);
    return m_plan.m_dataCentres[index % count] + "-" + std::to_string(index / count + 1);
}

std::uint16_t Site::callerPort(int node) const
{
    return m_callerPorts[static_cast<std::size_t>(node)];
}

std::vector<std::uint16_t> Site::callerPorts() const
{
    return m_callerPorts;
}

std::string Site::nodeOutput(int node) const
{
    return readFile(m_nodes[static_cast<std::size_t>(node)].outputFile());
}

HttpReply Site::query(int node, const json::object &request, milliseconds timeout) const
{
    return httpCall(callerPort(node), "POST", "/v1/query", json::serialize(request), timeout);
}

HttpReply Site::callStore(std::string_view method, std::string_view path,
                          std::string_view body) const
{
    return httpCall(m_storePort, method, path, body);
}

const GroupPlan &Site::findGroup(std::string_view name) const
{
    const auto found =
        std::find_if(m_plan.m_groups.begin(), m_plan.m_groups.end(),
                     [name](const GroupPlan &group) { return group.m_name == name; });
    if (found == m_plan.m_groups.end()) {
        throw std::runtime_error("no such group: " + std::string(name));
    }
    return *found;
}

const Site::Host &Site::findHost(std::string_view group, int number) const
{
    for (const Host &host : m_hosts) {
        if (host.m_group == group && number >= host.m_first
            && number < host.m_first + host.m_count) {
            return host;
        }
    }
    throw std::runtime_error("no such target in " + std::string(group));
}

std::uint16_t Site::targetPort(std::string_view group, int number) const
{
    const Host &host = findHost(group, number);
    return static_cast<std::uint16_t>(host.m_port + 1 + number - host.m_first);
}

HttpReply Site::callTarget(const TargetLocation &place, std::string_view method,
                           std::string_view path, std::string_view body) const
{
    const int number = place.m_service * findGroup(place.m_group).m_replicas + place.m_replica;
    const Host &host = findHost(place.m_group, number);
    return httpCall(host.m_port, method,
                    std::string(path) + "?target=" + std::to_string(number - host.m_first), body);
}

void Site::callGroup(std::string_view group, std::string_view method, std::string_view path,
                     std::string_view body) const
{
    for (const Host &host : m_hosts) {
        if (host.m_group == group) {
            httpCall(host.m_port, method, path, body);
        }
    }
}

ChildProcess &Site::targetProcess(const TargetLocation &place)
{
    const int number = place.m_service * findGroup(place.m_group).m_replicas + place.m_replica;
    const Host &found = findHost(place.m_group, number);
    const auto host = std::find_if(m_hosts.begin(), m_hosts.end(), [&found](const Host &candidate) {
        return candidate.m_port == found.m_port;
    });
    return host->m_process;
}

json::object Site::targetStatistics(const TargetLocation &place) const
{
    return jsonBody(callTarget(place, "GET", "/v1/statistics"));
}

std::vector<json::object> Site::groupStatistics(std::string_view group) const
{
    std::vector<json::object> all;
    for (const Host &host : m_hosts) {
        if (host.m_group != group) {
            continue;
        }
        const HttpReply reply = httpCall(host.m_port, "GET", "/v1/statistics");
        if (reply.m_status == 0) {
            continue; // The process was killed and its counts went with it.
        }
        const json::object body = jsonBody(reply);
        for (const json::value &target : body.at("targets").as_array()) {
            all.push_back(target.as_object());
        }
    }
    return all;
}

std::int64_t Site::sumStatistics(std::string_view group, std::string_view name) const
{
    std::int64_t sum = 0;
    for (const json::object &target : groupStatistics(group)) {
        sum += target.at(name).to_number<std::int64_t>();
    }
    return sum;
}

std::int64_t Site::maximumStatistics(std::string_view group, std::string_view name) const
{
    std::int64_t maximum = 0;
    for (const json::object &target : groupStatistics(group)) {
        maximum = std::max(maximum, target.at(name).to_number<std::int64_t>());
    }
    return maximum;
}

std::map<std::string, std::int64_t> Site::onceExecutions() const
{
    std::map<std::string, std::int64_t> executions;
    for (const GroupPlan &group : m_plan.m_groups) {
        for (const json::object &target : groupStatistics(group.m_name)) {
            for (const json::key_value_pair &count : target.at("onceExecutions").as_object()) {
                executions[std::string(count.key())] += count.value().to_number<std::int64_t>();
            }
        }
    }
    return executions;
}

} // namespace arbutusgrade::support
