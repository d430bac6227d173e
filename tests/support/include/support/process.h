#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace arbutusgrade::support {

using std::chrono::milliseconds;

//! @brief Temporary directory that is removed with its content.
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    const std::string &path() const;

private:
    std::string m_path;
};

//! @brief How a process ended.
struct ExitState
{
    int m_code = -1;  //!< -1 if it was ended by a signal.
    int m_signal = 0; //!< 0 if it exited.
};

//! @brief A process started by this one. The destructor kills it and always reaps it.
//!
//! Signals go to the pid of the child only, and never after it was reaped.
class ChildProcess
{
public:
    ChildProcess() = default;

    //! @brief Starts a program; its output is written to the file. Throws std::system_error.
    ChildProcess(std::vector<std::string> arguments, const std::string &outputFile);
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const;
    const std::string &outputFile() const;

    //! @brief True until the child has ended and was reaped.
    bool running();

    void sendSignal(int signal);

    //! @brief Waits for the end; nothing if the child still runs after the timeout.
    std::optional<ExitState> wait(milliseconds timeout);

    //! @brief SIGKILL, then reaps.
    void kill();

    //! @brief Value after "NAME " at the start of a line of the output; throws std::runtime_error
    //! if it does not come in time.
    std::string waitForOutput(const std::string &name, milliseconds timeout);

private:
    std::optional<ExitState> reap(int options);

    pid_t m_pid = -1;
    std::string m_outputFile;
    std::optional<ExitState> m_state;
};

//! @brief Calls the condition every few milliseconds until it holds. @return false on timeout.
template <typename Condition> bool waitUntil(Condition condition, milliseconds timeout);

//! @brief Sleeps between two looks at a condition.
void pauseBetweenLooks();

//! @brief Ports on 127.0.0.1 that were free for TCP and UDP a moment ago. No process that uses this
//! function gets them before this one ends.
std::vector<std::uint16_t> freePorts(std::size_t count);

//! @brief Content of a file; empty if it cannot be read.
std::string readFile(const std::string &path);

void writeFile(const std::string &path, const std::string &content);

template <typename Condition> bool waitUntil(Condition condition, milliseconds timeout)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        pauseBetweenLooks();
    }
    return true;
}

} // namespace arbutusgrade::support
