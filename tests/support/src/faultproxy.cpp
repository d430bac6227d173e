#include "support/faultproxy.h"

#include <array>
#include <set>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace arbutusgrade::support {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

//! One client's connection and the one made for it to the server.
class Tunnel : public std::enable_shared_from_this<Tunnel>
{
public:
    Tunnel(tcp::socket client, const ProxyFaults &faults)
        : m_faults(faults), m_client(std::move(client)), m_server(m_client.get_executor()),
          m_toServer{{}, asio::steady_timer(m_client.get_executor())},
          m_toClient{{}, asio::steady_timer(m_client.get_executor())}
    {
    }

    void start(const tcp::endpoint &server)
    {
        m_server.async_connect(server, [self = shared_from_this()](error_code error) {
            if (error) {
                self->close();
                return;
            }
            error_code ignored;
            self->m_client.set_option(tcp::no_delay(true), ignored);
            self->m_server.set_option(tcp::no_delay(true), ignored);
            self->read(self->m_client, self->m_server, self->m_toServer);
            self->read(self->m_server, self->m_client, self->m_toClient);
        });
    }

    void close()
    {
        error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
    }

    bool isOpen() const
    {
        return m_client.is_open();
    }

private:
    struct Direction
    {
        std::array<char, 16384> m_buffer{};
        asio::steady_timer m_timer;
    };

    void read(tcp::socket &from, tcp::socket &to, Direction &direction)
    {
        from.async_read_some(
            asio::buffer(direction.m_buffer), [self = shared_from_this(), &from, &to,
                                               &direction](error_code error, std::size_t size) {
                if (error) {
                    self->close();
                    return;
                }
                direction.m_timer.expires_after(self->m_faults.m_delay);
                direction.m_timer.async_wait([self, &from, &to, &direction, size](error_code) {
                    self->pass(from, to, direction, size);
                });
            });
    }

    void pass(tcp::socket &from, tcp::socket &to, Direction &direction, std::size_t size)
    {
        const bool dropped =
            &direction == &m_toClient ? m_faults.m_dropReplies : m_faults.m_dropRequests;
        if (dropped) {
            read(from, to, direction);
            return;
        }
        asio::async_write(
            to, asio::buffer(direction.m_buffer.data(), size),
            [self = shared_from_this(), &from, &to, &direction](error_code error, std::size_t) {
                if (error) {
                    self->close();
                    return;
                }
                self->read(from, to, direction);
            });
    }

    const ProxyFaults &m_faults;
    tcp::socket m_client;
    tcp::socket m_server;
    Direction m_toServer;
    Direction m_toClient;
};

} // namespace

struct FaultProxy::State
{
    explicit State(std::uint16_t serverPort)
        : m_server(asio::ip::address_v4::loopback(), serverPort),
          m_acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
    }

    void accept()
    {
        m_acceptor.async_accept([this](error_code error, tcp::socket client) {
            if (error) {
                return;
            }
            std::erase_if(m_tunnels,
                          [](const std::shared_ptr<Tunnel> &tunnel) { return !tunnel->isOpen(); });
            if (!m_faults.m_cut) {
                const std::shared_ptr<Tunnel> tunnel =
                    std::make_shared<Tunnel>(std::move(client), m_faults);
                m_tunnels.insert(tunnel);
                tunnel->start(m_server);
            }
            accept();
        });
    }

    asio::io_context m_context{1};
    tcp::endpoint m_server;
    tcp::acceptor m_acceptor;
    ProxyFaults m_faults;
    std::set<std::shared_ptr<Tunnel>> m_tunnels;
    std::thread m_thread;
};

FaultProxy::FaultProxy(std::uint16_t serverPort) : m_state(std::make_unique<State>(serverPort))
{
    m_state->accept();
    m_state->m_thread = std::thread([this] { m_state->m_context.run(); });
}

FaultProxy::~FaultProxy()
{
    m_state->m_context.stop();
    m_state->m_thread.join();
}

std::uint16_t FaultProxy::port() const
{
    return m_state->m_acceptor.local_endpoint().port();
}

void FaultProxy::setFaults(const ProxyFaults &faults)
{
    asio::post(m_state->m_context, [this, faults] {
        m_state->m_faults = faults;
        if (faults.m_cut) {
            for (const std::shared_ptr<Tunnel> &tunnel : m_state->m_tunnels) {
                tunnel->close();
            }
            m_state->m_tunnels.clear();
        }
    });
}

} // namespace arbutusgrade::support
