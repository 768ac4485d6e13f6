#pragma once

#include "citronlever/src/Core/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace citronlever {

/// State shared by the sessions of one server.
struct HttpServerShared {
  HttpServerSettings Settings;
  HttpHandler Handler;
  std::atomic<bool> Draining{false};
  std::atomic<bool> Stopped{false};
  std::atomic<std::uint64_t> Accepted{0};
  std::atomic<std::uint64_t> Requests{0};
  std::atomic<std::uint64_t> Refused{0};
  std::atomic<std::size_t> Connections{0};
  std::atomic<std::size_t> InFlight{0};
};

/// One accepted connection; keeps itself alive while an operation is pending.
class HttpSession {
public:
  virtual ~HttpSession() = default;

  /// Closes the connection if it is waiting for a request. A connection with a
  /// request in progress closes after the response once the server is stopped.
  virtual void closeWhenIdle() = 0;
};

/// Starts to read requests from \p Socket.
std::shared_ptr<HttpSession>
startHttpSession(boost::asio::ip::tcp::socket Socket,
                 std::shared_ptr<HttpServerShared> Shared);

} // namespace citronlever
