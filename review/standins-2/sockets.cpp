#include "standins.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <iomanip>
#include <poll.h>
#include <sstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

//! @brief Record, messages, connections and listeners.
namespace review {

namespace {

const Clock::time_point programStart = Clock::now();

constexpr std::size_t maximumBodyBytes = 4 * 1024 * 1024;

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

std::string word(const std::string &line, int index)
{
    std::istringstream stream(line);
    std::string text;
    for (int position = 0; position <= index; ++position) {
        text.clear();
        stream >> text;
    }
    return text;
}

sockaddr_in socketAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

} // namespace

double secondsNow()
{
    return std::chrono::duration<double>(Clock::now() - programStart).count();
}

void sleepFor(Milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

Record::Record(const std::string &path) : m_file(path, std::ios::trunc) { }

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << secondsNow() << ' ' << text << std::endl;
}

std::string Message::header(std::string_view name) const
{
    for (const std::pair<std::string, std::string> &field : m_headers) {
        if (lowerCase(field.first) == lowerCase(name)) {
            return field.second;
        }
    }
    return {};
}

std::string Message::method() const
{
    return word(m_start, 0);
}

std::string Message::target() const
{
    return word(m_start, 1);
}

int Message::status() const
{
    return std::atoi(word(m_start, 1).c_str());
}

Connection::Connection(int socket) : m_socket(socket)
{
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
    ::close(m_socket);
}

bool Connection::fill(Clock::time_point deadline)
{
    const Milliseconds left =
        std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()) + Milliseconds(1);
    pollfd descriptor{m_socket, POLLIN, 0};
    if (left.count() <= 0 || ::poll(&descriptor, 1, static_cast<int>(left.count())) <= 0) {
        return false;
    }
    char bytes[16 * 1024];
    const ssize_t count = ::recv(m_socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Connection::readLine(Clock::time_point deadline)
{
    std::size_t end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!fill(deadline)) {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n");
    }
    std::string line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return line;
}

bool Connection::readBytes(std::string &into, std::size_t count, Clock::time_point deadline)
{
    if (count > maximumBodyBytes) {
        return false;
    }
    while (m_buffer.size() < count) {
        if (!fill(deadline)) {
            return false;
        }
    }
    into.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    return true;
}

bool Connection::readChunks(std::string &into, Clock::time_point deadline)
{
    while (true) {
        const std::optional<std::string> size = readLine(deadline);
        if (!size) {
            return false;
        }
        const std::size_t count = std::strtoul(size->c_str(), nullptr, 16);
        if (!readBytes(into, count, deadline) || !readLine(deadline)) {
            return false;
        }
        if (count == 0) {
            return true;
        }
    }
}

std::optional<Message> Connection::read(Milliseconds timeout)
{
    const Clock::time_point deadline = Clock::now() + timeout;
    Message message;
    const std::optional<std::string> start = readLine(deadline);
    if (!start) {
        return std::nullopt;
    }
    message.m_start = *start;
    while (true) {
        const std::optional<std::string> line = readLine(deadline);
        if (!line) {
            return std::nullopt;
        }
        if (line->empty()) {
            break;
        }
        const std::size_t colon = std::min(line->find(':'), line->size());
        const std::size_t value = line->find_first_not_of(" \t", colon + 1);
        message.m_headers.emplace_back(line->substr(0, colon),
                                       value == std::string::npos ? "" : line->substr(value));
    }
    bool isComplete = true;
    if (message.header("transfer-encoding") == "chunked") {
        isComplete = readChunks(message.m_body, deadline);
    } else if (!message.header("content-length").empty()) {
        isComplete = readBytes(message.m_body,
                               std::strtoul(message.header("content-length").c_str(), nullptr, 10),
                               deadline);
    }
    return isComplete ? std::optional(message) : std::nullopt;
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

void Connection::shutdown()
{
    ::shutdown(m_socket, SHUT_RDWR);
}

ConnectionPointer connectTo(const std::string &address, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in peer = socketAddress(address, port);
    ConnectionPointer connection = std::make_shared<Connection>(socket);
    const bool isConnected =
        ::connect(socket, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) == 0;
    return isConnected ? connection : nullptr;
}

Listener::~Listener()
{
    close();
}

bool Listener::open(const std::string &address, std::uint16_t port, Handler handler)
{
    m_handler = std::move(handler);
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in own = socketAddress(address, port);
    socklen_t length = sizeof(own);
    sockaddr *const bytes = reinterpret_cast<sockaddr *>(&own);
    if (::bind(m_socket, bytes, length) != 0 || ::listen(m_socket, SOMAXCONN) != 0
        || ::getsockname(m_socket, bytes, &length) != 0) {
        ::close(m_socket);
        return false;
    }
    m_port = ntohs(own.sin_port);
    m_isOpen = true;
    m_thread = std::thread([this] {
        while (m_isOpen) {
            const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket >= 0) {
                accept(socket);
            }
        }
    });
    return true;
}

void Listener::accept(int socket)
{
    const ConnectionPointer connection = std::make_shared<Connection>(socket);
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_isOpen) {
        return;
    }
    m_connections.insert(connection);
    ++m_served;
    std::thread([this, connection] {
        m_handler(connection);
        connection->shutdown();
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_connections.erase(connection);
        --m_served;
    }).detach();
}

void Listener::close()
{
    if (!m_isOpen.exchange(false)) {
        return;
    }
    ::shutdown(m_socket, SHUT_RDWR);
    m_thread.join();
    ::close(m_socket);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const ConnectionPointer &connection : m_connections) {
            connection->shutdown();
        }
    }
    // The threads use this object; those that sleep end soon.
    for (bool isServing = true; isServing; sleepFor(Milliseconds(1))) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        isServing = m_served > 0;
    }
}

} // namespace review
