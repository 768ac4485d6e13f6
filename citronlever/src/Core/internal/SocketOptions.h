#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace citronlever {

/// Sets no-delay, keep-alive probes and TCP_USER_TIMEOUT, so that a connection
/// that something between its ends has lost is closed after a few seconds.
void setSocketOptions(boost::asio::ip::tcp::socket &Socket);

} // namespace citronlever
