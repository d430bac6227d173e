#include "standins.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <boost/json.hpp>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace arbutusgrade::review {

namespace json = boost::json;

namespace {

const Clock::time_point programStart = Clock::now();

constexpr Milliseconds reportInterval{1200};
constexpr Milliseconds idleLimit{60'000};
constexpr std::size_t pageItems = 500;

// How long the store keeps its events.
constexpr std::chrono::seconds historyTime{20};

std::mutex processMutex;
std::vector<pid_t> processes;

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
                  return std::tolower(static_cast<unsigned char>(a))
                         == std::tolower(static_cast<unsigned char>(b));
              });
}

std::string trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t\r");
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(" \t\r") - first + 1));
}

constexpr std::string_view base64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    for (std::size_t start = 0; start < bytes.size(); start += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - start);
        for (std::size_t index = 0; index < 3; ++index) {
            const std::uint32_t byte =
                index < count ? static_cast<unsigned char>(bytes[start + index]) : 0;
            group = group << 8U | byte;
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? base64Digits[group >> (18U - 6U * index) & 63U] : '=';
        }
    }
    return text;
}

std::string decodeBase64(std::string_view text)
{
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char digit : text) {
        const std::size_t value = base64Digits.find(digit);
        if (value == std::string_view::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded += static_cast<char>(
                std::strtol(std::string(text.substr(index + 1, 2)).c_str(), nullptr, 16));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(std::string_view target)
{
    std::map<std::string, std::string> query;
    std::size_t start = target.find('?');
    while (start != std::string_view::npos) {
        const std::size_t end = std::min(target.find('&', start + 1), target.size());
        const std::string_view pair = target.substr(start + 1, end - start - 1);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        query[percentDecode(pair.substr(0, equals))] =
            percentDecode(pair.substr(std::min(equals + 1, pair.size())));
        start = end < target.size() ? end : std::string_view::npos;
    }
    return query;
}

std::uint64_t numberOf(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::string textOf(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

sockaddr_in socketAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

int openListener(const std::string &address, std::uint16_t &port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in endpoint = socketAddress(address, port);
    if (::bind(listener, reinterpret_cast<sockaddr *>(&endpoint), sizeof(endpoint)) != 0
        || ::listen(listener, 512) != 0) {
        ::close(listener);
        return -1;
    }
    socklen_t length = sizeof(endpoint);
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&endpoint), &length);
    port = ntohs(endpoint.sin_port);
    return listener;
}

std::uint16_t findFreePort(const std::string &address)
{
    std::uint16_t port = 0;
    ::close(openListener(address, port));
    return port;
}

std::string httpResponse(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::mt19937_64 &generator()
{
    static thread_local std::mt19937_64 engine{std::random_device{}()};
    return engine;
}

//! @brief Fills in the template of the deploy file with the fields of a small deployment.
std::string fillTemplate(const std::map<std::string, std::string> &fields)
{
    std::ifstream file("platform/node.yaml.template");
    std::stringstream text;
    text << file.rdbuf();
    std::string settings = text.str();
    for (const std::pair<const std::string, std::string> &field : fields) {
        settings = replaceAll(std::move(settings), "{{" + field.first + "}}", field.second);
    }
    return settings;
}

} // namespace

void Record::open(const std::string &path)
{
    m_file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
}

void Record::write(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string time = std::to_string(elapsedMs());
    time.insert(0, time.size() < 6 ? 6 - time.size() : 0, ' ');
    const std::string text = time + " ms  " + line + "\n";
    if (::write(m_file, text.data(), text.size()) < 0) {
        std::cerr << text;
    }
}

Record &record()
{
    static Record instance;
    return instance;
}

std::int64_t elapsedMs()
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - programStart).count();
}

