#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/HttpMessage.h"
#include "citronlever/src/Core/Time.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace citronlever {

/// Timeouts and limits of an HTTP server.
struct HttpServerSettings {
  std::size_t MaxBodyBytes = 256 << 10;
  std::uint32_t MaxHeaderBytes = 16 << 10;
  /// Time that a keep-alive connection may wait for its next request.
  Duration IdleTimeout = Seconds(60);
  /// Time limit for reading a request's body and for writing a response.
  Duration TransferTimeout = Seconds(10);
  std::size_t MaxConnections = 10000;
};

/// Sends the response to one request. Safe to call from any thread; calls after
/// the first are ignored. If all copies are destroyed without a call, the
/// request is answered with 500.
using HttpReply = std::function<void(HttpResponse)>;

/// Handles a request. Runs on the io_context threads, concurrently for
/// different connections.
using HttpHandler =
    std::function<void(const std::shared_ptr<const HttpRequest> &, HttpReply)>;

/// An HTTP/1.1 server with keep-alive. Malformed and oversized requests are
/// answered with 400, 413 or 431 and the verdict "not_run", and never reach the
/// handler. If the handler throws, the request is answered with 500.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Context, HttpServerSettings Settings,
             HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Accepts connections at \p Address.
  /// \returns the port, which the system chooses if \p Address has port 0.
  /// \throws Error if the address cannot be bound.
  std::uint16_t listen(const Endpoint &Address);

  /// Keeps accepting requests, but closes each connection after its response
  /// ("Connection: close").
  void drain();

  /// Stops accepting, closes idle connections, and closes the remaining ones
  /// after their response.
  void stop();

  struct Counters {
    /// Connections accepted so far.
    std::uint64_t Accepted = 0;
    /// Requests passed to the handler so far.
    std::uint64_t Requests = 0;
    /// Connections above the limit and invalid requests so far.
    std::uint64_t Refused = 0;
    /// Connections open now.
    std::size_t Connections = 0;
    /// Requests passed to the handler whose answer is not written yet.
    std::size_t InFlight = 0;
  };
  Counters counters() const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
