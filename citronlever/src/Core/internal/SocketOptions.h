#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace citronlever {

/// Sets TCP_NODELAY, keep-alive probes and TCP_USER_TIMEOUT. A connection whose
/// state was lost on the network path, for example by a NAT gateway or
/// firewall, is closed after a few seconds.
void setSocketOptions(boost::asio::ip::tcp::socket &Socket);

} // namespace citronlever