void sleepFor(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

std::string Message::header(std::string_view name) const
{
    for (const std::pair<std::string, std::string> &header : m_headers) {
        if (equalsIgnoringCase(header.first, name)) {
            return header.second;
        }
    }
    return {};
}

bool Message::hasHeader(std::string_view name) const
{
    return std::any_of(m_headers.begin(), m_headers.end(),
                       [name](const std::pair<std::string, std::string> &header) {
                           return equalsIgnoringCase(header.first, name);
                       });
}

int Message::status() const
{
    const std::size_t space = m_start.find(' ');
    return space == std::string::npos ? 0 : std::atoi(m_start.c_str() + space);
}

std::string Message::method() const
{
    return m_start.substr(0, m_start.find(' '));
}

std::string Message::target() const
{
    const std::size_t first = m_start.find(' ');
    const std::size_t last = m_start.rfind(' ');
    return first < last ? m_start.substr(first + 1, last - first - 1) : std::string();
}

Connection::Connection(int socket) : m_socket(socket)
{
    const int enabled = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

Connection::~Connection()
{
    ::close(m_socket);
}

bool Connection::fill(Clock::time_point end)
{
    const std::int64_t left = std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count();
    pollfd state{m_socket, POLLIN, 0};
    if (left < 0 || ::poll(&state, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    std::array<char, 16384> bytes{};
    const ssize_t count = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        m_ended = true;
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<Message> Connection::read(Milliseconds limit)
{
    const Clock::time_point end = Clock::now() + limit;
    std::size_t headEnd = m_buffer.find("\r\n\r\n");
    while (headEnd == std::string::npos) {
        if (!fill(end)) {
            return std::nullopt;
        }
        headEnd = m_buffer.find("\r\n\r\n");
    }
    Message message;
    std::istringstream lines(m_buffer.substr(0, headEnd));
    std::string line;
    std::getline(lines, line);
    message.m_start = trimmed(line);
    while (std::getline(lines, line)) {
        const std::size_t colon = std::min(line.find(':'), line.size());
        message.m_headers.emplace_back(line.substr(0, colon),
                                       trimmed(line.substr(std::min(colon + 1, line.size()))));
    }
    m_buffer.erase(0, headEnd + 4);
    const std::size_t length = static_cast<std::size_t>(
        std::strtoull(message.header("Content-Length").c_str(), nullptr, 10));
    while (m_buffer.size() < length) {
        if (!fill(end)) {
            return std::nullopt;
        }
    }
    message.m_body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return message;
}

bool Connection::write(std::string_view bytes)
{
    const std::lock_guard<std::mutex> lock(m_writeMutex);
    while (!bytes.empty()) {
        const ssize_t count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool Connection::waitWhileOpen(Milliseconds duration)
{
    const Clock::time_point end = Clock::now() + duration;
    while (Clock::now() < end) {
        const std::int64_t left =
            std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count();
        pollfd state{m_socket, POLLRDHUP, 0};
        if (::poll(&state, 1, static_cast<int>(left) + 1) > 0) {
            return false;
        }
    }
    return true;
}

void Connection::close()
{
    ::shutdown(m_socket, SHUT_RDWR);
}

ConnectionPointer connectTo(const std::string &address, std::uint16_t port, Milliseconds limit)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in endpoint = socketAddress(address, port);
    const int result =
        ::connect(handle, reinterpret_cast<const sockaddr *>(&endpoint), sizeof(endpoint));
    pollfd state{handle, POLLOUT, 0};
    int error = 0;
    socklen_t length = sizeof(error);
    if ((result != 0 && errno != EINPROGRESS)
        || ::poll(&state, 1, static_cast<int>(limit.count())) <= 0
        || ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        ::close(handle);
        return nullptr;
    }
    ::fcntl(handle, F_SETFL, ::fcntl(handle, F_GETFL) & ~O_NONBLOCK);
    return std::make_shared<Connection>(handle);
}

std::optional<Message> exchange(Connection &connection, std::string_view request,
                                Milliseconds limit)
{
    return connection.write(request) ? connection.read(limit) : std::nullopt;
}

void Server::start(const std::string &address, std::uint16_t port, Handler handler)
{
    m_handler = std::move(handler);
    m_port = port;
    const int listener = openListener(address, m_port);
    if (listener < 0) {
        std::cerr << "cannot listen at " << address << "\n";
        endProgram(2);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_listener = listener;
    std::thread([this, listener] { accept(listener); }).detach();
}

void Server::accept(int listener)
{
    while (true) {
        const int handle = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
            ::close(listener);
            return;
        }
        const ConnectionPointer connection = std::make_shared<Connection>(handle);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_listener != listener) {
                continue;
            }
            std::erase_if(m_connections,
                          [](const std::weak_ptr<Connection> &known) { return known.expired(); });
            m_connections.push_back(connection);
        }
        std::thread([this, connection] {
            std::optional<Message> request = connection->read(idleLimit);
            while (request && m_handler(connection, *request)) {
                request = connection->read(idleLimit);
            }
            connection->close();
        }).detach();
    }
}

void Server::stop()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    // The thread that accepts closes the socket.
    ::shutdown(m_listener, SHUT_RDWR);
    m_listener = -1;
    for (const std::weak_ptr<Connection> &known : m_connections) {
        if (const ConnectionPointer connection = known.lock()) {
            connection->close();
        }
    }
    m_connections.clear();
}

void Store::start(const std::string &address)
{
    m_server.start(address, 0, [this](const ConnectionPointer &connection, const Message &request) {
        return handle(*connection, request);
    });
    std::thread([this] {
        while (true) {
            sleepFor(Milliseconds(50));
            expireLeases();
        }
    }).detach();
}

std::uint64_t Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return putLocked(key, value, 0);
}

void Store::remove(const std::string &key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    removeLocked(key);
}

std::uint64_t Store::putLocked(const std::string &key, const std::string &value,
                               std::uint64_t lease)
{
    Item &item = m_items[key];
    item.m_value = value;
    item.m_revision = ++m_revision;
    item.m_created = item.m_created == 0 ? m_revision : item.m_created;
    item.m_lease = lease;
    addEvent(Event{key, item, false, Clock::now()});
    return m_revision;
}

void Store::addEvent(Event event)
{
    m_events.push_back(std::move(event));
    while (Clock::now() - m_events.front().m_at > historyTime) {
        m_historyStart = m_events.front().m_item.m_revision;
        m_events.pop_front();
    }
    m_changed.notify_all();
}

void Store::removeLocked(const std::string &key)
{
    if (m_items.erase(key) == 0) {
        return;
    }
    Event event;
    event.m_key = key;
    event.m_item.m_revision = ++m_revision;
    event.m_removed = true;
    event.m_at = Clock::now();
    addEvent(event);
}

void Store::expireLeases()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Clock::time_point now = Clock::now();
    std::vector<std::uint64_t> ended;
    for (const std::pair<const std::uint64_t, Lease> &lease : m_leases) {
        if (now >= lease.second.m_end) {
            ended.push_back(lease.first);
        }
    }
    for (const std::uint64_t id : ended) {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const std::pair<const std::string, Item> &item : m_items) {
            if (item.second.m_lease == id) {
                keys.push_back(item.first);
            }
        }
        for (const std::string &key : keys) {
            removeLocked(key);
        }
    }
}

