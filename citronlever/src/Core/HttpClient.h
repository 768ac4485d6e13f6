#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/HttpMessage.h"
#include "citronlever/src/Core/Time.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace citronlever {

/// Timeouts and limits of an HTTP client.
struct HttpClientSettings {
  Duration ConnectTimeout = Milliseconds(500);
  /// Idle connections kept for later requests.
  std::size_t MaxIdle = 4;
  /// Connections that have been idle for longer are not reused.
  Duration IdleTimeout = Seconds(20);
  std::size_t MaxBodyBytes = 2 << 20;
};

/// Outcome of a request.
enum class HttpOutcome : std::uint8_t {
  /// A complete response was received.
  Answered,
  /// No byte of the request was written to a connection.
  NotSent,
  /// No complete response was received; the server may have processed the
  /// request.
  ReplyLost
};

/// Outcome of a request, and the response if one was received.
struct HttpResult {
  HttpOutcome Outcome = HttpOutcome::NotSent;
  HttpResponse Response;
  /// Why there is no response; for log messages.
  std::string Reason;
};

/// An HTTP/1.1 client for one server with a small pool of keep-alive
/// connections. A GET that fails on a reused connection is retried once on a
/// new one, since the server may have closed the idle connection.
class HttpClient {
public:
  using Handler = std::function<void(HttpResult)>;

  HttpClient(boost::asio::io_context &Context, Endpoint Server,
             HttpClientSettings Settings = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request; \p Done runs once on an io_context thread, at the latest
  /// after \p Timeout.
  /// Safe to call from any thread.
  void send(HttpRequest Request, Duration Timeout, Handler Done);

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
