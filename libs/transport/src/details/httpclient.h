#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "details/clientconnection.h"

namespace arbutusgrade {

//! @brief HTTP/1.1 client for calls that are few: a small pool to one address, with a timeout for
//! each call. Calls that find no free connection wait in order.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    struct Call
    {
        std::string m_method;
        std::string m_path;
        std::string m_body;
        TimePoint m_deadline;
    };

    //! @brief Takes the reply, or null if there was none in time.
    using Handler = std::function<void(const ReplyContent *reply)>;

    HttpClient(asio::io_context &context, HopStatistics &hop, int connections);

    //! @brief Applies to connections opened later.
    void setEndpoint(const std::string &address, std::uint16_t port);

    void call(Call call, Handler handler);

    //! @brief Ends the calls that are waiting or in flight without calling their handlers.
    void stop();

private:
    struct Pending
    {
        Call m_call;
        Handler m_handler;
        std::shared_ptr<ClientConnection> m_connection; //!< Null while it waits.
    };
    using PendingPointer = std::shared_ptr<Pending>;

    void pump();
    void connect(const PendingPointer &pending);
    void exchange(const PendingPointer &pending);
    void finish(const PendingPointer &pending, const ReplyContent *reply);
    void armTimer();
    void expire();

    asio::io_context &m_context;
    HopStatistics &m_hop;
    int m_limit;
    std::string m_host;
    Tcp::endpoint m_endpoint;
    asio::steady_timer m_timer;
    std::vector<std::shared_ptr<ClientConnection>> m_idle;
    std::vector<PendingPointer> m_active;
    std::deque<PendingPointer> m_waiting;
};

} // namespace arbutusgrade
