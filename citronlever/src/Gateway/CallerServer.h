#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Gateway/CallerRequest.h"
#include "citronlever/src/Routing/RouteSpec.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace citronlever {

/// Serves a request. If it calls \p Answer before it returns, it may return
/// null.
using RequestHandler = std::function<std::shared_ptr<ActiveRequest>(
    CallerRequestPtr Request, AnswerCallback Answer)>;

/// HTTP/1.1 server for callers. Reads whole requests and writes whole answers,
/// within the configured limits. Not thread-safe.
class CallerServer {
public:
  /// \param Limits returns the limits in force; called for each request.
  CallerServer(boost::asio::io_context &Context, RequestHandler Serve,
               std::function<CallerLimits()> Limits);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// \throws Error if the address cannot be bound.
  void listen(const Endpoint &Address);

  /// From now on, answers ask the caller to close the connection.
  void drain();

  /// Closes the listener and the connections without a request. Connections
  /// that callers have opened already, and requests that have arrived, are
  /// still read.
  void closeIdle();

  /// Sends the final answers to all requests now, because the process ends.
  /// \param Reason for the answers' bodies and the log.
  void giveUp(std::string_view Reason);

  /// \returns the number of requests that were read and not answered yet.
  std::size_t inFlight() const;
  /// \returns the number of open connections.
  std::size_t connections() const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