bool Store::handle(Connection &connection, const Message &request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const std::map<std::string, std::string> query = parseQuery(target);
    int status = 200;
    std::string body;
    if (path == "/kv-range") {
        body = readRange(query);
    } else if (path == "/kv-watch") {
        body = watch(query, status);
    } else if (path == "/kv-txn") {
        body = commit(request.m_body, status);
    } else if (path == "/kv-lease") {
        body = startLease(request.m_body);
    } else if (path.starts_with("/kv-keep/")) {
        status = renewLease(path.substr(std::strlen("/kv-keep/")), body);
    } else {
        status = 404;
        body = "{}";
    }
    return connection.write(httpResponse(status, "Content-Type: application/json\r\n", body));
}

std::string Store::readRange(const std::map<std::string, std::string> &query)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string prefix = textOf(query, "prefix");
    const std::string after = textOf(query, "after");
    json::array items;
    bool more = false;
    for (const std::pair<const std::string, Item> &item : m_items) {
        if (!item.first.starts_with(prefix) || item.first <= after) {
            continue;
        }
        if (items.size() == pageItems) {
            more = true;
            break;
        }
        items.push_back(json::object{{"key", item.first},
                                     {"value", encodeBase64(item.second.m_value)},
                                     {"revision", item.second.m_revision},
                                     {"created", item.second.m_created},
                                     {"lease", item.second.m_lease}});
    }
    return json::serialize(
        json::object{{"items", items}, {"hasMore", more}, {"storeRevision", m_revision}});
}

