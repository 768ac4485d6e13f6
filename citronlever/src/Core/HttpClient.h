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

/// Bounds of an HTTP client.
struct HttpClientSettings {
  Duration ConnectTimeout = Milliseconds(500);
  /// Connections kept for the next request.
  std::size_t MaxIdle = 4;
  /// Kept connections older than this without use are closed.
  Duration IdleTimeout = Seconds(20);
  std::size_t MaxBodyBytes = 2 << 20;
};

/// What became of a request.
enum class HttpOutcome : std::uint8_t {
  /// A whole response came.
  Answered,
  /// No byte was handed to a connection.
  NotSent,
  /// The request may have been served; no whole response came.
  ReplyLost
};

/// Outcome of a request, with the response if there is one.
struct HttpResult {
  HttpOutcome Outcome = HttpOutcome::NotSent;
  HttpResponse Response;
  /// Why there is no response; for people.
  std::string Reason;
};

/// An HTTP/1.1 client of one server, with a few kept connections. A GET that
/// fails on a kept connection is tried once more on a new one.
class HttpClient {
public:
  using Handler = std::function<void(HttpResult)>;

  HttpClient(boost::asio::io_context &Context, Endpoint Server,
             HttpClientSettings Settings = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request; \p Done runs once on the io_context's threads.
  /// Safe to call from any thread.
  void send(HttpRequest Request, Duration Timeout, Handler Done);

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
