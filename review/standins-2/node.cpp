#include "standins.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <sstream>

#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

//! @brief Processes of the gateway, and callers.
namespace review {

namespace {

constexpr int internalPorts = 4;
constexpr Milliseconds readyPollInterval{50};
constexpr Milliseconds answerMargin{2'000};

//! @brief The bounds of the small deployments.
json::object bounds()
{
    return {{"seedLagS", 3},         {"addressReuseS", 2},
            {"contactMs", 4000},     {"ackMs", 5000},
            {"catchUpS", 4},         {"drainMs", 3000},
            {"graceS", 6},           {"lossSlackMs", 200},
            {"configApplyMs", 3000}, {"rollbackSlackMs", 250},
            {"maxStretchMs", 12000}, {"retryBudgetRatio", 0.2},
            {"budgetWindowS", 10},   {"retryBudgetSlack", 56},
            {"recoveryS", 12}};
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string valueAt(const json::object &fields, const std::string &path)
{
    const std::size_t dot = path.find('.');
    const json::value *value = fields.if_contains(path.substr(0, dot));
    if (value == nullptr) {
        return {};
    }
    if (dot != std::string::npos) {
        return value->is_object() ? valueAt(value->get_object(), path.substr(dot + 1)) : "";
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

//! @brief Fills in the placeholders of the settings template as the platform does.
std::string fillTemplate(const std::string &text, const json::object &fields)
{
    std::string filled;
    std::size_t position = 0;
    while (true) {
        const std::size_t start = text.find("{{", position);
        if (start == std::string::npos) {
            return filled + text.substr(position);
        }
        const std::size_t end = text.find("}}", start);
        filled += text.substr(position, start - position);
        filled += valueAt(fields, text.substr(start + 2, end - start - 2));
        position = end + 2;
    }
}

//! @brief First of some ports in a row of which the first is free for TCP and UDP.
std::uint16_t freePort(const std::string &address)
{
    Listener listener;
    const bool isOpen = listener.open(address, 0, [](const ConnectionPointer &) {});
    return isOpen ? listener.port() : 0;
}

std::string newId()
{
    static std::atomic<std::uint64_t> last{0x9c41d07b00000000ULL + static_cast<unsigned>(getpid())};
    std::ostringstream text;
    text << std::hex << (last += 0x10001);
    return text.str();
}

} // namespace

Node::Node(std::string program, const std::string &folder, const NodeOptions &options)
    : m_program(std::move(program)), m_options(options),
      m_settingsPath(folder + "/" + options.m_name + ".yaml"),
      m_outputPath(folder + "/" + options.m_name + ".log"), m_port(freePort(options.m_address)),
      m_readyPort(freePort(options.m_address))
{
    const int internal = freePort(options.m_address);
    const std::string &address = options.m_address;
    const json::object fields{
        {"nodeName", options.m_name},
        {"role", "entry"},
        {"machineClass", "front"},
        {"ip", address},
        {"zone", options.m_zone},
        {"internalPortRange", {internal, internal + internalPorts - 1}},
        {"heartbeatMs", 1200},
        {"bindAddresses",
         {{"front", address + ":" + std::to_string(m_port)},
          {"ready", address + ":" + std::to_string(m_readyPort)}}},
        {"limits", {{"cpuShare", 0.25}, {"cpuCores", 1}, {"memoryMb", 260}}},
        {"bounds", bounds()},
        {"platform",
         {{"address", "127.0.0.1:" + std::to_string(options.m_storePort)}, {"minTtlMs", 1000}}}};
    std::ofstream(m_settingsPath) << fillTemplate(readFile("platform/node.yaml.template"), fields);
    m_description = json::serialize(fields);
}

Node::~Node()
{
    if (m_process > 0) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

bool Node::start()
{
    const std::string settings = "ARBUTUSGRADE_SETTINGS=" + m_settingsPath;
    const std::string description = "ARBUTUSGRADE_NODE=" + m_description;
    const char *const environment[] = {settings.c_str(), description.c_str(), nullptr};
    const char *const arguments[] = {m_program.c_str(), nullptr};
    const int output =
        ::open(m_outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    m_process = ::fork();
    if (m_process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(arguments[0], const_cast<char **>(arguments), const_cast<char **>(environment));
        ::_exit(127);
    }
    ::close(output);
    return m_process > 0;
}

bool Node::waitUntilReady(Milliseconds timeout)
{
    const Clock::time_point end = Clock::now() + timeout;
    while (Clock::now() < end) {
        const ConnectionPointer connection = connectTo(m_options.m_address, m_readyPort);
        if (connection && connection->write("GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n")) {
            const std::optional<Message> answer = connection->read(answerMargin);
            if (answer && answer->status() == 200) {
                return true;
            }
        }
        sleepFor(readyPollInterval);
    }
    return false;
}

void Node::signal(int number) const
{
    ::kill(m_process, number);
}

bool Node::isRunning() const
{
    return m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == 0;
}

std::string Node::output() const
{
    return readFile(m_outputPath);
}

Caller::Caller(const Node &node, Record &record) : m_node(node), m_record(record) { }

std::optional<std::string> Caller::write(const CallerRequest &request)
{
    if (!m_connection) {
        m_connection = connectTo(m_node.options().m_address, m_node.port());
    }
    if (!m_connection) {
        return std::nullopt;
    }
    const std::string id = newId();
    std::string text = request.m_method + " " + request.m_path + " HTTP/1.1\r\nHost: " + host
                       + "\r\nX-Attempt-Id: " + id
                       + "\r\nX-Deadline-Ms: " + std::to_string(request.m_deadlineMilliseconds);
    if (!request.m_key.empty()) {
        text += "\r\nAuthorization: Token " + request.m_key;
    }
    if (request.m_method != "GET") {
        text += "\r\nContent-Length: " + std::to_string(request.m_body.size());
    }
    m_record.line("caller sends " + id + " " + request.m_method + " " + request.m_path + " ("
                  + std::to_string(request.m_body.size()) + " bytes) to "
                  + m_node.options().m_name);
    if (!m_connection->write(text + "\r\n\r\n" + request.m_body)) {
        m_connection.reset();
        return std::nullopt;
    }
    return id;
}

Outcome Caller::send(const CallerRequest &request)
{
    Outcome outcome;
    outcome.m_sentAt = secondsNow();
    const std::optional<std::string> id = write(request);
    if (!id) {
        return outcome;
    }
    outcome.m_id = *id;
    const std::optional<Message> answer =
        m_connection->read(Milliseconds(request.m_deadlineMilliseconds) + answerMargin);
    if (!answer) {
        m_connection.reset();
    } else {
        outcome.m_answeredAt = secondsNow();
        outcome.m_status = answer->status();
        outcome.m_answer = *answer;
        if (answer->header("connection") == "close") {
            m_connection.reset();
        }
    }
    m_record.line("caller gets " + std::to_string(outcome.m_status) + " for " + *id);
    return outcome;
}

std::string Caller::sendAndLeave(const CallerRequest &request, Milliseconds patience)
{
    std::string id = write(request).value_or("");
    sleepFor(patience);
    m_record.line("caller leaves " + id);
    if (m_connection) {
        m_connection->shutdown();
    }
    m_connection.reset();
    return id;
}

std::optional<CaseOptions> parseArguments(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: CASE GATEWAY FOLDER RECORD\n";
        return std::nullopt;
    }
    return CaseOptions{argv[1], argv[2], argv[3]};
}

} // namespace review