std::string Store::watch(const std::map<std::string, std::string> &query, int &status)
{
    const std::string prefix = textOf(query, "prefix");
    const std::uint64_t after = numberOf(query, "after");
    const Clock::time_point end = Clock::now() + Milliseconds(numberOf(query, "waitMs"));
    std::unique_lock<std::mutex> lock(m_mutex);
    if (after < m_historyStart) {
        status = 410;
        return "{}";
    }
    json::array events;
    while (true) {
        for (const Event &event : m_events) {
            if (event.m_item.m_revision <= after || !event.m_key.starts_with(prefix)) {
                continue;
            }
            json::object object{{"key", event.m_key}, {"revision", event.m_item.m_revision}};
            if (event.m_removed) {
                object["removed"] = true;
            } else {
                object["value"] = encodeBase64(event.m_item.m_value);
                object["created"] = event.m_item.m_created;
                object["lease"] = event.m_item.m_lease;
            }
            events.push_back(std::move(object));
        }
        if (!events.empty() || m_changed.wait_until(lock, end) == std::cv_status::timeout) {
            break;
        }
    }
    return json::serialize(json::object{{"events", events}, {"storeRevision", m_revision}});
}

std::string Store::commit(const std::string &body, int &status)
{
    const json::object document = json::parse(body).as_object();
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const json::value &row : document.at("expect").as_array()) {
        const auto found = m_items.find(std::string(row.at("key").as_string()));
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.m_revision;
        if (revision != row.at("revision").to_number<std::uint64_t>()) {
            status = 412;
            return R"({"items":[]})";
        }
    }
    for (const json::value &row : document.at("setKeys").as_array()) {
        const json::value *lease = row.as_object().if_contains("lease");
        const std::uint64_t id = lease != nullptr ? lease->to_number<std::uint64_t>() : 0;
        if (id != 0 && !m_leases.contains(id)) {
            status = 404;
            return "{}";
        }
        putLocked(std::string(row.at("key").as_string()),
                  decodeBase64(std::string(row.at("value").as_string())), id);
    }
    for (const json::value &key : document.at("deleteKeys").as_array()) {
        removeLocked(std::string(key.as_string()));
    }
    return json::serialize(json::object{{"revision", m_revision}});
}

std::string Store::startLease(const std::string &body)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::int64_t timeToLive = json::parse(body).at("ttlMs").to_number<std::int64_t>();
    const std::uint64_t id = ++m_lastLease;
    m_leases[id] = Lease{Milliseconds(timeToLive), Clock::now() + Milliseconds(timeToLive)};
    return json::serialize(json::object{{"lease", id}, {"ttlMs", timeToLive}});
}

int Store::renewLease(const std::string &id, std::string &body)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_leases.find(std::strtoull(id.c_str(), nullptr, 10));
    if (found == m_leases.end()) {
        body = "{}";
        return 404;
    }
    found->second.m_end = Clock::now() + found->second.m_timeToLive;
    body = json::serialize(json::object{{"ttlMs", found->second.m_timeToLive.count()}});
    return 200;
}

void Runs::add(const Run &run)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs.push_back(run);
}

std::vector<Run> Runs::all()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

Target::Target(Store &store, Runs &runs, TargetOptions options)
    : m_store(store), m_runs(runs), m_options(std::move(options))
{
}

void Target::start(const std::string &address)
{
    m_address = address;
    listen(0);
    report();
    std::thread([this] {
        while (true) {
            sleepFor(reportInterval);
            report();
        }
    }).detach();
}

