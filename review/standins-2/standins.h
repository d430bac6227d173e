#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

#include <boost/json.hpp>

//! @brief Small doubles of the platform's store, of servers and of callers, and a handle for the
//! gateway's processes. Blocking sockets with a thread for each connection; all addresses are
//! loopback addresses.
namespace review {

namespace json = boost::json;

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

//! @brief Seconds since the program started.
double secondsNow();

void sleepFor(Milliseconds time);

//! @brief False if TROUBLE=0 asks for the run without the disruption.
bool hasTrouble();

//! @brief Writes what was sent, answered and run, one line each, with the time. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message
{
    std::string m_start; //!< Request or status line.
    Headers m_headers;
    std::string m_body;

    //! @brief Value of a header, compared without regard to case; empty if it is absent.
    std::string header(std::string_view name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

//! @brief One TCP connection with a buffer for what was received.
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    //! @brief Reads a message with a length, in chunks, or without a body. Nothing at the end of
    //! the connection or after the timeout.
    std::optional<Message> read(Milliseconds timeout);
    bool write(std::string_view bytes);
    //! @brief Wakes up whoever reads; the peer sees the end of the connection.
    void shutdown();

private:
    bool fill(Clock::time_point deadline);
    std::optional<std::string> readLine(Clock::time_point deadline);
    bool readBytes(std::string &into, std::size_t count, Clock::time_point deadline);
    bool readChunks(std::string &into, Clock::time_point deadline);

    int m_socket;
    std::string m_buffer;
};

using ConnectionPointer = std::shared_ptr<Connection>;

ConnectionPointer connectTo(const std::string &address, std::uint16_t port);

//! @brief Accepts connections and serves each on a thread of its own until close().
class Listener
{
public:
    using Handler = std::function<void(const ConnectionPointer &)>;

    ~Listener();
    //! @param port 0 picks a free one.
    bool open(const std::string &address, std::uint16_t port, Handler handler);
    //! @brief Ends the listening socket and all connections.
    void close();
    std::uint16_t port() const
    {
        return m_port;
    }

private:
    void accept(int socket);

    Handler m_handler;
    std::uint16_t m_port = 0;
    int m_socket = -1;
    std::atomic<bool> m_isOpen{false};
    std::thread m_thread;
    std::mutex m_mutex;
    std::set<ConnectionPointer> m_connections;
    int m_served = 0;
};

//! @brief The platform's store: items, leases, watches, transactions. The operator's and the
//! servers' writes are calls of put() and remove(), whose return is the confirmation.
class Store
{
public:
    //! @brief Opens an entry to the store of its own for one machine.
    //! @return its port; 0 if that failed.
    std::uint16_t openEntry(const std::string &address);
    //! @brief While it is cut, calls that arrive through the entry get no answer.
    void setCut(std::uint16_t entry, bool isCut);

    void put(const std::string &key, const std::string &value, std::int64_t lease = 0);
    void put(const std::string &key, const json::value &value);
    void remove(const std::string &key);
    void close();

private:
    struct Event
    {
        std::int64_t m_revision = 0;
        std::string m_key;
        json::object m_item;
    };
    struct Lease
    {
        Milliseconds m_timeToLive{0};
        Clock::time_point m_end;
    };
    struct Entry
    {
        Listener m_listener;
        std::atomic<bool> m_isCut{false};
    };
    struct Reply
    {
        int m_status = 200;
        json::object m_body;
    };

    void serve(Entry &entry, const ConnectionPointer &connection);
    Reply call(const Message &request);
    Reply list(const std::map<std::string, std::string> &query);
    Reply watch(const std::map<std::string, std::string> &query);
    Reply commit(const json::object &body);
    Reply createLease(const json::object &body);
    Reply renewLease(std::int64_t lease);
    void putLocked(const std::string &key, const std::string &encoded, std::int64_t lease);
    void removeLocked(const std::string &key);
    void endLeasesLocked();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, json::object> m_items;
    std::vector<Event> m_events;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::atomic<bool> m_isClosed{false};
};

//! @brief What a server got and when.
struct Arrival
{
    double m_time = 0.0;
    std::string m_id;
    Message m_request;
};

//! @brief A backend: registers itself, rejects what is meant for another one, runs the rest.
class Server
{
public:
    //! @brief Runs a request that is meant for this server.
    //! @return false to end the connection.
    using Work = std::function<bool(Server &, const Arrival &, const ConnectionPointer &)>;

    Server(Store &store, Record &record, std::string id, std::string service, std::string zone);
    ~Server();

    bool start(Work work);
    //! @brief The process ends: listening socket and connections are gone, the entry stays.
    void crash();
    //! @brief A new process with the same id and a new address registers itself.
    bool restart();
    //! @brief Writes the entry again; returns once the store has accepted it.
    //! @param state "ready" or "draining".
    void reportState(std::string_view state);
    void removeEntry();
    std::vector<Arrival> arrivals() const;
    const std::string &id() const
    {
        return m_id;
    }
    //! @brief The answer of a server that has run the request.
    //! @param headers further lines of the head, each with its line end.
    std::string success(const Arrival &arrival, std::string_view body,
                        std::string_view headers = {}) const;

private:
    void serve(const ConnectionPointer &connection);

    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    Work m_work;
    std::unique_ptr<Listener> m_listener;
    mutable std::mutex m_mutex;
    std::vector<Arrival> m_arrivals;
    std::int64_t m_started = 0;
    std::int64_t m_sequence = 0;
};

//! @brief Settings of a node that differ between cases.
struct NodeOptions
{
    std::string m_name;
    std::string m_zone;
    std::string m_address = "127.0.0.1";
    std::uint16_t m_storePort = 0;
};

//! @brief A process of the gateway, started with the command and the settings of the deploy file.
class Node
{
public:
    Node(std::string program, const std::string &folder, const NodeOptions &options);
    ~Node();

    bool start();
    bool waitUntilReady(Milliseconds timeout);
    void signal(int number) const;
    bool isRunning() const;
    //! @brief What the process has written so far.
    std::string output() const;
    const NodeOptions &options() const
    {
        return m_options;
    }
    std::uint16_t port() const
    {
        return m_port;
    }

private:
    std::string m_program;
    NodeOptions m_options;
    std::string m_settingsPath;
    std::string m_outputPath;
    std::string m_description;
    std::uint16_t m_port = 0;
    std::uint16_t m_readyPort = 0;
    pid_t m_process = -1;
};

//! @brief Outcome of a caller's request.
struct Outcome
{
    std::string m_id;
    double m_sentAt = 0.0;
    double m_answeredAt = 0.0;
    int m_status = 0; //!< 0: the connection ended, or there was no answer in time.
    Message m_answer;
};

struct CallerRequest
{
    std::string m_method = "GET";
    std::string m_path;
    std::string m_body;
    int m_deadlineMilliseconds = 1500;
    std::string m_key{}; //!< Of the caller's tenant; empty for none.
};

inline constexpr const char *host = "search.example";

//! @brief A caller with one connection, which it keeps.
class Caller
{
public:
    Caller(const Node &node, Record &record);

    Outcome send(const CallerRequest &request);
    //! @brief Sends the request, waits, and closes the connection without reading.
    std::string sendAndLeave(const CallerRequest &request, Milliseconds patience);

private:
    std::optional<std::string> write(const CallerRequest &request);

    const Node &m_node;
    Record &m_record;
    ConnectionPointer m_connection;
};

//! @brief A route to one service.
json::object makeRoute(std::string_view name, std::string_view prefix, std::string_view type,
                       std::string_view service);

//! @brief A configuration with the limits of the pages' examples.
json::object makeConfiguration(int version, json::array routes,
                               const std::vector<std::string> &services);

//! @brief Arguments of a case.
struct CaseOptions
{
    std::string m_gateway;
    std::string m_folder;
    std::string m_record;
};

std::optional<CaseOptions> parseArguments(int argc, char **argv);

// Exit status of a case.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

} // namespace review
