#pragma once

#include "citronlever/src/Core/HttpMessage.h"
#include "citronlever/src/Core/Time.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace citronlever {

/// A request as read from a caller's connection.
struct CallerRequest {
  HttpRequest Http;
  TimePoint Received{};
  /// Whether this is the first request on its connection.
  bool FirstOnConnection = false;
  /// Network round trip to the caller.
  Duration RoundTrip = Milliseconds(2);
};

using CallerRequestPtr = std::shared_ptr<const CallerRequest>;

/// A request that is being served.
class ActiveRequest {
public:
  virtual ~ActiveRequest() = default;

  /// Cancels the request because its caller has disconnected: calls to leaves
  /// end, and no answer is sent.
  virtual void onCallerGone() = 0;

  /// Sends the final answer now, because the process ends.
  /// \param Reason for the answer's body and the log.
  virtual void giveUp(std::string_view Reason) = 0;
};

/// Sends the final answer to a request. Must be called once.
using AnswerCallback = std::function<void(HttpResponse)>;

} // namespace citronlever