void Target::listen(std::uint16_t port)
{
    m_started = std::chrono::duration_cast<Milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
    m_server.start(m_address, port,
                   [this](const ConnectionPointer &connection, const Message &request) {
                       return handle(connection, request);
                   });
}

void Target::report()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_reporting) {
        ++m_sequence;
        m_store.put(key(), entry(m_draining ? "draining" : "ready", m_sequence));
    }
}

void Target::drain()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_draining = true;
    }
    report();
}

void Target::end()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_reporting = false;
    }
    m_server.stop();
}

void Target::restart()
{
    listen(m_server.port());
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_reporting = true;
        m_sequence = 0;
    }
    report();
}

std::uint64_t Target::nextSequence()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return ++m_sequence;
}

std::string Target::entry(std::string_view state, std::uint64_t sequence) const
{
    return json::serialize(
        json::object{{"service", m_options.m_service},
                     {"address", m_address + ":" + std::to_string(m_server.port())},
                     {"zone", m_options.m_dataCentre},
                     {"version", "v1"},
                     {"concurrency", m_options.m_slots},
                     {"state", state},
                     {"warmupLeftMs", 0},
                     {"sequence", sequence},
                     {"born", m_started}});
}

bool Target::takeSlot()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_running >= m_options.m_slots && m_waiting >= m_options.m_queueLimit) {
        return false;
    }
    ++m_waiting;
    m_slotFreed.wait(lock, [this] { return m_running < m_options.m_slots; });
    --m_waiting;
    ++m_running;
    return true;
}

void Target::releaseSlot()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_running;
    m_slotFreed.notify_one();
}

void Target::respond(const ConnectionPointer &connection, int status, const std::string &headers,
                     const std::string &body)
{
    const std::string text = httpResponse(status, headers, body);
    const std::optional<Milliseconds> delay =
        m_options.m_copyDelay ? m_options.m_copyDelay(status) : std::nullopt;
    connection->write(text);
    if (delay) {
        std::thread([connection, text, delay, headers, name = m_options.m_id] {
            sleepFor(*delay);
            record().write("target " + name + " sends a second copy of " + text.substr(9, 3) + ", "
                           + headers.substr(0, headers.find('\r')));
            connection->write(text);
        }).detach();
    }
}

bool Target::handle(const ConnectionPointer &connection, const Message &request)
{
    const std::string id = request.header("X-Attempt-Id");
    const std::string echo = "X-Attempt-Id: " + id + "\r\n";
    const std::string expected = request.header("X-Expected-Instance");
    if (!expected.empty() && expected != m_options.m_id) {
        respond(connection, 421, echo + "X-Instance-Id: " + m_options.m_id + "\r\n", "");
        return true;
    }
    if ((m_options.m_refuses && m_options.m_refuses()) || !takeSlot()) {
        record().write("target " + m_options.m_id + " refuses " + id);
        respond(connection, 503, echo + "X-Not-Executed: 1\r\n", "");
        return true;
    }
    const std::int64_t started = elapsedMs();
    m_runs.add(Run{id, m_options.m_id, request.target(), started});
    record().write("target " + m_options.m_id + " runs " + id);
    if (m_options.m_crashes && m_options.m_crashes(request)) {
        record().write("target " + m_options.m_id + " crashes");
        end();
        releaseSlot();
        std::thread([this] {
            sleepFor(m_options.m_downTime);
            restart();
        }).detach();
        return false;
    }
    const bool open = connection->waitWhileOpen(m_options.m_work(request));
    releaseSlot();
    if (!open) {
        record().write("target " + m_options.m_id + " stops " + id + ": connection closed");
        return false;
    }
    record().write("target " + m_options.m_id + " answers " + id);
    respond(connection, 200, echo + "X-Server-Stamp: " + m_options.m_id + "." + id + "\r\n",
            "bytes of " + id);
    return true;
}

Gateway::Gateway(std::string command, std::string folder, std::string name, std::string address,
                 const Bounds &bounds)
    : m_command(std::move(command)), m_folder(std::move(folder)), m_name(std::move(name)),
      m_address(std::move(address)), m_bounds(bounds)
{
}

