#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace arbutusgrade::load {

//! @brief Called once with the status and body, or status 0 if no answer came.
using CallDone = std::function<void(unsigned status, const std::string &body)>;

//! @brief Connections of callers to one daemon. As many as there are calls at a time; idle ones
//! are used again. Not thread-safe.
class CallerPool
{
public:
    CallerPool(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &server);

    void call(const std::string &method, const std::string &path, const std::string &body,
              std::chrono::microseconds timeout, CallDone done);

    //! @brief Closes the idle connections, so that their reads do not keep the io_context busy.
    void closeIdle();

private:
    class Connection;
    struct Idle;

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::endpoint m_server;
    std::shared_ptr<Idle> m_idle;
};

} // namespace arbutusgrade::load
