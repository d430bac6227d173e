#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <sys/types.h>

//! @brief Stand-ins for callers, targets and the platform's store, for the cases of the review.
//!
//! Blocking sockets and one thread for each connection. A program that uses these ends with
//! endProgram(), which ends the gateways that it started.
namespace arbutusgrade::review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

//! @brief Lines of what was sent, answered and run, with the time since the start of the program.
class Record
{
public:
    //! @brief Replaces the file at the path.
    void open(const std::string &path);
    void write(const std::string &line);

private:
    std::mutex m_mutex;
    int m_file = -1;
};

Record &record();

//! @brief Milliseconds since the start of the program.
std::int64_t elapsedMs();

void sleepFor(Milliseconds duration);

//! @brief A request or a response of HTTP/1.1.
struct Message
{
    std::string m_start; //!< The first line, without its end.
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;

    std::string header(std::string_view name) const;
    bool hasHeader(std::string_view name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

//! @brief A connected socket with the bytes that were read ahead.
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    //! @brief Reads one message. Empty at the end of the connection or after the time limit.
    std::optional<Message> read(Milliseconds limit);

    //! @brief Writes all bytes; several threads may call it.
    bool write(std::string_view bytes);

    //! @brief Waits for the duration. False if the peer has closed the connection meanwhile.
    bool waitWhileOpen(Milliseconds duration);

    void close();

private:
    bool fill(Clock::time_point end);

    std::mutex m_writeMutex;
    std::mutex m_closeMutex;
    int m_socket = -1;
    std::string m_buffer;
    bool m_ended = false;
};

using ConnectionPointer = std::shared_ptr<Connection>;

//! @brief Opens a connection; null if that fails within the limit.
ConnectionPointer connectTo(const std::string &address, std::uint16_t port, Milliseconds limit);

//! @brief Sends a request and reads the response; empty if the connection ends before it.
std::optional<Message> exchange(Connection &connection, std::string_view request,
                                Milliseconds limit);

//! @brief Server with one thread for each connection.
class Server
{
public:
    //! @brief Handles a request; false closes the connection.
    using Handler = std::function<bool(const ConnectionPointer &, const Message &)>;

    //! @brief Listens at a port, or at a free one for 0.
    void start(const std::string &address, std::uint16_t port, Handler handler);

    //! @brief Closes the listening socket and all connections, as the end of a process does.
    void stop();

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    void accept(int listener);

    std::uint16_t m_port = 0;
    Handler m_handler;
    std::mutex m_mutex;
    int m_listener = -1;
    std::vector<std::weak_ptr<Connection>> m_connections;
};

//! @brief The platform's store: items with revisions, pages, watches, transactions, leases.
class Store
{
public:
    void start(const std::string &address);
    std::uint16_t port() const
    {
        return m_server.port();
    }

    //! @brief Writes an item as the operator or a target does, and returns its revision.
    std::uint64_t put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

private:
    struct Item
    {
        std::string m_value;
        std::uint64_t m_revision = 0;
        std::uint64_t m_created = 0;
        std::uint64_t m_lease = 0;
    };
    struct Event
    {
        std::string m_key;
        Item m_item;
        bool m_removed = false;
        Clock::time_point m_at;
    };
    struct Lease
    {
        Milliseconds m_timeToLive{0};
        Clock::time_point m_end;
    };

    bool handle(Connection &connection, const Message &request);
    std::string readRange(const std::map<std::string, std::string> &query);
    std::string watch(const std::map<std::string, std::string> &query, int &status);
    std::string commit(const std::string &body, int &status);
    std::string startLease(const std::string &body);
    int renewLease(const std::string &id, std::string &body);
    std::uint64_t putLocked(const std::string &key, const std::string &value, std::uint64_t lease);
    void removeLocked(const std::string &key);
    void addEvent(Event event);
    void expireLeases();