bool Gateway::start(const Store &store, const std::string &storeAddress)
{
    if (m_callerPort == 0) {
        m_callerPort = findFreePort(m_address);
        m_readinessPort = findFreePort(m_address);
    }
    const std::string settings = m_folder + "/" + m_name + ".yaml";
    std::ofstream(settings) << fillTemplate(
        {{"nodeName", m_name},
         {"zone", "bergen"},
         {"bindAddresses.front", m_address + ":" + std::to_string(m_callerPort)},
         {"bindAddresses.ready", m_address + ":" + std::to_string(m_readinessPort)},
         {"platform.address", storeAddress + ":" + std::to_string(store.port())},
         {"platform.minTtlMs", "1000"},
         {"bounds.retryBudgetRatio", "0.2"},
         {"bounds.retryBudgetSlack", std::to_string(m_bounds.m_retryBudgetSlack)},
         {"bounds.budgetWindowS", "10"},
         {"bounds.graceS", "6"},
         {"bounds.configApplyMs", std::to_string(m_bounds.m_configApplyMs)},
         {"bounds.drainMs", std::to_string(m_bounds.m_drainMs)},
         {"bounds.contactMs", std::to_string(m_bounds.m_contactMs)}});
    m_process = ::fork();
    if (m_process == 0) {
        ::setenv("ARBUTUSGRADE_SETTINGS", settings.c_str(), 1);
        const std::string log = m_folder + "/" + m_name + ".log";
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::execl(m_command.c_str(), m_command.c_str(), nullptr);
        ::_exit(127);
    }
    {
        const std::lock_guard<std::mutex> lock(processMutex);
        processes.push_back(m_process);
    }
    constexpr int attempts = 150;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        if (readiness() == 200) {
            record().write("gateway " + m_name + " is ready");
            return true;
        }
        sleepFor(Milliseconds(100));
    }
    return false;
}

int Gateway::readiness() const
{
    const ConnectionPointer connection = connectTo(m_address, m_readinessPort, Milliseconds(500));
    if (!connection) {
        return 0;
    }
    const std::optional<Message> response =
        exchange(*connection, "GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n", Milliseconds(500));
    return response ? response->status() : 0;
}

void Gateway::signal(int number) const
{
    record().write("gateway " + m_name + " gets signal " + std::to_string(number));
    ::kill(m_process, number);
}

bool Gateway::waitForEnd(Milliseconds limit)
{
    const Clock::time_point end = Clock::now() + limit;
    while (Clock::now() < end) {
        if (::waitpid(m_process, nullptr, WNOHANG) == m_process) {
            record().write("gateway " + m_name + " has ended");
            const std::lock_guard<std::mutex> lock(processMutex);
            std::erase(processes, m_process);
            return true;
        }
        sleepFor(Milliseconds(5));
    }
    return false;
}

std::string replaceAll(std::string text, std::string_view from, std::string_view to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

std::string loopbackAddress()
{
    return "127." + std::to_string(1 + generator()() % 250) + "."
           + std::to_string(generator()() % 250) + "." + std::to_string(1 + generator()() % 250);
}

std::string newRequestId()
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string id;
    for (int index = 0; index < 16; ++index) {
        id += digits[generator()() % digits.size()];
    }
    return id;
}

double randomShare()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(generator());
}

void endProgram(int status)
{
    const std::lock_guard<std::mutex> lock(processMutex);
    for (const pid_t process : processes) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    record().write("exit status " + std::to_string(status));
    std::cout.flush();
    std::_Exit(status);
}

CaseOptions readCaseOptions(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: " << argv[0] << " GATEWAY FOLDER RECORD\n";
        std::_Exit(2);
    }
    record().open(argv[3]);
    CaseOptions options;
    options.m_gateway = argv[1];
    options.m_folder = argv[2];
    const char *trouble = std::getenv("TROUBLE");
    options.m_trouble = trouble == nullptr || std::string(trouble) != "0";
    record().write(options.m_trouble ? "with the disruption" : "without the disruption");
    return options;
}

} // namespace arbutusgrade::review
