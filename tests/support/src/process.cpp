#include "support/process.h"

#include <cerrno>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/local/datagram_protocol.hpp>

extern char **environ;

namespace arbutusgrade::support {

namespace {

// Daemons use these ports; target-standin chooses from 12000 upwards.
constexpr unsigned lowestPort = 5000;
constexpr unsigned portRange = 7000;

[[noreturn]] void throwSystemError(int code, const std::string &what)
{
    throw std::system_error(code, std::generic_category(), what);
}

bool portIsFree(std::uint16_t port)
{
    boost::asio::io_context context;
    boost::system::error_code error;
    const boost::asio::ip::address address = boost::asio::ip::address_v4::loopback();
    boost::asio::ip::tcp::socket tcp(context, boost::asio::ip::tcp::v4());
    tcp.bind(boost::asio::ip::tcp::endpoint(address, port), error);
    if (error) {
        return false;
    }
    boost::asio::ip::udp::socket udp(context, boost::asio::ip::udp::v4());
    udp.bind(boost::asio::ip::udp::endpoint(address, port), error);
    return !error;
}

//! @brief Takes a port until the end of this process, so that no test beside it gets the port while
//! a node of this one restarts. Returns false if another process, or this one, has it already.
bool reservePort(std::uint16_t port)
{
    // A socket of the abstract name space goes with its process, also when that is killed.
    static boost::asio::io_context context;
    static std::vector<boost::asio::local::datagram_protocol::socket> reservations;
    const std::string name = std::string(1, '\0') + "arbutusgrade-port-" + std::to_string(port);
    boost::asio::local::datagram_protocol::socket socket(context,
                                                         boost::asio::local::datagram_protocol());
    boost::system::error_code error;
    socket.bind(boost::asio::local::datagram_protocol::endpoint(name), error);
    if (error) {
        return false;
    }
    reservations.push_back(std::move(socket));
    return true;
}

} // namespace

TemporaryDirectory::TemporaryDirectory()
{
    std::string path = (std::filesystem::temp_directory_path() / "arbutusgrade-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr) {
        throwSystemError(errno, "mkdtemp");
    }
    m_path = path;
}

TemporaryDirectory::~TemporaryDirectory()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

const std::string &TemporaryDirectory::path() const
{
    return m_path;
}

ChildProcess::ChildProcess(std::vector<std::string> arguments, const std::string &outputFile)
    : m_outputFile(outputFile)
{
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failure =
        posix_spawn(&m_pid, pointers.front(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        m_pid = -1;
        throwSystemError(failure, "cannot start " + arguments.front());
    }
}

ChildProcess::~ChildProcess()
{
    kill();
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1)), m_outputFile(std::move(other.m_outputFile)),
      m_state(other.m_state)
{
}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    if (this != &other) {
        kill();
        m_pid = std::exchange(other.m_pid, -1);
        m_outputFile = std::move(other.m_outputFile);
        m_state = other.m_state;
    }
    return *this;
}

pid_t ChildProcess::pid() const
{
    return m_pid;
}

const std::string &ChildProcess::outputFile() const
{
    return m_outputFile;
}

std::optional<ExitState> ChildProcess::reap(int options)
{
    if (m_pid <= 0 || m_state) {
        return m_state;
    }
    int status = 0;
    pid_t result = 0;
    do {
        result = waitpid(m_pid, &status, options);
    } while (result < 0 && errno == EINTR);
    if (result == m_pid) {
        m_state = ExitState{WIFEXITED(status) ? WEXITSTATUS(status) : -1,
                            WIFSIGNALED(status) ? WTERMSIG(status) : 0};
    }
    return m_state;
}

bool ChildProcess::running()
{
    return m_pid > 0 && !reap(WNOHANG);
}

void ChildProcess::sendSignal(int signal)
{
    if (running()) {
        ::kill(m_pid, signal);
    }
}

std::optional<ExitState> ChildProcess::wait(milliseconds timeout)
{
    waitUntil([this] { return !running(); }, timeout);
    return m_state;
}

void ChildProcess::kill()
{
    if (running()) {
        ::kill(m_pid, SIGKILL);
        reap(0);
    }
}

std::string ChildProcess::waitForOutput(const std::string &name, milliseconds timeout)
{
    std::string value;
    const bool found = waitUntil(
        [&] {
            std::istringstream lines(readFile(m_outputFile));
            std::string line;
            // The last line counts only once its end was written.
            while (std::getline(lines, line) && !lines.eof()) {
                if (line.starts_with(name + " ")) {
                    value = line.substr(name.size() + 1);
                    return true;
                }
            }
            return !running();
        },
        timeout);
    if (!found || value.empty()) {
        throw std::runtime_error("no line \"" + name
                                 + " ...\" in the output: " + readFile(m_outputFile));
    }
    return value;
}

void pauseBetweenLooks()
{
    std::this_thread::sleep_for(milliseconds(5));
}

std::vector<std::uint16_t> freePorts(std::size_t count)
{
    static std::random_device device;
    std::set<std::uint16_t> found;
    while (found.size() < count) {
        const std::uint16_t port = static_cast<std::uint16_t>(lowestPort + device() % portRange);
        if (reservePort(port) && portIsFree(port)) {
            found.insert(port);
        }
    }
    return {found.begin(), found.end()};
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

void writeFile(const std::string &path, const std::string &content)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << content;
    if (!file.flush()) {
        throw std::runtime_error("cannot write " + path);
    }
}

} // namespace arbutusgrade::support
