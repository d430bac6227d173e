#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "details/replybudget.h"
#include "details/replyparser.h"
#include "transport/transport.h"

namespace arbutusgrade {

using Tcp = asio::ip::tcp;

//! @brief How an exchange on a client connection ended.
enum class ExchangeEnd {
    Reply,
    NotSent,       //!< No byte of the request was handed to the socket.
    Lost,          //!< The peer closed the connection after bytes had been handed over.
    Reset,         //!< The connection was reset or timed out after bytes had been handed over.
    Malformed,     //!< The reply is no HTTP/1.1 response, or larger than allowed.
    InvalidStatus, //!< The reply has a status code that does not exist.
};

//! @brief Client side of one HTTP/1.1 connection; one exchange at a time.
//!
//! Callbacks run from the io_context, never inside a call of this class.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using ConnectHandler = std::function<void(bool connected)>;
    using ExchangeHandler = std::function<void(ExchangeEnd end, const ReplyContent &reply)>;

    //! @param replyLimit largest reply in bytes, with its head and framing.
    ClientConnection(asio::io_context &context, HopStatistics &hop, std::uint64_t replyLimit);

    void connect(const Tcp::endpoint &endpoint, ConnectHandler handler);

    //! @brief Called when the peer closes the connection between exchanges.
    void setIdleCloseHandler(std::function<void()> handler);

    //! @brief Ends the connection when bytes stay unacknowledged for this long; before connect.
    void setPeerTimeout(std::chrono::milliseconds timeout)
    {
        m_peerTimeout = timeout;
    }

    //! @brief Counts replies in the budget; before connect.
    void setReplyBudget(std::shared_ptr<ReplyBudget> budget)
    {
        m_budget = std::move(budget);
    }

    //! @brief Writes the request and waits for the reply. The text is not used after the call.
    void exchange(std::string_view request, const ExchangeOptions &options,
                  ExchangeHandler handler);

    //! @brief True if the peer has not closed the connection, as far as the socket tells.
    bool isOpen();

    //! @brief True if the last reply allows another exchange.
    bool isReusable() const
    {
        return m_reusable;
    }

    //! @brief Closes at once without any callback.
    void close();

private:
    //! @brief Runs a completed operation; an exception in it ends this connection only.
    template <typename Step> void runGuarded(const Step &step);

    //! @brief Ends the connection after an exception; an exchange in flight ends as malformed.
    void endFailedExchange();

    void writeRest(std::string rest);
    void readMore();
    void handleRead(boost::system::error_code error, std::size_t bytes);
    //! @brief Counts bytes of the current reply in the budget.
    void reserve(std::size_t bytes);
    //! @brief Ends the exchange, unless it has ended.
    void giveUpReply(std::uint64_t exchange);
    void parseBuffered();
    //! @brief Parses what has arrived. Returns false if it is no reply.
    bool parseMessage();
    //! @brief Parses on behind replies such as "100 Continue", which announce the reply proper.
    bool skipInterimReplies();
    void releaseReply();
    //! @brief Frees the buffers of a large reply, which this connection may never need again.
    void releaseContent();
    void handleEndOfStream(boost::system::error_code error);
    void finish(ExchangeEnd end);
    void reportNotSent(ExchangeHandler handler);

    Tcp::socket m_socket;
    HopStatistics &m_hop;
    std::uint64_t m_replyLimit;
    std::shared_ptr<ReplyBudget> m_budget;
    std::shared_ptr<ReplyReservation> m_reservation; //!< Of the current reply, unless it is small.
    std::size_t m_replyBytes = 0;                    //!< Received of the current reply.
    boost::beast::flat_buffer m_buffer;
    std::optional<ReplyParser> m_parser;
    std::uint64_t m_exchangeNumber = 0; //!< Of the current exchange.
    ExchangeOptions m_options;          //!< Of the current exchange.
    ReplyContent m_content;
    ExchangeHandler m_handler;
    std::function<void()> m_idleCloseHandler;
    std::chrono::milliseconds m_peerTimeout{0};
    bool m_writing = false;       //!< Part of the request is still to be written.
    bool m_writeFailed = false;   //!< Of the current exchange.
    bool m_statusInvalid = false; //!< Of the message parsed last.
    bool m_reusable = false;
    bool m_closed = false;
};

} // namespace arbutusgrade
