#pragma once

#include "citronlever/src/Core/HttpMessage.h"
#include "citronlever/src/Core/Time.h"

#include <functional>
#include <memory>
#include <string>

namespace citronlever {

/// One request of a caller, as its connection read it.
struct CallerRequest {
  HttpRequest Http;
  TimePoint Received{};
  /// Whether the caller opened its connection for this request.
  bool FirstOnConnection = false;
};

using CallerRequestPtr = std::shared_ptr<const CallerRequest>;

/// A request that is being served.
class ActiveRequest {
public:
  virtual ~ActiveRequest() = default;

  /// The caller no longer waits: calls to leaves end, and no answer follows.
  virtual void onCallerGone() = 0;
};

/// Gives the one final answer to a request.
using AnswerCallback = std::function<void(HttpResponse)>;

} // namespace citronlever
