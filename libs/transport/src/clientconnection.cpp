#include "details/clientconnection.h"

#include "details/socketoptions.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace arbutusgrade {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Most replies fit; the buffer grows for larger ones.
constexpr std::size_t readSizeBytes = 8 * 1024;

// Header fields of most replies; larger buffers are freed after a reply.
constexpr std::size_t keptHeaderCapacity = 64;

constexpr int switchingProtocols = 101;

bool isInterim(int status)
{
    return status / 100 == 1;
}

} // namespace

ClientConnection::ClientConnection(asio::io_context &context, HopStatistics &hop,
                                   std::uint64_t replyLimit)
    : m_socket(context), m_hop(hop), m_replyLimit(replyLimit)
{
}

template <typename Step> void ClientConnection::runGuarded(const Step &step)
{
    try {
        step();
    } catch (const std::exception &) {
        ++m_hop.m_exceptions;
        endFailedExchange();
    }
}

void ClientConnection::endFailedExchange()
{
    const ExchangeHandler handler = std::exchange(m_handler, nullptr);
    close();
    if (!handler) {
        return;
    }
    try {
        handler(ExchangeEnd::Malformed, m_content);
    } catch (const std::exception &) {
        ++m_hop.m_exceptions;
    }
}

void ClientConnection::connect(const Tcp::endpoint &endpoint, ConnectHandler handler)
{
    m_socket.async_connect(
        endpoint, [self = shared_from_this(), handler = std::move(handler)](error_code error) {
            if (self->m_closed) {
                return;
            }
            if (!error) {
                self->m_socket.set_option(Tcp::no_delay(true), error);
                self->m_socket.non_blocking(true, error);
                details::setPeerTimeout(self->m_socket, self->m_peerTimeout);
            }
            if (error) {
                self->close();
                self->runGuarded([&handler] { handler(false); });
                return;
            }
            self->m_reusable = true;
            self->readMore();
            self->runGuarded([&handler] { handler(true); });
        });
}

void ClientConnection::setIdleCloseHandler(std::function<void()> handler)
{
    m_idleCloseHandler = std::move(handler);
}

void ClientConnection::exchange(std::string_view request, const ExchangeOptions &options,
                                ExchangeHandler handler)
{
    m_reusable = false;
    if (m_closed) {
        reportNotSent(std::move(handler));
        return;
    }
    error_code error;
    const std::size_t written =
        m_socket.write_some(asio::buffer(request.data(), request.size()), error);
    m_hop.m_bytesOut += written;
    if (error && error != asio::error::would_block) {
        close();
        reportNotSent(std::move(handler));
        return;
    }
    ++m_exchangeNumber;
    m_options = options;
    m_parser.emplace(m_content, m_replyLimit, m_options);
    m_handler = std::move(handler);
    ++m_hop.m_messages;
    m_writeFailed = false;
    if (written < request.size()) {
        m_writing = true;
        writeRest(std::string(request.substr(written)));
    }
}

void ClientConnection::writeRest(std::string rest)
{
    const std::shared_ptr<std::string> text = std::make_shared<std::string>(std::move(rest));
    asio::async_write(m_socket, asio::buffer(*text),
                      [self = shared_from_this(), text](error_code error, std::size_t written) {
                          self->m_hop.m_bytesOut += written;
                          self->m_writing = false;
                          // The pending read ends the exchange; closing makes that certain.
                          if (error && !self->m_closed) {
                              self->m_writeFailed = true;
                              error_code ignored;
                              self->m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
                          }
                      });
}

bool ClientConnection::isOpen()
{
    if (m_closed) {
        return false;
    }
    char byte = 0;
    error_code error;
    // Data between exchanges belongs to no request, so it makes the connection unusable too.
    m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

void ClientConnection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_reusable = false;
    m_handler = nullptr;
    releaseReply();
    error_code ignored;
    m_socket.close(ignored);
}

void ClientConnection::readMore()
{
    m_socket.async_read_some(m_buffer.prepare(readSizeBytes),
                             [self = shared_from_this()](error_code error, std::size_t bytes) {
                                 if (!self->m_closed) {
                                     self->runGuarded([&] { self->handleRead(error, bytes); });
                                 }
                             });
}

void ClientConnection::handleRead(error_code error, std::size_t bytes)
{
    m_hop.m_bytesIn += bytes;
    m_buffer.commit(bytes);
    if (!m_handler) {
        // The peer closed an idle connection or sent what nobody asked for.
        close();
        if (m_idleCloseHandler) {
            m_idleCloseHandler();
        }
        return;
    }
    m_replyBytes += bytes;
    m_hop.m_bufferedBytes += bytes;
    reserve(bytes);
    if (error) {
        handleEndOfStream(error);
        return;
    }
    parseBuffered();
}

