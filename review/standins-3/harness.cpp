#include "harness.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iterator>
#include <memory>
#include <stdexcept>

#include <arpa/inet.h>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace arbutusgrade::review3 {

namespace json = boost::json;
using std::chrono::seconds;

namespace {

constexpr int listenBacklog = 256;
constexpr std::size_t readSizeBytes = 65536;
constexpr milliseconds forever = std::chrono::hours(1);

sockaddr_in endpointOf(const std::string &address, std::uint16_t port)
{
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
    return endpoint;
}

//! @brief Binds a free port of the address. Returns the socket, and the port by reference.
int bindFreePort(const std::string &address, std::uint16_t &port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in endpoint = endpointOf(address, 0);
    socklen_t size = sizeof(endpoint);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&endpoint), sizeof(endpoint)) != 0
        || ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&endpoint), &size) != 0) {
        ::close(descriptor);
        throw std::runtime_error("no free port at " + address);
    }
    port = ntohs(endpoint.sin_port);
    return descriptor;
}

std::uint16_t freePort(const std::string &address)
{
    std::uint16_t port = 0;
    ::close(bindFreePort(address, port));
    return port;
}

void setNoDelay(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void replaceAll(std::string &text, const std::string &placeholder, const std::string &value)
{
    for (std::size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at + value.size())) {
        text.replace(at, placeholder.size(), value);
    }
}

std::string encodeBase64(const std::string &bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

// Bounds and limits of the smallest deployment of the users' pages.
json::object boundsOfDeployment()
{
    return {{"contactMs", 4000},     {"drainMs", 3000},         {"graceS", 6},
            {"configApplyMs", 3000}, {"retryBudgetRatio", 0.2}, {"budgetWindowS", 10},
            {"retryBudgetSlack", 58}};
}

} // namespace

bool hasTrouble()
{
    const char *const trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

Record::Record(const std::string &path) : m_file(path) { }

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - m_start).count();
}

void Record::write(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", seconds());
    m_file << time.data() << line << '\n' << std::flush;
}

std::string Message::header(std::string_view name) const
{
    for (const std::pair<std::string, std::string> &header : m_headers) {
        if (header.first.size() == name.size()
            && ::strncasecmp(header.first.data(), name.data(), name.size()) == 0) {
            return header.second;
        }
    }
    return {};
}

int Message::status() const
{
    const std::size_t space = m_startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(m_startLine.c_str() + space);
}

std::string Message::target() const
{
    const std::size_t first = m_startLine.find(' ');
    const std::size_t second = m_startLine.find(' ', first + 1);
    return first == std::string::npos ? std::string()
                                      : m_startLine.substr(first + 1, second - first - 1);
}

bool Message::endsConnection() const
{
    return header("Connection") == "close";
}

Connection::Connection(const std::string &address, std::uint16_t port)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in endpoint = endpointOf(address, port);
    setNoDelay(m_descriptor);
    if (::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&endpoint), sizeof(endpoint))
        != 0) {
        close();
    }
}

Connection::~Connection()
{
    close();
}

void Connection::close(bool reset)
{
    if (m_descriptor < 0) {
        return;
    }
    if (reset) {
        const linger option{1, 0};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    }
    ::close(m_descriptor);
    m_descriptor = -1;
}

bool Connection::send(std::string_view bytes)
{
    while (isOpen() && !bytes.empty()) {
        const ssize_t written = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return isOpen();
}

ReadEnd Connection::read(Message &message, milliseconds timeout)
{
    const Clock::time_point end = Clock::now() + timeout;
    std::size_t needed = 0; // Bytes of the whole message, once its head has arrived.
    while (isOpen()) {
        const std::size_t headEnd = m_buffer.find("\r\n\r\n");
        if (needed == 0 && headEnd != std::string::npos) {
            message = Message{};
            std::size_t at = m_buffer.find("\r\n");
            message.m_startLine = m_buffer.substr(0, at);
            while (at < headEnd) {
                const std::size_t next = m_buffer.find("\r\n", at + 2);
                const std::string line = m_buffer.substr(at + 2, next - at - 2);
                const std::size_t colon = line.find(':');
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                message.m_headers.emplace_back(
                    line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
                at = next;
            }
            needed =
                headEnd + 4
                + static_cast<std::size_t>(std::atol(message.header("Content-Length").c_str()));
        }
        if (needed > 0 && m_buffer.size() >= needed) {
            message.m_body = m_buffer.substr(headEnd + 4, needed - headEnd - 4);
            m_buffer.erase(0, needed);
            return ReadEnd::Whole;
        }
        const milliseconds left = std::chrono::duration_cast<milliseconds>(end - Clock::now());
        pollfd wait{m_descriptor, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&wait, 1, static_cast<int>(left.count())) <= 0) {
            return ReadEnd::TimedOut;
        }
        std::array<char, readSizeBytes> bytes{};
        const ssize_t received = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
        if (received <= 0) {
            return ReadEnd::Closed;
        }
        m_buffer.append(bytes.data(), static_cast<std::size_t>(received));
    }
    return ReadEnd::Closed;
}

Backend::Backend(std::string id, Handler handler)
    : m_id(std::move(id)), m_handler(std::move(handler)),
      m_listener(bindFreePort("127.0.0.1", m_port))
{
    ::listen(m_listener, listenBacklog);
    m_acceptor = std::thread([this] { accept(); });
}

Backend::~Backend()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const int descriptor : m_descriptors) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    while (m_active > 0) {
        std::this_thread::sleep_for(milliseconds(5));
    }
}

