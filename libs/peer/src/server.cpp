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

constexpr std::chrono::seconds idleLimit{60};
constexpr std::size_t connectionLimit = 512;

struct Session;

} // namespace

struct PeerServer::State
{
    explicit State(asio::io_context &context) : m_acceptor(context) { }

    tcp::acceptor m_acceptor;
    PeerRequestHandler m_handler;
    std::set<std::shared_ptr<Session>> m_sessions;
    PeerStatistics m_statistics;

    static void accept(const std::shared_ptr<State> &state);
};

namespace {

//! @brief One connection of a peer.
struct Session : std::enable_shared_from_this<Session>
{
    Session(tcp::socket socket, std::function<void(const std::shared_ptr<Session> &)> ended,
            PeerStatistics &statistics, const PeerRequestHandler &handler)
        : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_ended(std::move(ended)),
          m_statistics(statistics), m_handler(handler)
    {
    }

    void readHeader()
    {
        m_timer.expires_after(idleLimit);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->close();
            }
        });
        asio::async_read(m_socket, asio::buffer(m_header),
                         [self = shared_from_this()](error_code error, std::size_t) {
                             const Decoded<std::uint32_t> length =
                                 decodeFrameHeader(self->m_header);
                             if (error || !length) {
                                 self->close();
                                 return;
                             }
                             self->readBody(length.value());
                         });
    }

    void readBody(std::uint32_t length)
    {
        m_body.clear();
        // Grows with what arrives, so that a forged length allocates nothing.
        asio::async_read(m_socket, asio::dynamic_buffer(m_body, length),
                         asio::transfer_exactly(length),
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (error) {
                                 self->close();
                                 return;
                             }
                             self->take();
                         });
    }

    void take()
    {
        ++m_statistics.m_received;
        m_statistics.m_receivedBytes += frameHeaderBytes + m_body.size();
        const Decoded<PeerRequest> request = decodeRequest(m_body);
        if (!request || !m_handler) {
            ++m_statistics.m_malformed;
            close();
            return;
        }
        m_handler(request.value(),
                  [self = shared_from_this()](const PeerReply &reply) { self->write(reply); });
    }

    void write(const PeerReply &reply)
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
                              self->readHeader();
                          });
    }

    void close()
    {
        error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
        if (m_ended) {
            const std::function<void(const std::shared_ptr<Session> &)> ended =
                std::exchange(m_ended, nullptr);
            ended(shared_from_this());
        }
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::function<void(const std::shared_ptr<Session> &)> m_ended; //!< Keeps the server's state.
    PeerStatistics &m_statistics;
    const PeerRequestHandler &m_handler;
    std::array<std::uint8_t, frameHeaderBytes> m_header{};
    std::string m_body;
    std::string m_output;
};

} // namespace

void PeerServer::State::accept(const std::shared_ptr<State> &state)
{
    state->m_acceptor.async_accept([state](error_code error, tcp::socket socket) {
        if (!state->m_acceptor.is_open()) {
            return;
        }
        if (!error && state->m_sessions.size() < connectionLimit) {
            const std::shared_ptr<Session> session = std::make_shared<Session>(
                std::move(socket),
                [state](const std::shared_ptr<Session> &ended) { state->m_sessions.erase(ended); },
                state->m_statistics, state->m_handler);
            state->m_sessions.insert(session);
            session->readHeader();
        }
        accept(state);
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
    State::accept(m_state);
    return acceptor.local_endpoint().port();
}

void PeerServer::close()
{
    error_code ignored;
    m_state->m_acceptor.close(ignored);
    m_state->m_handler = nullptr;
    const std::set<std::shared_ptr<Session>> sessions = m_state->m_sessions;
    for (const std::shared_ptr<Session> &session : sessions) {
        session->close();
    }
}

const PeerStatistics &PeerServer::statistics() const noexcept
{
    return m_state->m_statistics;
}

} // namespace arbutusgrade