void ClientConnection::reserve(std::size_t bytes)
{
    if (!m_budget || m_replyBytes <= unbudgetedReplyBytes) {
        return;
    }
    if (m_reservation) {
        m_reservation->add(bytes);
        return;
    }
    m_reservation = std::make_shared<ReplyReservation>(
        m_budget, [weak = weak_from_this(), exchange = m_exchangeNumber] {
            if (const std::shared_ptr<ClientConnection> self = weak.lock()) {
                asio::post(self->m_socket.get_executor(), [self, exchange] {
                    self->runGuarded([&] { self->giveUpReply(exchange); });
                });
            }
        });
    m_reservation->add(m_replyBytes);
}

void ClientConnection::giveUpReply(std::uint64_t exchange)
{
    if (m_handler && exchange == m_exchangeNumber) {
        finish(ExchangeEnd::Malformed);
    }
}

void ClientConnection::releaseReply()
{
    m_hop.m_bufferedBytes -= m_replyBytes;
    m_replyBytes = 0;
    m_reservation.reset();
}

void ClientConnection::releaseContent()
{
    m_content.m_memory.reset();
    if (m_content.m_body.capacity() > unbudgetedReplyBytes) {
        // Assigning an empty text would keep the buffer.
        m_content.m_body.clear();
        m_content.m_body.shrink_to_fit();
    }
    if (m_content.m_headers.capacity() > keptHeaderCapacity) {
        m_content.m_headers = HttpHeaders();
    }
}

bool ClientConnection::parseMessage()
{
    error_code error;
    const std::size_t used = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(used);
    m_statusInvalid = error == http::error::bad_status;
    return !error || error == http::error::need_more;
}

bool ClientConnection::skipInterimReplies()
{
    while (m_parser->is_done() && isInterim(m_content.m_status)) {
        // No request of ours asks for another protocol.
        if (m_content.m_status == switchingProtocols) {
            return false;
        }
        m_parser.emplace(m_content, m_replyLimit, m_options);
        if (!parseMessage()) {
            return false;
        }
    }
    return true;
}

void ClientConnection::parseBuffered()
{
    const bool isWellFormed = parseMessage() && skipInterimReplies();
    if (!isWellFormed) {
        finish(m_statusInvalid ? ExchangeEnd::InvalidStatus : ExchangeEnd::Malformed);
        return;
    }
    if (!m_parser->is_done()) {
        // The parser has no limit of its own for the framing of chunks and for trailers.
        if (m_replyBytes > m_replyLimit) {
            finish(ExchangeEnd::Malformed);
        } else {
            readMore();
        }
        return;
    }
    // Bytes after the reply would be taken for the reply of the next request, and the peer would
    // take the next request for the rest of a body that is still being written.
    m_reusable = m_parser->keep_alive() && m_buffer.size() == 0 && !m_writing;
    finish(ExchangeEnd::Reply);
}

void ClientConnection::handleEndOfStream(error_code error)
{
    // A reply without a length is whole only at an orderly end; a reset may have cut it off. The
    // system reports a reset once: after a failed write, the read sees an end that looks orderly.
    if (error != asio::error::eof || m_writeFailed) {
        finish(ExchangeEnd::Reset);
        return;
    }
    if (m_parser->got_some()) {
        error_code parseError;
        m_parser->put_eof(parseError);
        if (!parseError && m_parser->is_done()) {
            finish(ExchangeEnd::Reply);
            return;
        }
    }
    finish(ExchangeEnd::Lost);
}

void ClientConnection::finish(ExchangeEnd end)
{
    const ExchangeHandler handler = std::move(m_handler);
    m_handler = nullptr;
    if (m_reservation && end == ExchangeEnd::Reply) {
        m_reservation->complete();
        m_content.m_memory = m_reservation;
    }
    releaseReply();
    if (m_reusable) {
        readMore();
    } else {
        close();
    }
    handler(end, m_content);
    const bool hasBegunAnother = m_handler != nullptr;
    if (!hasBegunAnother) {
        releaseContent();
    }
}

void ClientConnection::reportNotSent(ExchangeHandler handler)
{
    asio::post(m_socket.get_executor(), [self = shared_from_this(), handler = std::move(handler)] {
        self->runGuarded([&] { handler(ExchangeEnd::NotSent, self->m_content); });
    });
}

} // namespace arbutusgrade
