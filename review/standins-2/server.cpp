#include "standins.h"

//! @brief Servers, and the documents that servers and the operator write.
namespace review {

namespace {

constexpr Milliseconds idleTime{60'000};
constexpr int slotsOfServer = 6;
constexpr int connectionsOfService = 51;

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

Server::Server(Store &store, Record &record, std::string id, std::string service, std::string zone)
    : m_store(store), m_record(record), m_id(std::move(id)), m_service(std::move(service)),
      m_zone(std::move(zone))
{
}

Server::~Server()
{
    crash();
}

bool Server::start(Work work)
{
    m_work = std::move(work);
    return restart();
}

bool Server::restart()
{
    m_listener = std::make_unique<Listener>();
    m_started = unixMilliseconds();
    m_sequence = 0;
    const bool isOpen = m_listener->open(
        "127.0.0.1", 0, [this](const ConnectionPointer &connection) { serve(connection); });
    if (isOpen) {
        reportState("ready");
    }
    return isOpen;
}

void Server::crash()
{
    if (m_listener) {
        m_listener->close();
        m_listener.reset();
    }
}

void Server::reportState(std::string_view state)
{
    m_store.put("servers/" + m_id,
                json::object{{"service", m_service},
                             {"address", "127.0.0.1:" + std::to_string(m_listener->port())},
                             {"zone", m_zone},
                             {"version", "1"},
                             {"concurrency", slotsOfServer},
                             {"state", state},
                             {"warmupLeftMs", 0},
                             {"sequence", ++m_sequence},
                             {"born", m_started}});
}

void Server::removeEntry()
{
    m_store.remove("servers/" + m_id);
}

std::vector<Arrival> Server::arrivals() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_arrivals;
}

std::string Server::success(const Arrival &arrival, std::string_view body,
                            std::string_view headers) const
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + arrival.m_id + "\r\nX-Server-Stamp: " + m_id + "."
           + arrival.m_id + "\r\n" + std::string(headers)
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

void Server::serve(const ConnectionPointer &connection)
{
    while (const std::optional<Message> request = connection->read(idleTime)) {
        const std::string id = request->header("x-attempt-id");
        const std::string expected = request->header("x-expected-instance");
        if (!expected.empty() && expected != m_id) {
            connection->write("HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + id
                              + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        const Arrival arrival{secondsNow(), id, *request};
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_arrivals.push_back(arrival);
        }
        m_record.line("server " + m_id + " runs " + id + " " + request->m_start);
        if (!m_work(*this, arrival, connection)) {
            return;
        }
    }
}

json::object makeRoute(std::string_view name, std::string_view prefix, std::string_view type,
                       std::string_view service)
{
    constexpr int objectiveMilliseconds = 250;
    constexpr int timeoutMilliseconds = 1500;
    return {{"name", name},
            {"host", host},
            {"prefix", prefix},
            {"routeType", type},
            {"service", service},
            {"timeoutMs", timeoutMilliseconds},
            {"targetLatencyMs", objectiveMilliseconds},
            {"priority", 1},
            {"maxAttempts", type == "safe" ? 2 : 1}};
}

json::object makeConfiguration(int version, json::array routes,
                               const std::vector<std::string> &services)
{
    json::array list;
    for (const std::string &service : services) {
        list.push_back(json::object{{"name", service},
                                    {"maxConnections", connectionsOfService},
                                    {"healthPath", "/health"}});
    }
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", std::move(list)},
            {"limits",
             {{"maxHeaderBytes", 8192},
              {"maxBodyBytes", 262144},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 60000}}}};
}

} // namespace review
