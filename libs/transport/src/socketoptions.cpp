#include "details/socketoptions.h"

#include <algorithm>
#include <cstddef>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace arbutusgrade::details {

namespace {

// A system that does not know an option leaves silent peers to the timeouts of the calls.
void setOption(int socket, int level, int name, int value)
{
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof(value)));
}

} // namespace

void setPeerTimeout(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout)
{
    if (timeout.count() <= 0) {
        return;
    }
    constexpr int probes = 2;
    constexpr int millisecondsPerSecond = 1000;
    const int milliseconds = static_cast<int>(timeout.count());
    const int probeSeconds = std::max(1, milliseconds / millisecondsPerSecond / probes);
    const int handle = socket.native_handle();
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, probes);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds);
}

std::optional<std::chrono::microseconds> roundTrip(boost::asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    const int result = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length);
    const bool isMeasured = result == 0
                            && length >= offsetof(tcp_info, tcpi_rtt) + sizeof(info.tcpi_rtt)
                            && info.tcpi_rtt > 0;
    if (!isMeasured) {
        return std::nullopt;
    }
    return std::chrono::microseconds(info.tcpi_rtt);
}

} // namespace arbutusgrade::details
