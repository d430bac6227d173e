#pragma once

#include <chrono>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

namespace arbutusgrade::details {

//! @brief Ends the connection when its peer acknowledges nothing for this long, also while it is
//! idle, so that a silent peer is noticed. Zero leaves it to the system.
void setPeerTimeout(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout);

//! @brief Smoothed round trip time of a connection. Empty if the system has no measurement.
std::optional<std::chrono::microseconds> roundTrip(boost::asio::ip::tcp::socket &socket);

} // namespace arbutusgrade::details
