#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace citronlever {

/// Sets TCP_NODELAY, keep-alive probes and TCP_USER_TIMEOUT. A connection whose
/// state was lost on the network path, for example by a NAT gateway or
/// firewall, is closed after a few seconds.
void setSocketOptions(boost::asio::ip::tcp::socket &Socket);

/// \returns the kernel's estimate of the connection's round-trip time, if it
/// has one.
std::optional<Duration> roundTripTime(boost::asio::ip::tcp::socket &Socket);

} // namespace citronlever
