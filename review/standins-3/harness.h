#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

//! @brief Stand-ins for the cases of the third review: backends, requesters and the part of the
//! platform that starts nodes. Blocking sockets on loopback addresses, one thread a connection.
namespace arbutusgrade::review3 {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Results of a case, as its script returns them.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int caseFailed = 2;

//! @brief True unless the case runs without its disruption (TROUBLE=0).
bool hasTrouble();

//! @brief Writes what was sent, answered and run, with the time since the start in seconds.
class Record
{
public:
    explicit Record(const std::string &path);
    void write(const std::string &line);
    double seconds() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

//! @brief An HTTP/1.1 message whose body has a length.
struct Message
{
    std::string m_startLine;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;

    //! @brief Value of the first header of that name, in any letter case; empty if there is none.
    std::string header(std::string_view name) const;
    int status() const;
    std::string target() const;
    bool endsConnection() const;
};

enum class ReadEnd { Whole, Closed, TimedOut };

//! @brief One TCP connection.
class Connection
{
public:
    explicit Connection(int descriptor) : m_descriptor(descriptor) { }
    Connection(const std::string &address, std::uint16_t port);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool isOpen() const
    {
        return m_descriptor >= 0;
    }
    bool send(std::string_view bytes);
    ReadEnd read(Message &message, milliseconds timeout);
    //! @brief Closes the connection; with a reset if wanted.
    void close(bool reset = false);

private:
    int m_descriptor = -1;
    std::string m_buffer;
};

//! @brief Accepts connections at a loopback address and answers each request by the handler.
class Backend
{
public:
    //! @brief Returns the bytes of the answer; empty closes the connection without one.
    using Handler = std::function<std::string(const Message &)>;

    Backend(std::string id, Handler handler);
    ~Backend();
    Backend(const Backend &) = delete;
    Backend &operator=(const Backend &) = delete;

    const std::string &id() const
    {
        return m_id;
    }
    std::uint16_t port() const
    {
        return m_port;
    }

private:
    void accept();
    void serve(int descriptor);

    std::string m_id;
    Handler m_handler;
    std::uint16_t m_port = 0; //!< Set by the initialisation of the listener.
    int m_listener = -1;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_active{0};
    std::mutex m_mutex;
    std::vector<int> m_descriptors; //!< Of open connections.
    std::thread m_acceptor;
};

//! @brief What changes from one status report of a backend to the next.
struct StatusReport
{
    int m_sequence = 1; //!< Rises with each report.
    int m_concurrency = 6;
};

//! @brief A child process.
class Process
{
public:
    Process() = default;
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    bool start(const std::vector<std::string> &command,
               const std::map<std::string, std::string> &environment, const std::string &logFile);
    void signal(int number) const;
    //! @brief Kills the process if it runs, and waits for its end.
    void end();
    //! @brief Returns the wait status once the process has ended.
    std::optional<int> ended();
    pid_t id() const
    {
        return m_id;
    }

private:
    pid_t m_id = -1;
    std::optional<int> m_status;
};

//! @brief One node, started as the deploy file says, from the settings template.
class Node
{
public:
    Node(std::string name, std::string address, std::string directory, std::uint16_t storePort);

    bool start();
    bool waitUntilReady(milliseconds timeout);
    bool isReady() const;
    const std::string &name() const
    {
        return m_name;
    }
    const std::string &address() const
    {
        return m_address;
    }
    std::uint16_t port() const
    {
        return m_callerPort;
    }
    Process &process()
    {
        return m_process;
    }
    std::string logTail() const;

private:
    std::string m_name;
    std::string m_address;
    std::string m_directory;
    std::uint16_t m_storePort;
    std::uint16_t m_callerPort = 0;
    std::uint16_t m_readinessPort = 0;
    Process m_process;
};

//! @brief A small deployment: the store, nodes, and the calls of the operator.
class Site
{
public:
    Site();
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    //! @brief Starts the store. Returns false if it does not start.
    bool startStore();
    //! @brief Writes a key as the operator or a backend does. Returns whether the store took it.
    bool put(const std::string &key, const std::string &value);
    bool putBackend(const Backend &backend, const std::string &service, StatusReport report = {});
    //! @brief Removes a key. Returns whether the store took it.
    bool remove(const std::string &key);
    Node &addNode(const std::string &name);
    std::vector<std::unique_ptr<Node>> &nodes()
    {
        return m_nodes;
    }
    std::uint16_t storePort() const
    {
        return m_storePort;
    }

private:
    bool change(const std::string &body);

    std::string m_directory;
    Process m_store;
    std::uint16_t m_storePort = 0;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

//! @brief Text of a request with an id and a time budget.
std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        milliseconds budget, const std::string &moreHeaders = {},
                        const std::string &body = {});

//! @brief Answer of a sound backend, with its receipt.
std::string answerText(const Message &request, const std::string &receipt, const std::string &body);

//! @brief True if the request names another backend; it is to be answered with wrongBackendText().
bool isForOther(const Message &request, const std::string &id);
std::string wrongBackendText(const Message &request);

//! @brief Configuration limits as the pages show them, with another size of headers if wanted.
std::string limitsText(int maxHeaderBytes = 16384);

} // namespace arbutusgrade::review3
