#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "peer/peer.h"

namespace arbutusgrade {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

//! @brief One request to a peer. The handler is called exactly once.
struct PeerCall : std::enable_shared_from_this<PeerCall>
{
    PeerCall(asio::io_context &context, PeerStatistics &statistics, PeerReplyHandler handler)
        : m_socket(context), m_timer(context), m_statistics(statistics),
          m_handler(std::move(handler))
    {
    }

    void start(const std::string &address, std::uint16_t port, const PeerRequest &request,
               Duration timeout)
    {
        m_requestId = request.m_id;
        const std::string body = encodeRequest(request);
        const std::array<std::uint8_t, frameHeaderBytes> header =
            encodeFrameHeader(static_cast<std::uint32_t>(body.size()));
        m_output.assign(header.begin(), header.end());
        m_output += body;
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->finish(std::nullopt);
            }
        });
        error_code error;
        const asio::ip::address parsed = asio::ip::make_address(address, error);
        if (error) {
            asio::post(m_socket.get_executor(),
                       [self = shared_from_this()] { self->finish(std::nullopt); });
            return;
        }
        m_socket.async_connect(
            tcp::endpoint(parsed, port), [self = shared_from_this()](error_code connectError) {
                self->continueUnlessFailed(connectError, &PeerCall::writeRequest);
            });
    }

    //! Calls the next step, unless the previous one failed or the call has already finished.
    void continueUnlessFailed(error_code error, void (PeerCall::*nextStep)())
    {
        if (error) {
            finish(std::nullopt);
        } else if (m_handler) {
            (this->*nextStep)();
        }
    }

    void writeRequest()
    {
        asio::async_write(m_socket, asio::buffer(m_output),
                          [self = shared_from_this()](error_code error, std::size_t bytes) {
                              self->m_statistics.m_sentBytes += bytes;
                              self->continueUnlessFailed(error, &PeerCall::readReplyHeader);
                          });
    }

    void readReplyHeader()
    {
        ++m_statistics.m_sent;
        asio::async_read(m_socket, asio::buffer(m_replyHeader),
                         [self = shared_from_this()](error_code error, std::size_t) {
                             self->continueUnlessFailed(error, &PeerCall::readReplyBody);
                         });
    }

    void readReplyBody()
    {
        const Decoded<std::uint32_t> length = decodeFrameHeader(m_replyHeader);
        if (!length) {
            ++m_statistics.m_malformed;
            finish(std::nullopt);
            return;
        }
        asio::async_read(m_socket, asio::dynamic_buffer(m_replyBody, length.value()),
                         asio::transfer_exactly(length.value()),
                         [self = shared_from_this()](error_code error, std::size_t) {
                             self->continueUnlessFailed(error, &PeerCall::handleReply);
                         });
    }

    void handleReply()
    {
        ++m_statistics.m_received;
        m_statistics.m_receivedBytes += frameHeaderBytes + m_replyBody.size();
        const Decoded<PeerReply> reply = decodeReply(m_replyBody);
        if (!reply || reply.value().m_id != m_requestId) {
            ++m_statistics.m_malformed;
            finish(std::nullopt);
            return;
        }
        finish(reply.value());
    }

    void finish(const std::optional<PeerReply> &reply)
    {
        if (!m_handler) {
            return;
        }
        m_statistics.m_failures += reply ? 0 : 1;
        error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
        const PeerReplyHandler handler = std::exchange(m_handler, nullptr);
        handler(reply);
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    PeerStatistics &m_statistics;
    PeerReplyHandler m_handler;
    std::uint64_t m_requestId = 0;
    std::string m_output;
    std::array<std::uint8_t, frameHeaderBytes> m_replyHeader{};
    std::string m_replyBody;
};

} // namespace

void callPeer(asio::io_context &context, const std::string &address, std::uint16_t port,
              const PeerRequest &request, Duration timeout, PeerStatistics &statistics,
              PeerReplyHandler handler)
{
    std::make_shared<PeerCall>(context, statistics, std::move(handler))
        ->start(address, port, request, timeout);
}

} // namespace arbutusgrade