    Server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 100;
    std::uint64_t m_historyStart = 100; //!< Earlier events are no longer available.
    std::uint64_t m_lastLease = 1000;
};

//! @brief What a target is and how it behaves.
struct TargetOptions
{
    std::string m_id;
    std::string m_service;
    std::string m_dataCentre = "bergen";
    int m_slots = 3;
    int m_queueLimit = 18;
    //! Time that a request takes, drawn at its start.
    std::function<Milliseconds(const Message &)> m_work;
    //! True for a request that the target refuses though it has room; may be empty.
    std::function<bool()> m_refuses;
    //! True for a request that makes the target crash as it begins to run it; may be empty.
    std::function<bool(const Message &)> m_crashes;
    Milliseconds m_downTime{2'000}; //!< After a crash, until the target is back.
    //! After how long a second copy of the response follows; empty: no copy.
    std::function<std::optional<Milliseconds>(int status)> m_copyDelay;
};

//! @brief A run of a request at a target.
struct Run
{
    std::string m_requestId;
    std::string m_target;
    std::string m_path;
    std::int64_t m_startedMs = 0;
};

//! @brief Runs of all targets.
class Runs
{
public:
    void add(const Run &run);
    std::vector<Run> all();

private:
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};

//! @brief A target: slots, a queue, receipts, and its entry in the store.
class Target
{
public:
    Target(Store &store, Runs &runs, TargetOptions options);

    //! @brief Listens and writes its entry, then again each 1.2 s.
    void start(const std::string &address);
    void drain();

    //! @brief Ends the target without a word: its connections, its port and its reports.
    void end();

    //! @brief Starts again at the same address as a new process.
    void restart();

    //! @brief Text of a status report.
    std::string entry(std::string_view state, std::uint64_t sequence) const;

    //! @brief Takes the sequence of a status report that is sent now.
    std::uint64_t nextSequence();
    std::string key() const
    {
        return "servers/" + m_options.m_id;
    }

private:
    bool handle(const ConnectionPointer &connection, const Message &request);
    bool takeSlot();
    void releaseSlot();
    void respond(const ConnectionPointer &connection, int status, const std::string &headers,
                 const std::string &body);
    void report();
    void listen(std::uint16_t port);

    Store &m_store;
    Runs &m_runs;
    TargetOptions m_options;
    Server m_server;
    std::string m_address;
    std::int64_t m_started = 0;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    int m_running = 0;
    int m_waiting = 0;
    std::uint64_t m_sequence = 0;
    bool m_draining = false;
    bool m_reporting = true;
};

//! @brief Bounds of an installation; the values are those of the small ones.
struct Bounds
{
    int m_configApplyMs = 3000;
    int m_drainMs = 3000;
    int m_contactMs = 4000;
    int m_retryBudgetSlack = 58;
};

//! @brief A process of the deploy file's program, with settings from its template.
class Gateway
{
public:
    //! @param command program of the deploy file, without arguments.
    Gateway(std::string command, std::string folder, std::string name, std::string address,
            const Bounds &bounds = {});

    //! @brief Writes the settings and starts the process. False if it is not ready in time.
    bool start(const Store &store, const std::string &storeAddress);
    void signal(int number) const;

    //! @brief Waits for the end of the process. False if it still runs after the limit.
    bool waitForEnd(Milliseconds limit);

    //! @brief Status of a status check at the readiness address; 0 without a response.
    int readiness() const;

    const std::string &address() const
    {
        return m_address;
    }
    std::uint16_t callerPort() const
    {
        return m_callerPort;
    }

private:
    std::string m_command;
    std::string m_folder;
    std::string m_name;
    std::string m_address;
    Bounds m_bounds;
    std::uint16_t m_callerPort = 0;
    std::uint16_t m_readinessPort = 0;
    pid_t m_process = 0;
};

//! @brief The text with each occurrence of a part replaced.
std::string replaceAll(std::string text, std::string_view from, std::string_view to);

//! @brief Text of a random address of the loopback range, so that fixed ports do not meet.
std::string loopbackAddress();

//! @brief Ids as callers draw them: 16 hexadecimal digits.
std::string newRequestId();

//! @brief A number from 0 to below 1.
double randomShare();

//! @brief Ends the gateways that are left and the program. 0: the rule held, 1: it was broken, 2:
//! the case could not run.
[[noreturn]] void endProgram(int status);

//! @brief Command line and environment of a case.
struct CaseOptions
{
    std::string m_gateway; //!< Program of the deploy file.
    std::string m_folder;  //!< Temporary folder.
    bool m_trouble = true;
};

//! @brief Reads PROGRAM FOLDER RECORD and TROUBLE, and opens the record.
CaseOptions readCaseOptions(int argc, char **argv);

} // namespace arbutusgrade::review
