#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Gateway/CallerRequest.h"
#include "citronlever/src/Routing/RouteSpec.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace citronlever {

/// Serves one request; \p Answer may run at once. May return null then.
using RequestHandler = std::function<std::shared_ptr<ActiveRequest>(
    CallerRequestPtr Request, AnswerCallback Answer)>;

/// HTTP/1.1 towards callers: whole requests in, whole answers out, within the
/// limits in force. Used on one thread.
class CallerServer {
public:
  /// \p Limits is asked for each request.
  CallerServer(boost::asio::io_context &Context, RequestHandler Serve,
               std::function<CallerLimits()> Limits);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// \throws Error if the address cannot be bound.
  void listen(const Endpoint &Address);

  /// Answers from now on ask the caller to close the connection.
  void drain();

  /// Closes the listener and connections on which no request is being served.
  void closeIdle();

  /// \returns requests read and not answered yet.
  std::size_t inFlight() const;
  std::size_t connections() const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