void Backend::accept()
{
    while (!m_stopping) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        setNoDelay(descriptor);
        ++m_active;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_descriptors.push_back(descriptor);
        }
        std::thread([this, descriptor] {
            serve(descriptor);
            --m_active;
        }).detach();
    }
}

void Backend::serve(int descriptor)
{
    Connection connection(descriptor);
    Message request;
    while (!m_stopping && connection.read(request, forever) == ReadEnd::Whole) {
        const std::string answer = m_handler(request);
        if (answer.empty() || !connection.send(answer)) {
            break;
        }
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::erase(m_descriptors, descriptor);
}

Process::~Process()
{
    end();
}

bool Process::start(const std::vector<std::string> &command,
                    const std::map<std::string, std::string> &environment,
                    const std::string &logFile)
{
    std::vector<std::string> variables{"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C"};
    variables.reserve(variables.size() + environment.size());
    for (const std::pair<const std::string, std::string> &variable : environment) {
        variables.push_back(variable.first + '=' + variable.second);
    }
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    std::vector<char *> environmentPointers;
    environmentPointers.reserve(variables.size() + 1);
    for (std::string &variable : variables) {
        environmentPointers.push_back(variable.data());
    }
    environmentPointers.push_back(nullptr);
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_status.reset();
    m_id = ::fork();
    if (m_id == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the case, however that ends.
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(arguments[0], arguments.data(), environmentPointers.data());
        ::_exit(127);
    }
    ::close(log);
    return m_id > 0;
}

void Process::signal(int number) const
{
    if (m_id > 0 && !m_status) {
        ::kill(m_id, number);
    }
}

void Process::end()
{
    if (m_id <= 0 || ended()) {
        return;
    }
    ::kill(m_id, SIGKILL);
    int status = 0;
    ::waitpid(m_id, &status, 0);
    m_status = status;
}

std::optional<int> Process::ended()
{
    int status = 0;
    if (m_id > 0 && !m_status && ::waitpid(m_id, &status, WNOHANG) == m_id) {
        m_status = status;
    }
    return m_status;
}

Node::Node(std::string name, std::string address, std::string directory, std::uint16_t storePort)
    : m_name(std::move(name)), m_address(std::move(address)), m_directory(std::move(directory)),
      m_storePort(storePort), m_callerPort(freePort(m_address)),
      m_readinessPort(freePort(m_address))
{
    const std::string callers = m_address + ':' + std::to_string(m_callerPort);
    const std::string readiness = m_address + ':' + std::to_string(m_readinessPort);
    const std::string store = "127.0.0.1:" + std::to_string(m_storePort);
    const std::map<std::string, std::string> fields{{"{{nodeName}}", m_name},
                                                    {"{{zone}}", "bergen"},
                                                    {"{{bindAddresses.front}}", callers},
                                                    {"{{bindAddresses.ready}}", readiness},
                                                    {"{{platform.address}}", store},
                                                    {"{{platform.minTtlMs}}", "1000"},
                                                    {"{{bounds.retryBudgetRatio}}", "0.2"},
                                                    {"{{bounds.retryBudgetSlack}}", "58"},
                                                    {"{{bounds.budgetWindowS}}", "10"},
                                                    {"{{bounds.graceS}}", "6"},
                                                    {"{{bounds.configApplyMs}}", "3000"},
                                                    {"{{bounds.drainMs}}", "3000"},
                                                    {"{{bounds.contactMs}}", "4000"}};
    std::string settings = readFile("platform/node.yaml.template");
    for (const std::pair<const std::string, std::string> &field : fields) {
        replaceAll(settings, field.first, field.second);
    }
    std::ofstream(m_directory + '/' + m_name + ".yaml") << settings;
}

bool Node::start()
{
    const json::object description{
        {"nodeName", m_name},
        {"ip", m_address},
        {"zone", "bergen"},
        {"internalPortRange", json::array{7740, 7755}},
        {"limits", json::object{{"cpuShare", 0.25}, {"memoryMb", 260}, {"fileDescriptors", 4100}}},
        {"bounds", boundsOfDeployment()}};
    return m_process.start({"target/bin/arbutusgrade-gateway"},
                           {{"ARBUTUSGRADE_SETTINGS", m_directory + '/' + m_name + ".yaml"},
                            {"ARBUTUSGRADE_NODE", json::serialize(description)}},
                           m_directory + '/' + m_name + ".log");
}

bool Node::isReady() const
{
    Connection connection(m_address, m_readinessPort);
    Message reply;
    return connection.send("GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n")
           && connection.read(reply, seconds(1)) == ReadEnd::Whole && reply.status() == 200;
}

bool Node::waitUntilReady(milliseconds timeout)
{
    const Clock::time_point end = Clock::now() + timeout;
    while (Clock::now() < end && !m_process.ended()) {
        if (isReady()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

std::string Node::logTail() const
{
    constexpr std::size_t tailBytes = 400;
    const std::string log = readFile(m_directory + '/' + m_name + ".log");
    return log.substr(log.size() - std::min(log.size(), tailBytes));
}

Site::Site()
{
    std::string name = "/tmp/arbutusgrade-review-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_directory = name;
}

Site::~Site()
{
    m_nodes.clear();
    m_store.end();
    for (const std::string file : {"store"}) {
        ::unlink((m_directory + '/' + file + ".log").c_str());
    }
    for (int number = 1; number <= 16; ++number) {
        const std::string node = m_directory + "/front-" + std::to_string(number);
        ::unlink((node + ".log").c_str());
        ::unlink((node + ".yaml").c_str());
    }
    ::rmdir(m_directory.c_str());
}

bool Site::startStore()
{
    m_storePort = freePort("127.0.0.1");
    m_store.start({"target/bin/platform-standin", "--port=" + std::to_string(m_storePort)}, {},
                  m_directory + "/store.log");
    for (int attempt = 0; attempt < 100; ++attempt) {
        if (Connection("127.0.0.1", m_storePort).isOpen()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

bool Site::put(const std::string &key, const std::string &value)
{
    const json::object item{{"key", key}, {"value", encodeBase64(value)}};
    return change(json::serialize(json::object{{"setKeys", json::array{item}}}));
}

bool Site::remove(const std::string &key)
{
    return change(json::serialize(json::object{{"deleteKeys", json::array{key}}}));
}

bool Site::change(const std::string &body)
{
    Connection connection("127.0.0.1", m_storePort);
    Message reply;
    return connection.send("POST /kv-txn HTTP/1.1\r\nHost: store\r\nContent-Length: "
                           + std::to_string(body.size()) + "\r\n\r\n" + body)
           && connection.read(reply, seconds(5)) == ReadEnd::Whole && reply.status() == 200;
}

bool Site::putBackend(const Backend &backend, const std::string &service, StatusReport report)
{
    const json::object entry{{"service", service},
                             {"address", "127.0.0.1:" + std::to_string(backend.port())},
                             {"zone", "bergen"},
                             {"version", "v1"},
                             {"concurrency", report.m_concurrency},
                             {"state", "ready"},
                             {"warmupLeftMs", 0},
                             {"sequence", report.m_sequence},
                             {"born", 1'790'000'000'000}};
    return put("servers/" + backend.id(), json::serialize(entry));
}

Node &Site::addNode(const std::string &name)
{
    const std::string address = "127.77.0." + std::to_string(m_nodes.size() + 1);
    m_nodes.push_back(std::make_unique<Node>(name, address, m_directory, m_storePort));
    return *m_nodes.back();
}

std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        milliseconds budget, const std::string &moreHeaders,
                        const std::string &body)
{
    std::string text =
        method + ' ' + path + " HTTP/1.1\r\nHost: leno12.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(budget.count()) + "\r\n" + moreHeaders;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string answerText(const Message &request, const std::string &receipt, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
           + "\r\nX-Server-Stamp: " + receipt + "\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

bool isForOther(const Message &request, const std::string &id)
{
    return request.header("X-Expected-Instance") != id;
}

std::string wrongBackendText(const Message &request)
{
    return "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "
           + request.header("X-Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n";
}

std::string limitsText(int maxHeaderBytes)
{
    return json::serialize(json::object{{"maxHeaderBytes", maxHeaderBytes},
                                        {"maxBodyBytes", 262144},
                                        {"headerTimeoutMs", 3000},
                                        {"idleTimeoutMs", 15000}});
}

} // namespace arbutusgrade::review3
