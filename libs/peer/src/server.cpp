#include <array>
#include <set>

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

constexpr std::chrono::seconds idleTimeout{60};
constexpr std::size_t connectionLimit = 512;

struct PeerConnection;

} // namespace

struct PeerServer::State
{
    explicit State(asio::io_context &context) : m_acceptor(context) { }

    tcp::acceptor m_acceptor;
    PeerRequestHandler m_handler;
    std::set<std::shared_ptr<PeerConnection>> m_connections;
    PeerStatistics m_statistics;

    static void acceptNext(const std::shared_ptr<State> &state);
};

namespace {

//! @brief One connection from a peer.
struct PeerConnection : std::enable_shared_from_this<PeerConnection>
{
    PeerConnection(tcp::socket socket,
                   std::function<void(const std::shared_ptr<PeerConnection> &)> closeHandler,
                   PeerStatistics &statistics, const PeerRequestHandler &handler)
        : m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
          m_closeHandler(std::move(closeHandler)), m_statistics(statistics), m_handler(handler)
    {
    }

    void readRequestHeader()
    {
        m_timer.expires_after(idleTimeout);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->close();
            }
        });
        asio::async_read(m_socket, asio::buffer(m_requestHeader),
                         [self = shared_from_this()](error_code error, std::size_t) {
                             const Decoded<std::uint32_t> length =
                                 decodeFrameHeader(self->m_requestHeader);
                             if (error || !length) {
                                 self->close();
                                 return;
                             }
                             self->readRequestBody(length.value());
                         });
    }

    void readRequestBody(std::uint32_t length)
    {
        m_requestBody.clear();
        // The buffer grows with the received bytes, so that a forged length allocates no memory.
        asio::async_read(m_socket, asio::dynamic_buffer(m_requestBody, length),
                         asio::transfer_exactly(length),
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (error) {
                                 self->close();
                                 return;
                             }
                             self->handleRequest();
                         });
    }

    void handleRequest()
    {
        ++m_statistics.m_received;
        m_statistics.m_receivedBytes += frameHeaderBytes + m_requestBody.size();
        const Decoded<PeerRequest> request = decodeRequest(m_requestBody);
        if (!request || !m_handler) {
            ++m_statistics.m_malformed;
            close();
            return;
        }
        m_handler(request.value(),
                  [self = shared_from_this()](const PeerReply &reply) { self->writeReply(reply); });
    }

    void writeReply(const PeerReply &reply)
    {
        const std::string body = encodeReply(reply);
        const std::array<std::uint8_t, frameHeaderBytes> header =
            encodeFrameHeader(static_cast<std::uint32_t>(body.size()));
        if (body.size() > frameLimitBytes || !m_socket.is_open()) {
            close();
            return;
        }
        m_output.assign(header.begin(), header.end());
        m_output += body;
        asio::async_write(m_socket, asio::buffer(m_output),
                          [self = shared_from_this()](error_code error, std::size_t bytes) {
                              self->m_statistics.m_sentBytes += bytes;
                              if (error) {
                                  self->close();
                                  return;
                              }
                              ++self->m_statistics.m_sent;
                              self->readRequestHeader();
                          });
    }

    void close()
    {
        error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
        if (m_closeHandler) {
            const std::function<void(const std::shared_ptr<PeerConnection> &)> closeHandler =
                std::exchange(m_closeHandler, nullptr);
            closeHandler(shared_from_this());
        }
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    //! Removes the connection from the server; also keeps the state of the server alive.
    std::function<void(const std::shared_ptr<PeerConnection> &)> m_closeHandler;
    PeerStatistics &m_statistics;
    const PeerRequestHandler &m_handler;
    std::array<std::uint8_t, frameHeaderBytes> m_requestHeader{};
    std::string m_requestBody;
    std::string m_output;
};

} // namespace

void PeerServer::State::acceptNext(const std::shared_ptr<State> &state)
{
    state->m_acceptor.async_accept([state](error_code error, tcp::socket socket) {
        if (!state->m_acceptor.is_open()) {
            return;
        }
        if (!error && state->m_connections.size() < connectionLimit) {
            const std::shared_ptr<PeerConnection> connection = std::make_shared<PeerConnection>(
                std::move(socket),
                [state](const std::shared_ptr<PeerConnection> &closed) {
                    state->m_connections.erase(closed);
                },
                state->m_statistics, state->m_handler);
            state->m_connections.insert(connection);
            connection->readRequestHeader();
        }
        acceptNext(state);
    });
}

PeerServer::PeerServer(asio::io_context &context, PeerRequestHandler handler)
    : m_state(std::make_shared<State>(context))
{
    m_state->m_handler = std::move(handler);
}

PeerServer::~PeerServer()
{
    close();
}

std::uint16_t PeerServer::listen(const std::string &address, std::uint16_t port, std::string &error)
{
    error_code code;
    const asio::ip::address parsed = asio::ip::make_address(address, code);
    const tcp::endpoint endpoint(parsed, port);
    tcp::acceptor &acceptor = m_state->m_acceptor;
    if (!code) {
        acceptor.open(endpoint.protocol(), code);
    }
    if (!code) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), code);
        acceptor.bind(endpoint, code);
    }
    if (!code) {
        acceptor.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
        error =
            "cannot listen on TCP " + address + ":" + std::to_string(port) + ": " + code.message();
        close();
        return 0;
    }
    State::acceptNext(m_state);
    return acceptor.local_endpoint().port();
}

void PeerServer::close()
{
    error_code ignored;
    m_state->m_acceptor.close(ignored);
    m_state->m_handler = nullptr;
    const std::set<std::shared_ptr<PeerConnection>> connections = m_state->m_connections;
    for (const std::shared_ptr<PeerConnection> &connection : connections) {
        connection->close();
    }
}

const PeerStatistics &PeerServer::statistics() const noexcept
{
    return m_state->m_statistics;
}

} // namespace arbutusgrade
